//! Dispatch of queued requests to targets.

use std::{collections::BTreeSet, sync::Arc};

use rand::seq::IteratorRandom;

use crate::{
    core::{
        Action, World, finish, forward,
        lane::Lane,
        probe,
        request::{Attempt, Origin, Stage},
        retry,
        route::{self, Candidate},
        settings::Policy,
        target::State,
    },
    file::{Limits, Snapshot},
    prelude::*,
};

/// Wait of a request that no target with a free slot may take, because of isolation or its earlier attempts.
const BLOCKED_WAIT: Duration = Duration::from_millis(100);
/// Targets that one request has asked before it may use them.
const ASKS_AT_ONCE: usize = 2;
/// Engine priorities; lower runs first.
const CALLER_PRIORITY: i32 = 0;
const BULK_PRIORITY: i32 = 10;

/// What can be done with a request now.
enum Choice {
    Run(TargetId),
    /// No target of the lane has a free slot.
    Full,
    /// Some target has a free slot, but none that this request may use.
    Blocked,
    /// The content has crashed too many targets.
    Refused,
}

/// Serves the lanes in which something changed.
pub fn run(world: &mut World) {
    let Some(snapshot) = world.config.snapshot.clone() else {
        return;
    };
    let under = &mut world.queues.served_under;
    if !under.as_ref().is_some_and(|old| Arc::ptr_eq(old, &snapshot)) {
        *under = Some(snapshot.clone());
        world.queues.touch_all();
    }
    for lane in std::mem::take(&mut world.queues.dirty) {
        match lane.limits(&snapshot) {
            Some(limits) => serve(world, &snapshot, &lane, limits),
            None => refuse(world, &lane),
        }
    }
}

/// Whether some target of a lane may get new work, now or when it has a free slot.
pub fn any_target(world: &World, snapshot: &Snapshot, lane: &Lane) -> bool {
    let zones = lane.zones(snapshot);
    lane.pools(snapshot).any(|(pool, _)| {
        let places = world.targets.places(pool).filter(|(zone, _)| allowed(zones, zone));
        places.flat_map(|(_, targets)| targets).any(|target| usable(world, target))
    })
}

/// Slots of a lane's usable targets that this host does not use.
pub fn free_slots(world: &World, snapshot: &Snapshot, lane: &Lane) -> u32 {
    let zones = lane.zones(snapshot);
    let free = lane.pools(snapshot).flat_map(|(pool, config)| {
        let places = world.targets.places(pool).filter(|(zone, _)| allowed(zones, zone));
        let targets =
            places.flat_map(|(_, targets)| targets).filter(|target| usable(world, target));
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
            Choice::Blocked => retry::delay(world, id, BLOCKED_WAIT),
            Choice::Refused => finish::end(world, id, Err(Code::CrashesTargets)),
        }
    }
}

/// Ends the waiting requests of a lane that the configuration no longer names.
fn refuse(world: &mut World, lane: &Lane) {
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
    let content = row.submit.work.content();
    let prefix = row.submit.work.prefix();
    let count = world.strikes.count(content);
    if count >= limits.crash_limit {
        return Choice::Refused;
    }
    let marked = world.strikes.is_isolated(content);
    if marked && world.strikes.active(content) {
        return Choice::Blocked;
    }
    if marked && count + 1 >= limits.crash_limit {
        return choose_alone(world, snapshot, lane, id);
    }
    let avoid: BTreeSet<&TargetId> = row.submit.avoid.iter().collect();
    let tried: BTreeSet<&TargetId> = row.tried.iter().collect();
    let zones = lane.zones(snapshot);
    let hosts = world.hosts.alive_in(&world.hosts.zone).len();
    let own_zone = &world.hosts.zone;
    let mut free = false;
    let mut fresh_exists = false;
    let (mut fresh, mut repeated) = (Vec::new(), Vec::new());
    let mut unsure = Vec::new();
    // Remote zones are looked at only while the own zone has no target below its slots.
    for remote in [false, true] {
        for (pool, config) in lane.pools(snapshot) {
            let places = world.targets.places(pool);
            let places =
                places.filter(|(zone, _)| (*zone == own_zone) != remote && allowed(zones, zone));
            for target in places.flat_map(|(_, targets)| targets) {
                let Some(target_row) = world.targets.rows.get(target) else {
                    continue;
                };
                if !usable(world, target) {
                    continue;
                }
                free |= target_row.in_flight < config.slots;
                if avoid.contains(target) {
                    continue;
                }
                let unknown = target_row.state == State::Unknown;
                fresh_exists |= !(tried.contains(target) || unknown && target_row.failures > 0);
                if target_row.in_flight >= config.slots {
                    continue;
                }
                if world.strikes.reserved_for(target).is_some_and(|holder| holder != id)
                    || marked && beside_marked(world, target)
                {
                    continue;
                }
                if unknown || probe::expires_soon(world, target) {
                    unsure.push(target.clone());
                }
                if unknown {
                    continue;
                }
                let mut candidate =
                    Candidate::new(target, target_row, config.slots, hosts, own_zone);
                if world.targets.recent_error(target, world.now) {
                    candidate.score += route::ERROR_PENALTY;
                }
                if tried.contains(target) { &mut repeated } else { &mut fresh }.push(candidate);
            }
        }
        if fresh.iter().any(|it: &Candidate| it.score < route::REMOTE_PENALTY) {
            break;
        }
    }
    for target in unsure.into_iter().choose_multiple(&mut world.rng, ASKS_AT_ONCE) {
        probe::on_demand(world, &target);
    }
    // A target that failed this request before is used again only if there is no other.
    let candidates = if fresh.is_empty() && !fresh_exists { repeated } else { fresh };
    let turn = world.queues.of(lane).turn;
    let picked = match world.settings.policy {
        Policy::Full => route::pick(&candidates, prefix, &mut world.rng),
        Policy::Baseline => route::round_robin(&candidates, turn),
    };
    match picked {
        Some(target) => Choice::Run(target),
        None if free => Choice::Blocked,
        None => Choice::Full,
    }
}

