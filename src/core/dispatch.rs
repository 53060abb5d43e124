//! Dispatch of queued requests to targets.
//!
//! Each lane with a change is served until its queue is empty or no target has a free slot. Targets of the own zone
//! come first; remote ones are used when the own zone is loaded beyond its slots. Contents that are suspected of
//! crashing targets run isolated, see `strike`.

use std::{collections::BTreeSet, sync::Arc};

use rand::seq::IteratorRandom;

use crate::{
    core::{
        Action, World, finish, forward,
        lane::{Lane, is_allowed},
        probe,
        queue::Class,
        request::{Attempt, Origin, Stage},
        retry,
        route::{self, Candidate},
        settings::Policy,
        target::State,
    },
    file::{Limits, Snapshot},
    prelude::*,
};

/// Delay of a request that none of the targets with free slots may run, because of isolation or earlier attempts.
const BLOCKED_DELAY: Duration = Duration::from_millis(100);
/// Targets of unknown health that are polled for one request.
const PROBES_MAX: usize = 2;
/// Priorities sent to engines; the lower number runs first.
const CALLER_PRIORITY: i32 = 0;
const BULK_PRIORITY: i32 = 10;

/// Decision for the next request of a queue.
enum Choice {
    Run(TargetId),
    /// No target of the lane has a free slot.
    Full,
    /// Some target has a free slot, but this request may use none of them.
    Blocked,
    /// The content has reached its crash limit.
    Refused,
}

/// Serves the lanes that changed since the last run.
pub fn run(world: &mut World) {
    let Some(snapshot) = world.config.snapshot.clone() else {
        return;
    };
    let served = &mut world.queues.served_config;
    if !served.as_ref().is_some_and(|old| Arc::ptr_eq(old, &snapshot)) {
        *served = Some(snapshot.clone());
        world.queues.touch_all();
    }
    for lane in std::mem::take(&mut world.queues.dirty) {
        match lane.limits(&snapshot) {
            Some(limits) => serve(world, &snapshot, &lane, limits),
            None => end_all(world, &lane),
        }
    }
}

/// Whether a lane has a usable target, with or without a free slot.
pub fn has_usable_target(world: &World, snapshot: &Snapshot, lane: &Lane) -> bool {
    let zones = lane.zones(snapshot);
    lane.pools(snapshot).any(|(pool, _)| {
        let by_zone = world.targets.by_zone(pool).filter(|(zone, _)| is_allowed(zones, zone));
        by_zone.flat_map(|(_, targets)| targets).any(|target| is_usable(world, target))
    })
}

/// Slots of a lane's usable targets that are not taken by requests of this host.
pub fn free_slots(world: &World, snapshot: &Snapshot, lane: &Lane) -> u32 {
    let zones = lane.zones(snapshot);
    let free = lane.pools(snapshot).flat_map(|(pool, config)| {
        let by_zone = world.targets.by_zone(pool).filter(|(zone, _)| is_allowed(zones, zone));
        let targets =
            by_zone.flat_map(|(_, targets)| targets).filter(|target| is_usable(world, target));
        targets
            .filter_map(|target| world.targets.rows.get(target))
            .map(|row| config.slots.saturating_sub(row.in_flight))
    });
    free.sum()
}

fn serve(world: &mut World, snapshot: &Snapshot, lane: &Lane, limits: &Limits) {
    loop {
        let queue = world.queues.of(lane);
        let next = match world.settings.policy {
            Policy::Full => queue.next(limits),
            Policy::Baseline => queue.first(),
        };
        let Some(id) = next else {
            return;
        };
        match choose(world, snapshot, lane, limits, id) {
            Choice::Run(target) => {
                world.queues.of(lane).dispatched(id, limits);
                start(world, id, target);
            }
            Choice::Full => return,
            Choice::Blocked => retry::delay(world, id, BLOCKED_DELAY),
            Choice::Refused => finish::end(world, id, Err(Code::CrashesTargets)),
        }
    }
}

