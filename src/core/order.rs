//! Orders that bring the engines of this host's zone to the wanted versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        Action, World, backoff, desired,
        engines::Engines,
        last_engine,
        rollout::{Failure, Op, Order, OrderReply},
        settings::Policy,
        store, target,
    },
    file::{Model, Snapshot},
    prelude::*,
};

/// Added to a load's timeout before its answer counts as lost.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Last time of sending for an order that no lease bounds.
const OUTAGE_SEND_WITHIN: Duration = Duration::from_secs(2);
/// Reports that come this long after a load show it; gossip takes up to 5 s. Without newer reports nothing is repeated.
const SETTLE: Duration = Duration::from_secs(6);
/// Time to hear of an announcement when an engine shows a higher version than wanted.
const AHEAD_GRACE: Duration = Duration::from_secs(30);

/// Time between two plannings, which walk all targets.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Permission to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    pub fence: Fence,
    /// Last time of sending.
    pub until: Time,
}

/// Orders in flight and what came of earlier ones.
#[derive(Debug, Default)]
pub struct Table {
    last: u64,
    pub in_flight: BTreeMap<u64, PendingOrder>,
    /// Targets of the orders in flight.
    pub busy: BTreeSet<TargetId>,
    retries: BTreeMap<TargetId, Retry>,
    /// Version that a target said it loaded, and the time from which its reports must show it.
    loaded: BTreeMap<TargetId, (Version, Time)>,
    /// Since when a target shows a higher version than wanted.
    ahead_since: BTreeMap<TargetId, Time>,
    /// Highest fencing number that a target refused as old.
    refused_fence: Option<Fence>,
    lease_wanted: bool,
    /// Models for which this host asks for the lease of a last engine.
    pub last_engine_leases: BTreeSet<ModelId>,
    /// Since when a version is wanted, where a last engine waits for it.
    pub wanted_since: BTreeMap<ModelId, (Version, Time)>,
    /// When orders were last planned.
    planned_at: Time,
}

impl Table {
    /// Whether the last load of a target failed and the target was not polled since.
    pub fn failed(&self, world: &World, target: &TargetId) -> bool {
        let row = world.targets.rows.get(target);
        let reported = row.map_or(Duration::ZERO, |row| row.reported_at);
        self.retries.get(target).is_some_and(|retry| retry.failed >= reported)
    }
}

/// An order without an answer.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub target: TargetId,
    pub model: ModelId,
    pub version: Version,
    pub fence: Fence,
    pub until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Retry {
    failures: u32,
    failed: Time,
    not_before: Time,
}

/// An engine of the zone that could be reply.
struct Candidate {
    version: Option<Version>,
    running: u32,
    target: TargetId,
}

/// Name of the lease for orders in a zone.
pub fn lease(zone: &str) -> Box<str> {
    format!("orders/{zone}").into()
}

/// Permission to send orders now: the lease, or the last known fencing number while the store does not answer.
pub fn authority(world: &World) -> Option<Authority> {
    if !world.rollouts.is_leader || world.draining {
        return None;
    }
    let name = lease(&world.hosts.zone);
    if let Some(held) = world.store.held(&name, world.now) {
        return Some(Authority { fence: held.fence, until: held.until });
    }
    let fence = world.store.known_fence(&name)?;
    world
        .rollouts
        .outage(world.now)
        .then_some(Authority { fence, until: world.now + OUTAGE_SEND_WITHIN })
}

/// Asks for the lease or gives it back, then paces and sends orders.
pub fn run(world: &mut World) {
    let leads = world.rollouts.is_leader;
    let name = lease(&world.hosts.zone);
    if leads != world.rollouts.orders.lease_wanted {
        world.rollouts.orders.lease_wanted = leads;
        if leads {
            store::acquire(world, &name);
        } else {
            store::release(world, &name);
            for model in std::mem::take(&mut world.rollouts.orders.last_engine_leases) {
                store::release(world, &last_engine::lease(&model));
            }
        }
    }
    // An answer to an order resets the time, so that the next load starts at once.
    if world.now >= world.rollouts.orders.planned_at + PLAN_INTERVAL {
        world.rollouts.orders.planned_at = world.now;
        run_with(world, authority);
    }
}

