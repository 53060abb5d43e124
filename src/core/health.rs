//! Health checks of targets: polls, quarantine, and the gossip of poll results.
//!
//! The first live host in rank for a target polls it and gossips its load in the zone. A target that cannot be reached
//! is quarantined: it gets no work and is probed with exponential backoff until it answers.

use std::collections::BTreeSet;

use rand::Rng;

use crate::{
    core::{
        Action, World, peer,
        target::{self, Outcome, Polled, Report, State},
    },
    file::Kind,
    prelude::*,
    wire,
};

/// Bounds of the interval between probes of a quarantined target, which doubles.
const PROBE_MIN: Duration = Duration::from_secs(1);
pub const PROBE_MAX: Duration = Duration::from_secs(60);
/// Interval of reports about a target whose load does not change.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Poll intervals after which a poll without an answer counts as failed.
pub(super) const OVERDUE_INTERVALS: u32 = 3;
/// Maximum polls of one target in flight: the regular one, and an immediate one after a connection broke.
const POLLS_IN_FLIGHT_MAX: usize = 2;
/// Time for which a poll by this host shows that a target of another zone may be used. Load reports stay within a zone,
/// and the target may have begun to leave since.
pub(super) const REMOTE_HEALTH_TTL: Duration = Duration::from_secs(3);
/// Minimum interval between assignments of the targets that this host polls.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(250);

/// Health of a target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Time at which the target itself reported that it is leaving.
    pub leaving_since: Option<Time>,
    /// The zone of the target published that it gets no work.
    pub zone_unavailable: bool,
    /// The host list marks it as leaving.
    pub listed_leaving: bool,
    /// A poll or connection attempt failed since the target was last healthy.
    pub unreachable: bool,
    /// End of the time for which a failed request counts as recent.
    pub error_until: Time,
    /// Times at which the polls in flight were sent.
    pub(super) polls_in_flight: Vec<Time>,
    next_poll: Option<Time>,
    pub probe_interval: Option<Duration>,
    /// Time at which the target was last healthy, by a poll of this host or a report of its poller.
    pub(super) healthy_at: Time,
    /// Time of the next probe. Failures before it belong to the current quarantine.
    pub probe_at: Time,
    /// End of the quarantine of a target that another host polls.
    quarantine_end: Option<Time>,
    published: Option<Published>,
}

#[derive(Clone, Debug)]
struct Published {
    at: Time,
    outcome: u32,
    load: u32,
    version: Version,
}

impl Health {
    /// Doubles the time to the next probe.
    pub fn next_probe_interval(&mut self) -> Duration {
        let interval = self.probe_interval.map_or(PROBE_MIN, |last| (last * 2).min(PROBE_MAX));
        self.probe_interval = Some(interval);
        interval
    }
}

/// Scheduled polls and ends of quarantine in order of time, and the targets that this host polls.
#[derive(Debug, Default)]
pub struct Schedule {
    polls: BTreeSet<(Time, TargetId)>,
    quarantine_ends: BTreeSet<(Time, TargetId)>,
    /// Times at which poll results of targets in other zones expire.
    remote_expiries: BTreeSet<(Time, TargetId)>,
    /// Start of the current second and the number of targets polled on demand in it.
    pub(super) on_demand_polls: (Time, u32),
    /// Targets that this host polls.
    own_targets: BTreeSet<TargetId>,
    assign_at: Time,
    /// Incremented when the targets change.
    changes: u64,
    /// Value of `changes` and the live hosts at the last assignment.
    assigned: Option<(u64, Vec<HostId>)>,
}

impl Schedule {
    /// Schedules a new assignment of the targets that this host polls.
    pub fn invalidate_assignment(&mut self) {
        self.changes += 1;
        self.assign_at = Time::ZERO;
    }

    /// Whether this host polls a target.
    pub fn is_poller_of(&self, target: &str) -> bool {
        self.own_targets.contains(target)
    }

    /// Removes a target, so that a later one with the same id is scheduled like a new one.
    pub fn forget(&mut self, target: &TargetId) {
        self.own_targets.remove(target);
        self.invalidate_assignment();
    }

    /// Time of the earliest poll or end of quarantine.
    pub fn wake(&self) -> Option<Time> {
        let first = |set: &BTreeSet<(Time, TargetId)>| set.first().map(|(time, _)| *time);
        first(&self.polls).into_iter().chain(first(&self.quarantine_ends)).min()
    }
}

/// Records whether the host list marks a target as leaving.
pub fn set_listed_leaving(world: &mut World, target: &TargetId, leaving: bool) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    let health = world.targets.health.entry(target.clone()).or_default();
    health.listed_leaving = leaving;
    if leaving {
        row.state = State::Leaving;
    } else if row.state == State::Leaving && health.leaving_since.is_none() {
        row.state = State::Unknown;
        world.queues.touch_all();
    }
}

