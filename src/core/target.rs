//! Targets: model engines and plain services that requests are sent to.
//!
//! Each target is polled by one host of its zone, which gossips the outcome to the others. A target that cannot be
//! reached is quarantined, and one that is leaving gets no new work. `health` schedules polls and quarantines.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        World,
        health::{self, Health},
        listing, strike,
    },
    prelude::*,
};

/// Consecutive failed connects or polls that put a target into quarantine.
const FAILURES_MAX: u32 = 2;
/// Time for which a failed request lowers the rank of its target.
const ERROR_PENALTY_TIME: Duration = Duration::from_secs(5);

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Listed, but its health is unknown or too old. It is used once a poll or its poller reports it as healthy.
    #[default]
    Unknown,
    Live,
    /// Could not be reached; probed with backoff.
    Quarantined,
    /// Gets no new work and exits when its requests have ended.
    Leaving,
}

/// Load and weight versions reported by a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub running: u32,
    pub waiting: u32,
    pub kv_used_percent: u32,
    pub versions: BTreeMap<ModelId, Version>,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Row {
    pub pool: PoolId,
    pub zone: ZoneId,
    pub address: Box<str>,
    pub state: State,
    /// Last load report, from a poll by this host or from the peer that polls the target.
    pub report: Option<Report>,
    pub reported_at: Time,
    /// This host's requests in flight when the report was received.
    pub in_flight_at_report: u32,
    /// This host's requests in flight.
    pub in_flight: u32,
    pub loading_weights: bool,
    /// Consecutive failed connects and polls.
    pub failures: u32,
}

/// All targets of the fleet by name.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<TargetId, Row>,
    pub(super) health: BTreeMap<TargetId, Health>,
    pub(super) schedule: health::Schedule,
    by_zone: BTreeMap<PoolId, BTreeMap<ZoneId, BTreeSet<TargetId>>>,
}

impl Table {
    /// Targets of a pool by zone.
    pub fn by_zone(&self, pool: &str) -> impl Iterator<Item = (&ZoneId, &BTreeSet<TargetId>)> {
        self.by_zone.get(pool).into_iter().flatten()
    }

    /// Whether a request failed on a target recently.
    pub fn recent_error(&self, target: &str, now: Time) -> bool {
        self.health.get(target).is_some_and(|health| now < health.error_until)
    }

    /// Whether a target itself reported that it is leaving.
    pub fn reported_leaving(&self, target: &str) -> bool {
        self.health.get(target).is_some_and(|it| it.leaving_since.is_some())
    }

    /// Sets whether the zone of a target reports it as unavailable; returns the previous value.
    pub fn set_zone_unavailable(&mut self, target: &TargetId, unavailable: bool) -> bool {
        let health = self.health.entry(target.clone()).or_default();
        std::mem::replace(&mut health.zone_unavailable, unavailable)
    }

    fn index(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get(target) {
            let zones = self.by_zone.entry(row.pool.clone()).or_default();
            zones.entry(row.zone.clone()).or_default().insert(target.clone());
        }
    }

    fn unindex(&mut self, target: &TargetId) {
        let Some(row) = self.rows.get(target) else {
            return;
        };
        if let Some(set) =
            self.by_zone.get_mut(&row.pool).and_then(|zones| zones.get_mut(&row.zone))
        {
            set.remove(target);
        }
    }
}

/// Result of a poll.
#[derive(Clone, Debug)]
pub struct Polled {
    pub target: TargetId,
    pub outcome: Outcome,
}

/// Outcome of a poll.
#[derive(Clone, Debug)]
pub enum Outcome {
    Report(Report),
    /// The target is healthy but gives no load report.
    Healthy,
    /// The target reports that it is leaving.
    Leaving,
    Unreachable,
}

/// Adds a listed target or updates a known one. A target that itself reported that it is leaving stays leaving, unless
/// its pool, zone or address has changed, which means another process under the same name.
pub fn upsert(world: &mut World, entry: &listing::Entry) {
    let id = &entry.target;
    if let Some(row) = world.targets.rows.get(id) {
        if row.address == entry.address && row.pool == entry.pool && row.zone == entry.zone {
            health::set_listed_leaving(world, id, entry.leaving);
            return;
        }
        remove(world, id);
    }
    let row = Row {
        pool: entry.pool.clone(),
        zone: entry.zone.clone(),
        address: entry.address.clone(),
        state: State::Unknown,
        report: None,
        reported_at: world.now,
        in_flight_at_report: 0,
        in_flight: world.requests.in_flight(id),
        loading_weights: false,
        failures: 0,
    };
    world.targets.rows.insert(id.clone(), row);
    world.targets.index(id);
    world.targets.schedule.invalidate_assignment();
    health::set_listed_leaving(world, id, entry.leaving);
    world.queues.touch_all();
}

