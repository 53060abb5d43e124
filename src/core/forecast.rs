//! Versions by which a stream's samples will be judged.

use crate::{
    core::{pace::AHEAD_STEPS_MAX, stream::Row},
    prelude::*,
};

/// A pull that is due may come at any moment.
const DUE_MIN: Duration = Duration::from_secs(1);

impl Row {
    /// Version expected when the batch is judged that is due after a number of steps, zero for one that is awaited.
    pub fn version_after(&self, now: Time, steps: u64) -> Version {
        let current = self.version.max(self.releases.version());
        let Some(later) = steps.checked_sub(1) else {
            return current;
        };
        let step = self.pace.step.unwrap_or_default();
        let later = step.saturating_mul(u32::try_from(later).unwrap_or(u32::MAX));
        let due = now + self.pace.until_pull(now).max(DUE_MIN) + later;
        match self.releases.expected(now, due) {
            Some(expected) => expected.max(current),
            None => current + self.pace.versions(steps),
        }
    }

    /// Whether samples that start a little later are still in time for the next pull.
    pub fn has_time(&self, now: Time) -> bool {
        !self.awaited() && self.pace.has_time(now)
    }

    /// Steps ahead for which samples made by the newest engines stay within the bound; `None` if even those of an
    /// awaited batch would not.
    pub fn allowed(&self, now: Time, bound: u64) -> Option<u64> {
        let newest = self.capacity.newest.unwrap_or_else(|| self.version_after(now, 0));
        let fits = |steps: &u64| self.version_after(now, *steps) <= newest.saturating_add(bound);
        fits(&0).then(|| (1..=AHEAD_STEPS_MAX).take_while(fits).count() as u64)
    }
}