/// Records that a target is healthy. A target that reported leaving becomes live again only after it was unreachable,
/// which shows that it is a new process. An answer that was in flight during that report does not make it live.
pub fn mark_healthy(world: &mut World, target: &TargetId) {
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    let health = world.targets.health.entry(target.clone()).or_default();
    if health.unreachable {
        health.leaving_since = None;
    }
    health.unreachable = false;
    health.probe_interval = None;
    row.failures = 0;
    health.healthy_at = world.now;
    if row.zone != world.hosts.zone {
        let until = world.now + REMOTE_HEALTH_TTL;
        world.targets.schedule.remote_expiries.insert((until, target.clone()));
    }
    let state = if health.leaving_since.is_some() || health.listed_leaving {
        State::Leaving
    } else {
        State::Live
    };
    row.state = state;
    world.queues.touch_all();
}

/// Records that the poller of a target reports it as healthy. A report that was in flight when the target reported
/// leaving does not make it live. After two report intervals the poller has noticed, so a report is about a new
/// process.
pub fn mark_healthy_by_poller(world: &mut World, target: &TargetId) {
    let now = world.now;
    if let Some(health) = world.targets.health.get_mut(target) {
        health.leaving_since.take_if(|at| now >= *at + REPORT_INTERVAL * 2);
    }
    mark_healthy(world, target);
}

/// Stops new work to a target that cannot be reached. Leaving targets stay leaving.
pub fn quarantine(world: &mut World, target: &TargetId, interval: Duration) {
    let now = world.now;
    let Some(row) = world.targets.rows.get_mut(target) else {
        return;
    };
    if row.state != State::Leaving {
        row.state = State::Quarantined;
    }
    let health = world.targets.health.entry(target.clone()).or_default();
    health.unreachable = true;
    health.probe_at = now + interval;
    if world.targets.schedule.own_targets.contains(target) {
        schedule_poll(world, target, now + interval);
        return;
    }
    let schedule = &mut world.targets.schedule;
    if let Some(old) = health.quarantine_end.replace(now + interval) {
        schedule.quarantine_ends.remove(&(old, target.clone()));
    }
    schedule.quarantine_ends.insert((now + interval, target.clone()));
}

/// Polls a target at once, also if another host is its poller.
pub fn probe(world: &mut World, target: &TargetId) {
    let now = world.now;
    let overdue = world.settings.poll_interval * OVERDUE_INTERVALS;
    let Some(row) = world.targets.rows.get(target) else {
        return;
    };
    let address = row.address.clone();
    let health = world.targets.health.entry(target.clone()).or_default();
    health.polls_in_flight.retain(|sent| now < *sent + overdue);
    if health.polls_in_flight.len() >= POLLS_IN_FLIGHT_MAX {
        return;
    }
    health.polls_in_flight.push(now);
    world.emit(Action::Poll { target: target.clone(), address });
}

/// Records that the oldest poll in flight was answered, and returns when it was sent.
pub fn poll_answered(world: &mut World, target: &TargetId) -> Option<Time> {
    let polls = &mut world.targets.health.get_mut(target)?.polls_in_flight;
    (!polls.is_empty()).then(|| polls.remove(0))
}

/// Gossips the result of the last poll if this host is the target's poller and the result changed enough or is due.
pub fn report(world: &mut World, target: &TargetId) {
    if !world.targets.schedule.own_targets.contains(target) {
        return;
    }
    let (Some(row), Some(health)) =
        (world.targets.rows.get(target), world.targets.health.get(target))
    else {
        return;
    };
    let snapshot = world.config.snapshot.as_deref();
    let pool = snapshot.and_then(|snapshot| snapshot.pools.get(&row.pool));
    // The numbers are those of `wire::Load::outcome`.
    let outcome = match row.state {
        State::Unknown => return,
        State::Live if row.report.is_none() => 3,
        State::Live => 0,
        // Peers read this from the published host list.
        State::Leaving if health.leaving_since.is_none() => return,
        State::Leaving => 1,
        State::Quarantined => 2,
    };
    let empty = Report::default();
    let last = row.report.as_ref().unwrap_or(&empty);
    let version = match pool.map(|pool| &pool.kind) {
        Some(Kind::Engine { model }) => last.versions.get(model).copied().unwrap_or_default(),
        _ => 0,
    };
    let load = last.running + last.waiting;
    let step = pool.map_or(1, |pool| (pool.slots / 10).max(1));
    let (urgent, due) = match &health.published {
        None => (matches!(outcome, 1 | 2), true),
        Some(old) => (
            old.outcome != outcome,
            old.version != version
                || old.load.abs_diff(load) >= step
                || world.now >= old.at + REPORT_INTERVAL,
        ),
    };
    if !urgent && !due {
        return;
    }
    let item = wire::Item::Load(wire::Load {
        target: target.to_string(),
        running: last.running,
        waiting: last.waiting,
        kv_used_percent: last.kv_used_percent,
        version,
        outcome,
    });
    let at = world.now;
    world.targets.health.entry(target.clone()).or_default().published =
        Some(Published { at, outcome, load, version });
    let spread = if urgent { peer::Spread::PushAll } else { peer::Spread::Gossip };
    peer::publish(world, item, spread);
}

