//! Registered targets.
//!
//! Registrations that expire during an outage of the store come back shortly after it, so removals that arrive right
//! after an outage are held back for a grace period.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::prelude::*;

/// Grace period after an outage of the store in which a missing registration may still come back.
const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub id: TargetId,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Finishes its requests and accepts no new ones.
    pub draining: bool,
    /// Start time in Unix milliseconds; a restart under the same id has a later one.
    pub started_ms: u64,
    pub software: Software,
    /// Versions of the models on it.
    pub versions: BTreeMap<ModelId, Version>,
}

/// All registered targets.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// Targets whose registration is missing since an outage, with the time at which they are removed.
    missing: BTreeMap<TargetId, Time>,
    /// End of the grace period.
    grace_until: Time,
}

impl Fleet {
    /// Adds or updates a target.
    pub fn register(&mut self, target: Target) {
        self.missing.remove(&target.id);
        Arc::make_mut(&mut self.targets).insert(target.id.clone(), Arc::new(target));
    }

    /// Removes a target, or marks it as missing during the grace period. Returns whether it was removed.
    pub fn deregister(&mut self, id: &str, now: Time) -> bool {
        if !self.targets.contains_key(id) {
            return false;
        }
        if now < self.grace_until {
            self.missing.insert(id.into(), self.grace_until);
            return false;
        }
        Arc::make_mut(&mut self.targets).remove(id).is_some()
    }

    /// Starts the grace period, as the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Time) {
        self.grace_until = now + OUTAGE_GRACE;
    }

    /// Removes targets whose registration has not come back. Returns their ids.
    pub fn expire(&mut self, now: Time) -> Vec<TargetId> {
        let expired: Vec<TargetId> =
            self.missing.iter().filter(|(_, end)| **end <= now).map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.missing.remove(id);
            Arc::make_mut(&mut self.targets).remove(id);
        }
        expired
    }

    /// Ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// All targets by id. Shared with other threads, so a change copies the map once.
    pub fn targets(&self) -> &Arc<BTreeMap<TargetId, Arc<Target>>> {
        &self.targets
    }
}
