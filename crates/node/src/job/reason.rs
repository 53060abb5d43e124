//! Why an item is at no engine.

use std::{fmt, net::SocketAddr};

use crate::{job::Supply, prelude::*};

/// Why an item is at no engine. The text form gives the details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It may not start before a time, as its runs broke without an event.
    Delayed { left: Duration },
    /// No engine is open for its model.
    NoEngineOpen(Supply),
    /// All engines of its model have too old a version.
    NoVersion { min: Version, newest: Option<Version> },
    /// No open engine has the software version of its text.
    NoSoftware { software: Software },
    /// Only the engine is open on which its last run did not succeed.
    OnlyAvoided { target: TargetId },
    /// The leader has no fencing token.
    NoFencingToken,
    /// The leader gives up its leadership.
    HandingOver,
    /// The leader has not read its job from the store.
    JobNotRead,
    /// Its job cannot be complete in time and gets what other jobs leave.
    Deferred(Supply),
    /// An engine is open, and items before it take the slots first.
    NotStarted(Supply),
    /// The leader believes that it runs, and has heard nothing of the run.
    RunInProgress { run: u64, target: TargetId, runner: Option<SocketAddr>, silent: Duration },
}

impl Reason {
    /// Label in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Delayed { .. } => "delayed",
            Self::NoEngineOpen(_) => "no_engine_open",
            Self::NoVersion { .. } => "no_version",
            Self::NoSoftware { .. } => "no_software",
            Self::OnlyAvoided { .. } => "only_avoided",
            Self::NoFencingToken => "no_fencing_token",
            Self::HandingOver => "handing_over",
            Self::JobNotRead => "job_not_read",
            Self::Deferred(_) => "deferred",
            Self::NotStarted(_) => "not_started",
            Self::RunInProgress { .. } => "run_in_progress",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Delayed { left } => write!(f, "left_ms={}", left.as_millis()),
            Self::NoEngineOpen(supply) | Self::Deferred(supply) | Self::NotStarted(supply) => {
                supply.fmt(f)
            }
            Self::NoVersion { min, newest } => {
                write!(f, "min_version={min} newest={}", newest.unwrap_or_default())
            }
            Self::NoSoftware { software } => write!(f, "software={software}"),
            Self::OnlyAvoided { target } => write!(f, "target_id={target}"),
            Self::RunInProgress { run, target, runner, silent } => {
                write!(f, "run={run} target_id={target} silent_ms={}", silent.as_millis())?;
                match runner {
                    Some(runner) => write!(f, " runner={runner}"),
                    None => f.write_str(" runner=leader"),
                }
            }
            Self::NoFencingToken | Self::HandingOver | Self::JobNotRead => Ok(()),
        }
    }
}
