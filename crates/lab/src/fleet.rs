//! Cores, fakes and a fake clock.

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

/// Place of the key-value service and the host list in `Fleet::cut`.
pub const PLATFORM: &str = "platform";

/// Something that happens at a set time.
pub type Step = Box<dyn FnOnce(&mut Fleet)>;

/// What follows when a ticket is answered.
pub type Callback = Box<dyn FnOnce(&mut Fleet, &Reply)>;

/// What a ticket was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Answer(Answer),
    Keys(Vec<Box<str>>),
    Batch(stream::Answer),
    Admin(config::Answer),
    /// The connection to the host broke.
    Broken,
}

/// One entry host.
pub struct Host {
    pub zone: ZoneId,
    pub core: Option<Core>,
    pub incarnation: Incarnation,
    pub frozen: bool,
    /// Orders leave the process only when this is cleared: a pause between the check and the act.
    pub holds_orders: bool,
    pub held: Vec<lagoonyard::core::rollout::Order>,
    backlog: Vec<Event>,
    tick_at: Option<Time>,
    pub revision: Revision,
    pub draining_since: Option<Time>,
    /// When the core asked to exit.
    pub exited: bool,
    /// Configuration body kept in a data folder, for hosts that have one.
    pub cache: Option<Arc<[u8]>>,
    pub has_disk: bool,
    pub sent_bytes: u64,
}

/// Everything at once.
pub struct Fleet {
    pub now: Time,
    pub rng: ChaCha8Rng,
    pub plan: Plan,
    pub policy: Policy,
    pub hosts: BTreeMap<HostId, Host>,
    pub store: Store,
    pub waiting: Vec<crate::watch::Watch>,
    pub listed: BTreeMap<TargetId, listing::Entry>,
    pub engines: BTreeMap<TargetId, Engine>,
    pub services: BTreeMap<TargetId, Service>,
    pub ledger: Ledger,
    pub trainers: BTreeMap<TrainerId, Trainer>,
    pub cuts: BTreeSet<(Box<str>, Box<str>)>,
    pub weight_loads: u32,
    pub weight_slow: f64,
    /// Load reports stop while set.
    pub mute_reports: bool,
    pub poisons: Vec<Box<str>>,
    pub crashes: u32,
    pub checks: Checks,
    pub trace: Vec<String>,
    /// Least severe log lines of the cores that go into the trace.
    pub log_level: log::Level,
    queue: BTreeMap<(Time, u64), Step>,
    pub(crate) last: u64,
    pub(crate) tickets: BTreeMap<Ticket, (HostId, Option<Callback>)>,
    pub replies: BTreeMap<Ticket, Reply>,
    last_incarnation: Incarnation,
}

