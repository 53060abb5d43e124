//! Measures how the cost of control grows with hosts, targets and zones.
//!
//! Cores run in one process under a fake clock, joined by a network without loss and with a fixed delay. Measured are the
//! processor time inside the cores, the bytes of their peer messages, and the time from the acceptance of a configuration
//! to the last host in force. `docs/capacity-slopes.md` has the results.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Parser;
use lagoonyard::{
    core::{
        Action, Core, Event, Settings,
        config::{Admin, Answer},
        listing::{Entry, Read},
        peer,
        settings::Seed,
        store::{self, Call, Expect, Failure, Reply, Value},
        target::{Outcome, Polled, Report, State},
    },
    ids::CallId,
    wire::Message,
};
use prost::Message as _;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(20);
const FRAME_BYTES: usize = 4;
const FILE: &str = include_str!("../../../../docs/examples/huon.json");

/// Measures the control core against hosts per zone, targets per zone and zones.
#[derive(Parser)]
struct Args {
    /// Simulated seconds that are measured after the warm-up.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// One-way delay between hosts.
    #[arg(long, default_value_t = 2)]
    delay_ms: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy)]
struct Shape {
    zones: usize,
    hosts: usize,
    targets: usize,
}

struct Measured {
    cpu_us: f64,
    bytes: f64,
    in_force_ms: f64,
    leaving_ms: f64,
}

/// Key-value service without faults.
#[derive(Default)]
struct Store {
    values: BTreeMap<Box<str>, Value>,
    revision: u64,
    watches: Vec<(usize, CallId, Box<str>, u64, Duration)>,
}

impl Store {
    fn apply(&mut self, call: Call) -> Result<Reply, Failure> {
        Ok(match call {
            Call::Get { key } => Reply::Value(self.values.get(&key).cloned()),
            Call::Swap { key, expect, value, .. } => {
                let found = self.values.get(&key);
                if expect != found.map_or(Expect::Absent, |found| Expect::At(found.changed)) {
                    return Ok(Reply::Conflict(found.cloned()));
                }
                self.revision += 1;
                let (bytes, changed) = (value, self.revision);
                let created = found.map_or(changed, |found| found.created);
                let value = Value {
                    bytes,
                    changed,
                    created,
                };
                self.values.insert(key, value);
                Reply::Swapped { changed }
            }
            Call::Delete { key } => {
                self.values.remove(&key);
                Reply::Deleted
            }
            Call::Grant { ttl } => Reply::Lease { id: 1, ttl },
            Call::KeepAlive { lease: id } => {
                let ttl = Duration::from_secs(10);
                Reply::Lease { id, ttl }
            }
            Call::Watch { .. } => return Err(Failure::Unsent),
        })
    }
}

struct Host {
    core: Core,
    events: Vec<Event>,
    zone: usize,
    cpu: Duration,
    bytes: usize,
}

struct Lab {
    now: Duration,
    delay: Duration,
    hosts: Vec<Host>,
    ids: BTreeMap<Box<str>, usize>,
    net: BTreeMap<Duration, Vec<(usize, Box<str>, Message)>>,
    store: Store,
    lists: Vec<Vec<Entry>>,
    rng: ChaCha8Rng,
    accepted: BTreeSet<u64>,
}

impl Lab {
    fn new(shape: Shape, args: &Args) -> Self {
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
            pool: "blurb-engines".into(),
            leaving: false,
        };
        let list = |zone| (0..shape.targets).map(|target| entry(zone, target)).collect();
        Self {
            now,
            delay: Duration::from_millis(args.delay_ms),
            hosts,
            ids,
            net: BTreeMap::new(),
            store: Store::default(),
            lists: (0..shape.zones).map(list).collect(),
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            accepted: BTreeSet::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let later = self.net.split_off(&(self.now + Duration::from_nanos(1)));
        for (to, from, message) in std::mem::replace(&mut self.net, later).into_values().flatten() {
            let message = Box::new(message);
            self.hosts[to]
                .events
                .push(Event::Peer(peer::Event::Message { from, message }));
        }
        for watch in std::mem::take(&mut self.store.watches) {
            let (host, id, key, after, until) = &watch;
            let found = self.store.values.get(key).filter(|value| value.changed > *after);
            let reply = match found {
                Some(value) => Reply::Value(Some(value.clone())),
                None if self.now >= *until => Reply::NoChange,
                None => {
                    self.store.watches.push(watch);
                    continue;
                }
            };
            self.hosts[*host].events.push(Event::Store(store::Answer {
                id: *id,
                result: Ok(reply),
            }));
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
                self.act(index, action);
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
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
            Action::Store { id, call } => match call {
                Call::Watch { key, after, wait } => {
                    self.store.watches.push((index, id, key, after, self.now + wait));
                }
                call => {
                    let result = self.store.apply(call);
                    host.events.push(Event::Store(store::Answer { id, result }));
                }
            },
            Action::ReadListing { zone } => {
                let entries = Some(self.lists[host.zone].clone());
                host.events.push(Event::Listing(Read { zone, entries }));
            }
            Action::Poll { target, .. } => {
                let report = Report {
                    running: self.rng.random_range(0..16),
                    waiting: self.rng.random_range(0..4),
                    ..Report::default()
                };
                let outcome = Outcome::Report(report);
                host.events.push(Event::Polled(Polled { target, outcome }));
            }
            Action::Admin {
                ticket,
                answer: Answer::Done(_),
            } => {
                self.accepted.insert(ticket);
            }
            _ => {}
        }
    }

