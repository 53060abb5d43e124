//! State of the path that calls to the store take: directly, or through other hosts.

use crate::{backoff::doubled, prelude::*};

/// Time without relayed calls after the store refused one through other hosts too; doubles up to the maximum.
const RELAY_BACKOFF: Duration = Duration::from_millis(500);
const RELAY_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Path of calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Path {
    /// Calls go through other hosts.
    relayed: bool,
    /// End of the time without relayed calls.
    backoff_until: Time,
    /// Consecutive refusals of relayed calls.
    refusals: u32,
}

impl Path {
    /// Whether calls go through other hosts first.
    pub fn is_relayed(&self) -> bool {
        self.relayed
    }

    /// Whether a call that was refused directly may be tried through another host.
    pub fn may_relay(&self, now: Time) -> bool {
        now >= self.backoff_until
    }

    /// Records that the store answered a direct call.
    pub fn direct_answered(&mut self) {
        self.relayed = false;
    }

    /// Records that the direct path failed its check.
    pub fn direct_failed(&mut self) {
        self.relayed = true;
    }

    /// Records that the store answered a call through another host after it had refused it directly.
    pub fn relay_answered(&mut self) {
        self.relayed = true;
        self.refusals = 0;
    }

    /// Records that the store answered through no other host either, so the store itself is unavailable.
    pub fn relay_refused(&mut self, now: Time) {
        self.relayed = false;
        self.backoff_until = now + doubled(RELAY_BACKOFF, self.refusals, RELAY_BACKOFF_MAX);
        self.refusals += 1;
    }
}
