//! Targets as they register themselves, and which of them may get work.
//!
//! Registrations that lapse while the store is away come back shortly after its return, so removals that are seen right
//! after an outage are held back for a moment.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::prelude::*;

/// Time after an outage of the store in which a missing registration may still come back.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub id: TargetId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Finishes what it has and leaves; takes no new work.
    pub draining: bool,
    /// Time of its start in Unix milliseconds; an id that starts again has a later one.
    pub started_ms: u64,
    /// Versions of the models on it.
    pub versions: BTreeMap<ModelId, Version>,
}

/// All registered targets.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<TargetId, Arc<Target>>,
    /// Targets whose registration is missing since an outage, with the time at which they count as gone.
    missing: BTreeMap<TargetId, Time>,
    /// End of the time in which removals are held back.
    grace_until: Time,
}

impl Fleet {
    /// Takes a registration.
    pub fn put(&mut self, target: Target) {
        self.missing.remove(&target.id);
        self.targets.insert(target.id.clone(), Arc::new(target));
    }

    /// Takes the end of a registration. Returns whether the target is gone now.
    pub fn remove(&mut self, id: &str, now: Time) -> bool {
        if !self.targets.contains_key(id) {
            return false;
        }
        if now < self.grace_until {
            self.missing.insert(id.into(), self.grace_until);
            return false;
        }
        self.targets.remove(id).is_some()
    }

    /// The store answers again after an outage.
    pub fn store_returned(&mut self, now: Time) {
        self.grace_until = now + RETURN_GRACE;
    }

    /// Drops targets whose registration has not come back. Returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<TargetId> {
        let gone: Vec<TargetId> =
            self.missing.iter().filter(|(_, end)| **end <= now).map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.missing.remove(id);
            self.targets.remove(id);
        }
        gone
    }

    /// Ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// All targets by id.
    pub fn targets(&self) -> &BTreeMap<TargetId, Arc<Target>> {
        &self.targets
    }
}
