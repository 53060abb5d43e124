//! Delays between calls that fail in a row.

use crate::prelude::*;

/// Largest number of doublings, so that the factor fits into its type.
const DOUBLINGS_MAX: u32 = 8;

/// First delay, doubled as often as stated, up to a longest one.
pub fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << times.min(DOUBLINGS_MAX)).min(longest)
}
