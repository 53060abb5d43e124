//! A limit that a target names.

use snafu::{OptionExt, Snafu};

/// Lowest rate at which a target is tried. Answers alone tell that a limit has ended, so some requests must go on.
const PER_SECOND_MIN: f64 = 0.1;

/// Why a limit is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("could not read a limit of requests a second: {text:?}"))]
pub struct InvalidLimit {
    text: Box<str>,
}

/// Requests a second that a target takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

impl Limit {
    /// Limit of a finite number of requests that is not negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests a second as the target names them.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Rate at which requests may be sent.
    pub fn rate(self) -> f64 {
        self.0.max(PER_SECOND_MIN)
    }
}

impl TryFrom<&str> for Limit {
    type Error = InvalidLimit;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let per_second = text.trim().parse().ok();
        per_second.and_then(Self::new).context(InvalidLimitSnafu { text })
    }
}
