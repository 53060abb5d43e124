//! Exponential backoff with jitter.

use rand::Rng;

use crate::prelude::*;

const DELAY_MIN: Duration = Duration::from_millis(250);
/// Longest delay, before jitter.
pub const DELAY_MAX: Duration = Duration::from_secs(30);

/// Delay before the next attempt. It doubles with each earlier failure; jitter adds up to a quarter.
pub fn delay(rng: &mut impl Rng, failures: u32) -> Duration {
    let delay = DELAY_MIN.saturating_mul(1 << failures.min(16)).min(DELAY_MAX);
    delay + delay.mul_f64(rng.random_range(0.0..0.25))
}
