//! Control cores with a simulated platform, targets, trainers and callers, under a simulated clock.
//!
//! All activity is a queue of tasks ordered by time and insertion. `advance` runs the due tasks; a task may change the
//! fleet and schedule others. A host's core gets events through `input` and is ticked at its wake time; its
//! actions are executed in `action`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use lagoonyard::{
    core::{
        Core, Event, Settings, config, listing, peer,
        request::Answer,
        settings::{Policy, Seed},
        stream,
    },
    file,
    prelude::*,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{Engine, Plan, Service, Store, Trainer, check::Checks, service::Ledger};

/// Name that `Fleet::cut` uses for the key-value store and the host list.
pub const PLATFORM: &str = "platform";

/// Change of the fleet, scheduled for a time.
pub type Task = Box<dyn FnOnce(&mut Fleet)>;

/// Called when a ticket is answered.
pub type Callback = Box<dyn FnOnce(&mut Fleet, &Reply)>;

/// Answer to a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Answer(Answer),
    Keys(Vec<Box<str>>),
    Batch(stream::Answer),
    Admin(config::Answer),
    /// The host's process ended or was not running.
    Broken,
}

/// Entry host.
pub struct Host {
    pub zone: ZoneId,
    pub core: Option<Core>,
    pub incarnation: Incarnation,
    pub frozen: bool,
    /// Keeps orders in `held_orders` instead of sending them, to simulate a pause between the lease check and the send.
    pub holds_orders: bool,
    pub held_orders: Vec<lagoonyard::core::rollout::Order>,
    backlog: Vec<Event>,
    tick_at: Option<Time>,
    pub revision: Revision,
    pub draining_since: Option<Time>,
    /// The process exited after a drain.
    pub exited: bool,
    /// Body of the last configuration in force; read at a restart if the host has a disk.
    pub cache: Option<Arc<[u8]>>,
    pub has_disk: bool,
    pub sent_bytes: u64,
}

/// Simulated deployment.
pub struct Fleet {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub plan: Plan,
    pub policy: Policy,
    pub hosts: BTreeMap<HostId, Host>,
    pub store: Store,
    pub watches: Vec<crate::store_call::Watch>,
    pub listing: BTreeMap<TargetId, listing::Entry>,
    pub engines: BTreeMap<TargetId, Engine>,
    pub services: BTreeMap<TargetId, Service>,
    pub ledger: Ledger,
    pub trainers: BTreeMap<TrainerId, Trainer>,
    pub cut_links: BTreeSet<(Box<str>, Box<str>)>,
    pub active_weight_loads: u32,
    pub weight_load_factor: f64,
    /// Engines answer polls without a load report.
    pub reports_disabled: bool,
    pub poison_texts: Vec<Box<str>>,
    pub engine_crashes: u32,
    pub checks: Checks,
    pub trace: Vec<String>,
    /// Least severe level of core log lines that the trace contains.
    pub log_level: log::Level,
    queue: BTreeMap<(Time, u64), Task>,
    pub(crate) last_id: u64,
    pub(crate) tickets: BTreeMap<Ticket, (HostId, Option<Callback>)>,
    pub replies: BTreeMap<Ticket, Reply>,
    last_incarnation: Incarnation,
}

