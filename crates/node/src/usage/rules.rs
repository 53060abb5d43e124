//! Rules that the holder of the duty follows.

use crate::{prelude::*, usage::Windows};

/// Part of the permitted rate of calls that this duty uses.
const RATE_SHARE: f64 = 0.5;

/// Settings of the duty.
#[derive(Clone, Debug)]
pub struct Rules {
    pub host: HostId,
    pub windows: Windows,
    /// Time after the end of a window within which its report is due.
    pub deadline: Duration,
    /// Time within which holders must not take turns.
    pub turn_interval: Duration,
    pub calls_per_s: f64,
    /// Largest value of the store.
    pub value_bytes: usize,
}

impl Rules {
    /// Age after the end of its window at which a report is not sent any more.
    pub const REPORT_AGE_MAX: Duration = Duration::from_secs(60);

    /// Shortest time between calls.
    pub fn call_interval(&self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / (self.calls_per_s * RATE_SHARE));
        interval.map_or(Self::REPORT_AGE_MAX, |interval| interval.min(Self::REPORT_AGE_MAX))
    }
}