/// Target for a content that is one strike from its limit. It runs alone, so that a crash can only be its own; a target
/// is kept free for it until its requests in flight have ended. At most a quarter of the targets are kept free.
fn choose_alone(world: &mut World, snapshot: &Snapshot, lane: &Lane, id: RequestId) -> Choice {
    let Some(row) = world.requests.rows.get(&id) else {
        return Choice::Blocked;
    };
    let held = world.strikes.reservation(id).filter(|held| usable(world, held)).cloned();
    let target = held.or_else(|| {
        let zones = lane.zones(snapshot);
        let pools = lane.pools(snapshot).map(|(pool, _)| pool);
        let places = pools
            .flat_map(|pool| world.targets.places(pool))
            .filter(|(zone, _)| allowed(zones, zone));
        let targets =
            places.flat_map(|(zone, targets)| targets.iter().map(move |target| (zone, target)));
        let usable: Vec<_> = targets.filter(|(_, target)| usable(world, target)).collect();
        let reserved = |target: &TargetId| {
            world.strikes.reserved_for(target).is_some_and(|holder| holder != id)
        };
        if usable.iter().filter(|(_, target)| reserved(target)).count() >= (usable.len() / 4).max(1)
        {
            return None;
        }
        let free =
            usable.into_iter().filter(|(_, it)| !reserved(it) && !row.submit.avoid.contains(it));
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
    let left = row.submit.deadline.saturating_sub(now);
    let timeout = match row.run_limit {
        // The caller's deadline does not end a call that must not run twice; its answer is kept for the key.
        Some(limit) if !row.idempotent => limit,
        Some(limit) => limit.min(left),
        None => left,
    };
    let (ticket, priority) = match row.submit.origin {
        Origin::Caller(ticket) if ticket & forward::FROM_PEER == 0 => {
            (Some(ticket), CALLER_PRIORITY)
        }
        Origin::Caller(_) => (None, CALLER_PRIORITY),
        Origin::Bulk(_) => (None, BULK_PRIORITY),
    };
    let content = row.submit.work.content();
    let action = Action::Dispatch(Attempt {
        id: attempt,
        request: id,
        target,
        address: target_row.address.clone(),
        work: row.submit.work.clone(),
        so_far: row.so_far.clone(),
        ticket,
        priority,
        timeout,
    });
    world.strikes.started(content, id);
    world.emit(action);
}

fn usable(world: &World, target: &TargetId) -> bool {
    world
        .targets
        .rows
        .get(target)
        .is_some_and(|row| matches!(row.state, State::Unknown | State::Live))
}

fn allowed(zones: &[ZoneId], zone: &ZoneId) -> bool {
    zones.is_empty() || zones.contains(zone)
}

fn beside_marked(world: &World, target: &TargetId) -> bool {
    world.requests.contents_on(target).any(|content| world.strikes.is_isolated(content))
}
