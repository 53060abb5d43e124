//! Limit on repeated log lines, for events that each caller or host can cause at any rate.

use std::cell::Cell;

use crate::prelude::*;

/// Time between lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// At most one line a second, with how many events it stands for.
#[derive(Debug, Default)]
pub struct LogLimit {
    written_at: Cell<Option<Time>>,
    /// Events since the last line.
    events: Cell<u64>,
}

impl LogLimit {
    /// Counts an event. Returns the events since the last line if another one may be written.
    pub fn count(&self, now: Time) -> Option<u64> {
        self.events.set(self.events.get() + 1);
        if self.written_at.get().is_some_and(|at| now < at + INTERVAL) {
            return None;
        }
        self.written_at.set(Some(now));
        Some(self.events.take())
    }
}
