//! Desired weight versions.
//!
//! A trainer announces a version to any host. The host gossips it and writes it to the key-value store; the leaders
//! of the zones check that the write happened, and repeat it if not.

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

/// Interval at which the leader of a zone reads the records.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval of reads while the leader has no lease. They show whether the store answers.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay of the leaders' reads, within which the host that accepted the announcement usually writes it.
const LEADER_DELAY: Duration = Duration::from_secs(2);
const WEIGHTS_MAX_BYTES: usize = 4096;

/// Value of `version/<model>`.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    version: Version,
    weights: Box<str>,
}

/// Last known state of a model's record in the store.
#[derive(Debug, Default)]
pub struct StoreCopy {
    /// Version of the record at the last reply.
    pub stored: Option<Version>,
    /// Store revision of the record: `None` if it was not read, `Some(None)` if it does not exist.
    read_revision: Option<Option<u64>>,
    step: Step,
    not_before: Time,
    failures: u32,
    /// This host accepted an announcement that is not in the store yet.
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
    /// Whether this one takes precedence. Equal versions compare by the text of the weights, so that all hosts agree.
    pub fn supersedes(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| (self.version, &self.weights) > (other.version, &other.weights))
    }
}

impl From<wire::Desired> for Desired {
    fn from(desired: wire::Desired) -> Self {
        Self { version: desired.version, weights: desired.weights.into() }
    }
}

/// Handles an announcement and answers it at once, before the version is stored.
pub fn announce(world: &mut World, announcement: Announcement) {
    let ticket = announcement.ticket;
    let answer = accept(world, announcement).unwrap_or_else(|(code, message)| Answer::Error {
        code,
        message: message.into(),
        details: Vec::new(),
    });
    world.emit(Action::Admin { ticket, answer });
}

fn accept(world: &mut World, announcement: Announcement) -> Result<Answer, (Code, String)> {
    let snapshot = world.config.snapshot.clone();
    let snapshot =
        snapshot.ok_or_else(|| (Code::NotReady, "no configuration in force yet".into()))?;
    let trainer = snapshot.trainers.get(&announcement.trainer);
    let model = &trainer.ok_or_else(|| (Code::UnknownTrainer, "unknown trainer".into()))?.model;
    if announcement.weights.len() > WEIGHTS_MAX_BYTES {
        return Err((Code::TooLarge, "reference to the weights is too long".into()));
    }
    let desired = Desired { version: announcement.version, weights: announcement.weights };
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
        let copy = world.rollouts.store_copies.entry(model.clone()).or_default();
        copy.announced = true;
        // A failing store keeps its backoff.
        if copy.failures == 0 {
            copy.not_before = now;
        }
    }
    let stored = world.rollouts.store_copies.get(model).and_then(|copy| copy.stored);
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

/// Handles a desired version that a peer reported.
pub fn receive(world: &mut World, model: ModelId, desired: Desired) {
    if !desired.supersedes(world.rollouts.desired.get(&model)) {
        return;
    }
    world.rollouts.desired.insert(model.clone(), desired);
    if !world.rollouts.is_leader {
        return;
    }
    // The leader of each zone publishes the version too, so that it outlives the host that announced it.
    publish(world, &model, Spread::Gossip);
    let read_at = world.now + LEADER_DELAY;
    let copy = world.rollouts.store_copies.entry(model).or_default();
    if copy.failures == 0 {
        copy.not_before = copy.not_before.min(read_at);
    }
}

/// Reads the record of a model at once, as a target reports a newer version than this host knows.
pub fn read_soon(world: &mut World, model: &ModelId) {
    let now = world.now;
    let copy = world.rollouts.store_copies.entry(model.clone()).or_default();
    if copy.failures == 0 {
        copy.not_before = copy.not_before.min(now);
    }
}

/// Whether all announcements made through this host are stored.
pub fn idle(world: &World) -> bool {
    world.rollouts.store_copies.values().all(|copy| !copy.announced)
}

