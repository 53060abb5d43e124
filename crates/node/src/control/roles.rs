//! Roles of this host: leader of services, and reader of its zone.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use tokio::sync::watch;

use crate::{
    clock,
    control::{
        election::{Election, LeaderKey, Leadership},
        leader::Leader,
        mirror::Mirror,
        schedule::Schedule,
        state::{Control, WATCH_INTERVAL},
        store_state::{LEADERS_MIRROR, LeaderEntry},
    },
    dialect::Subject,
    feed::{self, MaxAge},
    holder::Holder,
    job,
    metrics::METERS,
    prelude::*,
    traffic::Command,
};

/// Lease of a reader in leases of a leader: other hosts do without a reader, so a slow succession costs little.
const READER_LEASE_FACTOR: u32 = 2;
const READER_RENEWALS_PER_LEASE: u32 = 4;
/// Bound on the age of requested versions: without the newest one, items of its first step are at no engine.
const VERSIONS_MAX_AGE: MaxAge = MaxAge::new(Duration::from_secs(6));
/// Bound on the age of the heads of jobs. A job that a trainer has ended may run for three seconds more.
const HEADS_MAX_AGE: MaxAge = MaxAge::new(Duration::from_secs(4));
/// Minimum interval between watches of the registered hosts.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    pub(super) fn set_leadership(&mut self, service: &ServiceId, leadership: Leadership) {
        if *service == feed::reader_name(&self.settings.zone) {
            self.set_reading(leadership.fence.is_some());
            let until = leadership.fence.map_or(Time::ZERO, |_| leadership.exclusive_until);
            let renewed = Command::LeadershipRenewed { service: service.clone(), until };
            self.outbox.send(service, vec![renewed]);
            return;
        }
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let before = std::mem::replace(&mut leader.leadership, leadership);
        if let Some(fence) = leadership.fence {
            self.terms.begin(service, fence);
        }
        METERS.leads(service, leadership.fence.is_some());
        if leadership.fence.is_none() {
            self.scaling.lost(service);
        }
        let (acquired, has_leader) =
            (leadership.fence.is_some(), self.store_state.leader_keys.contains_key(service));
        if before.fence != leadership.fence && (acquired || has_leader) {
            // Another host leads or may have led in between, so a job's rows are read again before it continues.
            let stops = leader.drop_jobs(clock::now());
            self.outbox.send(service, stops);
            // The runners learn of a new fencing token by new connections.
            self.outbox.disconnect_all(service);
            leader.clear_runners();
        }
        let mut commands = Vec::new();
        if before.fence != leadership.fence {
            self.resigning.remove(service);
            commands.push(Command::JobsClosed { service: service.clone() });
            self.store_state.heads_changed = true;
            if acquired {
                for (target, news) in self.limits.all() {
                    leader.set_limit(&target, news.limit, clock::now());
                }
                self.runners_due = true;
                self.peers.request_refresh();
            }
        }
        let until = if acquired { leadership.exclusive_until } else { Time::ZERO };
        commands.push(Command::LeadershipRenewed { service: service.clone(), until });
        self.outbox.send(service, commands);
        self.update_leader_mirrors();
        if let Some(fence) = leadership.fence.filter(|_| before.fence != leadership.fence) {
            self.ask_for_failures(service, fence);
        }
    }

    /// Starts or stops to read for the zone.
    fn set_reading(&mut self, reading: bool) {
        if reading == self.hosts_mirror.is_some() {
            return;
        }
        self.feed.set_serving(reading);
        if let Some(mirror) = self.hosts_mirror.take() {
            mirror.abort();
        } else {
            let mirror = Mirror::new(
                usize::MAX,
                job::HOSTS,
                Schedule::Follow { interval: HOSTS_INTERVAL, max_age: MaxAge::UNBOUNDED },
            );
            let follow = mirror.follow(
                Rc::clone(&self.direct),
                Arc::clone(&self.feed),
                self.updates.clone(),
            );
            self.hosts_mirror = Some(tokio::task::spawn_local(follow));
        }
    }

    /// Competes to read for the zone, if this host can serve others.
    pub(super) fn join_reader_election(&self) {
        if self.settings.peer.is_none() {
            return;
        }
        let ttl = Election::ttl(self.settings.lease_min) * READER_LEASE_FACTOR;
        let service = feed::reader_name(&self.settings.zone);
        let interval = ttl / READER_RENEWALS_PER_LEASE;
        // A reader needs no links to targets, so it is never asked to release its role.
        let (_, released) = watch::channel(Revision::default());
        self.compete(service, ttl, interval, (self.reader_key.subscribe(), released));
    }

    /// Starts the election of a service or of the zone's reader.
    fn compete(
        &self,
        service: ServiceId,
        ttl: Duration,
        renewal_interval: Duration,
        (leader_key, released): (watch::Receiver<LeaderKey>, watch::Receiver<Revision>),
    ) {
        let election = Election {
            service,
            holder: Holder { host: self.settings.host.clone(), peer: self.settings.peer },
            ttl,
            renewal_interval,
            delay: Election::delay(self.settings.cpu_share),
            store: Rc::clone(&self.store),
            leader_key,
            leaderships: self.leaderships.clone(),
            stopping: self.step_down.subscribe(),
            released,
            not_before: watch::channel(Time::ZERO).1,
            links: Arc::clone(&self.links),
        };
        tokio::task::spawn_local(election.run());
    }

    /// Tells the elections and the source of this host's mirrors about the leader keys.
    pub(super) fn update_leader_keys(&mut self) {
        if !self.store_state.is_mirror_synced(LEADERS_MIRROR) {
            return;
        }
        let state = |key: Option<&LeaderEntry>| {
            key.map_or(LeaderKey::Absent, |key| LeaderKey::Present(key.revision))
        };
        for (service, sender) in &self.leader_keys {
            set(sender, state(self.store_state.leader_keys.get(service)));
        }
        set(&self.reader_key, state(self.store_state.reader.as_ref()));
        self.update_usage_key();
        let reader = self.store_state.reader.as_ref().and_then(|reader| reader.peer);
        let is_other = |reader: &SocketAddr| Some(*reader) != self.settings.peer;
        set(&self.reader, reader.filter(is_other));
        // All hosts agree on it, as they know the same keys.
        let primary = self.store_state.reader_addresses.values().next().copied();
        set(&self.primary, primary.filter(is_other));
    }

    /// Starts or stops the mirrors of job heads, requested versions and retired hosts, which only a leader needs. Any
    /// other host reads single jobs on request.
    fn update_leader_mirrors(&mut self) {
        let leads = self.leads_any();
        if leads && self.leader_mirrors.is_empty() {
            let operations =
                self.dialect.prefixes().iter().filter_map(|(prefix, subject)| match subject {
                    Subject::Versions => Some((*prefix, VERSIONS_MAX_AGE)),
                    Subject::Retirements => Some((*prefix, MaxAge::UNBOUNDED)),
                    Subject::Config | Subject::Targets => None,
                });
            for (prefix, max_age) in operations.chain([(job::HEADS, HEADS_MAX_AGE)]) {
                let schedule = Schedule::Follow { interval: WATCH_INTERVAL, max_age };
                let mirror = Mirror::new(usize::MAX, prefix, schedule);
                let (source, feed) = (Rc::clone(&self.direct), Arc::default());
                let follow = mirror.follow(source, feed, self.updates.clone());
                self.leader_mirrors.push(tokio::task::spawn_local(follow));
            }
        } else if !leads && !self.leader_mirrors.is_empty() {
            for mirror in self.leader_mirrors.drain(..) {
                mirror.abort();
            }
            self.store_state.job_heads.clear();
        }
    }

    /// Updates elections and leaders with the configuration, the leader keys, the targets and the requested versions.
    pub(super) fn sync_leaders(&mut self) {
        if !self.store_state.is_synced() {
            return;
        }
        let Some(config) = self.store_state.config.clone() else {
            return;
        };
        self.join_usage_duty(&config);
        for service in config.services.iter().filter(|service| service.engines) {
            self.join_election(&service.name);
        }
        for leader in self.leaders.values_mut() {
            let service = config.service(&leader.service);
            leader.engines.set_cache_tokens(service.and_then(|service| service.cache_tokens));
            leader.queue.update_policies(&config);
            let state = &self.store_state;
            leader.sync(state.fleet.targets(), &state.requested, clock::now());
        }
    }

    /// Starts the election of a service unless it runs already.
    fn join_election(&mut self, service: &ServiceId) {
        if self.leader_keys.contains_key(service) {
            return;
        }
        let (leader_key, receiver) = watch::channel(LeaderKey::Unknown);
        self.leader_keys.insert(service.clone(), leader_key);
        let first_run = (self.leaders.len() as u64) << 48;
        let mut leader = Leader::new(service.clone(), first_run, &self.terms, &self.failures);
        if let Some(settings) = self.settings.prefix {
            leader.engines.enable_prefixes(settings);
        }
        self.leaders.insert(service.clone(), leader);
        let lease_min = self.settings.lease_min;
        let (ttl, interval) = (Election::ttl(lease_min), Election::renewal_interval(lease_min));
        let (release, released) = watch::channel(Revision::default());
        self.releases.insert(service.clone(), release);
        self.compete(service.clone(), ttl, interval, (receiver, released));
    }
}

/// Sets a watched value, and wakes its receivers only if it has changed.
pub(super) fn set<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let is_new = *current != value;
        *current = value;
        is_new
    });
}
