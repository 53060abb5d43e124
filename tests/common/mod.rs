//! A fleet of cores with an in-memory store, host lists and network under one manual clock.
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
        listing::{Entry, ReadResult},
        peer,
        settings::Seed,
        store::{self, Call, Expect, Reply, Value},
    },
    ids::{CallId, Ticket},
    wire,
};

pub const STEP: Duration = Duration::from_millis(20);
pub const FILE: &str = include_str!("../../docs/examples/huon.json");

/// The example configuration with this number of slots, so that each apply has its own digest.
pub fn config_with_slots(slots: u32) -> String {
    FILE.replace("\"slots\": 16", &format!("\"slots\": {slots}"))
}

/// Host, call id, key, revision after which a change is reported, and end of the wait.
type Watch = (Box<str>, u64, Box<str>, u64, Duration);

#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<Box<str>, Value>,
    pub revision: u64,
    pub down: bool,
    /// Calls for keys of the configuration. Calls for leases are not counted.
    pub config_calls: u64,
    watches: Vec<Watch>,
    /// Swaps of keys with this prefix take effect, but their replies are lost.
    pub drop_replies: Option<Box<str>>,
    /// Swaps of keys with this prefix are moved to `held_writes` instead of being applied.
    pub hold_writes: Option<Box<str>>,
    pub held_writes: Vec<Call>,
}

impl Store {
    pub fn apply(&mut self, call: &Call) -> Reply {
        let found = |key: &str| self.values.get(key).cloned();
        match call {
            Call::Get { key } | Call::Watch { key, .. } => Reply::Value(found(key)),
            Call::Swap { key, expect, value, .. } => {
                let found = found(key);
                let current = found
                    .as_ref()
                    .map_or(Expect::Absent, |value| Expect::Revision(value.mod_revision));
                if current != *expect {
                    return Reply::Conflict(found);
                }
                self.revision += 1;
                let (key, bytes, changed) = (key.clone(), value.clone(), self.revision);
                let created = found.map_or(changed, |value| value.create_revision);
                self.values
                    .insert(key, Value { bytes, mod_revision: changed, create_revision: created });
                Reply::Swapped { revision: changed }
            }
            Call::Delete { key } => {
                self.values.remove(key);
                Reply::Deleted
            }
            // The hosts of these fleets acquire no leases. tests/store.rs covers leases.
            Call::Grant { .. } | Call::KeepAlive { .. } => Reply::LeaseGone,
        }
    }
}

#[derive(Default)]
pub struct Fleet {
    pub now: Duration,
    pub cores: BTreeMap<Box<str>, Core>,
    pub store: Store,
    /// Pairs of sender and receiver whose messages are lost.
    pub cut_links: BTreeSet<(Box<str>, Box<str>)>,
    /// Hosts that cannot reach the store.
    pub without_store: BTreeSet<Box<str>>,
    /// Hosts that neither tick nor receive messages.
    pub frozen: BTreeSet<Box<str>>,
    /// Host list of each zone. `None` makes the read fail.
    pub listings: BTreeMap<Box<str>, Option<Vec<Entry>>>,
    pub answers: BTreeMap<Ticket, Answer>,
    pub logs: Vec<String>,
    pub exits: BTreeSet<Box<str>>,
    pub cached_configs: BTreeMap<Box<str>, Bytes>,
    messages: Vec<(Box<str>, Box<str>, wire::Message)>,
    seeds: Vec<Seed>,
}

pub fn id(zone: &str, index: usize) -> Box<str> {
    format!("{zone}-{index}").into()
}

impl Fleet {
    pub fn new(zones: &[&str], hosts: usize) -> Self {
        let now = Duration::from_secs(100);
        let mut fleet = Self { now, ..Self::default() };
        let members =
            |count| zones.iter().flat_map(move |zone| (0..count).map(move |index| (*zone, index)));
        fleet.seeds = members(hosts.min(2)).map(|(zone, index)| seed(zone, index)).collect();
        members(hosts).for_each(|(zone, index)| fleet.start(zone, index, 1));
        fleet
    }

    pub fn start(&mut self, zone: &str, index: usize, incarnation: u64) {
        let host = id(zone, index);
        let incarnation = xxhash_rust::xxh3::xxh3_64_with_seed(host.as_bytes(), incarnation);
        let settings = Settings {
            host: host.clone(),
            zone: zone.into(),
            incarnation,
            seed: incarnation,
            peers: self.seeds.clone(),
            peer_address: format!("{host}:1").into(),
            ..Settings::default()
        };
        self.cores.insert(host, Core::new(settings, self.now));
    }

    pub fn input(&mut self, host: &str, event: Event) {
        let now = self.now;
        self.cores.get_mut(host).unwrap().input(now, event);
    }

    pub fn deliver(&mut self, host: &str, from: Box<str>, message: wire::Message) {
        let message = Box::new(message);
        self.input(host, Event::Peer(peer::Event::Message { from, message }));
    }

    fn store_reply(&mut self, host: &str, id: CallId, reply: Reply) {
        let result = Ok(reply);
        self.input(host, Event::Store(store::Answer { id, result }));
    }

