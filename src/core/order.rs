//! Orders that bring the engines of this host's zone to the desired weight versions.
//!
//! The first live host in rank of a zone is its leader. It sends orders while it holds the zone's lease, or with the
//! last known fencing token during an outage of the key-value store. A model's `max_unavailable_percent` bounds the
//! engines that load at once.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        Action, World, backoff, desired,
        engines::Engines,
        lane, last_engine,
        rollout::{Failure, Op, Order, OrderReply},
        settings::Policy,
        store, target,
    },
    file::{Model, Snapshot},
    prelude::*,
};

/// Time after a load's timeout at which its reply counts as lost.
const REPLY_MARGIN: Duration = Duration::from_secs(2);
/// Time to send an order that no lease bounds.
const OUTAGE_SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which reports of a target reflect a completed load, as gossip takes up to 5 s. The load is not repeated
/// before such a report.
const REPORT_DELAY: Duration = Duration::from_secs(6);
/// Time for an announcement to arrive when an engine reports a higher version than desired.
const NEWER_VERSION_GRACE: Duration = Duration::from_secs(30);

/// Interval of planning, which iterates over all targets.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Permission to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    pub fence: Fence,
    /// Latest time of sending.
    pub until: Time,
}

/// Orders in flight and the results of earlier ones.
#[derive(Debug, Default)]
pub struct Table {
    last_id: u64,
    pub in_flight: BTreeMap<u64, PendingOrder>,
    /// Targets of the orders in flight.
    pub busy: BTreeSet<TargetId>,
    retries: BTreeMap<TargetId, Retry>,
    /// Version that a target has loaded, and the time from which its reports reflect it.
    loaded: BTreeMap<TargetId, (Version, Time)>,
    /// Time since which a target reports a higher version than desired.
    ahead_since: BTreeMap<TargetId, Time>,
    /// Highest fencing token that a target rejected as stale.
    refused_fence: Option<Fence>,
    /// This host acquires or holds the lease of its zone.
    lease_wanted: bool,
    /// Models for which this host acquires or holds the lease to load a last engine.
    pub last_engine_leases: BTreeSet<ModelId>,
    /// Desired version that a last engine has yet to load, and the time since which it is desired.
    pub desired_since: BTreeMap<ModelId, (Version, Time)>,
    /// Time of the last planning.
    planned_at: Time,
}

impl Table {
    /// Whether the last load of a target failed and no poll result has arrived since.
    pub fn load_failed(&self, world: &World, target: &TargetId) -> bool {
        let row = world.targets.rows.get(target);
        let reported = row.map_or(Duration::ZERO, |row| row.reported_at);
        self.retries.get(target).is_some_and(|retry| retry.failed_at >= reported)
    }
}

/// An order in flight.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    pub target: TargetId,
    pub model: ModelId,
    pub version: Version,
    pub fence: Fence,
    /// Time at which the reply counts as lost.
    pub until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Retry {
    failures: u32,
    failed_at: Time,
    not_before: Time,
}

/// An engine of the zone that may receive an order.
struct Candidate {
    version: Option<Version>,
    running: u32,
    target: TargetId,
}

/// Name of the lease for orders in a zone.
pub fn lease(zone: &str) -> Box<str> {
    format!("orders/{zone}").into()
}

/// Current permission: the lease, or the last known fencing token during an outage of the store.
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
        .then_some(Authority { fence, until: world.now + OUTAGE_SEND_TIMEOUT })
}

/// Acquires the lease as leader and releases it otherwise, then plans and sends orders.
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
    // A reply to an order resets the time, so that the next load starts at once.
    if world.now >= world.rollouts.orders.planned_at + PLAN_INTERVAL {
        world.rollouts.orders.planned_at = world.now;
        run_with(world, authority);
    }
}

/// Plans and sends orders while `authority` permits it. It is called again before each order.
pub fn run_with(world: &mut World, authority: impl Fn(&World) -> Option<Authority>) {
    expire(world);
    let Some(snapshot) = world.config.snapshot.clone() else {
        return;
    };
    for (name, model) in &snapshot.models {
        if lane::is_allowed(&model.zones, &world.hosts.zone) {
            send_model_orders(world, &snapshot, name, model, &authority);
        }
    }
}

fn send_model_orders(
    world: &mut World,
    snapshot: &Snapshot,
    name: &ModelId,
    model: &Model,
    authority: &impl Fn(&World) -> Option<Authority>,
) {
    let Some(desired) = world.rollouts.desired.get(name).cloned() else {
        return;
    };
    if current_authority(world, authority).is_none() {
        return;
    }
    let engines = Engines::new(world, snapshot, name, model);
    let live = engines.live.len();
    let orders = &world.rollouts.orders;
    let loading = orders.in_flight.values().filter(|pending| pending.model == *name).count();
    let mut serving = engines.serving(world);
    let mut max_orders = match world.settings.policy {
        Policy::Baseline => usize::MAX,
        Policy::Full => {
            let unavailable = (live * model.max_unavailable_percent as usize / 100).max(1);
            unavailable.min(engines.max_loads).saturating_sub(loading)
        }
    };
    let candidates = candidates(world, &engines.live, name, desired.version);
    if loading == 0 && (live >= 2 || candidates.is_empty()) {
        last_engine::release(world, name);
    }
    for candidate in candidates {
        if max_orders == 0 {
            return;
        }
        let is_last = serving.len() == 1 && serving.contains(&candidate.target);
        if is_last && world.settings.policy == Policy::Full {
            let is_permitted = live < 2
                && last_engine::permitted(
                    world,
                    name,
                    engines.position,
                    desired.version,
                    model.load_timeout,
                );
            if !is_permitted {
                return;
            }
        }
        let Some(authority) = current_authority(world, authority) else {
            return;
        };
        let Some(row) = world.targets.rows.get_mut(&candidate.target) else {
            continue;
        };
        row.loading_weights = true;
        let address = row.address.clone();
        max_orders -= 1;
        serving.remove(&candidate.target);
        let orders = &mut world.rollouts.orders;
        orders.last_id += 1;
        let id = orders.last_id;
        let pending = PendingOrder {
            target: candidate.target.clone(),
            model: name.clone(),
            version: desired.version,
            fence: authority.fence,
            until: world.now + model.load_timeout + REPLY_MARGIN,
        };
        orders.busy.insert(pending.target.clone());
        orders.in_flight.insert(id, pending);
        world.emit(Action::Order(Order {
            id,
            target: candidate.target,
            address,
            fence: authority.fence,
            op: Op::LoadVersion,
            model: name.clone(),
            desired: desired.clone(),
            timeout: model.load_timeout,
            send_by: authority.until,
        }));
    }
}

