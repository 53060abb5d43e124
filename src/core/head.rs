//! Head of the configuration in the store, and the watch on it.

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    core::{
        World,
        config::{self, Step},
        host::WATCHERS,
        startup,
        store::{self, Call, Failure, Purpose, Reply, Value},
    },
    prelude::*,
    wire,
};

/// Key of the head.
pub const HEAD: &str = "config/head";

/// Applies that the head remembers, and bodies that stay in the store.
pub const HISTORY: usize = 64;

/// Longest wait of one watch. Between two the head is read, so that a store that came back older is noticed.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause before a body that is missing or cannot be used is read again.
const BODY_RETRY: Duration = Duration::from_secs(10);

/// What the store says of the newest file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub revision: Revision,
    pub apply_id: Box<str>,
    pub digest: u64,
    /// The last applies, the newest last.
    pub history: Vec<(Revision, Box<str>)>,
}

impl Head {
    /// Reads a value of the store.
    pub fn parse(value: &Value) -> Option<Self> {
        serde_json::from_slice(&value.bytes).ok()
    }

    /// The head after the next apply, and the apply whose body it no longer remembers.
    pub fn next(before: Option<&Self>, apply_id: &str, digest: u64) -> (Self, Option<Box<str>>) {
        let revision = before.map_or(0, |head| head.revision) + 1;
        let mut history = before.map(|head| head.history.clone()).unwrap_or_default();
        history.push((revision, apply_id.into()));
        let evicted = (history.len() > HISTORY).then(|| history.remove(0).1);
        let head = Self { revision, apply_id: apply_id.into(), digest, history };
        (head, evicted)
    }

    /// Text for the store.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Revision that an apply made.
    pub fn revision_of(&self, apply_id: &str) -> Option<Revision> {
        self.history.iter().find(|(_, id)| **id == *apply_id).map(|(revision, _)| *revision)
    }

    /// Whether the history still tells which apply made a revision.
    pub fn remembers(&self, revision: Revision) -> bool {
        self.history.iter().any(|(found, _)| *found == revision)
    }

    /// The part that hosts tell each other.
    pub fn wire(&self) -> wire::Head {
        wire::Head {
            revision: self.revision,
            digest: self.digest,
            apply_id: self.apply_id.to_string(),
        }
    }
}

/// Key of a body.
pub fn body_key(apply_id: &str) -> Box<str> {
    format!("config/body/{apply_id}").into()
}

/// Where this host's watch stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watch {
    #[default]
    New,
    /// Reads the head at the given time.
    Idle(Time),
    /// A call is in flight.
    Busy,
}

/// Reads the head when it is time and this host watches.
pub fn run(world: &mut World) {
    let now = world.now;
    if world.config.watch == Watch::New {
        // A host that has just started sees itself alone in its zone and takes itself for a watcher. The pause lets it
        // hear of the others first, so that a restart of all hosts does not read the store from each of them.
        let pause = world.settings.gossip_interval.mul_f64(world.rng.random_range(1.0..4.0));
        world.config.watch = Watch::Idle(now + pause);
    }
    let Watch::Idle(at) = world.config.watch else {
        return;
    };
    // While a file is held back until the peers have answered, reading it again would only load the store.
    let held = startup::is_waiting(world) && world.config.startup.held() > 0;
    if at > now || held {
        return;
    }
    if world.draining || !world.hosts.ranks_within("config", WATCHERS) {
        // What a host saw while it watched must not stand in its status for ever.
        return config::set_fault(world, "store", None);
    }
    call(world, Step::Read, Call::Get { key: HEAD.into() });
}

fn call(world: &mut World, step: Step, call: Call) {
    world.config.watch = Watch::Busy;
    store::call(world, Purpose::Config(step), call);
}

/// Takes the answer to a reading or to a watch.
pub fn store_reply(world: &mut World, result: Result<Reply, Failure>) {
    match result {
        Ok(Reply::Value(value)) => seen(world, value),
        Ok(_) => world.config.watch = Watch::Idle(world.now),
        Err(_) => pause(world),
    }
}

fn pause(world: &mut World) {
    let pause = store::backoff(world, world.store.failures);
    world.config.watch = Watch::Idle(world.now + pause);
}

fn watch(world: &mut World, after: u64) {
    if !world.hosts.ranks_within("config", WATCHERS) {
        world.config.watch = Watch::Idle(world.now);
        return;
    }
    let wait = Call::Watch { key: HEAD.into(), after, wait: WATCH_WAIT };
    call(world, Step::Watch, wait);
}

fn seen(world: &mut World, value: Option<Value>) {
    let (revision, digest) = (world.config.revision, world.config.digest);
    let Some(value) = value else {
        let text = format!("store has no configuration, hosts hold revision {revision}");
        config::set_fault(world, "store", (revision > 0).then_some(text));
        return watch(world, 0);
    };
    let Some(head) = Head::parse(&value) else {
        config::set_fault(
            world,
            "store",
            Some("head of the configuration in the store is not readable".into()),
        );
        return watch(world, value.changed);
    };
    if let Some(text) = behind(&head, revision, digest) {
        config::set_fault(world, "store", Some(text));
        return watch(world, value.changed);
    }
    config::set_fault(world, "store", None);
    if head.revision == revision {
        return watch(world, value.changed);
    }
    let key = body_key(&head.apply_id);
    call(world, Step::Body(head), Call::Get { key });
}

/// Why a head of the store is not obeyed by a host that holds the given revision.
pub fn behind(head: &Head, revision: Revision, digest: u64) -> Option<String> {
    if head.revision < revision {
        let found = head.revision;
        return Some(format!("store shows revision {found}, hosts hold revision {revision}"));
    }
    (head.revision == revision && head.digest != digest)
        .then(|| format!("store holds another file at revision {revision} than hosts do"))
}

/// Takes the body of a head.
pub fn body_reply(world: &mut World, head: &Head, result: Result<Reply, Failure>) {
    let wait = match result {
        // The next reading starts the watch.
        Ok(Reply::Value(Some(value)))
            if config::install(world, &head.wire(), value.bytes.clone()) =>
        {
            Duration::ZERO
        }
        // Reading a missing or unusable body again at once would not help, but load the store.
        Ok(_) => BODY_RETRY,
        Err(_) => return pause(world),
    };
    world.config.watch = Watch::Idle(world.now + wait);
}
