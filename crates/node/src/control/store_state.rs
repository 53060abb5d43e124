//! State mirrored from the store, and the immediate effects of its changes.

use std::{collections::BTreeMap, sync::Arc};

use log::{info, warn};

use crate::{
    clock,
    config::Config,
    control::mirror::Update,
    dialect::{Dialect, PlatformChange},
    fleet::Fleet,
    job::{Key, Record},
    prelude::*,
    store::Change,
};

/// Effect of a change on the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A trainer ended its job.
    JobEnded { service: ServiceId, job: JobId },
    /// A host has acquired the leadership of a service.
    LeaderElected { service: ServiceId },
    /// An operator retires a host.
    RetireHost { host: HostId },
}

/// State mirrored from the store.
#[derive(Debug)]
pub struct StoreState {
    /// Newest configuration; an older one never replaces it.
    pub config: Option<Arc<Config>>,
    pub fleet: Fleet,
    /// Heads of jobs, followed only while this host leads a service.
    pub job_heads: BTreeMap<JobId, Record>,
    /// Revision of each service's leader key.
    pub leader_keys: BTreeMap<ServiceId, Revision>,
    /// Newest version that a trainer requested, by model.
    pub requested: BTreeMap<ModelId, Version>,
    /// State that is published to other threads, elections or leaders has changed.
    pub changed: bool,
    /// Whether each mirror has completed its first read.
    synced: Vec<bool>,
}

impl StoreState {
    /// Empty state that counts as synced after the first read of `mirrors` mirrors.
    pub fn new(mirrors: usize) -> Self {
        Self {
            config: None,
            fleet: Fleet::default(),
            job_heads: BTreeMap::new(),
            leader_keys: BTreeMap::new(),
            requested: BTreeMap::new(),
            changed: false,
            synced: vec![false; mirrors],
        }
    }

    /// Whether every mirror has completed its first read.
    pub fn is_synced(&self) -> bool {
        self.synced.iter().all(|synced| *synced)
    }

    /// Applies an update of a mirror.
    pub fn apply(&mut self, update: Update, dialect: &dyn Dialect) -> Option<Effect> {
        match update {
            Update::Changed(change) => return self.apply_change(&change, dialect),
            Update::Synced { mirror } => {
                if let Some(synced) = self.synced.get_mut(mirror) {
                    *synced = true;
                    self.changed = true;
                }
            }
            Update::StoreUnavailable { .. } | Update::Refreshed { .. } => {}
            Update::StoreRecovered { .. } => self.fleet.store_recovered(clock::now()),
        }
        None
    }

    fn apply_change(&mut self, change: &Change, dialect: &dyn Dialect) -> Option<Effect> {
        let key = match change {
            Change::Put(entry) => &entry.key,
            Change::Removed { key, .. } => key,
        };
        match Key::parse(key) {
            Some(Key::Head(id)) => self.apply_head(id, change),
            Some(Key::Leader(service)) => self.apply_leader_key(service, change),
            None => match dialect.decode_change(change) {
                Ok(change) => self.apply_platform_change(change),
                Err(error) => {
                    warn!(key = &**key, reason:% = error; "entry of the store ignored");
                    None
                }
            },
        }
    }

    fn apply_head(&mut self, id: JobId, change: &Change) -> Option<Effect> {
        let Change::Put(entry) = change else {
            self.job_heads.remove(&id);
            return None;
        };
        match serde_json::from_slice::<Record>(&entry.value) {
            Ok(record) => {
                let service = record.service.clone();
                let ended = record.ended;
                self.job_heads.insert(id.clone(), record);
                ended.then_some(Effect::JobEnded { service, job: id })
            }
            Err(error) => {
                warn!(job = &*id, reason:% = error; "head of a job ignored");
                None
            }
        }
    }

    fn apply_leader_key(&mut self, service: ServiceId, change: &Change) -> Option<Effect> {
        self.changed = true;
        match change {
            Change::Put(entry) => {
                self.leader_keys.insert(service.clone(), entry.revision);
                Some(Effect::LeaderElected { service })
            }
            Change::Removed { .. } => {
                self.leader_keys.remove(&service);
                None
            }
        }
    }

    fn apply_platform_change(&mut self, change: PlatformChange) -> Option<Effect> {
        self.changed = true;
        match change {
            PlatformChange::Config(config) => {
                if self.config.as_ref().is_none_or(|current| current.version < config.version) {
                    info!(version = config.version; "configuration in force");
                    self.config = Some(config);
                }
            }
            PlatformChange::Target(target) => {
                info!(target_id = &*target.id, service = &*target.service, draining = target.draining, born = target.started_ms, versions:? = target.versions; "target registered");
                self.fleet.register(target);
            }
            PlatformChange::TargetRemoved(id) => {
                let removed = self.fleet.deregister(&id, clock::now());
                info!(target_id = &*id, held_back = !removed; "target deregistered");
            }
            PlatformChange::Version { model, version } => {
                info!(model = &*model, version; "version requested");
                let requested = self.requested.entry(model).or_default();
                *requested = version.max(*requested);
            }
            PlatformChange::Retire { host } => return Some(Effect::RetireHost { host }),
            PlatformChange::Ignored => {}
        }
        None
    }
}