/// Sends due polls, expires poll results of other zones, and ends quarantines.
pub fn run(world: &mut World) {
    assign(world);
    let now = world.now;
    while let Some((_, target)) = pop_due(&mut world.targets.schedule.polls, now) {
        poll(world, target);
    }
    while let Some((_, target)) = pop_due(&mut world.targets.schedule.remote_expiries, now) {
        let known = world.targets.health.get(&target).map(|health| health.healthy_at);
        if let Some(row) = world.targets.rows.get_mut(&target)
            && known.is_none_or(|known| now >= known + REMOTE_HEALTH_TTL)
            && row.state == State::Live
        {
            row.state = State::Unknown;
            row.report = None;
        }
    }
    while let Some((time, target)) = pop_due(&mut world.targets.schedule.quarantine_ends, now) {
        let current = world.targets.health.get_mut(&target);
        if current.is_none_or(|health| health.quarantine_end.take_if(|at| *at == time).is_none()) {
            continue;
        }
        if let Some(row) = world.targets.rows.get_mut(&target)
            && row.state == State::Quarantined
        {
            // The next poll decides. One more failure quarantines it again for twice the time.
            row.state = State::Unknown;
            row.failures = 1;
            world.queues.touch_all();
        }
    }
}

fn poll(world: &mut World, target: TargetId) {
    let (now, interval) = (world.now, world.settings.poll_interval);
    let Some(row) = world.targets.rows.get(&target) else {
        return;
    };
    let quarantined = row.state == State::Quarantined;
    let health = world.targets.health.entry(target.clone()).or_default();
    health.next_poll = None;
    let probe_interval = health.probe_interval.filter(|_| quarantined);
    let oldest = health.polls_in_flight.first().copied();
    let overdue = oldest.is_some_and(|sent| now >= sent + interval * OVERDUE_INTERVALS);
    if overdue {
        health.polls_in_flight.clear();
    }
    schedule_poll(world, &target, now + probe_interval.unwrap_or(interval));
    if overdue {
        let outcome = Outcome::Unreachable;
        target::polled(world, Polled { target, outcome });
    } else if oldest.is_none() {
        probe(world, &target);
    }
}

fn schedule_poll(world: &mut World, target: &TargetId, at: Time) {
    let health = world.targets.health.entry(target.clone()).or_default();
    if let Some(old) = health.next_poll.replace(at) {
        world.targets.schedule.polls.remove(&(old, target.clone()));
    }
    world.targets.schedule.polls.insert((at, target.clone()));
}

/// Computes the targets that this host polls, if hosts or targets changed.
fn assign(world: &mut World) {
    let now = world.now;
    if now < world.targets.schedule.assign_at {
        return;
    }
    world.targets.schedule.assign_at = now + ASSIGN_INTERVAL;
    let live: Vec<HostId> =
        world.hosts.live_hosts(&world.hosts.zone).into_iter().cloned().collect();
    let state = (world.targets.schedule.changes, live);
    if world.targets.schedule.assigned.as_ref() == Some(&state) {
        return;
    }
    world.targets.schedule.assigned = Some(state);
    let zone = &world.hosts.zone;
    let local = world.targets.rows.iter().filter(|(_, row)| row.zone == *zone);
    let mine: BTreeSet<TargetId> = local
        .map(|(id, _)| id)
        .filter(|id| world.hosts.ranks_first(&format!("poll/{id}")))
        .cloned()
        .collect();
    let gained: Vec<TargetId> =
        mine.difference(&world.targets.schedule.own_targets).cloned().collect();
    world.targets.schedule.own_targets = mine;
    let schedule = &mut world.targets.schedule;
    schedule.polls.retain(|(_, target)| schedule.own_targets.contains(target));
    for target in gained {
        // Polls are spread over the interval, except that targets of unknown state are polled at once.
        let known = world.targets.rows.get(&target).is_some_and(|row| row.state != State::Unknown);
        let interval = world.settings.poll_interval.mul_f64(world.rng.random());
        let at = if known { now + interval } else { now };
        if let Some(health) = world.targets.health.get_mut(&target) {
            health.next_poll = None;
            health.polls_in_flight.clear();
        }
        schedule_poll(world, &target, at);
    }
}

fn pop_due(set: &mut BTreeSet<(Time, TargetId)>, now: Time) -> Option<(Time, TargetId)> {
    set.first().is_some_and(|(time, _)| *time <= now).then(|| set.pop_first())?
}
