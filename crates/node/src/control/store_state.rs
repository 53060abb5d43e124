//! State mirrored from the store, and the immediate effects of its changes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use log::{Level, info, warn};

use crate::{
    clock,
    config::Config,
    control::update::Update,
    dialect::{Dialect, PlatformChange},
    fleet::Fleet,
    holder::Holder,
    job::{Key, Record},
    prelude::*,
    store::Change,
    term, usage,
    workspace::Knowledge,
};

/// Index of the mirror of the leader keys.
pub(super) const LEADERS_MIRROR: usize = 0;

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

/// Head of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub record: Record,
    /// Revision of its last change.
    pub revision: Revision,
}

/// Key of a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderEntry {
    pub revision: Revision,
    /// Address for requests of other hosts.
    pub peer: Option<SocketAddr>,
}

impl LeaderEntry {
    /// Key after a change; `None` if it was removed.
    fn of(change: &Change) -> Option<Self> {
        let Change::Put(entry) = change else {
            return None;
        };
        let peer = Holder::decode(&entry.value).and_then(|holder| holder.peer);
        Some(Self { revision: entry.revision, peer })
    }
}

/// State mirrored from the store.
#[derive(Debug)]
pub struct StoreState {
    /// Newest configuration; an older one never replaces it.
    pub config: Option<Arc<Config>>,
    /// Up to when the configuration is known.
    pub knowledge: Knowledge,
    /// The knowledge has to be published.
    pub knowledge_changed: bool,
    pub fleet: Fleet,
    /// Heads of jobs, followed only while this host leads a service.
    pub job_heads: BTreeMap<JobId, Head>,
    /// A head was added or changed.
    pub heads_changed: bool,
    /// Leader key of each service.
    pub leader_keys: BTreeMap<ServiceId, LeaderEntry>,
    /// Terms that are over, by the leader keys among others.
    terms: Arc<term::Table>,
    /// Host that reads for this host's zone.
    pub reader: Option<LeaderEntry>,
    /// Host that holds the duty of usage reports.
    pub usage_holder: Option<LeaderEntry>,
    /// Addresses of the hosts that read for their zones.
    pub reader_addresses: Arc<BTreeMap<ZoneId, SocketAddr>>,
    /// Addresses of the leaders, from their keys.
    pub leader_addresses: Arc<BTreeMap<ServiceId, SocketAddr>>,
    /// Newest version that a trainer requested, by model.
    pub requested: BTreeMap<ModelId, Version>,
    /// State that is published to other threads, elections or leaders has changed.
    pub changed: bool,
    zone: ZoneId,
    /// Whether each mirror has completed its first read.
    synced: Vec<bool>,
}

impl StoreState {
    /// Empty state of a host in a zone. It counts as synced after the first read of `mirrors` mirrors.
    pub fn new(mirrors: usize, zone: ZoneId, terms: Arc<term::Table>) -> Self {
        Self {
            config: None,
            knowledge: Knowledge::default(),
            knowledge_changed: false,
            fleet: Fleet::default(),
            job_heads: BTreeMap::new(),
            heads_changed: false,
            leader_keys: BTreeMap::new(),
            terms,
            reader: None,
            usage_holder: None,
            zone,
            reader_addresses: Arc::default(),
            leader_addresses: Arc::default(),
            requested: BTreeMap::new(),
            changed: false,
            synced: vec![false; mirrors],
        }
    }

    /// Whether a mirror has completed its first read.
    pub fn is_mirror_synced(&self, mirror: usize) -> bool {
        self.synced.get(mirror).copied().unwrap_or_default()
    }

    /// Whether every mirror has completed its first read.
    pub fn is_synced(&self) -> bool {
        self.synced.iter().all(|synced| *synced)
    }

    /// Applies an update of a mirror.
    pub fn apply(&mut self, update: Update, dialect: &dyn Dialect) -> Option<Effect> {
        match update {
            Update::Changed(change) => return self.apply_change(&change, dialect),
            Update::Synced { mirror, revision } => {
                if mirror == LEADERS_MIRROR {
                    self.terms.read_at(revision);
                }
                if let Some(synced) = self.synced.get_mut(mirror) {
                    *synced = true;
                    self.changed = true;
                }
            }
            Update::Known { proven_at, heard_at, .. } => {
                let proven_at = proven_at.max(self.knowledge.proven_at);
                let heard_at = Some(heard_at).max(self.knowledge.heard_at);
                self.set_knowledge(Knowledge { proven_at, heard_at });
            }
            Update::StoreUnavailable { .. } | Update::StoreRecovered { .. } => {}
            Update::Refreshed { at } => self.fleet.refreshed(at),
        }
        None
    }

