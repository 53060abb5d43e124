//! Clocks: boot time, which includes suspension and so is safe for leases, and the time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::prelude::*;

/// Time since boot, including suspension.
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(_) => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    }
}

/// Milliseconds of the time of day since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
