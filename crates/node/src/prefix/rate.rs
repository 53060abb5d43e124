//! Estimate of the rate at which engines prefill prompts.

use crate::prelude::*;

/// Runs over which the weight of an earlier run falls by a factor of e.
const HISTORY_RUNS: f64 = 50.0;
/// Weight of all runs from which on they are used.
const RUNS_MIN: f64 = 8.0;
/// Least standard deviation of the prefilled tokens, as a share of their mean. Runs that prefill about the same say nothing of
/// the rate, as the time to the first event holds other delays as well.
const SPREAD_MIN: f64 = 0.25;

/// Weighted sums over runs, for a linear fit of the time to the first event by prefilled tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    product: f64,
}

impl Rate {
    /// Records the time to the first event of a run that had `prefilled` tokens to prefill.
    pub fn record(&mut self, prefilled: u64, took: Duration) {
        let (tokens, ms) = (prefilled as f64, took.as_secs_f64() * 1e3);
        let added = [1.0, tokens, ms, tokens * tokens, tokens * ms];
        let Self { weight, tokens, ms, tokens_squared, product } = self;
        for (sum, added) in [weight, tokens, ms, tokens_squared, product].into_iter().zip(added) {
            *sum = *sum * (1.0 - 1.0 / HISTORY_RUNS) + added;
        }
    }

    /// Tokens that are prefilled in a millisecond; `None` until the runs show it.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        if self.weight < RUNS_MIN {
            return None;
        }
        let (tokens, ms) = (self.tokens / self.weight, self.ms / self.weight);
        let variance = self.tokens_squared / self.weight - tokens * tokens;
        let covariance = self.product / self.weight - tokens * ms;
        let is_spread = variance > (tokens * SPREAD_MIN).powi(2);
        (is_spread && covariance > 0.0).then(|| variance / covariance)
    }
}
