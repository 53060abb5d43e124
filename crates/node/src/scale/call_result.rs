//! Result of an order, as far as it decides about further ones.

/// Result of a call that orders a number of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    Accepted,
    /// No effect: none to be had, or a higher fencing token was seen.
    Conflict,
    /// No effect: too many calls.
    RateLimited,
    /// No effect: the call was not sent or not taken.
    Refused,
    /// The order may take effect, now or later.
    NoResponse,
}

impl CallResult {
    /// Label in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::RateLimited => "rate_limited",
            Self::Refused => "refused",
            Self::NoResponse => "no_response",
        }
    }
}
