//! Load balancing of requests over the targets of a plain service.
//!
//! Hosts do not share load figures. Each one balances by what it observes of its own requests: requests in flight,
//! average response time, refusals and broken connections.
//!
//! A host with little traffic has few connections to reuse. If it took the targets in turn, each idle connection would
//! expire before its target's turn came again, and nearly each request would open a new one. So the expected response
//! time of a target counts the set-up of a connection, unless the host has an idle one that the request can use.

use std::{collections::HashMap, sync::Arc, time::Instant};

use crate::{backoff::doubled, dry_run::Exclusion, fleet::Target, logging, prelude::*, view::View};

/// Weight of the latest response in the moving average of response times.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Average response time assumed before the first response.
const INITIAL_AVERAGE: Duration = Duration::from_millis(50);
/// Added to the cost of a target in another zone.
const CROSS_ZONE_COST: Duration = Duration::from_millis(8);
/// Time for which a target is avoided after it refused a request for lack of capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Time for which a target is avoided after a failed connection; doubles with each further failure up to the maximum.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(3);
/// Age of the last response after which a high average is ignored, so that a slow target is tried again.
const AVERAGE_TTL: Duration = Duration::from_secs(3);
/// Time for which a new connection may hold a slot of its target before the request runs. It is below the cost of another
/// zone, so that a connection there does not draw requests out of this one.
const CONNECTION_HOLD: Duration = Duration::from_millis(4);
/// Largest round trip that counts: a host that is short of processor time measures its own delays as well.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(20);

/// Connection that a request to a target would use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An idle one of this host.
    Idle,
    New,
}

/// Statistics of one target.
#[derive(Debug)]
struct Load {
    in_flight: u32,
    /// Requests in flight beside which none is to be placed, as the target may end under them.
    alone: u32,
    average: Duration,
    answered_at: Option<Instant>,
    avoided_until: Option<Instant>,
    /// Connection failures since the last response.
    failures: u32,
    /// Start time of the target; a restarted target gets new statistics.
    started_ms: u64,
}

impl Load {
    fn new(started_ms: u64) -> Self {
        Self {
            in_flight: 0,
            alone: 0,
            average: INITIAL_AVERAGE,
            answered_at: None,
            avoided_until: None,
            failures: 0,
            started_ms,
        }
    }

    /// Why requests avoid the target, if they do.
    fn avoided(&self, now: Instant) -> Option<Exclusion> {
        if self.alone > 0 {
            return Some(Exclusion::Reserved);
        }
        let left = self.avoided_until.filter(|until| *until > now)?.duration_since(now);
        let left_ms = logging::ms(left);
        Some(match self.failures {
            0 => Exclusion::RefusedLately { left_ms },
            _ => Exclusion::FailedLately { left_ms },
        })
    }
}

/// What counts for a target in the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Score {
    /// Average response time.
    pub average: Duration,
    pub in_flight: u32,
    pub slots: u32,
    /// Penalty for another zone.
    pub zone: Duration,
    /// Time until a request can begin on its connection.
    pub setup: Duration,
    /// Why it is chosen only if all others are avoided too: an avoided target is still better than none.
    pub avoided: Option<Exclusion>,
}

impl Score {
    /// Expected response time, plus a penalty for another zone.
    pub fn expected(&self) -> Duration {
        let utilization = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        self.average.mul_f64(1.0 + 2.0 * utilization) + self.zone + self.setup
    }

    /// The target with the lowest rank is chosen.
    pub fn rank(&self) -> (bool, Duration) {
        (self.avoided.is_some(), self.expected())
    }
}

/// Statistics of all targets from the requests of this host.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    loads: HashMap<TargetId, Load>,
    /// Moving average of the response times by route. Work differs between the routes of a service.
    routes: HashMap<Box<str>, Duration>,
    /// Moving average of the time in which connections open, by zone.
    round_trips: HashMap<ZoneId, Duration>,
}

