//! Calls of the platform's key-value service, and leases.

use bytes::Bytes;

use crate::{
    core::{Action, World, config},
    prelude::*,
};

/// What a call is for; its answer goes there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    Config(config::Step),
    /// Announced weight version of a model.
    Version(ModelId),
}

/// A lease that this host may use now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
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

/// Calls in flight and leases held.
#[derive(Debug, Default)]
pub struct Table {
    last: CallId,
}

impl Table {
    /// The lease of this name, if this host may still use it.
    pub fn held(&self, name: &str, now: Time) -> Option<Held> {
        let _ = (name, now);
        None
    }

    /// Highest fencing number known of a lease, held or not.
    pub fn known_fence(&self, name: &str) -> Option<Fence> {
        let _ = name;
        None
    }
}

/// Sends a call; a failure is reported to the purpose, never repeated here.
pub fn call(world: &mut World, purpose: Purpose, call: Call) -> CallId {
    let _ = purpose;
    world.store.last += 1;
    let id = world.store.last;
    world.emit(Action::Store { id, call });
    id
}

/// Tries to get and keep a lease until `release`.
pub fn want(world: &mut World, name: &str) {
    let _ = (world, name);
}

/// Stops renewing a lease and revokes it.
pub fn release(world: &mut World, name: &str) {
    let _ = (world, name);
}

/// Takes an answer.
pub fn input(world: &mut World, answer: Answer) {
    let _ = (world, answer);
}

/// Timeouts and lease renewal.
pub fn run(world: &mut World) {
    let _ = world;
}
