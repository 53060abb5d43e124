//! What a run of an item reports to the leader.

use crate::{events::Progress, job::Outcome, prelude::*};

/// Report on a run.
#[derive(Debug)]
pub enum RunReport {
    /// Text so far.
    Progress {
        run: u64,
        progress: Progress,
    },
    /// Number of the last event, of a run whose text another host keeps.
    Advanced {
        run: u64,
        last_event: u64,
    },
    /// The text is complete, so the run holds no slot any more; its judge is called next.
    Generated {
        run: u64,
        /// Average time per event; `None` if no event arrived.
        pace: Option<Duration>,
    },
    Ended {
        run: u64,
        outcome: Outcome,
    },
}

impl RunReport {
    /// Run to which the report applies.
    pub fn run(&self) -> u64 {
        let (Self::Progress { run, .. }
        | Self::Advanced { run, .. }
        | Self::Generated { run, .. }
        | Self::Ended { run, .. }) = self;
        *run
    }
}
