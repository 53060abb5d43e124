//! Forecast of the trainer version at which samples will be delivered.
//!
//! The staleness of a sample is measured against the trainer's version at delivery, so generation has to know how far
//! the trainer will have advanced by then.

use crate::{
    core::{pace::AHEAD_STEPS_MAX, stream::Row},
    prelude::*,
};

/// Least time assumed until the next pull, since one that is due may arrive at any time.
const UNTIL_PULL_MIN: Duration = Duration::from_secs(1);

impl Row {
    /// Trainer version expected when the batch after this number of steps is delivered; zero steps means the batch that
    /// the trainer waits for.
    pub fn version_after(&self, now: Time, steps: u64) -> Version {
        let current = self.version.max(self.releases.version());
        let Some(later_steps) = steps.checked_sub(1) else {
            return current;
        };
        let step = self.pace.step.unwrap_or_default();
        let later = step.saturating_mul(u32::try_from(later_steps).unwrap_or(u32::MAX));
        let due = now + self.pace.until_pull(now).max(UNTIL_PULL_MIN) + later;
        match self.releases.expected(now, due) {
            Some(expected) => expected.max(current),
            None => current + self.pace.versions(steps),
        }
    }

    /// Whether nearly all samples that start now end before the next pull.
    pub fn has_time(&self, now: Time) -> bool {
        !self.lacks_batch() && self.pace.has_time(now)
    }

    /// Steps ahead for which samples of the newest weights stay within the staleness bound; `None` if they would exceed
    /// it even in the batch that the trainer waits for.
    pub fn steps_within_bound(&self, now: Time, bound: u64) -> Option<u64> {
        let newest = self.capacity.newest.unwrap_or_else(|| self.version_after(now, 0));
        let fits = |steps: &u64| self.version_after(now, *steps) <= newest.saturating_add(bound);
        fits(&0).then(|| (1..=AHEAD_STEPS_MAX).take_while(fits).count() as u64)
    }
}
