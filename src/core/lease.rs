//! Leases on keys of the key-value store.
//!
//! To acquire a lease, a host requests a grant from the store, creates the key under the grant and sends keep-alives.
//! The creation revision of the key is the fencing token. The expiry is computed from the time at which the grant or
//! keep-alive was sent, on the monotonic clock of this host, so a slow reply or a pause can only make the holder stop
//! early.

use bytes::Bytes;

use crate::{
    core::{
        World,
        peer::{self, Spread},
        store::{self, Call, Expect, Failure, HeldLease, Reply, Value},
    },
    prelude::*,
    wire::{self, Item},
};

/// Share of the TTL after which a lease is renewed. 3 s of 10 s leave time for two more attempts.
const RENEW_AFTER_PERCENT: u32 = 30;

/// Step of acquiring or keeping a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The key is read at the given time.
    Wait(Time),
    Reading,
    Granting,
    /// The key is being created under the granted lease.
    Creating,
    /// The outcome of the creation is unknown, so the key is read back.
    Checking,
    Held {
        fence: Fence,
        /// Time of the next renewal, `None` while one is in flight.
        renew: Option<Time>,
    },
}

/// A lease that this host acquires or holds.
#[derive(Clone, Debug)]
pub struct Lease {
    phase: Phase,
    /// Call in flight; replies to earlier calls are dropped.
    call: CallId,
    id: i64,
    /// Time at which the last grant or keep-alive was sent.
    sent_at: Time,
    /// Earliest time at which the store may expire the lease.
    expires_at: Time,
    margin: Duration,
    failures: u32,
}

impl Lease {
    pub(super) fn held(&self, now: Time) -> Option<HeldLease> {
        let Phase::Held { fence, .. } = self.phase else {
            return None;
        };
        let until = self.expires_at.saturating_sub(self.margin);
        (now < until).then_some(HeldLease { fence, until })
    }
}

/// Starts to acquire a lease, unless this host drains.
pub fn acquire(world: &mut World, name: &str) {
    if world.draining || world.store.leases.contains_key(name) {
        return;
    }
    let lease = Lease {
        phase: Phase::Wait(world.now),
        call: 0,
        id: 0,
        sent_at: world.now,
        expires_at: Duration::ZERO,
        margin: world.settings.lease_margin,
        failures: 0,
    };
    world.store.leases.insert(name.into(), lease);
}

/// Value of the key. It identifies this attempt, so reading it back resolves a lost reply to the creation.
fn value(world: &World, lease: i64) -> Bytes {
    format!("{}/{:016x}/{lease}", world.hosts.local_id, world.settings.incarnation).into()
}

/// Handles the reply to the current call of a lease.
pub fn store_reply(world: &mut World, name: &str, call: CallId, result: Result<Reply, Failure>) {
    let Some(lease) = world.store.leases.get(name).filter(|lease| lease.call == call).cloned()
    else {
        return;
    };
    let own_value = value(world, lease.id);
    let now = world.now;
    let is_ours = |found: &Value| found.bytes == own_value;
    if let Ok(Reply::Value(Some(found)) | Reply::Conflict(Some(found))) = &result {
        record_fence(world, name, found.create_revision);
    }
    match (&lease.phase, result) {
        (Phase::Reading, Ok(Reply::Value(None))) => grant(world, name),
        (Phase::Granting, Ok(Reply::Lease { id, ttl })) => {
            update(world, name, |lease| {
                lease.id = id;
                lease.expires_at = lease.sent_at + ttl;
            });
            create(world, name);
        }
        (Phase::Creating, Ok(Reply::Swapped { revision })) => mark_held(world, name, revision),
        (Phase::Creating, Ok(Reply::Conflict(Some(found)))) if is_ours(&found) => {
            mark_held(world, name, found.create_revision);
        }
        (Phase::Creating, Err(Failure::Unknown)) => {
            set_phase(world, name, Phase::Checking);
            read(world, name);
        }
        (Phase::Checking, Ok(Reply::Value(Some(found)))) if is_ours(&found) => {
            mark_held(world, name, found.create_revision);
        }
        // The first creation may still take effect. Repeated under the same lease, at most one of the two succeeds, and
        // the key identifies this attempt either way.
        (Phase::Checking, Ok(Reply::Value(None))) if now < lease.expires_at => create(world, name),
        (Phase::Held { fence, .. }, Ok(Reply::Lease { ttl, .. })) => {
            let (fence, renew) = (*fence, Some(lease.sent_at + ttl * RENEW_AFTER_PERCENT / 100));
            update(world, name, |lease| {
                lease.expires_at = lease.sent_at + ttl;
                lease.failures = 0;
                lease.phase = Phase::Held { fence, renew };
            });
        }
        (Phase::Held { .. }, Ok(Reply::LeaseGone)) => {
            world.log(
                log::Level::Warn,
                format!("lease \"{name}\" no longer exists at the key-value store"),
            );
            retry_later(world, name);
        }
        (Phase::Held { fence, .. }, Err(_)) => {
            let fence = *fence;
            let pause = store::backoff(world, lease.failures);
            update(world, name, |lease| {
                lease.failures += 1;
                lease.phase = Phase::Held { fence, renew: Some(now + pause) };
            });
        }
        (Phase::Checking, Err(_)) if now < lease.expires_at => read(world, name),
        (_, Err(_)) => {
            let pause = store::backoff(world, lease.failures);
            update(world, name, |lease| {
                lease.failures += 1;
                lease.phase = Phase::Wait(now + pause);
            });
        }
        (_, Ok(_)) => retry_later(world, name),
    }
}