    fn set_knowledge(&mut self, knowledge: Knowledge) {
        // Without workspaces nothing depends on it; a configuration that adds them is published with it.
        let has_workspaces = self.config.as_ref().is_some_and(|config| config.has_workspaces());
        self.knowledge_changed |= has_workspaces && self.knowledge != knowledge;
        self.knowledge = knowledge;
    }

    fn apply_change(&mut self, change: &Change, dialect: &dyn Dialect) -> Option<Effect> {
        let key = match change {
            Change::Put(entry) => &entry.key,
            Change::Removed { key, .. } => key,
        };
        match Key::parse(key) {
            Some(Key::Head(id)) => self.apply_head(id, change),
            Some(Key::Leader(service)) => self.apply_leader_key(service, change),
            Some(Key::Reader(zone)) => {
                self.apply_reader_key(zone, LeaderEntry::of(change));
                None
            }
            Some(Key::Duty(duty)) => {
                if &*duty == usage::DUTY {
                    self.usage_holder = LeaderEntry::of(change);
                    self.changed = true;
                }
                None
            }
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
                let (service, ended) = (record.service.clone(), record.ended);
                self.put_head(id.clone(), Head { record, revision: entry.revision });
                ended.then_some(Effect::JobEnded { service, job: id })
            }
            Err(error) => {
                warn!(job = &*id, reason:% = error; "head of a job ignored");
                None
            }
        }
    }

    /// Adds a head, unless a newer one is known.
    pub fn put_head(&mut self, id: JobId, head: Head) {
        let known = self.job_heads.get(&id).map_or(0, |known| known.revision);
        if head.revision >= known {
            self.job_heads.insert(id, head);
            self.heads_changed = true;
        }
    }

    fn apply_leader_key(&mut self, service: ServiceId, change: &Change) -> Option<Effect> {
        self.changed = true;
        match change {
            Change::Put(_) => {
                if let Some(leader) = LeaderEntry::of(change) {
                    self.terms.begin(&service, leader.revision);
                    self.leader_keys.insert(service.clone(), leader);
                }
                self.update_leader_addresses();
                Some(Effect::LeaderElected { service })
            }
            Change::Removed { revision, .. } => {
                self.terms.end(&service, *revision);
                self.leader_keys.remove(&service);
                self.update_leader_addresses();
                None
            }
        }
    }

    fn apply_reader_key(&mut self, zone: ZoneId, reader: Option<LeaderEntry>) {
        self.changed = true;
        let addresses = Arc::make_mut(&mut self.reader_addresses);
        match reader.as_ref().and_then(|reader| reader.peer) {
            Some(address) => addresses.insert(zone.clone(), address),
            None => addresses.remove(&zone),
        };
        if zone == self.zone {
            self.reader = reader;
        }
    }

    fn update_leader_addresses(&mut self) {
        let addresses = self.leader_keys.iter();
        let addresses = addresses.filter_map(|(service, key)| Some((service.clone(), key.peer?)));
        self.leader_addresses = Arc::new(addresses.collect());
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
                // Versions change with each load; only what decides about requests is logged by default.
                let known = self.fleet.targets().get(&target.id).cloned();
                let target = self.fleet.register(target);
                let is_news = known.is_none_or(|known| {
                    known.draining != target.draining
                        || known.started_ms != target.started_ms
                        || known.software != target.software
                });
                let level = if is_news { Level::Info } else { Level::Debug };
                log::log!(level, target_id = &*target.id, service = &*target.service, draining = target.draining, born = target.started_ms, software = &*target.software, versions:? = target.versions; "target registered");
            }
            PlatformChange::TargetRemoved(id) => {
                let removed = self.fleet.deregister(&id, clock::now());
                info!(target_id = &*id, held_back = !removed; "target deregistered");
            }
            PlatformChange::TargetUnusable { id, reason } => {
                let removed = self.fleet.remove(&id);
                warn!(target_id = &*id, removed, reason:% = reason; "registration names no target to use");
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
