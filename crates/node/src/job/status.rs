//! State of one item of an open job.

use crate::{
    events::Progress,
    job::{Doubt, Row},
    prelude::*,
};

/// State of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    Waiting {
        not_before: Time,
    },
    Running {
        /// Id of the run; 0 until the leader has given it one.
        run: u64,
        target: Option<TargetId>,
    },
    /// Its row is not written yet.
    Finished(Box<Row>),
    /// Its row is being written.
    Writing(Box<Row>),
    /// Its row is in the store.
    Listed,
}

impl State {
    /// Whether the item has no result yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self, Self::Waiting { .. } | Self::Running { .. })
    }
}

/// Status of an item of an open job.
#[derive(Clone, Debug)]
pub(super) struct ItemStatus {
    pub(super) state: State,
    pub(super) progress: Progress,
    /// Events of the text that a runner keeps, as last reported.
    pub(super) events_at_runner: u64,
    /// The text is complete; only its score is missing.
    pub(super) text_complete: bool,
    /// Failed attempts on engines.
    pub(super) failures: u32,
    /// Status 500 responses of its judge.
    pub(super) judge_failures: u32,
    /// Target of the last run, if that failed, broke, was slow or was not executed.
    pub(super) avoid: Option<TargetId>,
    /// The last run reached no engine or broke.
    pub(super) is_unreached: bool,
    /// Engines that ended its runs.
    pub(super) doubt: Doubt,
    pub(super) finished_at: Time,
    /// Time at which the leader last heard that an engine had the item.
    pub(super) contact_at: Time,
    /// Runs since then that ended without an event.
    pub(super) attempts: u32,
}

impl ItemStatus {
    /// Events of the text, as last reported.
    pub(super) fn events(&self) -> u64 {
        match self.state {
            State::Running { .. } => self.events_at_runner.max(self.progress.last_event),
            _ => self.progress.last_event,
        }
    }
}
