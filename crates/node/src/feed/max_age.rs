//! Bound on the age of a prefix that is followed.
//!
//! A watch whose answer is lost looks like one that waits: the connection stays open and returns nothing further. So what
//! is known of a prefix gets older while a watch waits, and each prefix has a bound on that age, given by the rule that
//! depends on it.

use crate::prelude::*;

/// Wait of a watch, as a share of the bound. What a reader knows is up to two waits old.
const WATCH_SHARE: f64 = 0.3;
/// Interval between two checks with another reader, as a share of the bound. It adds to the age of what that reader knows.
const CHECK_SHARE: f64 = 0.2;

/// Largest age of what a host may act on without another look at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MaxAge(Duration);

impl MaxAge {
    /// No rule depends on the age.
    pub const UNBOUNDED: Self = Self(Duration::MAX);

    pub const fn new(age: Duration) -> Self {
        Self(age)
    }

    /// Whether an age is within the bound.
    pub fn admits(self, age: Duration) -> bool {
        age <= self.0
    }

    /// Longest wait of a watch that nothing else checks.
    pub fn watch_wait(self) -> Duration {
        self.0.mul_f64(WATCH_SHARE)
    }

    /// Interval between checks of a longer watch.
    pub fn check_interval(self) -> Duration {
        self.0.mul_f64(CHECK_SHARE)
    }
}
