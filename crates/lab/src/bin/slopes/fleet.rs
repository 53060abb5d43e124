//! Control cores in one process under a simulated clock, with a network that has a fixed delay and no loss.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use lagoonyard::{
    core::{
        Action, Core, Event, Settings,
        config::{Admin, Answer},
        listing::{Entry, ReadResult},
        peer,
        rollout::OrderReply,
        settings::Seed,
        store::{self, Call, Reply},
        target::{Outcome, Polled, Report, State},
    },
    ids::{TargetId, Version},
    wire::Message,
};
use prost::Message as _;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    Args,
    load::{Load, Task},
    platform::{self, Store, Watch},
};

const STEP: Duration = Duration::from_millis(5);
const FRAME_BYTES: usize = 4;
/// Slots of an engine, and therefore the highest load that a target reports.
const SLOTS: u32 = 16;

/// Size of a fleet.
#[derive(Clone, Copy)]
pub struct Shape {
    pub zones: usize,
    pub hosts: usize,
    pub targets: usize,
    pub trainers: usize,
    /// Largest change of a target's reported load between two polls.
    pub load_step: u32,
}

/// Host and the resources that it has used.
pub struct Host {
    pub core: Core,
    pub events: Vec<Event>,
    zone: usize,
    pub cpu: Duration,
    pub bytes: usize,
}

/// Simulated deployment.
pub struct Fleet {
    pub now: Duration,
    pub shape: Shape,
    delay: Duration,
    pub hosts: Vec<Host>,
    ids: BTreeMap<Box<str>, usize>,
    net: BTreeMap<Duration, Vec<(usize, Box<str>, Message)>>,
    pub tasks: BTreeMap<Duration, Vec<Task>>,
    pub store: Store,
    lists: Vec<Vec<Entry>>,
    reported: BTreeMap<TargetId, (u32, Version)>,
    pub load: Load,
    rng: ChaCha8Rng,
    accepted: BTreeSet<u64>,
}

impl Fleet {
    /// Creates a fleet whose hosts have just started.
    pub fn new(shape: Shape, args: &Args) -> Self {
        let now = Duration::from_secs(1000);
        let id = |zone: usize, host: usize| format!("host-{zone}-{host:03}");
        let seeds: Vec<Seed> = (0..shape.zones)
            .flat_map(|zone| (0..2).map(move |host| (zone, host)))
            .map(|(zone, host)| Seed {
                host: id(zone, host).into(),
                zone: format!("zone-{zone}").into(),
                address: format!("10.{zone}.0.{host}:7000").into(),
            })
            .collect();
        let mut hosts = Vec::new();
        let mut ids = BTreeMap::new();
        for zone in 0..shape.zones {
            for host in 0..shape.hosts {
                let seed = args.seed * 1_000_003 + hosts.len() as u64;
                let settings = Settings {
                    host: id(zone, host).into(),
                    zone: format!("zone-{zone}").into(),
                    peer_address: format!("10.{zone}.0.{host}:7000").into(),
                    incarnation: ChaCha8Rng::seed_from_u64(seed).random(),
                    seed,
                    peers: seeds.clone(),
                    ..Settings::default()
                };
                ids.insert(settings.host.clone(), hosts.len());
                hosts.push(Host {
                    core: Core::new(settings, now),
                    events: Vec::new(),
                    zone,
                    cpu: Duration::ZERO,
                    bytes: 0,
                });
            }
        }
        let entry = |zone: usize, target: usize| Entry {
            target: format!("worker-{zone}-{target:04}").into(),
            zone: format!("zone-{zone}").into(),
            address: format!("10.{zone}.{}.{}:8000", 1 + target / 200, target % 200).into(),
            pool: if target % 10 == 9 { "desks" } else { "engines" }.into(),
            leaving: false,
        };
        let list = |zone| (0..shape.targets).map(|target| entry(zone, target)).collect();
        Self {
            now,
            shape,
            delay: Duration::from_millis(args.delay_ms),
            hosts,
            ids,
            net: BTreeMap::new(),
            tasks: BTreeMap::new(),
            store: Store::default(),
            lists: (0..shape.zones).map(list).collect(),
            reported: BTreeMap::new(),
            load: Load::new(),
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            accepted: BTreeSet::new(),
        }
    }

