//! Polls of targets that this host wants to use and of which it knows nothing, or nothing lately.

use crate::{
    core::{
        World,
        health::{self, OVERDUE_INTERVALS, REMOTE_HEALTH_TTL},
        target,
    },
    prelude::*,
};

/// Polls a second by which this host asks targets that it wants to use and knows nothing of. With 93 hosts and 650
/// targets a zone this doubles the regular polls at most.
const ASKS_PER_S: u32 = 8;

/// Polls a target that could be used if it were known to be well.
pub fn on_demand(world: &mut World, target: &TargetId) {
    let now = world.now;
    let (since, count) = &mut world.targets.schedule.on_demand_polls;
    if now >= *since + Duration::from_secs(1) {
        (*since, *count) = (now, 0);
    }
    let overdue = world.settings.poll_interval * OVERDUE_INTERVALS;
    let health = world.targets.health.get(target);
    let out = health
        .is_some_and(|health| health.polls_in_flight.iter().any(|sent| now < *sent + overdue));
    if out || world.targets.schedule.on_demand_polls.1 >= ASKS_PER_S {
        return;
    }
    world.targets.schedule.on_demand_polls.1 += 1;
    health::probe(world, target);
}

/// Whether a target of another zone should be asked again before it counts as unknown.
pub fn expires_soon(world: &World, target: &TargetId) -> bool {
    let known = world.targets.health.get(target).map_or(Time::ZERO, |health| health.healthy_at);
    let remote = world.targets.rows.get(target).is_some_and(|row| row.zone != world.hosts.zone);
    remote && world.now >= known + REMOTE_HEALTH_TTL / 2
}

/// Takes all targets that were well as unknown, after a pause of this host in which it could hear nothing.
pub fn mark_all_unknown(world: &mut World) {
    for row in world.targets.rows.values_mut().filter(|row| row.state == target::State::Live) {
        row.state = target::State::Unknown;
    }
}
