//! Limit on repeated log lines about usage, which each message of a host could cause.

use crate::prelude::*;

/// Time between lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// At most one line a second, with how many events it stands for.
#[derive(Debug, Default)]
pub struct LogLimit {
    written_at: Option<Time>,
    /// Events since the last line.
    events: u64,
}

impl LogLimit {
    /// Counts an event. Returns the events since the last line if another one may be written.
    pub fn count(&mut self, now: Time) -> Option<u64> {
        self.events += 1;
        if self.written_at.is_some_and(|at| now < at + INTERVAL) {
            return None;
        }
        self.written_at = Some(now);
        Some(std::mem::take(&mut self.events))
    }
}
