//! Calls of the platform's key-value service. `lease` has the leases.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use crate::{
    core::{Action, World, bucket::Bucket, config, lease, rollout},
    prelude::*,
};

/// Calls that one host may make in a second, and at once. In normal work a host makes fewer than one; the bound keeps
/// 930 hosts with a fault from taking the service down for the others.
const CALLS_PER_S: u32 = 5;
const CALLS_BURST: u32 = 40;

/// Shortest and longest pause after failures in a row.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// What a call is for; its answer goes there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    Config(config::Step),
    /// Announced weight version of a model.
    Version(ModelId),
}

/// A lease that this host may use now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    pub fence: Fence,
    /// Last time of use; the lease itself lives a margin longer.
    pub until: Time,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    Absent,
    /// The key was last changed at this store revision.
    At(u64),
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Get {
        key: Box<str>,
    },
    Swap {
        key: Box<str>,
        expect: Expect,
        value: Bytes,
        lease: Option<i64>,
    },
    Delete {
        key: Box<str>,
    },
    Grant {
        ttl: Duration,
    },
    KeepAlive {
        lease: i64,
    },
    /// Answers once the key changes after the given store revision, or with no change after `wait`.
    Watch {
        key: Box<str>,
        after: u64,
        wait: Duration,
    },
}

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub bytes: Bytes,
    /// Store revision of the last change.
    pub changed: u64,
    /// Store revision of its creation; serves as fencing number.
    pub created: u64,
}

/// Answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Option<Value>),
    /// The write took effect at this store revision.
    Swapped {
        changed: u64,
    },
    /// The condition did not hold; what stands there now.
    Conflict(Option<Value>),
    Deleted,
    Lease {
        id: i64,
        ttl: Duration,
    },
    LeaseGone,
    NoChange,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call did not reach the service.
    Unsent,
    /// The call may or may not have taken effect.
    Unknown,
}

/// Answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: CallId,
    pub result: Result<Reply, Failure>,
}

/// Whom an answer goes to.
#[derive(Clone, Debug)]
enum Reader {
    Purpose(Purpose),
    Lease(Box<str>),
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
struct Pending {
    reader: Reader,
    deadline: Time,
}

/// Calls in flight and leases held.
#[derive(Debug, Default)]
pub struct Table {
    last: CallId,
    pending: BTreeMap<CallId, Pending>,
    /// Calls above the rate; they are answered as unsent in the next run.
    refused: Vec<(CallId, Reader)>,
    budget: Option<Bucket>,
    /// Failures in a row, and since when.
    pub failures: u32,
    pub failing_since: Option<Time>,
    pub(super) leases: BTreeMap<Box<str>, lease::Lease>,
    pub(super) fences: BTreeMap<Box<str>, Fence>,
}

impl Table {
    /// The lease of this name, if this host may still use it.
    pub fn held(&self, name: &str, now: Time) -> Option<HeldLease> {
        self.leases.get(name)?.held(now)
    }

    /// Highest fencing number known of a lease, held or not.
    pub fn known_fence(&self, name: &str) -> Option<Fence> {
        self.fences.get(name).copied()
    }

    /// Names of the leases that this host may use now.
    pub fn held_names(&self, now: Time) -> Vec<&str> {
        let held = self.leases.iter().filter(|(_, lease)| lease.held(now).is_some());
        held.map(|(name, _)| &**name).collect()
    }
}

/// Sends a call; a failure is reported to the purpose, never repeated here.
pub fn call(world: &mut World, purpose: Purpose, call: Call) -> CallId {
    start(world, Reader::Purpose(purpose), call)
}

/// Sends a call for a lease.
pub(super) fn lease_call(world: &mut World, name: &str, call: Call) -> CallId {
    start(world, Reader::Lease(name.into()), call)
}

fn start(world: &mut World, reader: Reader, call: Call) -> CallId {
    let now = world.now;
    let timeout = world.settings.store_timeout;
    let table = &mut world.store;
    table.last += 1;
    let id = table.last;
    let budget = table.budget.get_or_insert_with(|| Bucket::new(CALLS_PER_S, CALLS_BURST, now));
    if !budget.has_tokens(now) {
        table.refused.push((id, reader));
        return id;
    }
    budget.take(1);
    let wait = match &call {
        Call::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let deadline = now + wait + timeout;
    table.pending.insert(id, Pending { reader, deadline });
    world.emit(Action::Store { id, call });
    id
}

/// Pause before the next try after some failures in a row, with jitter, so that hosts do not come back all at once.
pub fn backoff(world: &mut World, failures: u32) -> Duration {
    let longest = BACKOFF_MIN.saturating_mul(1 << failures.min(16)).min(BACKOFF_MAX);
    longest.mul_f64(world.rng.random_range(0.5..1.0))
}

/// Tries to get and keep a lease until `release`.
pub fn acquire(world: &mut World, name: &str) {
    lease::acquire(world, name);
}

/// Stops renewing a lease; it ends by itself within its time to live. The key is not deleted: a late delete could take
/// the key from the next holder.
pub fn release(world: &mut World, name: &str) {
    world.store.leases.remove(name);
}

/// Takes a fencing number that a peer reported.
pub fn receive_fence(world: &mut World, name: &str, fence: Fence) {
    let known = world.store.fences.entry(name.into()).or_insert(fence);
    *known = fence.max(*known);
}

/// Takes an answer. One that comes after its timeout was already reported as unknown and is dropped.
pub fn input(world: &mut World, answer: Answer) {
    let Some(pending) = world.store.pending.remove(&answer.id) else {
        return;
    };
    settle(world, answer.id, pending.reader, answer.result);
}

fn settle(world: &mut World, id: CallId, reader: Reader, result: Result<Reply, Failure>) {
    note(world, result.is_ok());
    match reader {
        Reader::Purpose(Purpose::Config(step)) => config::store_reply(world, step, result),
        Reader::Purpose(Purpose::Version(model)) => rollout::store_reply(world, model, result),
        Reader::Lease(name) => lease::store_reply(world, &name, id, result),
    }
}

fn note(world: &mut World, answered: bool) {
    let now = world.now;
    let table = &mut world.store;
    if !answered {
        table.failures = table.failures.saturating_add(1);
        if table.failing_since.is_none() {
            table.failing_since = Some(now);
            world.log(log::Level::Warn, "key-value service does not answer");
        }
        return;
    }
    table.failures = 0;
    if let Some(since) = table.failing_since.take() {
        let text = format!(
            "key-value service answers again after {} ms",
            now.saturating_sub(since).as_millis()
        );
        world.log(log::Level::Info, text);
    }
}

/// Timeouts and lease renewal.
pub fn run(world: &mut World) {
    let now = world.now;
    for (id, reader) in std::mem::take(&mut world.store.refused) {
        settle(world, id, reader, Err(Failure::Unsent));
    }
    let late: Vec<CallId> = world
        .store
        .pending
        .iter()
        .filter(|(_, pending)| pending.deadline <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in late {
        if let Some(pending) = world.store.pending.remove(&id) {
            settle(world, id, pending.reader, Err(Failure::Unknown));
        }
    }
    lease::run(world);
}