fn update(world: &mut World, name: &str, change: impl FnOnce(&mut Lease)) {
    if let Some(lease) = world.store.leases.get_mut(name) {
        change(lease);
    }
}

fn set_phase(world: &mut World, name: &str, phase: Phase) {
    update(world, name, |lease| lease.phase = phase);
}

/// Schedules the next read of the key after a third to two thirds of the TTL, as another host may hold the lease.
fn retry_later(world: &mut World, name: &str) {
    let ttl = world.settings.lease_ttl;
    let pause = ttl.mul_f64(rand::Rng::random_range(&mut world.rng, 0.33..0.66));
    let at = world.now + pause;
    update(world, name, |lease| {
        lease.failures = 0;
        lease.phase = Phase::Wait(at);
    });
}

fn send(world: &mut World, name: &str, call: Call) {
    let id = store::lease_call(world, name, call);
    update(world, name, |lease| lease.call = id);
}

fn read(world: &mut World, name: &str) {
    send(world, name, Call::Get { key: name.into() });
}

fn grant(world: &mut World, name: &str) {
    let (now, ttl) = (world.now, world.settings.lease_ttl);
    update(world, name, |lease| {
        lease.phase = Phase::Granting;
        lease.sent_at = now;
    });
    send(world, name, Call::Grant { ttl });
}

fn create(world: &mut World, name: &str) {
    let Some(id) = world.store.leases.get(name).map(|lease| lease.id) else {
        return;
    };
    set_phase(world, name, Phase::Creating);
    let call = Call::Swap {
        key: name.into(),
        expect: Expect::Absent,
        value: value(world, id),
        lease: Some(id),
    };
    send(world, name, call);
}

fn mark_held(world: &mut World, name: &str, fence: Fence) {
    record_fence(world, name, fence);
    let renew_after = world.settings.lease_ttl * RENEW_AFTER_PERCENT / 100;
    update(world, name, |lease| {
        lease.failures = 0;
        lease.phase = Phase::Held { fence, renew: Some(lease.sent_at + renew_after) };
    });
    world.log(log::Level::Info, format!("acquired lease \"{name}\" with fencing token {fence}"));
}

/// Records the highest fencing token and gossips it, as a peer needs it to send orders during an outage of the
/// service.
fn record_fence(world: &mut World, name: &str, fence: Fence) {
    if world.store.known_fence(name).is_some_and(|known| known >= fence) {
        return;
    }
    store::receive_fence(world, name, fence);
    let item = Item::Fence(wire::Fence { lease: name.into(), fence });
    peer::publish(world, item, Spread::Gossip);
}

/// Starts the reads and renewals that are due. A draining host drops all leases.
pub fn run(world: &mut World) {
    let now = world.now;
    if world.draining {
        world.store.leases.clear();
        return;
    }
    let names: Vec<Box<str>> = world.store.leases.keys().cloned().collect();
    for name in names {
        let Some(lease) = world.store.leases.get(&name) else {
            continue;
        };
        match lease.phase {
            Phase::Wait(at) if at <= now => {
                set_phase(world, &name, Phase::Reading);
                read(world, &name);
            }
            Phase::Held { fence, renew: Some(at) } if at <= now => {
                let id = lease.id;
                update(world, &name, |lease| {
                    lease.sent_at = now;
                    lease.phase = Phase::Held { fence, renew: None };
                });
                send(world, &name, Call::KeepAlive { lease: id });
            }
            _ => {}
        }
    }
}
