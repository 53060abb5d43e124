//! Wanted weight versions: announcements, and the copy in the key-value service.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    core::{
        Action, World, backoff,
        config::Answer,
        peer,
        peer::Spread,
        rollout::{Announcement, Desired},
        store::{self, Call, Expect, Purpose, Reply},
    },
    prelude::*,
    wire,
};

/// Time between two readings by the leader of a zone.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two readings while the leader has no lease. They show whether the store answers at all.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Head start of the host that took the announcement, so that leaders mostly find its write done.
const LEADER_DELAY: Duration = Duration::from_secs(2);
const WEIGHTS_MAX_BYTES: usize = 4096;

/// Value of `version/<model>`.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    version: Version,
    weights: Box<str>,
}

/// What is known of a model's record in the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// Version in the store when it last answered.
    pub stored: Option<Version>,
    /// Store revision of the record, or its absence, once it was read.
    seen: Option<Option<u64>>,
    step: Step,
    not_before: Time,
    failures: u32,
    /// This host took an announcement that is not in the store yet.
    announced: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Idle,
    Reading,
    Writing(Version),
}

impl Desired {
    /// Whether this one wins. Equal versions with different weights are decided by text, so that all hosts agree.
    pub fn newer(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| (self.version, &self.weights) > (other.version, &other.weights))
    }
}

impl From<wire::Desired> for Desired {
    fn from(desired: wire::Desired) -> Self {
        Self { version: desired.version, weights: desired.weights.into() }
    }
}

/// Takes an announcement and answers it at once.
pub fn announce(world: &mut World, announce: Announcement) {
    let ticket = announce.ticket;
    let answer = accept(world, announce).unwrap_or_else(|(code, message)| Answer::Error {
        code,
        message: message.into(),
        details: Vec::new(),
    });
    world.emit(Action::Admin { ticket, answer });
}

fn accept(world: &mut World, announce: Announcement) -> Result<Answer, (Code, String)> {
    let snapshot = world.config.snapshot.clone();
    let snapshot =
        snapshot.ok_or_else(|| (Code::NotReady, "no configuration in force yet".into()))?;
    let trainer = snapshot.trainers.get(&announce.trainer);
    let model = &trainer.ok_or_else(|| (Code::UnknownTrainer, "unknown trainer".into()))?.model;
    if announce.weights.len() > WEIGHTS_MAX_BYTES {
        return Err((Code::TooLarge, "reference to the weights is too long".into()));
    }
    let desired = Desired { version: announce.version, weights: announce.weights };
    let known = world.rollouts.desired.get(model);
    if let Some(known) =
        known.filter(|known| known.version >= desired.version && **known != desired)
    {
        let found = known.version;
        let message = match found == desired.version {
            true => format!("version {found} of model {model} is announced with other weights"),
            false => format!(
                "announced version {} of model {model}, found version {found}",
                desired.version
            ),
        };
        return Err((Code::RevisionConflict, message));
    }
    let version = desired.version;
    if known != Some(&desired) {
        world.rollouts.desired.insert(model.clone(), desired);
        publish(world, model, Spread::PushFew);
        let now = world.now;
        let durable = world.rollouts.store_copies.entry(model.clone()).or_default();
        durable.announced = true;
        // A store that fails keeps its backoff.
        if durable.failures == 0 {
            durable.not_before = now;
        }
    }
    let stored = world.rollouts.store_copies.get(model).and_then(|durable| durable.stored);
    Ok(Answer::Done(serde_json::json!({
        "model": &**model,
        "version": version,
        "stored": stored.is_some_and(|stored| stored >= version),
    })))
}

fn publish(world: &mut World, model: &ModelId, spread: Spread) {
    let Some(desired) = world.rollouts.desired.get(model) else {
        return;
    };
    let item = wire::Item::Desired(wire::Desired {
        model: model.to_string(),
        version: desired.version,
        weights: desired.weights.to_string(),
    });
    peer::publish(world, item, spread);
}

/// Takes a wanted version that a peer reported.
pub fn receive(world: &mut World, model: ModelId, desired: Desired) {
    if !desired.newer(world.rollouts.desired.get(&model)) {
        return;
    }
    world.rollouts.desired.insert(model.clone(), desired);
    if !world.rollouts.is_leader {
        return;
    }
    // A row is lost with its owner, so the leader of each zone carries one too.
    publish(world, &model, Spread::Gossip);
    let soon = world.now + LEADER_DELAY;
    let durable = world.rollouts.store_copies.entry(model).or_default();
    if durable.failures == 0 {
        durable.not_before = durable.not_before.min(soon);
    }
}

