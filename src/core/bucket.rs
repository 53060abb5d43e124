//! Token bucket rate limiter.

use crate::prelude::*;

/// Limits a rate, with bursts.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens in thousandths, so that refills between two ticks are not rounded away at low rates.
    milli: i64,
    rate: i64,
    burst: i64,
    refilled_at: Time,
}

impl Bucket {
    /// A full bucket with a rate in tokens per second.
    pub fn new(rate: u32, burst: u32, now: Time) -> Self {
        Self {
            milli: i64::from(burst) * 1000,
            rate: i64::from(rate),
            burst: i64::from(burst) * 1000,
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns whether it holds any tokens.
    pub fn has_tokens(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.refilled_at).as_millis() as i64;
        self.refilled_at += Duration::from_millis(passed as u64);
        self.milli = self.milli.saturating_add(passed.saturating_mul(self.rate)).min(self.burst);
        self.milli > 0
    }

    /// Takes tokens. The balance may become negative, so that a row larger than the burst can be sent.
    pub fn take(&mut self, tokens: usize) {
        self.milli -= tokens as i64 * 1000;
    }
}