/// Stops new work to a target that is listed as leaving.
pub fn record_listed_leaving(world: &mut World, target: &TargetId) {
    health::set_listed_leaving(world, target, true);
}

/// Removes a target; its attempts in flight continue.
pub fn remove(world: &mut World, target: &TargetId) {
    world.targets.unindex(target);
    world.targets.rows.remove(target);
    world.targets.health.remove(target);
    world.targets.schedule.forget(target);
}

/// Handles the result of a poll.
pub fn polled(world: &mut World, polled: Polled) {
    let Polled { target, outcome } = polled;
    if !world.targets.rows.contains_key(&target) {
        return;
    }
    let sent = health::poll_answered(world, &target);
    match outcome {
        Outcome::Report(report) => {
            store_report(world, &target, report);
            health::mark_healthy(world, &target);
            strike::poll_answered(world, &target, sent);
        }
        Outcome::Healthy => {
            drop_report(world, &target);
            health::mark_healthy(world, &target);
            strike::poll_answered(world, &target, sent);
        }
        Outcome::Leaving => {
            record_leaving(world, &target);
            strike::poll_answered(world, &target, sent);
        }
        Outcome::Unreachable => {
            record_failure(world, &target);
            strike::connection_refused(world, &target);
        }
    }
    health::report(world, &target);
}

/// Applies a poll outcome that a peer gossiped. Once this host polls the target itself, rows of the former poller are
/// older than its own polls, so only a leaving target is still accepted from them.
pub fn apply_peer_report(world: &mut World, target: &TargetId, outcome: Outcome) {
    let Some(row) = world.targets.rows.get(target) else {
        return;
    };
    if row.state != State::Unknown
        && world.targets.schedule.is_poller_of(target)
        && !matches!(outcome, Outcome::Leaving)
    {
        return;
    }
    match outcome {
        Outcome::Report(report) => {
            store_report(world, target, report);
            health::mark_healthy_by_poller(world, target);
        }
        Outcome::Healthy => {
            drop_report(world, target);
            health::mark_healthy_by_poller(world, target);
        }
        Outcome::Leaving => record_leaving(world, target),
        Outcome::Unreachable => health::quarantine(world, target, health::PROBE_MAX),
    }
}

/// Records a connection that could not be opened.
pub fn connect_failed(world: &mut World, target: &TargetId) {
    record_failure(world, target);
    strike::connection_refused(world, target);
    health::report(world, target);
}

/// Records that a connection was opened. It ends no quarantine, since the connection may be older than that, and it
/// does not show whether the target is leaving.
pub fn connected(world: &mut World, target: &TargetId) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    if row.state == State::Quarantined {
        return;
    }
    row.failures = 0;
    if let Some(health) = world.targets.health.get_mut(target) {
        health.probe_interval = None;
    }
}

/// Records that a request failed on a target, which lowers its rank for `ERROR_PENALTY_TIME`.
pub fn request_failed(world: &mut World, target: &TargetId) {
    if let Some(health) = world.targets.health.get_mut(target) {
        health.error_until = world.now + ERROR_PENALTY_TIME;
    }
}

/// Records that the target itself reported that it is leaving.
pub fn record_leaving(world: &mut World, target: &TargetId) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    row.state = State::Leaving;
    row.failures = 0;
    let health = world.targets.health.entry(target.clone()).or_default();
    health.leaving_since = Some(world.now);
    health.unreachable = false;
    health::report(world, target);
}

/// Records that the zone of a target no longer reports it as unavailable.
pub fn clear_leaving(world: &mut World, target: &TargetId) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    let health = world.targets.health.entry(target.clone()).or_default();
    health.leaving_since = None;
    if !health.listed_leaving {
        row.state = State::Unknown;
        row.failures = 0;
        world.queues.touch_all();
    }
}

/// Sends due polls and ends quarantines.
pub fn run(world: &mut World) {
    health::run(world);
}

fn store_report(world: &mut World, target: &TargetId, report: Report) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(target) {
        row.report = Some(report);
        row.reported_at = now;
        row.in_flight_at_report = row.in_flight;
    }
}

/// Without a report the load is estimated from the requests in flight, and versions are those of completed orders.
fn drop_report(world: &mut World, target: &TargetId) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(target) {
        row.report = None;
        row.reported_at = now;
    }
}

fn record_failure(world: &mut World, target: &TargetId) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    row.failures += 1;
    let health = world.targets.health.entry(target.clone()).or_default();
    health.unreachable = true;
    let quarantined = row.state == State::Quarantined;
    if row.failures < FAILURES_MAX && !quarantined || quarantined && world.now < health.probe_at {
        return;
    }
    let interval = health.next_probe_interval();
    health::quarantine(world, target, interval);
}