/// Handles the store's reply about a model's record.
pub fn store_reply(world: &mut World, model: ModelId, result: Result<Reply, store::Failure>) {
    let now = world.now;
    let pause = backoff::delay(&mut world.rng, 0);
    let Some(copy) = world.rollouts.store_copies.get_mut(&model) else {
        return;
    };
    let step = std::mem::take(&mut copy.step);
    let value = match (step, result) {
        (Step::Reading, Ok(Reply::Value(value)))
        | (Step::Writing(_), Ok(Reply::Conflict(value))) => value,
        (Step::Writing(version), Ok(Reply::Swapped { revision })) => {
            copy.read_revision = Some(Some(revision));
            copy.stored = Some(version);
            return record_reply(world, &model);
        }
        (_, Ok(_) | Err(_)) => {
            // A write without a reply may have taken effect, so the record is read before the next write.
            copy.read_revision = None;
            copy.not_before = now + backoff::delay(&mut world.rng, copy.failures);
            copy.failures = copy.failures.saturating_add(1);
            world.rollouts.store_failing_since.get_or_insert(now);
            return;
        }
    };
    let record =
        value.as_ref().and_then(|value| serde_json::from_slice::<Record>(&value.bytes).ok());
    if value.is_some() && record.is_none() {
        world.log(log::Level::Warn, format!("could not read the stored version of model {model}"));
    }
    if let Some(copy) = world.rollouts.store_copies.get_mut(&model) {
        copy.read_revision = Some(value.map(|value| value.mod_revision));
        copy.stored = record.as_ref().map(|record| record.version);
        // After a conflict, the next write waits, as another host writes too.
        copy.not_before = if step == Step::Reading { now } else { now + pause };
    }
    if let Some(record) = record {
        let desired = Desired { version: record.version, weights: record.weights };
        if desired.supersedes(world.rollouts.desired.get(&model)) {
            world.rollouts.desired.insert(model.clone(), desired);
            publish(world, &model, Spread::PushFew);
        }
    }
    record_reply(world, &model);
}

/// Records that the store answered, and schedules the next read if the record is up to date.
fn record_reply(world: &mut World, model: &ModelId) {
    world.rollouts.store_failing_since = None;
    let desired = world.rollouts.desired.get(model).map(|desired| desired.version);
    let next = world.now + if holds_lease(world) { READ_INTERVAL } else { PROBE_INTERVAL };
    if let Some(copy) = world.rollouts.store_copies.get_mut(model) {
        copy.failures = 0;
        if desired <= copy.stored {
            copy.announced = false;
            copy.not_before = next;
        }
    }
}

fn holds_lease(world: &World) -> bool {
    world.store.held(&super::order::lease(&world.hosts.zone), world.now).is_some()
}

/// Reads and writes the records of its zone's models as leader, and those of announcements accepted by this host.
pub fn run(world: &mut World) {
    let mut models: BTreeSet<ModelId> = BTreeSet::new();
    if world.rollouts.is_leader
        && let Some(snapshot) = &world.config.snapshot
    {
        models.extend(snapshot.models.keys().cloned());
    }
    let announced = world.rollouts.store_copies.iter().filter(|(_, copy)| copy.announced);
    models.extend(announced.map(|(model, _)| model.clone()));
    for model in models {
        let desired = world.rollouts.desired.get(&model).cloned();
        let copy = world.rollouts.store_copies.entry(model.clone()).or_default();
        if copy.step != Step::Idle || world.now < copy.not_before {
            continue;
        }
        let key: Box<str> = format!("version/{model}").into();
        let call = match (desired, copy.read_revision) {
            (Some(desired), Some(read_revision)) if Some(desired.version) > copy.stored => {
                copy.step = Step::Writing(desired.version);
                let record = Record { version: desired.version, weights: desired.weights };
                Call::Swap {
                    key,
                    expect: read_revision.map_or(Expect::Absent, Expect::Revision),
                    value: Bytes::from(serde_json::to_vec(&record).unwrap_or_default()),
                    lease: None,
                }
            }
            _ => {
                copy.step = Step::Reading;
                Call::Get { key }
            }
        };
        store::call(world, Purpose::Version(model), call);
    }
}
