//! Prediction of when the next weight versions of a model appear.
//!
//! The staleness of a sample is measured against the trainer's version at its delivery. Another trainer of the model
//! may announce the versions, so the interval between them is estimated from the times at which this host receives
//! them.

use crate::prelude::*;

/// A version may appear earlier than expected by this fraction (1/8) of the interval.
const EARLY_DIVISOR: u32 = 8;

/// Times at which this host received the versions of one model.
#[derive(Debug, Default)]
pub struct Clock {
    version: Version,
    seen_at: Time,
    /// Smoothed time between two versions.
    interval: Option<Duration>,
}

impl Clock {
    /// Records the newest known version.
    pub fn observe(&mut self, now: Time, version: Version) {
        if version <= self.version {
            return;
        }
        if self.version > 0 {
            let count = u32::try_from(version - self.version).unwrap_or(u32::MAX);
            let each = now.saturating_sub(self.seen_at) / count;
            self.interval = Some(self.interval.map_or(each, |old| (old * 3 + each) / 4));
        }
        self.version = version;
        self.seen_at = now;
    }

    /// Newest known version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Version expected at the given time, `None` while the interval is unknown. Only one overdue version is expected.
    pub fn expected(&self, now: Time, at: Time) -> Option<Version> {
        let interval = self.interval.filter(|interval| !interval.is_zero())?;
        if at <= now {
            return Some(self.version);
        }
        let next = (self.seen_at + interval).max(now);
        let latest = at + interval / EARLY_DIVISOR;
        let more = match latest.checked_sub(next) {
            Some(past) => 1 + (past.as_millis() / interval.as_millis().max(1)) as u64,
            None => 0,
        };
        Some(self.version + more)
    }
}
