//! A run of an item: its assignment to an engine and its outcome.

use crate::{events::Progress, job::Origin, prefix, prelude::*};

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The text is complete, with its score if the item has a judge.
    Scored(Option<Box<str>>),
    /// The text is complete, but its judge returned no score.
    Unjudged,
    /// The judge reached the route's limit of failed attempts.
    JudgeFailed,
    /// The engine did not run the request.
    NotRun,
    /// The connection or the stream broke.
    Broken,
    /// The engine's time per event exceeded the limit.
    Slow,
    /// The engine answered with an internal error.
    Failed,
    /// The engine rejected the item as one that can never run.
    Rejected,
    /// The leader stopped the run.
    Stopped,
}

impl End {
    /// Whether an engine has answered the item's request, with a text or with its refusal.
    pub(super) fn is_answer(&self) -> bool {
        match self {
            Self::Scored(_) | Self::Unjudged | Self::JudgeFailed => true,
            Self::Slow | Self::Failed | Self::Rejected => true,
            Self::NotRun | Self::Broken | Self::Stopped => false,
        }
    }

    /// Label in metrics.
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

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub run: u64,
    pub job: JobId,
    pub item: usize,
    /// Item, and what the text was generated for.
    pub origin: Origin,
    pub target: Option<TargetId>,
    pub end: End,
    pub progress: Progress,
    /// The text is complete; only its score may be missing.
    pub text_complete: bool,
    /// Average time per event; `None` if no event arrived.
    pub pace: Option<Duration>,
    /// Status 500 responses of the judge in this run.
    pub judge_failures: u32,
    /// The run still held its slot on the engine when it ended.
    pub holds_slot: bool,
    /// The engine closed the connection or reset it, so it was not silent.
    pub connection_broke: bool,
}

/// Assignment of an item to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub job: JobId,
    pub item: usize,
    pub origin: Origin,
    /// `None` if only the score is missing.
    pub target: Option<TargetId>,
    pub progress: Progress,
    /// Status 500 responses of the judge in earlier runs.
    pub judge_failures: u32,
    /// The engine is the one that the item should avoid, as no other has a free slot. Its pace is then measured over
    /// more events before the run ends as slow.
    pub last_resort: bool,
    /// What was expected of the engine's cache, if items are placed by it.
    pub sent: Option<prefix::Sent>,
}
