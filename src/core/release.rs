//! When the versions of a model appear. Samples are made for the version by which they will be judged, and the trainer
//! that they are for need not be the one that makes the versions.

use crate::prelude::*;

/// A version may come earlier than expected by this part of the interval.
const EARLY_PART: u32 = 8;

/// Versions of one model as this host hears of them.
#[derive(Debug, Default)]
pub struct Clock {
    version: Version,
    at: Time,
    /// Time between two versions, smoothed.
    interval: Option<Duration>,
}

impl Clock {
    /// Takes note of the newest version known.
    pub fn observe(&mut self, now: Time, version: Version) {
        if version <= self.version {
            return;
        }
        if self.version > 0 {
            let count = u32::try_from(version - self.version).unwrap_or(u32::MAX);
            let each = now.saturating_sub(self.at) / count;
            self.interval = Some(self.interval.map_or(each, |old| (old * 3 + each) / 4));
        }
        self.version = version;
        self.at = now;
    }

    /// Newest version known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Version expected at a time, `None` as long as the interval is not known. A version that is overdue is expected
    /// at any moment, but only one.
    pub fn expected(&self, now: Time, at: Time) -> Option<Version> {
        let interval = self.interval.filter(|interval| !interval.is_zero())?;
        if at <= now {
            return Some(self.version);
        }
        let next = (self.at + interval).max(now);
        let latest = at + interval / EARLY_PART;
        let more = match latest.checked_sub(next) {
            Some(past) => 1 + (past.as_millis() / interval.as_millis().max(1)) as u64,
            None => 0,
        };
        Some(self.version + more)
    }
}
