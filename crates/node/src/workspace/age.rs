//! Age of what a host knows of the configuration, and the bounds on it.
//!
//! A watch that waits shows nothing, so only a read proves that the configuration is the present one. Where keys have to be
//! revoked within a bound on all hosts, the configuration is therefore renewed at intervals, and a host that cannot renew it
//! stops admitting callers before the bound. Elsewhere the configuration is not read again. A watch that was answered has shown
//! the changes up to its beginning, so with workspaces watches wait for less than the time within which a configuration is in
//! force, and a host whose watch hangs calls no key unknown.

use crate::prelude::*;

/// Share of the bound on revocation up to which a configuration admits callers. The rest is for the time between the admission
/// of a request and its run.
const ADMISSION_SHARE: f64 = 0.8;
/// Renewals within the bound. A host that is cut off for 0.6 of the bound still has to serve, so the configuration may be a
/// fifth of the bound old at the beginning, with the time until the reader of a zone has passed a renewal on.
const RENEWALS_PER_BOUND: u32 = 6;
/// Longest waits of watches within the time for a new configuration. A host that asks the reader of its zone adds up two waits of
/// the reader, one of its own and the intervals between them.
const WATCHES_PER_DEADLINE: u32 = 6;

/// What a host knows of the age of its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Time at which the configuration was certainly the present one.
    pub proven_at: Option<Time>,
    /// Time up to which all its changes have been heard of.
    pub heard_at: Option<Time>,
}

/// What keeps the age of a configuration within its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upkeep {
    /// Reads at this interval.
    Renewal(Duration),
    /// Watches that wait no longer than this.
    Watches(Duration),
}

/// Bounds on the age of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time within which a new configuration is in force on hosts in contact.
    pub apply: Duration,
    /// Time after the removal of a key from which it is valid on no host, if revocation is strict.
    pub strict: Option<Duration>,
}

impl Bounds {
    /// Age of a configuration at a time.
    pub fn age(&self, knowledge: Knowledge, now: Time) -> Duration {
        let Knowledge { proven_at, heard_at } = knowledge;
        let known_at = if self.strict.is_some() { proven_at } else { proven_at.max(heard_at) };
        known_at.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    /// Whether a configuration of an age admits callers with a key.
    pub fn admits(&self, age: Duration) -> bool {
        self.strict.is_none_or(|bound| age < bound.mul_f64(ADMISSION_SHARE))
    }

    /// Whether a key that a configuration of an age does not have is unknown. It may else be a new one.
    pub fn is_current(&self, age: Duration) -> bool {
        age <= self.apply
    }

    /// What keeps a configuration with workspaces within the bounds.
    pub fn upkeep(&self) -> Upkeep {
        match self.strict {
            Some(bound) => Upkeep::Renewal(bound / RENEWALS_PER_BOUND),
            None => Upkeep::Watches(self.apply / WATCHES_PER_DEADLINE),
        }
    }
}
