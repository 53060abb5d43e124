//! Registered targets.
//!
//! Registrations that expire during an outage of the store come back shortly after it, so the removals that the first answer
//! after an outage tells of are held back for a grace period. Later answers tell of removals that were made after it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{contact::Outage, prelude::*};

/// Grace period after an outage of the store in which a missing registration may still come back.
const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// Departures that are kept, beside those of registered targets.
const DEPARTURES_MAX: usize = 4096;

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
    /// The platform may reclaim it, together with all such targets of its zone.
    pub spot: bool,
    /// Time after this registration at which a draining target ends, if it is known.
    pub leaves_in: Option<Duration>,
}

/// A target's word that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Departure {
    pub target: TargetId,
    /// Start time of the instance that leaves.
    pub started_ms: u64,
}

/// All registered targets.
#[derive(Debug, Default)]
pub struct Fleet {
    targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// Targets whose registration is missing since an outage, with the time at which they are removed.
    missing: BTreeMap<TargetId, Time>,
    /// Last outage, until the first answer after it.
    outage: Option<Outage>,
    /// Begin of the last call that read the registrations.
    refreshed_at: Time,
    /// Targets that have said in an answer that they leave, with the start time of the instance that said so.
    departures: BTreeMap<TargetId, u64>,
}

impl Fleet {
    /// Adds or updates a target, and returns it as it counts from now on.
    pub fn register(&mut self, mut target: Target) -> Arc<Target> {
        self.missing.remove(&target.id);
        match self.departures.get(&target.id) {
            Some(started_ms) if target.started_ms > *started_ms => {
                self.departures.remove(&target.id);
            }
            Some(_) => target.draining = true,
            None => {}
        }
        let target = Arc::new(target);
        Arc::make_mut(&mut self.targets).insert(target.id.clone(), Arc::clone(&target));
        target
    }

    /// Records that a target has said in an answer that it leaves. It counts as draining until another instance
    /// registers, as a registration may be older than the answer. Returns whether that is news.
    pub fn depart(&mut self, departure: &Departure) -> bool {
        let known = self.targets.get(&departure.target);
        let is_other = known.is_some_and(|target| target.started_ms > departure.started_ms);
        let is_known = self.departures.get(&departure.target) >= Some(&departure.started_ms);
        if is_other || is_known {
            return false;
        }
        if let Some(target) = known.filter(|target| !target.draining) {
            let target = Target { draining: true, ..target.as_ref().clone() };
            Arc::make_mut(&mut self.targets).insert(target.id.clone(), Arc::new(target));
        }
        if self.departures.len() >= DEPARTURES_MAX {
            let targets = &self.targets;
            self.departures.retain(|id, _| targets.contains_key(id));
        }
        self.departures.insert(departure.target.clone(), departure.started_ms);
        true
    }

    /// Removes a target, or marks it as missing if its registration may have expired in an outage. Returns whether it was removed.
    pub fn deregister(&mut self, id: &str, now: Time) -> bool {
        if !self.targets.contains_key(id) {
            return false;
        }
        let grace_until = self.outage.map(|outage| outage.ended_at + OUTAGE_GRACE);
        if let Some(grace_until) = grace_until.filter(|until| now < *until) {
            self.missing.entry(id.into()).or_insert(grace_until);
            return false;
        }
        Arc::make_mut(&mut self.targets).remove(id).is_some()
    }

    /// Removes a target at once. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.missing.remove(id);
        self.targets.contains_key(id) && Arc::make_mut(&mut self.targets).remove(id).is_some()
    }

    /// Starts the grace period after an outage, unless the registrations were read since its end. Returns whether that is news.
    pub fn store_recovered(&mut self, outage: &Outage) -> bool {
        let is_later = |known: Outage| outage.ended_at > known.ended_at;
        let is_news = outage.ended_at > self.refreshed_at && self.outage.is_none_or(is_later);
        if is_news {
            self.outage = Some(*outage);
        }
        is_news
    }

    /// Ends the grace period of an outage in which no registration has expired, and removes the targets that are missing since
    /// then. Returns their ids.
    pub fn refute(&mut self, outage: &Outage) -> Vec<TargetId> {
        self.outage.take_if(|known| known.ended_at <= outage.ended_at);
        let grace_until = outage.ended_at + OUTAGE_GRACE;
        self.expire(grace_until)
    }

    /// Records that the registrations were read by a call that began at a time. The removals that are told from now on were made
    /// after it.
    pub fn refreshed(&mut self, at: Time) {
        self.refreshed_at = self.refreshed_at.max(at);
        self.outage.take_if(|outage| at >= outage.ended_at);
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