impl Fleet {
    /// Hosts, targets and the platform of a plan, all up; nothing is applied yet.
    pub fn new(plan: Plan, policy: Policy, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
            hosts: BTreeMap::new(),
            store: Store::default(),
            waiting: Vec::new(),
            listed: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            ledger: Ledger::default(),
            trainers: BTreeMap::new(),
            cuts: BTreeSet::new(),
            weight_loads: 0,
            weight_slow: 1.0,
            mute_reports: false,
            poisons: Vec::new(),
            crashes: 0,
            checks: Checks::default(),
            trace: Vec::new(),
            log_level: log::Level::Warn,
            queue: BTreeMap::new(),
            last: 0,
            tickets: BTreeMap::new(),
            replies: BTreeMap::new(),
            last_incarnation: 100,
            plan,
        };
        for (id, zone) in fleet.plan.hosts.clone() {
            fleet.start(&id, &zone);
        }
        for (id, engine) in fleet.plan.engines() {
            fleet.list(&id, &engine.zone, &engine.pool);
            fleet.engines.insert(id, engine);
        }
        for (id, service) in fleet.plan.services() {
            fleet.list(&id, &service.zone, &service.pool);
            fleet.services.insert(id, service);
        }
        fleet.trainers = fleet.plan.trainer_rows().into_iter().collect();
        fleet
    }

    fn list(&mut self, target: &TargetId, zone: &str, pool: &str) {
        let entry = listing::Entry {
            target: target.clone(),
            zone: zone.into(),
            address: format!("sim:{target}").into(),
            pool: pool.into(),
            leaving: false,
        };
        self.listed.insert(target.clone(), entry);
    }

    /// Starts a host, or a new process on a host that ended.
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
            held: Vec::new(),
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
        self.plan_tick(id, Duration::ZERO);
    }

    /// Ends a host's process; its open connections break.
    pub fn kill(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.core = None;
        host.backlog.clear();
        let incarnation = host.incarnation;
        self.note(format!("host {id} ends"));
        let open: Vec<Ticket> = self
            .tickets
            .iter()
            .filter(|(_, (host, _))| &**host == id)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in open {
            self.settle(ticket, Reply::Broken);
        }
        for engine in self.engines.values_mut() {
            engine.running.retain(|run| run.incarnation != incarnation);
            engine.waiting.retain(|run| run.incarnation != incarnation);
        }
    }

    /// Pauses a host's process.
    pub fn freeze(&mut self, id: &str) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.frozen = true;
        }
    }

    /// Lets a paused process go on with all that came in meanwhile.
    pub fn thaw(&mut self, id: &str) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.frozen = false;
        let backlog = std::mem::take(&mut host.backlog);
        if let Some(core) = &mut host.core {
            backlog.into_iter().for_each(|event| core.input(now, event));
        }
        self.plan_tick(id, Duration::ZERO);
    }

    /// First stop signal.
    pub fn drain(&mut self, id: &str) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(id) {
            host.draining_since = Some(now);
        }
        self.input(id, Event::Admin(config::Admin::Drain { ticket: None }));
    }

    /// Gives an event to a host now.
    pub fn input(&mut self, id: &str, event: Event) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(id) else { return };
        let Some(core) = &mut host.core else { return };
        if host.frozen {
            host.backlog.push(event);
            return;
        }
        core.input(now, event);
        self.plan_tick(id, Duration::from_millis(1));
    }

    /// Gives an event to one incarnation of a host after a delay.
    pub fn deliver(&mut self, after: Duration, id: HostId, incarnation: Incarnation, event: Event) {
        self.schedule(after, move |fleet| {
            if fleet.hosts.get(&id).is_some_and(|host| host.incarnation == incarnation) {
                fleet.input(&id, event);
            }
        });
    }

    /// Plans a step.
    pub fn schedule(&mut self, after: Duration, step: impl FnOnce(&mut Self) + 'static) {
        self.last += 1;
        self.queue.insert((self.now + after, self.last), Box::new(step));
    }

    /// Runs all steps up to a time from now.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let step = entry.remove();
            self.now = self.now.max(at);
            step(self);
        }
        self.now = end;
    }

    fn plan_tick(&mut self, id: &str, after: Duration) {
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
            self.perform(id, incarnation, action);
        }
        self.plan_tick(id, wake);
    }

    /// One way delay between two places, `None` while they are cut off.
    pub fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        let pair = if from < to { (from.into(), to.into()) } else { (to.into(), from.into()) };
        if self.cuts.contains(&pair) {
            return None;
        }
        Some(if from == to { Duration::from_micros(200) } else { self.plan.zone_delay })
    }

    /// Cuts two places off from each other.
    pub fn cut(&mut self, one: &str, other: &str) {
        let pair =
            if one < other { (one.into(), other.into()) } else { (other.into(), one.into()) };
        self.cuts.insert(pair);
        self.checks.disturbed = Some(self.now);
    }

    /// Cuts a zone off from all others and the platform.
    pub fn isolate(&mut self, zone: &str) {
        let others: Vec<ZoneId> =
            self.plan.zones.iter().filter(|other| &***other != zone).cloned().collect();
        for other in others {
            self.cut(zone, &other);
        }
        self.cut(zone, PLATFORM);
    }

    /// Tells a host that a message to a peer was lost.
    pub fn lost(&mut self, id: HostId, incarnation: Incarnation, to: HostId) {
        self.deliver(
            Duration::from_millis(5),
            id,
            incarnation,
            Event::Peer(peer::Event::LinkLost { to }),
        );
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: impl Into<String>) {
        let line = format!("{:>10.3} {}", self.now.as_secs_f64(), text.into());
        self.trace.push(line);
    }

    /// Configuration in force at a host.
    pub fn snapshot(&self, id: &str) -> Option<Arc<file::Snapshot>> {
        self.hosts.get(id)?.core.as_ref()?.world().config.snapshot.clone()
    }
}