/// Reads records soon, because a target shows a version that nobody here announced.
pub fn read_soon(world: &mut World, model: &ModelId) {
    let now = world.now;
    let durable = world.rollouts.store_copies.entry(model.clone()).or_default();
    if durable.failures == 0 {
        durable.not_before = durable.not_before.min(now);
    }
}

/// Whether no announcement of this host waits for the store.
pub fn idle(world: &World) -> bool {
    world.rollouts.store_copies.values().all(|durable| !durable.announced)
}

/// Takes the store's answer about a model's record.
pub fn store_reply(world: &mut World, model: ModelId, result: Result<Reply, store::Failure>) {
    let now = world.now;
    let pause = backoff::delay(&mut world.rng, 0);
    let Some(durable) = world.rollouts.store_copies.get_mut(&model) else {
        return;
    };
    let step = std::mem::take(&mut durable.step);
    let value = match (step, result) {
        (Step::Reading, Ok(Reply::Value(value)))
        | (Step::Writing(_), Ok(Reply::Conflict(value))) => value,
        (Step::Writing(version), Ok(Reply::Swapped { changed })) => {
            durable.seen = Some(Some(changed));
            durable.stored = Some(version);
            return settled(world, &model);
        }
        (_, Ok(_) | Err(_)) => {
            // A write whose answer was lost may have taken effect, so the record is read before the next write.
            durable.seen = None;
            durable.not_before = now + backoff::delay(&mut world.rng, durable.failures);
            durable.failures = durable.failures.saturating_add(1);
            world.rollouts.store_failing_since.get_or_insert(now);
            return;
        }
    };
    let record =
        value.as_ref().and_then(|value| serde_json::from_slice::<Record>(&value.bytes).ok());
    if value.is_some() && record.is_none() {
        world.log(log::Level::Warn, format!("could not read the stored version of model {model}"));
    }
    if let Some(durable) = world.rollouts.store_copies.get_mut(&model) {
        durable.seen = Some(value.map(|value| value.changed));
        durable.stored = record.as_ref().map(|record| record.version);
        // A conflict is followed by another write, but not at once: somebody else writes too.
        durable.not_before = if step == Step::Reading { now } else { now + pause };
    }
    if let Some(record) = record {
        let desired = Desired { version: record.version, weights: record.weights };
        if desired.newer(world.rollouts.desired.get(&model)) {
            world.rollouts.desired.insert(model.clone(), desired);
            publish(world, &model, Spread::PushFew);
        }
    }
    settled(world, &model);
}

/// Notes that the store answered, and whether the record is as wanted.
fn settled(world: &mut World, model: &ModelId) {
    world.rollouts.store_failing_since = None;
    let wanted = world.rollouts.desired.get(model).map(|desired| desired.version);
    let next = world.now + if leased(world) { READ_INTERVAL } else { PROBE_INTERVAL };
    if let Some(durable) = world.rollouts.store_copies.get_mut(model) {
        durable.failures = 0;
        if wanted <= durable.stored {
            durable.announced = false;
            durable.not_before = next;
        }
    }
}

fn leased(world: &World) -> bool {
    world.store.held(&super::order::lease(&world.hosts.zone), world.now).is_some()
}

/// Reads and writes the records that this host looks after.
pub fn run(world: &mut World) {
    let mut models: BTreeSet<ModelId> = BTreeSet::new();
    if world.rollouts.is_leader
        && let Some(snapshot) = &world.config.snapshot
    {
        models.extend(snapshot.models.keys().cloned());
    }
    let announced = world.rollouts.store_copies.iter().filter(|(_, durable)| durable.announced);
    models.extend(announced.map(|(model, _)| model.clone()));
    for model in models {
        let wanted = world.rollouts.desired.get(&model).cloned();
        let durable = world.rollouts.store_copies.entry(model.clone()).or_default();
        if durable.step != Step::Idle || world.now < durable.not_before {
            continue;
        }
        let key: Box<str> = format!("version/{model}").into();
        let call = match (wanted, durable.seen) {
            (Some(wanted), Some(seen)) if Some(wanted.version) > durable.stored => {
                durable.step = Step::Writing(wanted.version);
                let record = Record { version: wanted.version, weights: wanted.weights };
                Call::Swap {
                    key,
                    expect: seen.map_or(Expect::Absent, Expect::At),
                    value: Bytes::from(serde_json::to_vec(&record).unwrap_or_default()),
                    lease: None,
                }
            }
            _ => {
                durable.step = Step::Reading;
                Call::Get { key }
            }
        };
        store::call(world, Purpose::Version(model), call);
    }
}
