//! Which way calls to the store go.

use crate::prelude::*;

/// Time without calls through other hosts after the store refused those too; doubles up to the maximum.
const PAUSE: Duration = Duration::from_millis(500);
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// State of the ways to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Path {
    /// Calls go through other hosts.
    relayed: bool,
    paused_until: Time,
    /// Refusals through other hosts in a row.
    refusals: u32,
}

impl Path {
    /// Whether calls go through other hosts first.
    pub fn is_relayed(&self) -> bool {
        self.relayed
    }

    /// Whether a call that was refused directly may be tried through another host.
    pub fn may_relay(&self, now: Time) -> bool {
        now >= self.paused_until
    }

    /// The store answered a direct call.
    pub fn answered(&mut self) {
        self.relayed = false;
    }

    /// The direct way does not work.
    pub fn lost(&mut self) {
        self.relayed = true;
    }

    /// The store answered a call through another host after it had refused it directly.
    pub fn relay_answered(&mut self) {
        self.relayed = true;
        self.refusals = 0;
    }

    /// No other host got an answer either, so the store itself is away.
    pub fn relay_refused(&mut self, now: Time) {
        self.relayed = false;
        self.paused_until = now + PAUSE.saturating_mul(1 << self.refusals.min(8)).min(PAUSE_MAX);
        self.refusals += 1;
    }
}
