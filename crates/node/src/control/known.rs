//! What this host knows from the store, and what follows from a change at once.

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

/// What a change asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A trainer ended its job.
    JobEnded { service: ServiceId, job: JobId },
    /// A host leads a service.
    Led { service: ServiceId },
    /// A host is to be emptied.
    Retire { host: HostId },
}

/// State mirrored from the store.
#[derive(Debug)]
pub struct Known {
    /// Newest configuration; an older one never replaces it.
    pub config: Option<Arc<Config>>,
    pub fleet: Fleet,
    /// Heads of jobs, while this host leads a service.
    pub heads: BTreeMap<JobId, Record>,
    /// Revision of each leader's key.
    pub leads: BTreeMap<ServiceId, Revision>,
    /// Newest version that a trainer named, by model.
    pub named: BTreeMap<ModelId, Version>,
    /// Something that other threads or roles go by has changed.
    pub changed: bool,
    /// Mirrors that were read whole.
    synced: Vec<bool>,
}

impl Known {
    /// Nothing is known yet; so many mirrors have to be read whole first.
    pub fn new(mirrors: usize) -> Self {
        Self {
            config: None,
            fleet: Fleet::default(),
            heads: BTreeMap::new(),
            leads: BTreeMap::new(),
            named: BTreeMap::new(),
            changed: false,
            synced: vec![false; mirrors],
        }
    }

    /// Whether all that a host needs was read.
    pub fn is_synced(&self) -> bool {
        self.synced.iter().all(|synced| *synced)
    }

    /// Takes what a mirror tells.
    pub fn update(&mut self, update: Update, dialect: &dyn Dialect) -> Option<Effect> {
        match update {
            Update::Changed(change) => return self.change(&change, dialect),
            Update::Synced { mirror } => {
                if let Some(synced) = self.synced.get_mut(mirror) {
                    *synced = true;
                    self.changed = true;
                }
            }
            Update::Lost { .. } | Update::Current { .. } => {}
            Update::Regained { .. } => self.fleet.store_returned(clock::now()),
        }
        None
    }

    fn change(&mut self, change: &Change, dialect: &dyn Dialect) -> Option<Effect> {
        let key = match change {
            Change::Put(entry) => &entry.key,
            Change::Removed { key, .. } => key,
        };
        match Key::parse(key) {
            Some(Key::Head(id)) => self.head(id, change),
            Some(Key::Lead(service)) => self.lead(service, change),
            None => match dialect.decode_change(change) {
                Ok(fact) => self.fact(fact),
                Err(error) => {
                    warn!(key = &**key, reason:% = error; "entry skipped");
                    None
                }
            },
        }
    }

    fn head(&mut self, id: JobId, change: &Change) -> Option<Effect> {
        let Change::Put(entry) = change else {
            self.heads.remove(&id);
            return None;
        };
        match serde_json::from_slice::<Record>(&entry.value) {
            Ok(record) => {
                let service = record.service.clone();
                let ended = record.ended;
                self.heads.insert(id.clone(), record);
                ended.then_some(Effect::JobEnded { service, job: id })
            }
            Err(error) => {
                warn!(job = &*id, reason:% = error; "head of a job skipped");
                None
            }
        }
    }

    fn lead(&mut self, service: ServiceId, change: &Change) -> Option<Effect> {
        self.changed = true;
        match change {
            Change::Put(entry) => {
                self.leads.insert(service.clone(), entry.revision);
                Some(Effect::Led { service })
            }
            Change::Removed { .. } => {
                self.leads.remove(&service);
                None
            }
        }
    }

    fn fact(&mut self, fact: PlatformChange) -> Option<Effect> {
        self.changed = true;
        match fact {
            PlatformChange::Config(config) => {
                if self.config.as_ref().is_none_or(|held| held.version < config.version) {
                    info!(version = config.version; "configuration in force");
                    self.config = Some(config);
                }
            }
            PlatformChange::Target(target) => {
                info!(target_id = &*target.id, service = &*target.service, draining = target.draining, born = target.started_ms, versions:? = target.versions; "target registered");
                self.fleet.put(target);
            }
            PlatformChange::TargetRemoved(id) => {
                let gone = self.fleet.remove(&id, clock::now());
                info!(target_id = &*id, held_back = !gone; "target's registration is gone");
            }
            PlatformChange::Version { model, version } => {
                info!(model = &*model, version; "version named");
                let named = self.named.entry(model).or_default();
                *named = version.max(*named);
            }
            PlatformChange::Retire { host } => return Some(Effect::Retire { host }),
            PlatformChange::Ignored => {}
        }
        None
    }
}
