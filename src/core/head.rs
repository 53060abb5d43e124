//! Head of the configuration in the store.
//!
//! The head names the newest configuration and the last applies. Two watchers per zone read and watch it, and read the
//! body of a newer revision.

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

/// Applies in the history of the head. The store keeps their bodies.
pub const HISTORY: usize = 64;

/// Maximum duration of a watch. The head is read between watches, which detects a store that was restored to an older
/// state.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay before a missing or unusable body is read again.
const BODY_RETRY: Duration = Duration::from_secs(10);

/// Head of the configuration, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub revision: Revision,
    pub apply_id: Box<str>,
    pub digest: u64,
    /// The last applies, oldest first.
    pub history: Vec<(Revision, Box<str>)>,
}

impl Head {
    /// Decodes the value of the head's key.
    pub fn parse(value: &Value) -> Option<Self> {
        serde_json::from_slice(&value.bytes).ok()
    }

    /// The head after the next apply, and the apply that drops out of the history.
    pub fn next(before: Option<&Self>, apply_id: &str, digest: u64) -> (Self, Option<Box<str>>) {
        let revision = before.map_or(0, |head| head.revision) + 1;
        let mut history = before.map(|head| head.history.clone()).unwrap_or_default();
        history.push((revision, apply_id.into()));
        let evicted = (history.len() > HISTORY).then(|| history.remove(0).1);
        let head = Self { revision, apply_id: apply_id.into(), digest, history };
        (head, evicted)
    }

    /// Encodes the head for the store.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Revision that an apply created.
    pub fn revision_of(&self, apply_id: &str) -> Option<Revision> {
        self.history.iter().find(|(_, id)| **id == *apply_id).map(|(revision, _)| *revision)
    }

    /// Whether the history contains a revision.
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.history.iter().any(|(found, _)| *found == revision)
    }

    /// The part that hosts gossip.
    pub fn wire(&self) -> wire::Head {
        wire::Head {
            revision: self.revision,
            digest: self.digest,
            apply_id: self.apply_id.to_string(),
        }
    }
}

/// Key of the body of an apply.
pub fn body_key(apply_id: &str) -> Box<str> {
    format!("config/body/{apply_id}").into()
}

/// State of this host's watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Watch {
    #[default]
    New,
    /// The head is read at the given time.
    Idle(Time),
    /// A call is in flight.
    InFlight,
}

/// Reads the head when due, if this host is a watcher.
pub fn run(world: &mut World) {
    let now = world.now;
    if world.config.watch == Watch::New {
        // A host that just started has no rows of other hosts in its zone, so it ranks as a watcher. The delay gives it
        // time to receive them, so that the hosts do not all read the store after a restart of the fleet.
        let pause = world.settings.gossip_interval.mul_f64(world.rng.random_range(1.0..4.0));
        world.config.watch = Watch::Idle(now + pause);
    }
    let Watch::Idle(at) = world.config.watch else {
        return;
    };
    // While a file is held back until the peers have answered, another read would only load the store.
    let held_back = startup::is_waiting(world) && world.config.startup.held_revision() > 0;
    if at > now || held_back {
        return;
    }
    if world.draining || !world.hosts.ranks_within("config", WATCHERS) {
        // A fault that this host found as watcher must not remain in its status.
        return config::set_fault(world, "store", None);
    }
    call(world, Step::Read, Call::Get { key: HEAD.into() });
}

fn call(world: &mut World, step: Step, call: Call) {
    world.config.watch = Watch::InFlight;
    store::call(world, Purpose::Config(step), call);
}

/// Handles the reply to a read or a watch.
pub fn store_reply(world: &mut World, result: Result<Reply, Failure>) {
    match result {
        Ok(Reply::Value(value)) => handle_head(world, value),
        Ok(_) => world.config.watch = Watch::Idle(world.now),
        Err(_) => back_off(world),
    }
}

fn back_off(world: &mut World) {
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

fn handle_head(world: &mut World, value: Option<Value>) {
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
        return watch(world, value.mod_revision);
    };
    if let Some(text) = behind(&head, revision, digest) {
        config::set_fault(world, "store", Some(text));
        return watch(world, value.mod_revision);
    }
    config::set_fault(world, "store", None);
    if head.revision == revision {
        return watch(world, value.mod_revision);
    }
    let key = body_key(&head.apply_id);
    call(world, Step::Body(head), Call::Get { key });
}

/// Reason to ignore a head of the store on a host with the given revision, or `None` if the head is acceptable.
pub fn behind(head: &Head, revision: Revision, digest: u64) -> Option<String> {
    if head.revision < revision {
        let found = head.revision;
        return Some(format!("store shows revision {found}, hosts hold revision {revision}"));
    }
    (head.revision == revision && head.digest != digest)
        .then(|| format!("store holds another file at revision {revision} than hosts do"))
}

/// Handles the body of a head.
pub fn body_reply(world: &mut World, head: &Head, result: Result<Reply, Failure>) {
    let wait = match result {
        // The next read starts the watch.
        Ok(Reply::Value(Some(value)))
            if config::install(world, &head.wire(), value.bytes.clone()) =>
        {
            Duration::ZERO
        }
        // An immediate retry of a missing or unusable body would only load the store.
        Ok(_) => BODY_RETRY,
        Err(_) => return back_off(world),
    };
    world.config.watch = Watch::Idle(world.now + wait);
}