    /// Applies a file and returns the time from its acceptance to the last host in force.
    fn apply(&mut self, revision: u64) -> Duration {
        let body = FILE.replace("\"slots\": 16", &format!("\"slots\": {}", 16 + revision));
        let admin = Admin::Apply {
            ticket: revision,
            apply_id: format!("apply-{revision}").into(),
            expected: revision - 1,
            dry_run: false,
            body: Bytes::from(body),
        };
        self.hosts[0].events.push(Event::Admin(admin));
        let limit = self.now + Duration::from_secs(60);
        let mut accepted = None;
        while self.now < limit {
            self.step();
            if accepted.is_none() && self.accepted.contains(&revision) {
                accepted = Some(self.now);
            }
            let all = self
                .hosts
                .iter()
                .all(|host| host.core.world().config.revision >= revision);
            if let (Some(at), true) = (accepted, all) {
                return self.now - at;
            }
        }
        Duration::MAX
    }

    /// Marks a target as leaving in its zone's list and returns the time to the last host of the zone that knows.
    fn leave(&mut self, index: usize) -> Duration {
        let entry = &mut self.lists[0][index];
        entry.leaving = true;
        let target = entry.target.clone();
        let start = self.now;
        let knows = |host: &Host| {
            let row = host.core.world().targets.rows.get(&target);
            row.is_some_and(|row| row.state == State::Leaving)
        };
        while self.now < start + Duration::from_secs(60) {
            self.step();
            if self.hosts.iter().filter(|host| host.zone == 0).all(knows) {
                return self.now - start;
            }
        }
        Duration::MAX
    }
}

fn measure(shape: Shape, args: &Args) -> Measured {
    let mut lab = Lab::new(shape, args);
    lab.run(WARM_UP);
    lab.apply(1);
    lab.run(WARM_UP);
    for host in &mut lab.hosts {
        host.cpu = Duration::ZERO;
        host.bytes = 0;
    }
    let time = Duration::from_secs(args.seconds);
    lab.run(time);
    let count = lab.hosts.len() as f64 * time.as_secs_f64();
    let cpu: Duration = lab.hosts.iter().map(|host| host.cpu).sum();
    let bytes: usize = lab.hosts.iter().map(|host| host.bytes).sum();
    let applies: Vec<Duration> = (2..7).map(|revision| lab.apply(revision)).collect();
    let leaves: Vec<Duration> = (0..5).map(|index| lab.leave(index)).collect();
    let worst = |times: &[Duration]| times.iter().max().map_or(f64::NAN, |time| time.as_secs_f64() * 1e3);
    Measured {
        cpu_us: cpu.as_secs_f64() * 1e6 / count,
        bytes: bytes as f64 / count,
        in_force_ms: worst(&applies),
        leaving_ms: worst(&leaves),
    }
}

/// Slope and intercept by least squares.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, y - slope * x)
}

fn sweep(name: &str, shapes: impl Iterator<Item = (usize, Shape)>, args: &Args) {
    println!("\n| {name} | CPU, us/s | sent, bytes/s | last in force, ms | list mark known, ms |");
    println!("|---|---|---|---|---|");
    let mut points = Vec::new();
    for (x, shape) in shapes {
        let found = measure(shape, args);
        let Measured {
            cpu_us,
            bytes,
            in_force_ms,
            leaving_ms,
        } = found;
        println!("| {x} | {cpu_us:.0} | {bytes:.0} | {in_force_ms:.0} | {leaving_ms:.0} |");
        points.push((x as f64, found));
    }
    let of = |value: fn(&Measured) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, found)| (*x, value(found))).collect();
        line(&points)
    };
    for (unit, (slope, intercept)) in [
        ("us/s", of(|found| found.cpu_us)),
        ("bytes/s", of(|found| found.bytes)),
        ("ms in force", of(|found| found.in_force_ms)),
        ("ms until a list mark is known", of(|found| found.leaving_ms)),
    ] {
        println!("slope against {name}: {slope:.2} {unit} each, {intercept:.0} at zero");
    }
}

fn main() {
    let args = Args::parse();
    let (zones, hosts, targets) = (2, 32, 100);
    let base = Shape { zones, hosts, targets };
    let hosts = [8, 16, 32, 64, 93].map(|hosts| (hosts, Shape { hosts, ..base }));
    sweep("hosts per zone", hosts.into_iter(), &args);
    let targets = [13, 100, 300, 650].map(|targets| (targets, Shape { targets, ..base }));
    sweep("targets per zone", targets.into_iter(), &args);
    let zones = [1, 2, 4].map(|zones| (zones, Shape { zones, ..base }));
    sweep("zones", zones.into_iter(), &args);
}
