//! On-demand polls of targets whose health is unknown or about to expire.
//!
//! Targets of other zones are not polled regularly from here. When a request could use one, it is polled first.

use crate::{
    core::{
        World,
        health::{self, OVERDUE_INTERVALS, REMOTE_HEALTH_TTL},
        target,
    },
    prelude::*,
};

/// On-demand polls of this host per second. With 93 hosts and 650 targets per zone they at most double the regular
/// polls.
const PROBES_PER_S: u32 = 8;

/// Polls a target, unless a poll is in flight or the rate limit is reached.
pub fn on_demand(world: &mut World, target: &TargetId) {
    let now = world.now;
    let (since, count) = &mut world.targets.schedule.on_demand_polls;
    if now >= *since + Duration::from_secs(1) {
        (*since, *count) = (now, 0);
    }
    let overdue = world.settings.poll_interval * OVERDUE_INTERVALS;
    let health = world.targets.health.get(target);
    let in_flight = health
        .is_some_and(|health| health.polls_in_flight.iter().any(|sent| now < *sent + overdue));
    if in_flight || world.targets.schedule.on_demand_polls.1 >= PROBES_PER_S {
        return;
    }
    world.targets.schedule.on_demand_polls.1 += 1;
    health::probe(world, target);
}

/// Whether the health of a target of another zone is past half of its lifetime, so that it should be polled again.
pub fn expires_soon(world: &World, target: &TargetId) -> bool {
    let known = world.targets.health.get(target).map_or(Time::ZERO, |health| health.healthy_at);
    let remote = world.targets.rows.get(target).is_some_and(|row| row.zone != world.hosts.zone);
    remote && world.now >= known + REMOTE_HEALTH_TTL / 2
}

/// Sets all live targets to unknown, after this host was suspended and could receive no updates.
pub fn mark_all_unknown(world: &mut World) {
    for row in world.targets.rows.values_mut().filter(|row| row.state == target::State::Live) {
        row.state = target::State::Unknown;
    }
}
