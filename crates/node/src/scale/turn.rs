//! When a new leader may begin to order targets.
//!
//! Two hosts must not take turns as the holder of a duty within an interval. A host that has ordered targets, in this
//! process or maybe in an earlier one, therefore waits that long after it has acquired the leadership again, as another host
//! may have ordered targets in between. A host that cannot have ordered any begins at once.

use crate::prelude::*;

/// Turns of this host as the one that orders the targets of a service.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Time of the last call, or the start of the process, before which an earlier one may have called.
    called_at: Time,
    has_called: bool,
    begins_at: Time,
}

impl Turn {
    pub fn new(process_started: Time) -> Self {
        Self { called_at: process_started, has_called: false, begins_at: Time::MAX }
    }

    /// Records that this host has acquired the leadership.
    pub fn acquired(&mut self, now: Time, interval: Duration) {
        let may_alternate = self.has_called || now < self.called_at + interval;
        self.begins_at = if may_alternate { now + interval } else { now };
    }

    /// Whether this host may call under the leadership that it acquired last.
    pub fn may_call(&self, now: Time) -> bool {
        now >= self.begins_at
    }

    /// Records that a call was sent or has ended.
    pub fn called(&mut self, now: Time) {
        (self.called_at, self.has_called) = (self.called_at.max(now), true);
    }
}
