//! What a mirror tells the control loop.

use crate::{contact::Outage, prelude::*, store::Change};

/// Update sent by a mirror.
#[derive(Clone, Debug)]
pub enum Update {
    Changed(Change),
    /// The whole prefix was read, as it was at a revision.
    Synced {
        mirror: usize,
        revision: Revision,
    },
    /// What a mirror with upkeep knows of its age. `proven_at` is when the read of the store began that proved it, if this
    /// response contains a proof, and `heard_at` the time up to which it has all changes.
    Known {
        mirror: usize,
        proven_at: Option<Time>,
        heard_at: Time,
    },
    /// The store does not answer.
    StoreUnavailable {
        mirror: usize,
    },
    /// The store answers again after an outage.
    StoreRecovered {
        mirror: usize,
        outage: Outage,
    },
    /// The mirror of a prefix that is read on demand was current at this time.
    Refreshed {
        at: Time,
    },
}