impl Fleet {
    /// Starts all hosts and targets of a plan; no configuration is applied yet.
    pub fn new(plan: Plan, policy: Policy, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
            hosts: BTreeMap::new(),
            store: Store::default(),
            watches: Vec::new(),
            listing: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            ledger: Ledger::default(),
            trainers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            active_weight_loads: 0,
            weight_load_factor: 1.0,
            reports_disabled: false,
            poison_texts: Vec::new(),
            engine_crashes: 0,
            checks: Checks::default(),
            trace: Vec::new(),
            log_level: log::Level::Warn,
            queue: BTreeMap::new(),
            last_id: 0,
            tickets: BTreeMap::new(),
            replies: BTreeMap::new(),
            last_incarnation: 100,
            plan,
        };
        for (id, zone) in fleet.plan.hosts.clone() {
            fleet.start(&id, &zone);
        }
        for (id, engine) in fleet.plan.engines() {
            fleet.add_to_listing(&id, &engine.zone, &engine.pool);
            fleet.engines.insert(id, engine);
        }
        for (id, service) in fleet.plan.services() {
            fleet.add_to_listing(&id, &service.zone, &service.pool);
            fleet.services.insert(id, service);
        }
        fleet.trainers = fleet.plan.trainer_rows().into_iter().collect();
        fleet
    }

    fn add_to_listing(&mut self, target: &TargetId, zone: &str, pool: &str) {
        let entry = listing::Entry {
            target: target.clone(),
            zone: zone.into(),
            address: format!("sim:{target}").into(),
            pool: pool.into(),
            leaving: false,
        };
        self.listing.insert(target.clone(), entry);
    }

    /// Starts a host, or a new process on a host whose process ended.
    pub fn start(&mut self, id: &str, zone: &str) {
        if self.hosts.get(id).is_some_and(|host| host.core.is_some()) {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let peers = self.plan.hosts.iter().filter(|(other, _)| &**other != id);
        let seeds = peers.map(|(other, zone)| Seed {
            host: other.clone(),
            zone: zone.clone(),
            address: format!("sim:{other}").into(),
        });
        let settings = Settings {
            host: id.into(),
            zone: zone.into(),
            peer_address: format!("sim:{id}").into(),
            incarnation,
            seed: incarnation ^ self.plan.seed,
            secret: "secret".into(),
            peers: seeds.collect(),
            policy: self.policy,
            ..Settings::default()
        };
        let mut core = Core::new(settings, self.now);
        let old = self.hosts.remove(id);
        let (cache, has_disk) = old.map_or((None, false), |old| (old.cache, old.has_disk));
        if let Some(body) = cache.clone().filter(|_| has_disk) {
            core.input(self.now, Event::CachedConfig(body));
        }
        let host = Host {
            zone: zone.into(),
            core: Some(core),
            incarnation,
            frozen: false,
            holds_orders: false,
            held_orders: Vec::new(),
            backlog: Vec::new(),
            tick_at: None,
            revision: 0,
            draining_since: None,
            exited: false,
            cache,
            has_disk,
            sent_bytes: 0,
        };
        self.hosts.insert(id.into(), host);
        self.schedule_tick(id, Duration::ZERO);
    }

    /// Ends a host's process and breaks its open connections.
    pub fn kill(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.core = None;
        host.backlog.clear();
        let incarnation = host.incarnation;
        self.trace_line(format!("process of host {id} ends"));
        let open: Vec<Ticket> = self
            .tickets
            .iter()
            .filter(|(_, (host, _))| &**host == id)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in open {
            self.close_ticket(ticket, Reply::Broken);
        }
        for engine in self.engines.values_mut() {
            engine.running.retain(|run| run.incarnation != incarnation);
            engine.waiting.retain(|run| run.incarnation != incarnation);
        }
    }

    /// Pauses a host's process; events for it queue up.
    pub fn freeze(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.frozen = true;
        }
    }

    /// Resumes a paused process with the events that arrived meanwhile.
    pub fn thaw(&mut self, id: &str) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.frozen = false;
        let backlog = std::mem::take(&mut host.backlog);
        if let Some(core) = &mut host.core {
            backlog.into_iter().for_each(|event| core.input(now, event));
        }
        self.schedule_tick(id, Duration::ZERO);
    }

    /// Sends the stop signal, which starts a drain.
    pub fn drain(&mut self, id: &str) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(id) {
            host.draining_since = Some(now);
        }
        self.input(id, Event::Admin(config::Admin::Drain { ticket: None }));
    }

    /// Passes an event to a host now.
    pub fn input(&mut self, id: &str, event: Event) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        let Some(core) = &mut host.core else { return };
        if host.frozen {
            host.backlog.push(event);
            return;
        }
        core.input(now, event);
        self.schedule_tick(id, Duration::from_millis(1));
    }

    /// Passes an event to a host after a delay, unless its process was restarted meanwhile.
    pub fn deliver(&mut self, after: Duration, id: HostId, incarnation: Incarnation, event: Event) {
        self.schedule(after, move |fleet| {
            if fleet.hosts.get(&id).is_some_and(|host| host.incarnation == incarnation) {
                fleet.input(&id, event);
            }
        });
    }

    pub fn schedule(&mut self, after: Duration, task: impl FnOnce(&mut Self) + 'static) {
        self.last_id += 1;
        self.queue.insert((self.now + after, self.last_id), Box::new(task));
    }

    /// Advances the clock by a time span and runs the tasks due in it.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let task = entry.remove();
            self.now = self.now.max(at);
            task(self);
        }
        self.now = end;
    }

    fn schedule_tick(&mut self, id: &str, after: Duration) {
        let at = self.now + after;
        let Some(host) = self.hosts.get_mut(id) else { return };
        if host.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        host.tick_at = Some(at);
        let (id, incarnation): (HostId, _) = (id.into(), host.incarnation);
        self.schedule(after, move |fleet| fleet.tick(&id, incarnation, at));
    }

    fn tick(&mut self, id: &HostId, incarnation: Incarnation, at: Time) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        if host.incarnation != incarnation || host.tick_at != Some(at) {
            return;
        }
        host.tick_at = None;
        if host.frozen {
            return;
        }
        let Some(core) = &mut host.core else { return };
        let actions = core.tick(now);
        let wake = core.wake().saturating_sub(now).max(Duration::from_millis(1));
        for action in actions {
            self.execute(id, incarnation, action);
        }
        self.schedule_tick(id, wake);
    }

    /// One-way delay between two places, or `None` while they are cut off from each other.
    pub fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        let pair = if from < to { (from.into(), to.into()) } else { (to.into(), from.into()) };
        if self.cut_links.contains(&pair) {
            return None;
        }
        Some(if from == to { Duration::from_micros(200) } else { self.plan.zone_delay })
    }

    /// Cuts the link between two places.
    pub fn cut(&mut self, one: &str, other: &str) {
        let pair =
            if one < other { (one.into(), other.into()) } else { (other.into(), one.into()) };
        self.cut_links.insert(pair);
        self.checks.last_disturbance = Some(self.now);
    }

    /// Cuts a zone off from all other zones and the platform.
    pub fn isolate(&mut self, zone: &str) {
        let others: Vec<ZoneId> =
            self.plan.zones.iter().filter(|other| &***other != zone).cloned().collect();
        for other in others {
            self.cut(zone, &other);
        }
        self.cut(zone, PLATFORM);
    }

    /// Reports to a host that a message to a peer was lost.
    pub fn report_link_lost(&mut self, id: HostId, incarnation: Incarnation, to: HostId) {
        self.deliver(
            Duration::from_millis(5),
            id,
            incarnation,
            Event::Peer(peer::Event::LinkLost { to }),
        );
    }

    /// Adds a line with the current time to the trace.
    pub fn trace_line(&mut self, text: impl Into<String>) {
        let line = format!("{:>10.3} {}", self.now.as_secs_f64(), text.into());
        self.trace.push(line);
    }

    /// Configuration in force on a host.
    pub fn snapshot(&self, id: &str) -> Option<Arc<file::Snapshot>> {
        self.hosts.get(id)?.core.as_ref()?.world().config.snapshot.clone()
    }
}
