//! Calls to the platform's key-value store, with a rate limit, timeouts and routing of replies. Leases are in
//! `lease`.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;

use crate::{
    core::{Action, World, bucket::Bucket, config, lease, rollout},
    prelude::*,
};

/// Rate limit and burst of one host. Normal use is below one call per second. The limit keeps 930 faulty hosts from
/// overloading the store.
const CALLS_PER_S: u32 = 5;
const CALLS_BURST: u32 = 40;

/// Bounds of the exponential backoff after consecutive failures.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Module that made a call and receives its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    Config(config::Step),
    /// Stored weight version of a model.
    Version(ModelId),
}

/// A lease that this host may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    pub fence: Fence,
    /// Deadline for relying on the lease, a safety margin before its expiry.
    pub until: Time,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    Absent,
    /// The last change of the key has this store revision.
    Revision(u64),
}

/// A call to the store.
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
    /// Returns once the key changes after the given store revision, or `Reply::NoChange` after `wait`.
    Watch {
        key: Box<str>,
        after: u64,
        wait: Duration,
    },
}

/// A value and its store revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub bytes: Bytes,
    /// Store revision of the last change.
    pub mod_revision: u64,
    /// Store revision of the creation, used as fencing token.
    pub create_revision: u64,
}

/// Reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Option<Value>),
    /// The write succeeded at this store revision.
    Swapped {
        revision: u64,
    },
    /// The precondition failed; holds the current value.
    Conflict(Option<Value>),
    Deleted,
    Lease {
        id: i64,
        ttl: Duration,
    },
    LeaseGone,
    NoChange,
}

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call did not reach the store.
    Unsent,
    /// The call may or may not have taken effect.
    Unknown,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: CallId,
    pub result: Result<Reply, Failure>,
}

/// Recipient of a reply.
#[derive(Clone, Debug)]
enum Recipient {
    Purpose(Purpose),
    Lease(Box<str>),
}

/// A call in flight.
#[derive(Clone, Debug)]
struct Pending {
    recipient: Recipient,
    deadline: Time,
}

/// Calls in flight and leases held.
#[derive(Debug, Default)]
pub struct Table {
    last_id: CallId,
    pending: BTreeMap<CallId, Pending>,
    /// Calls above the rate limit; they fail as unsent in the next run.
    refused: Vec<(CallId, Recipient)>,
    budget: Option<Bucket>,
    /// Consecutive failures, and the time of the first.
    pub failures: u32,
    pub failing_since: Option<Time>,
    pub(super) leases: BTreeMap<Box<str>, lease::Lease>,
    pub(super) fences: BTreeMap<Box<str>, Fence>,
}

impl Table {
    /// The lease of this name, if this host may still rely on it.
    pub fn held(&self, name: &str, now: Time) -> Option<HeldLease> {
        self.leases.get(name)?.held(now)
    }

    /// Highest known fencing token of a lease, held or not.
    pub fn known_fence(&self, name: &str) -> Option<Fence> {
        self.fences.get(name).copied()
    }

    /// Names of the leases that this host may rely on.
    pub fn held_names(&self, now: Time) -> Vec<&str> {
        let held = self.leases.iter().filter(|(_, lease)| lease.held(now).is_some());
        held.map(|(name, _)| &**name).collect()
    }
}

/// Sends a call. Failures are reported to the caller's module and not retried here.
pub fn call(world: &mut World, purpose: Purpose, call: Call) -> CallId {
    start(world, Recipient::Purpose(purpose), call)
}

/// Sends a call on behalf of a lease.
pub(super) fn lease_call(world: &mut World, name: &str, call: Call) -> CallId {
    start(world, Recipient::Lease(name.into()), call)
}

fn start(world: &mut World, recipient: Recipient, call: Call) -> CallId {
    let now = world.now;
    let timeout = world.settings.store_timeout;
    let table = &mut world.store;
    table.last_id += 1;
    let id = table.last_id;
    let budget = table.budget.get_or_insert_with(|| Bucket::new(CALLS_PER_S, CALLS_BURST, now));
    if !budget.has_tokens(now) {
        table.refused.push((id, recipient));
        return id;
    }
    budget.take(1);
    let wait = match &call {
        Call::Watch { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let deadline = now + wait + timeout;
    table.pending.insert(id, Pending { recipient, deadline });
    world.emit(Action::Store { id, call });
    id
}

/// Exponential backoff with jitter, so that hosts do not all retry at once.
pub fn backoff(world: &mut World, failures: u32) -> Duration {
    let longest = BACKOFF_MIN.saturating_mul(1 << failures.min(16)).min(BACKOFF_MAX);
    longest.mul_f64(world.rng.random_range(0.5..1.0))
}

/// Acquires a lease and keeps it until `release`.
pub fn acquire(world: &mut World, name: &str) {
    lease::acquire(world, name);
}

/// Stops renewing a lease, so that it expires within its TTL. The key is not deleted, as a late delete could remove the
/// key of the next holder.
pub fn release(world: &mut World, name: &str) {
    world.store.leases.remove(name);
}

/// Records a fencing token that a peer reported.
pub fn receive_fence(world: &mut World, name: &str, fence: Fence) {
    let known = world.store.fences.entry(name.into()).or_insert(fence);
    *known = fence.max(*known);
}

/// Handles a result. One that arrives after its timeout is dropped, as it was already reported as unknown.
pub fn input(world: &mut World, answer: Answer) {
    let Some(pending) = world.store.pending.remove(&answer.id) else {
        return;
    };
    deliver(world, answer.id, pending.recipient, answer.result);
}

fn deliver(world: &mut World, id: CallId, recipient: Recipient, result: Result<Reply, Failure>) {
    record_outcome(world, result.is_ok());
    match recipient {
        Recipient::Purpose(Purpose::Config(step)) => config::store_reply(world, step, result),
        Recipient::Purpose(Purpose::Version(model)) => rollout::store_reply(world, model, result),
        Recipient::Lease(name) => lease::store_reply(world, &name, id, result),
    }
}

fn record_outcome(world: &mut World, answered: bool) {
    let now = world.now;
    let table = &mut world.store;
    if !answered {
        table.failures = table.failures.saturating_add(1);
        if table.failing_since.is_none() {
            table.failing_since = Some(now);
            world.log(log::Level::Warn, "key-value store does not answer");
        }
        return;
    }
    table.failures = 0;
    if let Some(since) = table.failing_since.take() {
        let text = format!(
            "key-value store answers again after {} ms",
            now.saturating_sub(since).as_millis()
        );
        world.log(log::Level::Info, text);
    }
}

/// Fails refused and overdue calls, and renews leases.
pub fn run(world: &mut World) {
    let now = world.now;
    for (id, recipient) in std::mem::take(&mut world.store.refused) {
        deliver(world, id, recipient, Err(Failure::Unsent));
    }
    let overdue: Vec<CallId> = world
        .store
        .pending
        .iter()
        .filter(|(_, pending)| pending.deadline <= now)
        .map(|(id, _)| *id)
        .collect();
    for id in overdue {
        if let Some(pending) = world.store.pending.remove(&id) {
            deliver(world, id, pending.recipient, Err(Failure::Unknown));
        }
    }
    lease::run(world);
}
