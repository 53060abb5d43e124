//! Backoff between retries.

use rand::Rng;

use crate::prelude::*;

const DELAY_MIN: Duration = Duration::from_millis(250);
/// Longest pause between two tries.
pub const DELAY_MAX: Duration = Duration::from_secs(30);

/// Pause after this many earlier failures: doubling, with up to a quarter of jitter.
pub fn delay(rng: &mut impl Rng, failures: u32) -> Duration {
    let pause = DELAY_MIN.saturating_mul(1 << failures.min(16)).min(DELAY_MAX);
    pause + pause.mul_f64(rng.random_range(0.0..0.25))
}
