//! Several cores with a fake store, host list and network under one hand-driven clock.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use lagoonyard::{
    core::{
        Action, Core, Event, Settings,
        config::{Admin, Answer},
        listing::{Entry, Read},
        peer,
        settings::Seed,
        store::{self, Call, Expect, Reply, Value},
    },
    ids::Ticket,
    wire,
};

pub const STEP: Duration = Duration::from_millis(20);
pub const FILE: &str = include_str!("../../docs/examples/huon.json");

/// The file with another number of slots, so that each apply has its own digest.
pub fn file(slots: u32) -> String {
    FILE.replace("\"slots\": 16", &format!("\"slots\": {slots}"))
}

/// Host, call, key, after which change, and until when.
type Watch = (Box<str>, u64, Box<str>, u64, Duration);

#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<Box<str>, (Value, Option<i64>)>,
    pub leases: BTreeMap<i64, Duration>,
    last_lease: i64,
    pub revision: u64,
    pub down: bool,
    pub calls: u64,
    watches: Vec<Watch>,
    /// Swaps of keys with this prefix lose their answer after they took effect.
    pub lose: Option<Box<str>>,
    /// Swaps of keys with this prefix are kept back, to land when the test says so.
    pub hold: Option<Box<str>>,
    pub held: Vec<Call>,
}

impl Store {
    pub fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        self.values
            .retain(|_, (_, lease)| lease.is_none_or(|id| leases.contains_key(&id)));
    }

    pub fn apply(&mut self, now: Duration, call: &Call) -> Reply {
        let found = |key: &str| self.values.get(key).map(|(value, _)| value.clone());
        match call {
            Call::Get { key } | Call::Watch { key, .. } => Reply::Value(found(key)),
            Call::Swap {
                key,
                expect,
                value,
                lease,
            } => {
                let now_there = found(key);
                let holds = match expect {
                    Expect::Absent => now_there.is_none(),
                    Expect::At(changed) => now_there.as_ref().is_some_and(|value| value.changed == *changed),
                };
                if !holds || lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                    return Reply::Conflict(now_there);
                }
                self.revision += 1;
                let changed = self.revision;
                let created = now_there.map_or(changed, |value| value.created);
                let bytes = value.clone();
                self.values.insert(
                    key.clone(),
                    (
                        Value {
                            bytes,
                            changed,
                            created,
                        },
                        *lease,
                    ),
                );
                Reply::Swapped { changed }
            }
            Call::Delete { key } => {
                self.values.remove(key);
                Reply::Deleted
            }
            Call::Grant { ttl } => {
                self.last_lease += 1;
                let id = self.last_lease;
                self.leases.insert(id, now + *ttl);
                Reply::Lease { id, ttl: *ttl }
            }
            Call::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some(end) => {
                    *end = now + Duration::from_secs(10);
                    Reply::Lease {
                        id: *lease,
                        ttl: Duration::from_secs(10),
                    }
                }
                None => Reply::LeaseGone,
            },
        }
    }
}

#[derive(Default)]
pub struct Fleet {
    pub now: Duration,
    pub cores: BTreeMap<Box<str>, Core>,
    pub store: Store,
    /// Hosts whose messages are lost, in both directions.
    pub cut: BTreeSet<(Box<str>, Box<str>)>,
    pub no_store: BTreeSet<Box<str>>,
    pub frozen: BTreeSet<Box<str>>,
    pub lists: BTreeMap<Box<str>, Option<Vec<Entry>>>,
    pub answers: BTreeMap<Ticket, Answer>,
    pub logs: Vec<String>,
    pub exits: BTreeSet<Box<str>>,
    pub cached: BTreeMap<Box<str>, Bytes>,
    net: Vec<(Box<str>, Box<str>, wire::Message)>,
    seeds: Vec<Seed>,
}

pub fn id(zone: &str, index: usize) -> Box<str> {
    format!("{zone}-{index}").into()
}

