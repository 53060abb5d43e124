//! Token bucket.

use crate::prelude::*;

/// A rate with a burst of one second's worth or more.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens in thousandths, so that slow rates do not lose what is refilled between two ticks.
    milli: i64,
    rate: i64,
    burst: i64,
    filled: Time,
}

impl Bucket {
    /// A full bucket with a rate in tokens a second.
    pub fn new(rate: u32, burst: u32, now: Time) -> Self {
        Self {
            milli: i64::from(burst) * 1000,
            rate: i64::from(rate),
            burst: i64::from(burst) * 1000,
            filled: now,
        }
    }

    /// Whether anything may be taken now.
    pub fn has_tokens(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.filled).as_millis() as i64;
        self.filled += Duration::from_millis(passed as u64);
        self.milli = self.milli.saturating_add(passed.saturating_mul(self.rate)).min(self.burst);
        self.milli > 0
    }

    /// Takes tokens, if need be as a debt: a row longer than the burst must be able to go out.
    pub fn take(&mut self, tokens: usize) {
        self.milli -= tokens as i64 * 1000;
    }
}
