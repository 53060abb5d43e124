//! Orders that bring the engines of this host's zone to the wanted versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        Action, World, desired,
        rollout::{Failure, Op, Order, Ordered},
        settings::Policy,
        store, target, wait,
    },
    file::{Kind, Model, Snapshot},
    prelude::*,
};

/// Added to a load's timeout before its answer counts as lost.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Time without an answer from the store after which the first in rank goes on under the last known fencing number.
const OUTAGE_AFTER: Duration = Duration::from_secs(5);
/// Last time of sending for an order that no lease bounds.
const OUTAGE_SEND_WITHIN: Duration = Duration::from_secs(2);
/// Time for a load report from before the load to be replaced; reports come by gossip within 5 s.
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
    pub in_flight: BTreeMap<u64, Flight>,
    /// Targets of the orders in flight.
    busy: BTreeSet<TargetId>,
    retries: BTreeMap<TargetId, Retry>,
    /// Version that a target said it loaded, until its reports must show it.
    loaded: BTreeMap<TargetId, (Version, Time)>,
    /// Since when a target shows a higher version than wanted.
    ahead: BTreeMap<TargetId, Time>,
    /// Highest fencing number that a target refused as old.
    stale: Option<Fence>,
    wanted: bool,
    /// When orders were last planned.
    planned: Time,
}

/// An order without an answer.
#[derive(Clone, Debug)]
pub struct Flight {
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

/// An engine of the zone that could be ordered.
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
    if !world.rollouts.leads || world.draining {
        return None;
    }
    let name = lease(&world.hosts.zone);
    if let Some(held) = world.store.held(&name, world.now) {
        return Some(Authority {
            fence: held.fence,
            until: held.until,
        });
    }
    let failing = world.rollouts.failing?;
    let fence = world.store.known_fence(&name)?;
    (world.now >= failing + OUTAGE_AFTER).then_some(Authority {
        fence,
        until: world.now + OUTAGE_SEND_WITHIN,
    })
}