    /// Advances the clock by a time span.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.run_due_tasks(STEP);
        let later = self.net.split_off(&(self.now + Duration::from_nanos(1)));
        for (to, from, message) in std::mem::replace(&mut self.net, later).into_values().flatten() {
            let message = Box::new(message);
            self.hosts[to].events.push(Event::Peer(peer::Event::Message { from, message }));
        }
        for watch in std::mem::take(&mut self.store.watches) {
            let found =
                self.store.values.get(&watch.key).filter(|value| value.mod_revision > watch.after);
            let reply = match found {
                Some(value) => Reply::Value(Some(value.clone())),
                None if self.now >= watch.until => Reply::NoChange,
                None => {
                    self.store.watches.push(watch);
                    continue;
                }
            };
            self.hosts[watch.host]
                .events
                .push(Event::Store(store::Answer { id: watch.id, result: Ok(reply) }));
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if host.events.is_empty() && host.core.wake() > self.now {
                continue;
            }
            let start = Instant::now();
            for event in std::mem::take(&mut host.events) {
                host.core.input(self.now, event);
            }
            let actions = host.core.tick(self.now);
            host.cpu += start.elapsed();
            for action in actions {
                self.execute(index, action);
            }
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        let host = &mut self.hosts[index];
        match action {
            Action::Send { to, message, .. } => {
                host.bytes += message.encoded_len() + FRAME_BYTES;
                let from = host.core.world().settings.host.clone();
                if let Some(to) = self.ids.get(&to) {
                    let queue = self.net.entry(self.now + self.delay).or_default();
                    queue.push((*to, from, message));
                }
            }
            Action::Store { id, call } => {
                self.store.count(&call);
                match call {
                    Call::Watch { key, after, wait } => {
                        let until = self.now + wait;
                        self.store.watches.push(Watch { host: index, id, key, after, until });
                    }
                    call => {
                        let result = self.store.apply(call);
                        host.events.push(Event::Store(store::Answer { id, result }));
                    }
                }
            }
            Action::Dispatch(attempt) => self.run_attempt(index, &attempt),
            Action::Batch { ticket, answer } => self.receive_batch(ticket, answer),
            Action::Answer { .. } => self.load.answered += 1,
            Action::Order(order) => {
                let (id, target) = (order.id, order.target);
                self.reported.entry(target.clone()).or_insert((0, 0)).1 = order.desired.version;
                let result = Ok(());
                host.events.push(Event::OrderReply(OrderReply { id, target, result }));
            }
            Action::ReadListing { zone } => {
                let entries = Some(self.lists[host.zone].clone());
                host.events.push(Event::Listing(ReadResult { zone, entries }));
            }
            Action::Poll { target, .. } => {
                let step = self.shape.load_step;
                let (running, version) = self
                    .reported
                    .entry(target.clone())
                    .or_insert_with(|| (self.rng.random_range(0..=SLOTS), 1));
                let high = (*running + step).min(SLOTS);
                *running = self.rng.random_range(running.saturating_sub(step)..=high);
                let report = Report {
                    running: *running,
                    versions: [("writer".into(), *version)].into(),
                    ..Report::default()
                };
                let outcome = Outcome::Report(report);
                host.events.push(Event::Polled(Polled { target, outcome }));
            }
            Action::Admin { ticket, answer: Answer::Done(_) } => {
                self.accepted.insert(ticket);
            }
            _ => {}
        }
    }

    /// Applies a file and returns the time from its acceptance until it is in force on all hosts.
    pub fn apply(&mut self, revision: u64) -> Duration {
        let body =
            platform::file(self.shape.zones, self.shape.trainers, u64::from(SLOTS) + revision);
        let admin = Admin::Apply {
            ticket: revision,
            apply_id: format!("apply-{revision}").into(),
            expected: revision - 1,
            dry_run: false,
            body,
        };
        self.hosts[0].events.push(Event::Admin(admin));
        let limit = self.now + Duration::from_secs(60);
        let mut accepted = None;
        while self.now < limit {
            self.step();
            if accepted.is_none() && self.accepted.contains(&revision) {
                accepted = Some(self.now);
            }
            let all = self.hosts.iter().all(|host| host.core.world().config.revision >= revision);
            if let (Some(at), true) = (accepted, all) {
                return self.now - at;
            }
        }
        Duration::MAX
    }

    /// Marks a target as leaving in its zone's list and returns the time until all hosts of the zone have the mark.
    pub fn leave(&mut self, index: usize) -> Duration {
        let entry = &mut self.lists[0][index];
        entry.leaving = true;
        let target = entry.target.clone();
        let start = self.now;
        let is_marked = |host: &Host| {
            let row = host.core.world().targets.rows.get(&target);
            row.is_some_and(|row| row.state == State::Leaving)
        };
        while self.now < start + Duration::from_secs(60) {
            self.step();
            if self.hosts.iter().filter(|host| host.zone == 0).all(is_marked) {
                return self.now - start;
            }
        }
        Duration::MAX
    }
}
