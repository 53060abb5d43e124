//! Highest value of the recent past.

use std::collections::VecDeque;

use crate::prelude::*;

/// Sliding maximum of a value that is observed repeatedly.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// Falling values with the time at which each was last observed.
    values: VecDeque<(Time, u32)>,
}

impl Peak {
    /// Adds a value, and forgets those older than `memory`.
    pub fn observe(&mut self, now: Time, value: u32, memory: Duration) {
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.front().is_some_and(|(at, _)| *at + memory < now) {
            self.values.pop_front();
        }
    }

    /// Highest value observed within the last `time`.
    pub fn over(&self, now: Time, time: Duration) -> u32 {
        let recent = self.values.iter().find(|(at, _)| *at + time >= now);
        recent.or(self.values.back()).map_or(0, |(_, value)| *value)
    }
}