/// Permission whose fencing token no target has rejected.
fn current_authority(
    world: &World,
    authority: &impl Fn(&World) -> Option<Authority>,
) -> Option<Authority> {
    authority(world).filter(|authority| {
        world.rollouts.orders.refused_fence.is_none_or(|stale| authority.fence > stale)
    })
}

/// Engines that report another version than the desired one and may receive an order, oldest version first.
fn candidates(
    world: &mut World,
    engines: &[TargetId],
    model: &ModelId,
    desired: Version,
) -> Vec<Candidate> {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let mut found = Vec::new();
    let mut read_soon = false;
    for target in engines {
        let Some(row) = world.targets.rows.get(target) else {
            continue;
        };
        // An engine without reports receives one order and then counts as serving the version that it loaded.
        let version = row.report.as_ref().and_then(|report| report.versions.get(model).copied());
        if version == Some(desired) {
            orders.retries.remove(target);
            orders.loaded.remove(target);
            orders.ahead_since.remove(target);
            continue;
        }
        if version > Some(desired) {
            let since = *orders.ahead_since.entry(target.clone()).or_insert(now);
            read_soon |= since == now;
            if now < since + NEWER_VERSION_GRACE {
                continue;
            }
        } else {
            orders.ahead_since.remove(target);
        }
        let awaits_report =
            orders.loaded.get(target).is_some_and(|&(version, _)| version == desired);
        let backs_off = orders.retries.get(target).is_some_and(|retry| now < retry.not_before);
        let busy = orders.busy.contains(target);
        if !awaits_report && !backs_off && !busy {
            found.push(Candidate {
                version,
                running: row.report.as_ref().map_or(row.in_flight, |report| report.running),
                target: target.clone(),
            });
        }
    }
    if read_soon {
        desired::read_soon(world, model);
    }
    found.sort_unstable_by(|a, b| {
        (a.version, a.running, &a.target).cmp(&(b.version, b.running, &b.target))
    });
    found
}

/// Handles the reply to an order.
pub fn receive_reply(world: &mut World, reply: OrderReply) {
    let Some(pending) = world.rollouts.orders.in_flight.remove(&reply.id) else {
        return;
    };
    let result = reply.result;
    complete(world, &pending, result);
    if result == Err(Failure::StaleFence) {
        let orders = &mut world.rollouts.orders;
        orders.refused_fence = orders.refused_fence.max(Some(pending.fence));
        let name = lease(&world.hosts.zone);
        // A newly acquired lease has a higher fencing token.
        if world.rollouts.orders.lease_wanted {
            world.rollouts.orders.lease_wanted = false;
            store::release(world, &name);
        }
        let text =
            format!("target {} rejected stale fencing token {}", pending.target, pending.fence);
        world.log(log::Level::Warn, text);
    }
}

fn complete(world: &mut World, pending: &PendingOrder, result: Result<(), Failure>) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(&pending.target) {
        row.loading_weights = false;
    }
    let target = pending.target.clone();
    let orders = &mut world.rollouts.orders;
    orders.busy.remove(&target);
    orders.planned_at = Duration::ZERO;
    match result {
        Ok(()) => {
            orders.retries.remove(&target);
            orders.loaded.insert(target, (pending.version, now + REPORT_DELAY));
        }
        Err(Failure::StaleFence) => {}
        Err(failure) => {
            let failures = orders.retries.get(&target).map_or(0, |retry| retry.failures);
            let retry = Retry {
                failures: failures.saturating_add(1),
                failed_at: now,
                not_before: now + backoff::delay(&mut world.rng, failures),
            };
            orders.retries.insert(target, retry);
            let text = format!(
                "could not load version {} on target {}: {failure:?}",
                pending.version, pending.target
            );
            world.log(log::Level::Warn, text);
        }
    }
}

/// Fails overdue orders and drops the state of removed targets.
fn expire(world: &mut World) {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let overdue: Vec<u64> = orders
        .in_flight
        .iter()
        .filter(|(_, pending)| now >= pending.until)
        .map(|(&id, _)| id)
        .collect();
    let rows = &world.targets.rows;
    orders.retries.retain(|target, _| rows.contains_key(target));
    orders.loaded.retain(|target, (_, reported_from)| {
        let has_no_report =
            |row: &target::Row| row.report.is_none() && row.state == target::State::Live;
        rows.get(target).is_some_and(|row| has_no_report(row) || row.reported_at < *reported_from)
    });
    orders.ahead_since.retain(|target, _| rows.contains_key(target));
    for id in overdue {
        if let Some(pending) = world.rollouts.orders.in_flight.remove(&id) {
            complete(world, &pending, Err(Failure::Unreachable));
        }
    }
}