/// Asks for the lease or gives it back, then paces and sends orders.
pub fn run(world: &mut World) {
    let leads = world.rollouts.leads;
    let name = lease(&world.hosts.zone);
    if leads != world.rollouts.orders.wanted {
        world.rollouts.orders.wanted = leads;
        if leads {
            store::want(world, &name);
        } else {
            store::release(world, &name);
        }
    }
    // An answer to an order resets the time, so that the next load starts at once.
    if world.now >= world.rollouts.orders.planned + PLAN_INTERVAL {
        world.rollouts.orders.planned = world.now;
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
    let engines = engines(world, snapshot, name, model);
    let live = engines.own.len();
    let orders = &world.rollouts.orders;
    let loading = orders.in_flight.values().filter(|flight| flight.model == *name).count();
    let mut serving = serving(world, &engines.own);
    let mut room = match world.settings.policy {
        Policy::Baseline => usize::MAX,
        Policy::Full => {
            let unavailable = (live * model.max_unavailable_percent as usize / 100).max(1);
            unavailable.min(engines.parallel).saturating_sub(loading)
        }
    };
    for candidate in candidates(world, &engines.own, name, wanted.version) {
        let last = live >= 2
            && serving.len() == 1
            && serving.contains(&candidate.target)
            && world.settings.policy == Policy::Full;
        if room == 0 || last {
            return;
        }
        let Some(authority) = usable(world, authority) else {
            return;
        };
        let Some(row) = world.targets.rows.get_mut(&candidate.target) else {
            continue;
        };
        row.swapping = true;
        let address = row.address.clone();
        room -= 1;
        serving.remove(&candidate.target);
        let orders = &mut world.rollouts.orders;
        orders.last += 1;
        let id = orders.last;
        let flight = Flight {
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

/// Engines that serve now. One whose load failed counts as out of service until it was polled again.
fn serving(world: &World, engines: &[TargetId]) -> BTreeSet<TargetId> {
    let orders = &world.rollouts.orders;
    let failed = |target: &TargetId| {
        let reported = world
            .targets
            .rows
            .get(target)
            .map_or(Duration::ZERO, |row| row.reported_at);
        orders.retries.get(target).is_some_and(|retry| retry.failed >= reported)
    };
    engines
        .iter()
        .filter(|target| !orders.busy.contains(*target) && !failed(target))
        .cloned()
        .collect()
}

/// Permission whose fencing number no target refused.
fn usable(world: &World, authority: &impl Fn(&World) -> Option<Authority>) -> Option<Authority> {
    authority(world).filter(|authority| world.rollouts.orders.stale.is_none_or(|stale| authority.fence > stale))
}

struct Engines {
    /// Live engines of this zone.
    own: Vec<TargetId>,
    /// Loads that this zone may run at once.
    parallel: usize,
}

fn engines(world: &World, snapshot: &Snapshot, name: &ModelId, model: &Model) -> Engines {
    let serves = |row: &target::Row| {
        let pool = snapshot.pools.get(&row.pool);
        let kind = pool.map(|pool| &pool.kind);
        // Engines of other zones are New while this host sends them no work; their zone tells when they are away.
        let up = row.state == target::State::Live || row.state == target::State::New && row.zone != world.hosts.zone;
        up && matches!(kind, Some(Kind::Engine { model }) if model == name)
    };
    let mut own = Vec::new();
    let mut zones: Vec<&ZoneId> = Vec::new();
    for (target, row) in world.targets.rows.iter().filter(|(_, row)| serves(row)) {
        if row.zone == world.hosts.zone {
            own.push(target.clone());
        }
        if model.zones.contains(&row.zone) && !zones.contains(&&row.zone) {
            zones.push(&row.zone);
        }
    }
    // Zones order independently, so the weight store's rate is divided among them. Each has at least one load.
    zones.sort_unstable();
    let parallel = model.parallel_loads as usize;
    let place = zones.iter().position(|zone| **zone == world.hosts.zone).unwrap_or(0);
    let count = zones.len().max(1);
    let share = parallel / count + usize::from(place < parallel % count);
    Engines {
        own,
        parallel: share.max(1),
    }
}

/// Engines that show another version than wanted and may be ordered now, oldest weights first.
fn candidates(world: &mut World, engines: &[TargetId], model: &ModelId, wanted: Version) -> Vec<Candidate> {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let mut found = Vec::new();
    let mut hurry = false;
    for target in engines {
        let report = world.targets.rows.get(target).and_then(|row| row.report.as_ref());
        let Some(report) = report else {
            continue;
        };
        let version = report.versions.get(model).copied();
        if version == Some(wanted) {
            orders.retries.remove(target);
            orders.loaded.remove(target);
            orders.ahead.remove(target);
            continue;
        }
        if version > Some(wanted) {
            let since = *orders.ahead.entry(target.clone()).or_insert(now);
            hurry |= since == now;
            if now < since + AHEAD_GRACE {
                continue;
            }
        } else {
            orders.ahead.remove(target);
        }
        let loaded = orders.loaded.get(target);
        let settling = loaded.is_some_and(|&(version, until)| version == wanted && now < until);
        let paused = orders.retries.get(target).is_some_and(|retry| now < retry.not_before);
        let busy = orders.busy.contains(target);
        if !settling && !paused && !busy {
            found.push(Candidate {
                version,
                running: report.running,
                target: target.clone(),
            });
        }
    }
    if hurry {
        desired::hurry(world, model);
    }
    found.sort_unstable_by(|a, b| (a.version, a.running, &a.target).cmp(&(b.version, b.running, &b.target)));
    found
}

/// Takes the answer to an order.
pub fn ordered(world: &mut World, ordered: Ordered) {
    let Some(flight) = world.rollouts.orders.in_flight.remove(&ordered.id) else {
        return;
    };
    let result = ordered.result;
    finish(world, &flight, result);
    if result == Err(Failure::StaleFence) {
        let orders = &mut world.rollouts.orders;
        orders.stale = orders.stale.max(Some(flight.fence));
        let name = lease(&world.hosts.zone);
        // A lease that is taken anew has a higher fencing number.
        if world.rollouts.orders.wanted {
            world.rollouts.orders.wanted = false;
            store::release(world, &name);
        }
        let text = format!(
            "target {} refused fencing number {} as old",
            flight.target, flight.fence
        );
        world.log(log::Level::Warn, text);
    }
}

fn finish(world: &mut World, flight: &Flight, result: Result<(), Failure>) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(&flight.target) {
        row.swapping = false;
    }
    let target = flight.target.clone();
    let orders = &mut world.rollouts.orders;
    orders.busy.remove(&target);
    orders.planned = Duration::ZERO;
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
                not_before: now + wait::backoff(&mut world.rng, failures),
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
    orders
        .loaded
        .retain(|target, &mut (_, until)| now < until && rows.contains_key(target));
    orders.ahead.retain(|target, _| rows.contains_key(target));
    for id in lost {
        if let Some(flight) = world.rollouts.orders.in_flight.remove(&id) {
            finish(world, &flight, Err(Failure::Unreachable));
        }
    }
}