    pub fn apply(&mut self, host: &str, ticket: u64, apply_id: &str, expected: u64, slots: u32) {
        self.apply_file(host, ticket, apply_id, expected, config_with_slots(slots), false);
    }

    pub fn apply_file(
        &mut self,
        host: &str,
        ticket: u64,
        id: &str,
        expected: u64,
        file: String,
        dry_run: bool,
    ) {
        let (apply_id, body) = (id.into(), file.into());
        let apply = Admin::Apply { ticket, apply_id, expected, dry_run, body };
        self.input(host, Event::Admin(apply));
    }

    /// The revision that an apply resulted in, its error code, or `none` while it is unanswered.
    pub fn outcome(&self, ticket: u64) -> String {
        match self.answers.get(&ticket) {
            Some(Answer::Done(value)) => format!("{}", value["revision"]),
            Some(Answer::Error { code, .. }) => code.to_string(),
            None => "none".into(),
        }
    }

    pub fn revisions(&self) -> Vec<u64> {
        self.cores.values().map(|core| core.world().config.revision).collect()
    }

    /// A fleet with revision 1 of the configuration in force on all hosts.
    pub fn with_config(zones: &[&str], hosts: usize) -> Self {
        let mut fleet = Self::new(zones, hosts);
        fleet.run(Duration::from_secs(8));
        fleet.apply("a-0", 1, "first", 0, 16);
        fleet.run(Duration::from_secs(7));
        assert_eq!(fleet.outcome(1), "1");
        assert!(fleet.revisions().iter().all(|revision| *revision == 1), "{:?}", fleet.revisions());
        fleet
    }

    pub fn cut_zone(&mut self, zone: &str) {
        let in_zone = |host: &str| host.starts_with(zone);
        let hosts: Vec<Box<str>> = self.cores.keys().cloned().collect();
        for a in &hosts {
            for b in hosts.iter().filter(|b| in_zone(a) != in_zone(b)) {
                self.cut_links.insert((a.clone(), b.clone()));
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
        for (to, from, message) in std::mem::take(&mut self.messages) {
            let delivered =
                !self.cut_links.contains(&(from.clone(), to.clone())) && !self.frozen.contains(&to);
            if delivered && self.cores.contains_key(&to) {
                self.deliver(&to, from, message);
            }
        }
        self.answer_watches();
        let hosts: Vec<Box<str>> = self.cores.keys().cloned().collect();
        for host in hosts.into_iter().filter(|id| !self.frozen.contains(id)).collect::<Vec<_>>() {
            for action in self.cores.get_mut(&host).unwrap().tick(now) {
                self.execute(&host, action);
            }
        }
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        for (host, call, key, after, until) in std::mem::take(&mut self.store.watches) {
            if self.store.down
                || self.without_store.contains(&host)
                || !self.cores.contains_key(&host)
            {
                continue;
            }
            let found = self.store.values.get(&key).cloned();
            match found.filter(|value| value.mod_revision > after) {
                Some(value) => self.store_reply(&host, call, Reply::Value(Some(value))),
                None if now >= until => self.store_reply(&host, call, Reply::NoChange),
                None => self.store.watches.push((host, call, key, after, until)),
            }
        }
    }

    fn execute(&mut self, host: &str, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, message, .. } => self.messages.push((to, host.into(), message)),
            Action::Admin { ticket, answer } => drop(self.answers.insert(ticket, answer)),
            Action::Log { text, .. } => self.logs.push(format!("{host}: {text}")),
            Action::Exit => drop(self.exits.insert(host.into())),
            Action::ConfigInForce { body, .. } => {
                drop(self.cached_configs.insert(host.into(), body));
            }
            Action::ReadListing { zone } => {
                let entries = self.listings.get(&zone).cloned().flatten();
                self.input(host, Event::Listing(ReadResult { zone, entries }));
            }
            Action::Store { id, call } => {
                self.store.config_calls += u64::from(is_config_call(&call));
                if self.store.down || self.without_store.contains(host) {
                    return;
                }
                if let Call::Watch { key, after, wait } = call {
                    return self.store.watches.push((host.into(), id, key, after, now + wait));
                }
                if let Call::Swap { key, .. } = &call {
                    let matches = |prefix: &Option<Box<str>>| {
                        prefix.as_ref().is_some_and(|p| key.starts_with(&**p))
                    };
                    if matches(&self.store.hold_writes) {
                        return self.store.held_writes.push(call);
                    }
                    if matches(&self.store.drop_replies) {
                        return drop(self.store.apply(&call));
                    }
                }
                let reply = self.store.apply(&call);
                self.store_reply(host, id, reply);
            }
            _ => {}
        }
    }
}

fn seed(zone: &str, index: usize) -> Seed {
    let host = id(zone, index);
    let (zone, address) = (zone.into(), format!("{host}:1").into());
    Seed { host, zone, address }
}

fn is_config_call(call: &Call) -> bool {
    match call {
        Call::Get { key }
        | Call::Swap { key, .. }
        | Call::Delete { key }
        | Call::Watch { key, .. } => key.starts_with("config/"),
        Call::Grant { .. } | Call::KeepAlive { .. } => false,
    }
}
