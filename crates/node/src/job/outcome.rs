//! A run of an item: the order to make it, and its end.

use crate::{events::Progress, prelude::*};

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The text is whole, with its score if the item has a judge.
    Scored(Option<Box<str>>),
    /// The text is whole, but its judge gave no score.
    Unjudged,
    /// The judge failed as often as the route allows.
    JudgeFailed,
    /// The engine did not run it.
    NotRun,
    /// The connection or the stream broke.
    Broken,
    /// The engine was slower than the others.
    Slow,
    /// The engine answered with a failure of its own.
    Failed,
    /// The engine says that the item can never be done.
    Rejected,
    /// The run was stopped here.
    Stopped,
}

impl End {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Unjudged => "unjudged",
            Self::JudgeFailed => "judge_failed",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
            Self::Stopped => "stopped",
        }
    }
}

/// End of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub job: JobId,
    pub item: usize,
    pub item_id: ItemId,
    pub target: Option<TargetId>,
    pub end: End,
    pub progress: Progress,
    pub text_complete: bool,
    /// Time per event, if there was any.
    pub pace: Option<Duration>,
    /// Failures (500) that the judge answered in this run.
    pub judge_failures: u32,
}

/// Order to run an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub job: JobId,
    pub item: usize,
    /// `None` if only the score is missing.
    pub target: Option<TargetId>,
    pub progress: Progress,
    /// Failures (500) that the judge answered in earlier runs.
    pub judge_failures: u32,
    /// No other engine has a place, so the item stays however slow it is.
    pub last_resort: bool,
}
