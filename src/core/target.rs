//! Model engines and plain services that this host may send work to.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        World,
        health::{self, Health},
        listing, strike,
    },
    prelude::*,
};

/// Connects or polls that fail in a row before a target is quarantined.
const FAILURES_MAX: u32 = 2;
/// How long a failed request counts against its target.
const ERROR_MEMORY: Duration = Duration::from_secs(5);

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Known from the host list, or known too long ago; used only once a poll or its poller says that it is well.
    #[default]
    Unknown,
    Live,
    /// Did not answer; probed now and then.
    Quarantined,
    /// Leaves; gets no new work.
    Leaving,
}

/// Load and versions as a target reports them.
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
    /// Last load report, from our own poll or from the peer that polls it.
    pub report: Option<Report>,
    pub reported_at: Time,
    /// Own requests in flight when the report was taken.
    pub in_flight_at_report: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// A weight load is under way.
    pub loading_weights: bool,
    /// Failures in a row.
    pub failures: u32,
}

/// All targets of the fleet by name.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<TargetId, Row>,
    pub(super) health: BTreeMap<TargetId, Health>,
    pub(super) schedule: health::Schedule,
    places: BTreeMap<PoolId, BTreeMap<ZoneId, BTreeSet<TargetId>>>,
}

impl Table {
    /// Targets of a pool by zone.
    pub fn places(&self, pool: &str) -> impl Iterator<Item = (&ZoneId, &BTreeSet<TargetId>)> {
        self.places.get(pool).into_iter().flatten()
    }

    /// Whether a request lately failed on a target.
    pub fn recent_error(&self, target: &str, now: Time) -> bool {
        self.health.get(target).is_some_and(|health| now < health.error_until)
    }

    /// Whether a target itself said that it leaves.
    pub fn reported_leaving(&self, target: &str) -> bool {
        self.health.get(target).is_some_and(|it| it.leaving_since.is_some())
    }

    /// Takes over whether the zone of a target says that it gets no work; tells what it said before.
    pub fn set_zone_unavailable(&mut self, target: &TargetId, unavailable: bool) -> bool {
        let health = self.health.entry(target.clone()).or_default();
        std::mem::replace(&mut health.zone_unavailable, unavailable)
    }

    fn place(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get(target) {
            let zones = self.places.entry(row.pool.clone()).or_default();
            zones.entry(row.zone.clone()).or_default().insert(target.clone());
        }
    }

    fn displace(&mut self, target: &TargetId) {
        let Some(row) = self.rows.get(target) else {
            return;
        };
        if let Some(set) = self.places.get_mut(&row.pool).and_then(|zones| zones.get_mut(&row.zone))
        {
            set.remove(target);
        }
    }
}

/// Answer to a poll.
#[derive(Clone, Debug)]
pub struct Polled {
    pub target: TargetId,
    pub outcome: Outcome,
}

/// How a poll ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Report(Report),
    /// The target answers that it is well, but gives no load report.
    Healthy,
    /// The target says that it leaves.
    Leaving,
    Unreachable,
}

/// Adds a target of the host list, or takes over what the list says about a known one. A target that itself said that
/// it leaves stays leaving, unless another process stands at another address under its name.
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
    world.targets.place(id);
    world.targets.schedule.invalidate_assignment();
    health::set_listed_leaving(world, id, entry.leaving);
    world.queues.touch_all();
}

/// Stops new work to a target that the host list says is leaving.
pub fn record_listed_leaving(world: &mut World, target: &TargetId) {
    health::set_listed_leaving(world, target, true);
}

/// Forgets a target; attempts that still run there are left to end.
pub fn remove(world: &mut World, target: &TargetId) {
    world.targets.displace(target);
    world.targets.rows.remove(target);
    world.targets.health.remove(target);
    world.targets.schedule.forget(target);
}

/// Takes the answer to a poll.
pub fn polled(world: &mut World, polled: Polled) {
    let Polled { target, outcome } = polled;
    if !world.targets.rows.contains_key(&target) {
        return;
    }
    let sent = health::poll_answered(world, &target);
    match outcome {
        Outcome::Report(report) => {
            take_report(world, &target, report);
            health::mark_healthy(world, &target);
            strike::answered(world, &target, sent);
        }
        Outcome::Healthy => {
            drop_report(world, &target);
            health::mark_healthy(world, &target);
            strike::answered(world, &target, sent);
        }
        Outcome::Leaving => {
            record_leaving(world, &target);
            strike::answered(world, &target, sent);
        }
        Outcome::Unreachable => {
            failed(world, &target);
            strike::refused(world, &target);
        }
    }
    health::report(world, &target);
}

/// Takes a load report that the polling peer gossiped. Once this host polls the target itself, rows of the former
/// poller are older than its own polls.
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
            take_report(world, target, report);
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

/// Counts a connection that could not be opened.
pub fn connect_failed(world: &mut World, target: &TargetId) {
    failed(world, target);
    strike::refused(world, target);
    health::report(world, target);
}

/// Takes note that a connection was opened. It does not end a quarantine, since the connection may be older than that,
/// and it does not tell whether the target leaves.
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

/// Takes note that a request failed on a target, which makes it a worse choice for a while.
pub fn request_failed(world: &mut World, target: &TargetId) {
    if let Some(health) = world.targets.health.get_mut(target) {
        health.error_until = world.now + ERROR_MEMORY;
    }
}

/// Takes note that the target itself said that it leaves.
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

/// Takes note that the zone of a target no longer says that it gets no work.
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

/// Polls the targets that this host is the poller of, and ends quarantines.
pub fn run(world: &mut World) {
    health::run(world);
}

fn take_report(world: &mut World, target: &TargetId, report: Report) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(target) {
        row.report = Some(report);
        row.reported_at = now;
        row.in_flight_at_report = row.in_flight;
    }
}

/// Load is then taken from what this host has in flight, and versions from what the orders reached.
fn drop_report(world: &mut World, target: &TargetId) {
    let now = world.now;
    if let Some(row) = world.targets.rows.get_mut(target) {
        row.report = None;
        row.reported_at = now;
    }
}

fn failed(world: &mut World, target: &TargetId) {
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