impl Fleet {
    pub fn new(zones: &[&str], hosts: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            ..Self::default()
        };
        fleet.seeds = zones
            .iter()
            .flat_map(|zone| (0..2.min(hosts)).map(|i| seed(zone, i)))
            .collect();
        for zone in zones {
            for index in 0..hosts {
                fleet.start(zone, index, 1);
            }
        }
        fleet
    }

    pub fn start(&mut self, zone: &str, index: usize, incarnation: u64) {
        let host = id(zone, index);
        let incarnation = xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), incarnation);
        let settings = Settings {
            host: host.clone(),
            zone: zone.into(),
            peer_address: format!("{host}:1").into(),
            incarnation,
            seed: incarnation,
            peers: self.seeds.clone(),
            ..Settings::default()
        };
        self.cores.insert(host, Core::new(settings, self.now));
    }

    pub fn input(&mut self, host: &str, event: Event) {
        let now = self.now;
        self.cores.get_mut(host).unwrap().input(now, event);
    }

    pub fn apply(&mut self, host: &str, ticket: Ticket, apply_id: &str, expected: u64, slots: u32) {
        let body = file(slots).into();
        let apply_id = apply_id.into();
        self.input(
            host,
            Event::Admin(Admin::Apply {
                ticket,
                apply_id,
                expected,
                dry_run: false,
                body,
            }),
        );
    }

    pub fn code(&self, ticket: Ticket) -> String {
        match self.answers.get(&ticket) {
            Some(Answer::Done(value)) => format!("{}", value["revision"]),
            Some(Answer::Error { code, .. }) => code.to_string(),
            None => "none".into(),
        }
    }

    pub fn status(&mut self, host: &str) -> serde_json::Value {
        self.input(host, Event::Admin(Admin::Status { ticket: 0 }));
        self.run(STEP);
        match self.answers.remove(&0) {
            Some(Answer::Done(value)) => value,
            other => panic!("{other:?}"),
        }
    }

    pub fn revisions(&self) -> Vec<u64> {
        self.cores.values().map(|core| core.world().config.revision).collect()
    }

    pub fn cut_zone(&mut self, zone: &str) {
        let of = |host: &str| host.starts_with(zone);
        let hosts: Vec<Box<str>> = self.cores.keys().cloned().collect();
        for a in &hosts {
            for b in hosts.iter().filter(|b| of(a) != of(b)) {
                self.cut.insert((a.clone(), b.clone()));
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.store.expire(now);
        for (to, from, message) in std::mem::take(&mut self.net) {
            let open = !self.cut.contains(&(from.clone(), to.clone())) && !self.frozen.contains(&to);
            if let Some(core) = self.cores.get_mut(&to).filter(|_| open) {
                core.input(
                    now,
                    Event::Peer(peer::Event::Message {
                        from,
                        message: Box::new(message),
                    }),
                );
            }
        }
        self.watches();
        let hosts: Vec<Box<str>> = self
            .cores
            .keys()
            .filter(|id| !self.frozen.contains(*id))
            .cloned()
            .collect();
        for host in hosts {
            for action in self.cores.get_mut(&host).unwrap().tick(now) {
                self.act(&host, action);
            }
        }
    }

    fn watches(&mut self) {
        let now = self.now;
        for (host, call, key, after, until) in std::mem::take(&mut self.store.watches) {
            let found = self.store.values.get(&key).map(|(value, _)| value.clone());
            let news = found.as_ref().is_some_and(|value| value.changed > after);
            if self.store.down || self.no_store.contains(&host) {
                continue;
            }
            let reply = match (news, now >= until) {
                (true, _) => Reply::Value(found),
                (false, true) => Reply::NoChange,
                (false, false) => {
                    self.store.watches.push((host, call, key, after, until));
                    continue;
                }
            };
            if let Some(core) = self.cores.get_mut(&host) {
                core.input(
                    now,
                    Event::Store(store::Answer {
                        id: call,
                        result: Ok(reply),
                    }),
                );
            }
        }
    }

    fn act(&mut self, host: &str, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, message, .. } => self.net.push((to, host.into(), message)),
            Action::Admin { ticket, answer } => drop(self.answers.insert(ticket, answer)),
            Action::Log { text, .. } => self.logs.push(format!("{host}: {text}")),
            Action::Exit => drop(self.exits.insert(host.into())),
            Action::InForce { body, .. } => drop(self.cached.insert(host.into(), body)),
            Action::ReadListing { zone } => {
                let entries = self.lists.get(&zone).cloned().flatten();
                self.input(host, Event::Listing(Read { zone, entries }));
            }
            Action::Store { id, call } => {
                self.store.calls += 1;
                if self.store.down || self.no_store.contains(host) {
                    return;
                }
                if let Call::Watch { key, after, wait } = call {
                    return self.store.watches.push((host.into(), id, key, after, now + wait));
                }
                if let Call::Swap { key, .. } = &call {
                    let is = |prefix: &Option<Box<str>>| prefix.as_ref().is_some_and(|p| key.starts_with(&**p));
                    if is(&self.store.hold) {
                        return self.store.held.push(call);
                    }
                    if is(&self.store.lose) {
                        self.store.apply(now, &call);
                        return;
                    }
                }
                let result = Ok(self.store.apply(now, &call));
                self.input(host, Event::Store(store::Answer { id, result }));
            }
            _ => {}
        }
    }
}

fn seed(zone: &str, index: usize) -> Seed {
    let host = id(zone, index);
    Seed {
        address: format!("{host}:1").into(),
        zone: zone.into(),
        host,
    }
}
