//! Placement of requests on the targets of a plain service.
//!
//! Each host sees only its own requests, so it goes by the answers that it gets: places taken, average time of an
//! answer, refusals and broken connections.

use std::{collections::HashMap, sync::Arc, time::Instant};

use crate::{fleet::Target, prelude::*, view::View};

/// Weight of the last answer in the average.
const WEIGHT: f64 = 0.2;
/// Answer time before any was seen.
const INITIAL: Duration = Duration::from_millis(50);
/// Extra cost of a target in another zone.
const ZONE_COST: Duration = Duration::from_millis(8);
/// Time without new requests after a refusal for want of places.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Time without new requests after a failed connection; doubles up to the maximum while it goes on.
const DOWN_PAUSE: Duration = Duration::from_millis(300);
const DOWN_PAUSE_MAX: Duration = Duration::from_secs(3);
/// Time after which the average counts no more, so that a slow target is tried again.
const MEMORY: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Load {
    in_flight: u32,
    average: Duration,
    answered: Option<Instant>,
    paused_until: Option<Instant>,
    failures: u32,
    born: u64,
}

impl Load {
    fn new(born: u64) -> Self {
        Self {
            in_flight: 0,
            average: INITIAL,
            answered: None,
            paused_until: None,
            failures: 0,
            born,
        }
    }
}

/// What this host knows of the targets from its own requests.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    loads: HashMap<TargetId, Load>,
}

impl Pool {
    pub fn new(zone: ZoneId) -> Self {
        Self { zone, loads: HashMap::new() }
    }

    /// The target of a service on which a request would finish first, without those in `tried`.
    pub fn choose(
        &mut self,
        view: &View,
        service: &str,
        tried: &[TargetId],
        now: Instant,
    ) -> Option<Arc<Target>> {
        let fits = |target: &&Arc<Target>| {
            &*target.service == service && !target.draining && !tried.contains(&target.id)
        };
        let targets: Vec<&Arc<Target>> = view.targets.values().filter(fits).collect();
        let open = targets.iter().filter(|target| !self.paused(target, now));
        let best = open.min_by_key(|target| self.cost(target, now));
        // A target that failed lately is better than none.
        best.or_else(|| targets.iter().min_by_key(|target| self.cost(target, now)))
            .map(|target| Arc::clone(target))
    }

    fn paused(&self, target: &Target, now: Instant) -> bool {
        let load = self.loads.get(&target.id);
        load.and_then(|load| load.paused_until).is_some_and(|until| until > now)
    }

    fn cost(&self, target: &Target, now: Instant) -> Duration {
        let zone = if target.zone == self.zone { Duration::ZERO } else { ZONE_COST };
        let Some(load) = self.loads.get(&target.id) else {
            return INITIAL + zone;
        };
        let fresh = load.answered.is_some_and(|at| now.duration_since(at) < MEMORY);
        let average = if fresh { load.average } else { load.average.min(INITIAL) };
        let taken = f64::from(load.in_flight) / f64::from(target.slots.max(1));
        average.mul_f64(1.0 + 2.0 * taken) + zone
    }

    pub fn started(&mut self, target: &Target) {
        let load =
            self.loads.entry(target.id.clone()).or_insert_with(|| Load::new(target.started_ms));
        if load.born != target.started_ms {
            *load = Load { in_flight: load.in_flight, ..Load::new(target.started_ms) };
        }
        load.in_flight += 1;
    }

    /// The request ended, however it did.
    pub fn released(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// An answer came after `took`.
    pub fn answered(&mut self, id: &str, took: Duration, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.average = load.average.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
            load.answered = Some(now);
            load.failures = 0;
            load.paused_until = None;
        }
    }

    /// The target refused for want of places.
    pub fn full(&mut self, id: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.paused_until = Some(now + FULL_PAUSE);
        }
    }

    /// No connection could be opened, or it broke.
    pub fn failed(&mut self, id: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(id) {
            let pause = DOWN_PAUSE.saturating_mul(1 << load.failures.min(8));
            load.paused_until = Some(now + pause.min(DOWN_PAUSE_MAX));
            load.failures += 1;
        }
    }

    /// Average answer time of a target.
    pub fn average(&self, id: &str) -> Duration {
        self.loads.get(id).map_or(INITIAL, |load| load.average)
    }

    /// Forgets targets that are gone.
    pub fn sweep(&mut self, view: &View) {
        self.loads.retain(|id, load| load.in_flight > 0 || view.targets.contains_key(id));
    }
}