/// Paces and sends orders for as long as `authority` permits it; it is asked again before each order.
pub fn run_with(world: &mut World, authority: impl Fn(&World) -> Option<Authority>) {
    expire(world);
    let Some(snapshot) = world.config.snapshot.clone() else {
        return;
    };
    for (name, model) in &snapshot.models {
        if model.zones.contains(&world.hosts.zone) {
            order_model(world, &snapshot, name, model, &authority);
        }
    }
}

fn order_model(
    world: &mut World,
    snapshot: &Snapshot,
    name: &ModelId,
    model: &Model,
    authority: &impl Fn(&World) -> Option<Authority>,
) {
    let Some(wanted) = world.rollouts.desired.get(name).cloned() else {
        return;
    };
    if usable(world, authority).is_none() {
        return;
    }
    let engines = Engines::new(world, snapshot, name, model);
    let live = engines.live.len();
    let orders = &world.rollouts.orders;
    let loading = orders.in_flight.values().filter(|flight| flight.model == *name).count();
    let mut serving = engines.serving(world);
    let mut room = match world.settings.policy {
        Policy::Baseline => usize::MAX,
        Policy::Full => {
            let unavailable = (live * model.max_unavailable_percent as usize / 100).max(1);
            unavailable.min(engines.max_loads).saturating_sub(loading)
        }
    };
    let candidates = candidates(world, &engines.live, name, wanted.version);
    if loading == 0 && (live >= 2 || candidates.is_empty()) {
        last_engine::done(world, name);
    }
    for candidate in candidates {
        if room == 0 {
            return;
        }
        let last = serving.len() == 1 && serving.contains(&candidate.target);
        if last && world.settings.policy == Policy::Full {
            let alone = live < 2
                && last_engine::permitted(
                    world,
                    name,
                    engines.place,
                    wanted.version,
                    model.load_timeout,
                );
            if !alone {
                return;
            }
        }
        let Some(authority) = usable(world, authority) else {
            return;
        };
        let Some(row) = world.targets.rows.get_mut(&candidate.target) else {
            continue;
        };
        row.loading_weights = true;
        let address = row.address.clone();
        room -= 1;
        serving.remove(&candidate.target);
        let orders = &mut world.rollouts.orders;
        orders.last += 1;
        let id = orders.last;
        let flight = PendingOrder {
            target: candidate.target.clone(),
            model: name.clone(),
            version: wanted.version,
            fence: authority.fence,
            until: world.now + model.load_timeout + ANSWER_MARGIN,
        };
        orders.busy.insert(flight.target.clone());
        orders.in_flight.insert(id, flight);
        world.emit(Action::Order(Order {
            id,
            target: candidate.target,
            address,
            fence: authority.fence,
            op: Op::LoadVersion,
            model: name.clone(),
            desired: wanted.clone(),
            timeout: model.load_timeout,
            send_by: authority.until,
        }));
    }
}

/// Permission whose fencing number no target refused.
fn usable(world: &World, authority: &impl Fn(&World) -> Option<Authority>) -> Option<Authority> {
    authority(world).filter(|authority| {
        world.rollouts.orders.refused_fence.is_none_or(|stale| authority.fence > stale)
    })
}