impl Pool {
    /// A pool for a host in a zone.
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, loads: HashMap::new(), routes: HashMap::new(), round_trips: HashMap::new() }
    }

    /// Chooses the target of a service with the lowest expected response time, except those in `tried`. `connection` tells
    /// how the request would reach a target.
    pub fn choose(
        &self,
        view: &View,
        service: &str,
        tried: &[TargetId],
        connection: impl Fn(&Target) -> Connection,
        now: Instant,
    ) -> Option<Arc<Target>> {
        let weighed = self.weigh(view, service, tried, connection, now);
        let eligible = weighed.filter_map(|(target, score)| Some((target, score.ok()?.rank())));
        eligible.min_by_key(|(_, rank)| *rank).map(|(target, _)| Arc::clone(target))
    }

    /// Targets of a service, each with what counts for it or why it is not chosen at all.
    pub fn weigh<'a>(
        &'a self,
        view: &'a View,
        service: &'a str,
        tried: &'a [TargetId],
        connection: impl Fn(&Target) -> Connection + 'a,
        now: Instant,
    ) -> impl Iterator<Item = (&'a Arc<Target>, Result<Score, Exclusion>)> {
        let targets = view.targets.values().filter(move |target| *target.service == *service);
        targets.map(move |target| {
            let score = if target.draining {
                Err(Exclusion::Draining)
            } else if tried.contains(&target.id) {
                Err(Exclusion::Tried)
            } else {
                Ok(self.score(target, connection(target), now))
            };
            (target, score)
        })
    }

    /// Whether a target of a service is not avoided, so that it may have room.
    pub fn may_have_room(&self, view: &View, service: &str, now: Instant) -> bool {
        let mut targets = view.targets.values().filter(|target| &*target.service == service);
        targets.any(|target| {
            let load = self.loads.get(&target.id);
            !target.draining && load.is_none_or(|load| load.avoided(now).is_none())
        })
    }

    /// What counts for a target.
    pub(super) fn score(&self, target: &Target, connection: Connection, now: Instant) -> Score {
        let zone = if target.zone == self.zone { Duration::ZERO } else { CROSS_ZONE_COST };
        let setup = self.setup(target, connection);
        let slots = target.slots;
        let Some(load) = self.loads.get(&target.id) else {
            let average = INITIAL_AVERAGE;
            return Score { average, in_flight: 0, slots, zone, setup, avoided: None };
        };
        let is_current = load.answered_at.is_some_and(|at| now.duration_since(at) < AVERAGE_TTL);
        let average = if is_current { load.average } else { load.average.min(INITIAL_AVERAGE) };
        let (in_flight, avoided) = (load.in_flight, load.avoided(now));
        Score { average, in_flight, slots, zone, setup, avoided }
    }

    /// Time until a request can begin on its connection.
    fn setup(&self, target: &Target, connection: Connection) -> Duration {
        match connection {
            Connection::Idle => Duration::ZERO,
            Connection::New => {
                let round_trip = self.round_trips.get(&target.zone).copied().unwrap_or_default();
                round_trip + CONNECTION_HOLD
            }
        }
    }

    /// Records that a connection to a target of a zone opened in `took`.
    pub fn record_connection(&mut self, zone: &ZoneId, took: Duration) {
        let took = took.min(ROUND_TRIP_MAX);
        let round_trip = self.round_trips.entry(zone.clone()).or_insert(took);
        *round_trip = averaged(*round_trip, took);
    }

    /// Records the start of a request.
    pub fn start_request(&mut self, target: &Target) {
        let load =
            self.loads.entry(target.id.clone()).or_insert_with(|| Load::new(target.started_ms));
        if load.started_ms != target.started_ms {
            let (in_flight, alone) = (load.in_flight, load.alone);
            *load = Load { in_flight, alone, ..Load::new(target.started_ms) };
        }
        load.in_flight += 1;
    }

    /// Records the end of a request, whatever its outcome.
    pub fn end_request(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Has other requests avoid a target until `end_alone`.
    pub fn begin_alone(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.alone += 1;
        }
    }

    pub fn end_alone(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.alone = load.alone.saturating_sub(1);
        }
    }

    /// Records a response that took `took`.
    pub fn record_response(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.average = averaged(load.average, took);
            load.answered_at = Some(now);
            load.failures = 0;
            load.avoided_until = None;
        }
    }

    /// Records the response time of a request of a route.
    pub fn record_route(&mut self, route: &str, took: Duration) {
        match self.routes.get_mut(route) {
            Some(average) => *average = averaged(*average, took),
            None => {
                self.routes.insert(route.into(), took);
            }
        }
    }

    /// Time that a request of a route usually takes: by the route, and before its first response by the target.
    pub fn usual(&self, route: &str, target: &str) -> Duration {
        self.routes.get(route).copied().unwrap_or_else(|| self.average(target))
    }

    /// Drops the averages of routes that are gone.
    pub fn retain_routes(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }

    /// Records a refusal for lack of capacity.
    pub fn record_refusal(&mut self, id: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.avoided_until = Some(now + FULL_BACKOFF);
        }
    }

    /// Records a connection that could not be opened or that broke.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            let backoff = doubled(FAILURE_BACKOFF, load.failures, FAILURE_BACKOFF_MAX);
            load.avoided_until = Some(now + backoff);
            load.failures += 1;
        }
    }

    /// Average response time of a target.
    pub fn average(&self, id: &str) -> Duration {
        self.loads.get(id).map_or(INITIAL_AVERAGE, |load| load.average)
    }

    /// Drops the statistics of targets that are not registered any more.
    pub fn sweep(&mut self, view: &View) {
        self.loads.retain(|id, load| load.in_flight > 0 || view.targets.contains_key(id));
        let is_known = |zone: &str| view.targets.values().any(|target| *target.zone == *zone);
        self.round_trips.retain(|zone, _| is_known(zone));
    }
}

/// Moving average with a new value.
fn averaged(average: Duration, latest: Duration) -> Duration {
    average.mul_f64(1.0 - AVERAGE_WEIGHT) + latest.mul_f64(AVERAGE_WEIGHT)
}
