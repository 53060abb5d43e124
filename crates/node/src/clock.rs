//! Clocks: boot time, which includes suspension and so is safe for leases, and the time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::{logging, prelude::*};

/// Exit code of a process that cannot read the time since boot, as that of one that cannot start.
const EXIT_CODE: i32 = 1;

/// Time since boot, including suspension. Without it the process ends: leases cannot be judged by any other clock, and
/// a panic would end only the task that asked.
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => {
            log::error!(reason:% = error; "could not read CLOCK_BOOTTIME; the process ends");
            logging::flush();
            std::process::exit(EXIT_CODE);
        }
    }
}

/// Milliseconds of the time of day since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
