use crate::prelude::*;

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It would not be served within the time that it may wait.
    Late,
    /// The queue, or the part of it that one workspace may have, is full.
    Full,
    /// It has waited as long as it may.
    Waited,
}

impl Cause {
    /// Label in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Full => "full",
            Self::Waited => "waited",
        }
    }
}

/// Refusal of a request, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    pub cause: Cause,
    /// Requests in the queue.
    pub waiting: usize,
    /// Requests that would be served before this one.
    pub ahead: usize,
    /// Slots that became free per second; `None` if unknown.
    pub rate: Option<f64>,
    /// Time since a slot last became free.
    pub rate_age: Option<Duration>,
    /// Expected wait of the request.
    pub expected: Option<Duration>,
    /// Time after which the caller is to try again, without jitter.
    pub retry_after: Duration,
}
