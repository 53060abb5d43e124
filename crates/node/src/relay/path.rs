//! Which way calls to the store go.

use crate::prelude::*;

/// Calls in a row without an answer after which the direct way counts as lost.
const SILENT_MAX: u32 = 2;
/// Time without calls through other hosts after the store refused those too; doubles up to the maximum.
const PAUSE: Duration = Duration::from_millis(500);
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// State of the ways to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Path {
    /// Calls go through other hosts.
    relayed: bool,
    silent: u32,
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
        self.silent = 0;
    }

    /// A direct call got no answer.
    pub fn silent(&mut self) {
        self.silent += 1;
        self.relayed |= self.silent >= SILENT_MAX;
    }

    /// The store answered a call through another host after it had refused it directly.
    pub fn relay_answered(&mut self) {
        self.relayed = true;
        self.refusals = 0;
    }

    /// No other host got an answer either, so the store itself is away.
    pub fn relay_refused(&mut self, now: Time) {
        self.relayed = false;
        self.silent = 0;
        self.paused_until = now + PAUSE.saturating_mul(1 << self.refusals.min(8)).min(PAUSE_MAX);
        self.refusals += 1;
    }
}