/// Engines that show another version than wanted and may be reply now, oldest weights first.
fn candidates(
    world: &mut World,
    engines: &[TargetId],
    model: &ModelId,
    wanted: Version,
) -> Vec<Candidate> {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let mut found = Vec::new();
    let mut hurry = false;
    for target in engines {
        let Some(row) = world.targets.rows.get(target) else {
            continue;
        };
        // An engine without a report is reply once and then taken to serve what it answered that it loaded.
        let version = row.report.as_ref().and_then(|report| report.versions.get(model).copied());
        if version == Some(wanted) {
            orders.retries.remove(target);
            orders.loaded.remove(target);
            orders.ahead_since.remove(target);
            continue;
        }
        if version > Some(wanted) {
            let since = *orders.ahead_since.entry(target.clone()).or_insert(now);
            hurry |= since == now;
            if now < since + AHEAD_GRACE {
                continue;
            }
        } else {
            orders.ahead_since.remove(target);
        }
        let settling = orders.loaded.get(target).is_some_and(|&(version, _)| version == wanted);
        let paused = orders.retries.get(target).is_some_and(|retry| now < retry.not_before);
        let busy = orders.busy.contains(target);
        if !settling && !paused && !busy {
            found.push(Candidate {
                version,
                running: row.report.as_ref().map_or(row.in_flight, |report| report.running),
                target: target.clone(),
            });
        }
    }
    if hurry {
        desired::read_soon(world, model);
    }
    found.sort_unstable_by(|a, b| {
        (a.version, a.running, &a.target).cmp(&(b.version, b.running, &b.target))
    });
    found
}

/// Takes the answer to an order.
pub fn receive_reply(world: &mut World, reply: OrderReply) {
    let Some(flight) = world.rollouts.orders.in_flight.remove(&reply.id) else {
        return;
    };
    let result = reply.result;
    finish(world, &flight, result);
    if result == Err(Failure::StaleFence) {
        let orders = &mut world.rollouts.orders;
        orders.refused_fence = orders.refused_fence.max(Some(flight.fence));
        let name = lease(&world.hosts.zone);
        // A lease that is taken anew has a higher fencing number.
        if world.rollouts.orders.lease_wanted {
            world.rollouts.orders.lease_wanted = false;
            store::release(world, &name);
        }
        let text =
            format!("target {} refused fencing number {} as old", flight.target, flight.fence);
        world.log(log::Level::Warn, text);
    }
}

fn finish(world: &mut World, flight: &PendingOrder, result: Result<(), Failure>) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(&flight.target) {
        row.loading_weights = false;
    }
    let target = flight.target.clone();
    let orders = &mut world.rollouts.orders;
    orders.busy.remove(&target);
    orders.planned_at = Duration::ZERO;
    match result {
        Ok(()) => {
            orders.retries.remove(&target);
            orders.loaded.insert(target, (flight.version, now + SETTLE));
        }
        Err(Failure::StaleFence) => {}
        Err(failure) => {
            let failures = orders.retries.get(&target).map_or(0, |retry| retry.failures);
            let retry = Retry {
                failures: failures.saturating_add(1),
                failed: now,
                not_before: now + backoff::delay(&mut world.rng, failures),
            };
            orders.retries.insert(target, retry);
            let text = format!(
                "could not load version {} on target {}: {failure:?}",
                flight.version, flight.target
            );
            world.log(log::Level::Warn, text);
        }
    }
}

/// Counts orders without an answer as failed, and forgets targets that are gone.
fn expire(world: &mut World) {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let lost: Vec<u64> = orders
        .in_flight
        .iter()
        .filter(|(_, flight)| now >= flight.until)
        .map(|(&id, _)| id)
        .collect();
    let rows = &world.targets.rows;
    orders.retries.retain(|target, _| rows.contains_key(target));
    orders.loaded.retain(|target, (_, shown)| {
        let silent = |row: &target::Row| row.report.is_none() && row.state == target::State::Live;
        rows.get(target).is_some_and(|row| silent(row) || row.reported_at < *shown)
    });
    orders.ahead_since.retain(|target, _| rows.contains_key(target));
    for id in lost {
        if let Some(flight) = world.rollouts.orders.in_flight.remove(&id) {
            finish(world, &flight, Err(Failure::Unreachable));
        }
    }
}
