//! Expected slot time of items.
//!
//! Lengths are estimated by trainers and may be out of all range. Each effort is limited to a year, and sums stay within
//! that, so that no further sum with a time overflows.

use std::{iter::Sum, ops::Add};

use crate::prelude::*;

/// Largest effort; no item is ever due that late.
const MAX: Duration = Duration::from_secs(365 * 24 * 3600);

/// Expected time for which items take a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Effort(Duration);

impl Effort {
    /// Effort for a number of events, with a time for each.
    pub fn new(pace: Duration, events: f64) -> Self {
        let seconds = pace.as_secs_f64() * events;
        // Not a number is no effort, as no events are known.
        if seconds.is_nan() || seconds <= 0.0 {
            return Self::default();
        }
        Duration::try_from_secs_f64(seconds).map_or(Self(MAX), Self::from)
    }

    /// Time in one slot.
    pub fn time(self) -> Duration {
        self.0
    }

    /// Time in a number of slots.
    pub fn in_slots(self, slots: f64) -> Duration {
        self.0.div_f64(slots.max(1.0))
    }
}

impl From<Duration> for Effort {
    fn from(time: Duration) -> Self {
        Self(time.min(MAX))
    }
}

impl Add for Effort {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::from(self.0.saturating_add(other.0))
    }
}

impl Sum for Effort {
    fn sum<I: Iterator<Item = Self>>(efforts: I) -> Self {
        efforts.fold(Self::default(), Self::add)
    }
}