/// Ends the queued requests of a lane that is no longer in the configuration.
fn end_all(world: &mut World, lane: &Lane) {
    let queue = world.queues.of(lane);
    let ids: Vec<RequestId> =
        queue.callers.iter().chain(&queue.bulk).chain(&queue.delayed).copied().collect();
    for id in ids {
        finish::end_unserved(world, id, Code::NoTarget);
    }
}

fn choose(
    world: &mut World,
    snapshot: &Snapshot,
    lane: &Lane,
    limits: &Limits,
    id: RequestId,
) -> Choice {
    let Some(row) = world.requests.rows.get(&id) else {
        return Choice::Blocked;
    };
    let content = row.submission.work.content();
    let prefix = row.submission.work.prefix();
    let count = world.strikes.count(content);
    // Bulk requests are owed to a trainer, so they run isolated instead.
    if count >= limits.crash_limit && row.class() == Class::Caller {
        return Choice::Refused;
    }
    let isolated = world.strikes.is_isolated(content);
    if isolated && world.strikes.is_running(content) {
        return Choice::Blocked;
    }
    if isolated && count + 1 >= limits.crash_limit {
        return choose_exclusive(world, snapshot, lane, id);
    }
    let avoid: BTreeSet<&TargetId> = row.submission.avoid.iter().collect();
    let tried: BTreeSet<&TargetId> = row.tried.iter().collect();
    let zones = lane.zones(snapshot);
    let hosts = world.hosts.live_hosts(&world.hosts.zone).len();
    let own_zone = &world.hosts.zone;
    let mut free = false;
    let mut untried_exists = false;
    let (mut untried, mut repeated) = (Vec::new(), Vec::new());
    let mut to_probe = Vec::new();
    // Remote zones are considered only when no target of the own zone is loaded below its slots.
    for remote in [false, true] {
        for (pool, config) in lane.pools(snapshot) {
            let by_zone = world.targets.by_zone(pool);
            let by_zone = by_zone
                .filter(|(zone, _)| (*zone == own_zone) != remote && is_allowed(zones, zone));
            for target in by_zone.flat_map(|(_, targets)| targets) {
                let Some(target_row) = world.targets.rows.get(target) else {
                    continue;
                };
                if !is_usable(world, target) {
                    continue;
                }
                free |= target_row.in_flight < config.slots;
                if avoid.contains(target) {
                    continue;
                }
                let unknown = target_row.state == State::Unknown;
                untried_exists |= !(tried.contains(target) || unknown && target_row.failures > 0);
                if target_row.in_flight >= config.slots {
                    continue;
                }
                if world.strikes.reserved_for(target).is_some_and(|holder| holder != id)
                    || isolated && runs_isolated(world, target)
                {
                    continue;
                }
                if unknown || probe::expires_soon(world, target) {
                    to_probe.push(target.clone());
                }
                if unknown {
                    continue;
                }
                let mut candidate =
                    Candidate::new(target, target_row, config.slots, hosts, own_zone);
                if world.targets.recent_error(target, world.now) {
                    candidate.score += route::ERROR_PENALTY;
                }
                if tried.contains(target) { &mut repeated } else { &mut untried }.push(candidate);
            }
        }
        if untried.iter().any(|it: &Candidate| it.score < route::REMOTE_PENALTY) {
            break;
        }
    }
    for target in to_probe.into_iter().choose_multiple(&mut world.rng, PROBES_MAX) {
        probe::on_demand(world, &target);
    }
    // A target that failed this request before is used again only if there is no other.
    let candidates = if untried.is_empty() && !untried_exists { repeated } else { untried };
    let dispatches = world.queues.of(lane).dispatches;
    let picked = match world.settings.policy {
        Policy::Full => route::pick(&candidates, prefix, &mut world.rng),
        Policy::Baseline => route::round_robin(&candidates, dispatches),
    };
    match picked {
        Some(target) => Choice::Run(target),
        None if free => Choice::Blocked,
        None => Choice::Full,
    }
}

