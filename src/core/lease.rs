//! Leases on keys of the key-value service.
//!
//! A holder grants itself a lease, creates the key under it and keeps it alive. The creation revision of the key is the
//! fencing number. Every end of a lease is counted from before the call that gave or renewed it, by this host's own
//! monotonic time, so a slow answer or a pause can only make the holder stop early.

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

/// Share of the time to live after which a lease is renewed: 3 s of 10 s leaves two more tries.
const RENEW_AFTER_PERCENT: u32 = 30;

/// Where a wanted lease stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Reads the key at the given time.
    Wait(Time),
    Reading,
    Granting,
    /// Creates the key under the granted lease.
    Creating,
    /// The creation may have taken effect: reads back.
    Checking,
    Held {
        fence: Fence,
        /// Time of the next renewal, or none while one is in flight.
        renew: Option<Time>,
    },
}

/// A wanted lease.
#[derive(Clone, Debug)]
pub struct Lease {
    phase: Phase,
    /// Call in flight; answers to earlier ones are dropped.
    call: CallId,
    id: i64,
    /// When the call that gives or renews the lease was sent.
    sent: Time,
    /// End of the lease at the service, at the earliest.
    ends: Time,
    margin: Duration,
    failures: u32,
}

impl Lease {
    pub(super) fn held(&self, now: Time) -> Option<HeldLease> {
        let Phase::Held { fence, .. } = self.phase else {
            return None;
        };
        let until = self.ends.saturating_sub(self.margin);
        (now < until).then_some(HeldLease { fence, until })
    }
}

/// Adds a lease to the wanted ones.
pub fn acquire(world: &mut World, name: &str) {
    if world.draining || world.store.leases.contains_key(name) {
        return;
    }
    let lease = Lease {
        phase: Phase::Wait(world.now),
        call: 0,
        id: 0,
        sent: world.now,
        ends: Duration::ZERO,
        margin: world.settings.lease_margin,
        failures: 0,
    };
    world.store.leases.insert(name.into(), lease);
}

/// Names this attempt in the key's value, so that a lost answer can be resolved by reading it.
fn value(world: &World, lease: i64) -> Bytes {
    format!("{}/{:016x}/{lease}", world.hosts.me, world.settings.incarnation).into()
}

/// Takes the answer to the step that a lease is in.
pub fn store_reply(world: &mut World, name: &str, call: CallId, result: Result<Reply, Failure>) {
    let Some(lease) = world.store.leases.get(name).filter(|lease| lease.call == call).cloned()
    else {
        return;
    };
    let mine = value(world, lease.id);
    let now = world.now;
    let ours = |found: &Value| found.bytes == mine;
    if let Ok(Reply::Value(Some(found)) | Reply::Conflict(Some(found))) = &result {
        learned(world, name, found.created);
    }
    match (&lease.phase, result) {
        (Phase::Reading, Ok(Reply::Value(None))) => grant(world, name),
        (Phase::Granting, Ok(Reply::Lease { id, ttl })) => {
            update(world, name, |lease| {
                lease.id = id;
                lease.ends = lease.sent + ttl;
            });
            create(world, name);
        }
        (Phase::Creating, Ok(Reply::Swapped { changed })) => hold(world, name, changed),
        (Phase::Creating, Ok(Reply::Conflict(Some(found)))) if ours(&found) => {
            hold(world, name, found.created);
        }
        (Phase::Creating, Err(Failure::Unknown)) => {
            set(world, name, Phase::Checking);
            read(world, name);
        }
        (Phase::Checking, Ok(Reply::Value(Some(found)))) if ours(&found) => {
            hold(world, name, found.created);
        }
        // The creation may still land. Sent again under the same lease, at most one of the two succeeds, and either way
        // the key names this attempt.
        (Phase::Checking, Ok(Reply::Value(None))) if now < lease.ends => create(world, name),
        (Phase::Held { fence, .. }, Ok(Reply::Lease { ttl, .. })) => {
            let (fence, renew) = (*fence, Some(lease.sent + ttl * RENEW_AFTER_PERCENT / 100));
            update(world, name, |lease| {
                lease.ends = lease.sent + ttl;
                lease.failures = 0;
                lease.phase = Phase::Held { fence, renew };
            });
        }
        (Phase::Held { .. }, Ok(Reply::LeaseGone)) => {
            world.log(log::Level::Warn, format!("lease \"{name}\" is lost"));
            retry(world, name);
        }
        (Phase::Held { fence, .. }, Err(_)) => {
            let fence = *fence;
            let pause = store::backoff(world, lease.failures);
            update(world, name, |lease| {
                lease.failures += 1;
                lease.phase = Phase::Held { fence, renew: Some(now + pause) };
            });
        }
        (Phase::Checking, Err(_)) if now < lease.ends => read(world, name),
        (_, Err(_)) => {
            let pause = store::backoff(world, lease.failures);
            update(world, name, |lease| {
                lease.failures += 1;
                lease.phase = Phase::Wait(now + pause);
            });
        }
        (_, Ok(_)) => retry(world, name),
    }
}

fn update(world: &mut World, name: &str, change: impl FnOnce(&mut Lease)) {
    if let Some(lease) = world.store.leases.get_mut(name) {
        change(lease);
    }
}

fn set(world: &mut World, name: &str, phase: Phase) {
    update(world, name, |lease| lease.phase = phase);
}

/// Reads the key again after a third to two thirds of the time to live; another host holds it now.
fn retry(world: &mut World, name: &str) {
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
        lease.sent = now;
    });
    send(world, name, Call::Grant { ttl });
}

fn create(world: &mut World, name: &str) {
    let Some(id) = world.store.leases.get(name).map(|lease| lease.id) else {
        return;
    };
    set(world, name, Phase::Creating);
    let call = Call::Swap {
        key: name.into(),
        expect: Expect::Absent,
        value: value(world, id),
        lease: Some(id),
    };
    send(world, name, call);
}

fn hold(world: &mut World, name: &str, fence: Fence) {
    learned(world, name, fence);
    let renew_after = world.settings.lease_ttl * RENEW_AFTER_PERCENT / 100;
    update(world, name, |lease| {
        lease.failures = 0;
        lease.phase = Phase::Held { fence, renew: Some(lease.sent + renew_after) };
    });
    world.log(log::Level::Info, format!("lease \"{name}\" is held with fencing number {fence}"));
}

/// Keeps the highest fencing number and tells the peers, as one of them may have to go on with it in an outage.
fn learned(world: &mut World, name: &str, fence: Fence) {
    if world.store.known_fence(name).is_some_and(|known| known >= fence) {
        return;
    }
    store::receive_fence(world, name, fence);
    let item = Item::Fence(wire::Fence { lease: name.into(), fence });
    peer::publish(world, item, Spread::Gossip);
}

/// Starts the steps that are due.
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
                set(world, &name, Phase::Reading);
                read(world, &name);
            }
            Phase::Held { fence, renew: Some(at) } if at <= now => {
                let id = lease.id;
                update(world, &name, |lease| {
                    lease.sent = now;
                    lease.phase = Phase::Held { fence, renew: None };
                });
                send(world, &name, Call::KeepAlive { lease: id });
            }
            _ => {}
        }
    }
}