/// Chooses a target for a content that is one strike below its limit. The content runs alone, so that a crash can only
/// be due to it: a target is reserved, and the request starts once nothing else is in flight there. At most a quarter
/// of the lane's targets are reserved at a time.
fn choose_exclusive(world: &mut World, snapshot: &Snapshot, lane: &Lane, id: RequestId) -> Choice {
    let Some(row) = world.requests.rows.get(&id) else {
        return Choice::Blocked;
    };
    let held = world.strikes.reservation(id).filter(|held| is_usable(world, held)).cloned();
    let target = held.or_else(|| {
        let zones = lane.zones(snapshot);
        let pools = lane.pools(snapshot).map(|(pool, _)| pool);
        let by_zone = pools
            .flat_map(|pool| world.targets.by_zone(pool))
            .filter(|(zone, _)| is_allowed(zones, zone));
        let targets =
            by_zone.flat_map(|(zone, targets)| targets.iter().map(move |target| (zone, target)));
        let usable: Vec<_> = targets.filter(|(_, target)| is_usable(world, target)).collect();
        let reserved = |target: &TargetId| {
            world.strikes.reserved_for(target).is_some_and(|holder| holder != id)
        };
        if usable.iter().filter(|(_, target)| reserved(target)).count() >= (usable.len() / 4).max(1)
        {
            return None;
        }
        let free = usable
            .into_iter()
            .filter(|(_, it)| !reserved(it) && !row.submission.avoid.contains(it));
        let best = free.min_by_key(|(zone, target)| {
            let remote = **zone != world.hosts.zone;
            let unknown =
                world.targets.rows.get(*target).is_some_and(|row| row.state == State::Unknown);
            (row.tried.contains(target), unknown, remote, world.requests.in_flight(target))
        });
        best.map(|(_, target)| target.clone())
    });
    let Some(target) = target else {
        return Choice::Blocked;
    };
    world.strikes.reserve(&target, id);
    if world.targets.rows.get(&target).is_none_or(|row| row.state == State::Unknown) {
        probe::on_demand(world, &target);
        return Choice::Blocked;
    }
    if world.requests.in_flight(&target) == 0 { Choice::Run(target) } else { Choice::Blocked }
}

fn start(world: &mut World, id: RequestId, target: TargetId) {
    let now = world.now;
    let requests = &mut world.requests;
    let (Some(row), Some(target_row)) =
        (requests.rows.get_mut(&id), world.targets.rows.get_mut(&target))
    else {
        return;
    };
    requests.last_attempt += 1;
    let attempt = requests.last_attempt;
    requests.attempts.insert(attempt, id);
    requests.by_target.entry(target.clone()).or_default().insert(id);
    target_row.in_flight += 1;
    row.stage = Stage::Running;
    row.attempt = Some(attempt);
    row.target = Some(target.clone());
    row.started = Some(now);
    row.sent = false;
    let left = row.submission.deadline.saturating_sub(now);
    let timeout = match row.run_limit {
        // The caller's deadline does not end a call that is not idempotent; its answer is kept under the key.
        Some(limit) if !row.idempotent => limit,
        Some(limit) => limit.min(left),
        None => left,
    };
    let (ticket, priority) = match row.submission.origin {
        Origin::Caller(ticket) if ticket & forward::FROM_PEER == 0 => {
            (Some(ticket), CALLER_PRIORITY)
        }
        Origin::Caller(_) => (None, CALLER_PRIORITY),
        Origin::Bulk(_) => (None, BULK_PRIORITY),
    };
    let content = row.submission.work.content();
    let action = Action::Dispatch(Attempt {
        id: attempt,
        request: id,
        target,
        address: target_row.address.clone(),
        work: row.submission.work.clone(),
        so_far: row.so_far.clone(),
        ticket,
        priority,
        timeout,
    });
    world.strikes.started(content, id);
    world.emit(action);
}

fn is_usable(world: &World, target: &TargetId) -> bool {
    world
        .targets
        .rows
        .get(target)
        .is_some_and(|row| matches!(row.state, State::Unknown | State::Live))
}

fn runs_isolated(world: &World, target: &TargetId) -> bool {
    world.requests.contents_on(target).any(|content| world.strikes.is_isolated(content))
}
