//! Placement of job items on model engines, by free slots, pace and loaded versions.
//!
//! The pace of an engine is its average time per event, so a lower pace is better.

use std::{collections::BTreeMap, sync::Arc};

use crate::{fleet::Target, prelude::*};

/// Weight of the last run in an engine's moving average.
const PACE_WEIGHT: f64 = 0.3;
/// Assumed pace before any run was measured.
const PACE_INITIAL: Duration = Duration::from_millis(40);
/// Backoff after an engine did not run a request or broke a run; doubles with each consecutive failure.
const BACKOFF: Duration = Duration::from_millis(300);
const BACKOFF_MAX: Duration = Duration::from_millis(2400);
/// Time after which a measured pace expires, so that an engine that has recovered is tried again.
const PACE_TTL: Duration = Duration::from_secs(10);
/// Relative increase of the pace on an engine whose slots are all taken.
const FULL_ENGINE_COST: f64 = 0.15;
/// Minimum speed-up for which an item is moved to another engine.
const FASTER_FACTOR: f64 = 1.2;

/// An engine is slow if its pace exceeds the median by this factor.
const SLOW_FACTOR: f64 = 1.7;
/// The same, relative to the assumed pace before any run was measured.
const UNMEASURED_SLOW_FACTOR: f64 = 2.5;
/// Lower bound of the limit above which a measured engine is slow.
const SLOW_PACE_MIN: Duration = Duration::from_millis(55);

/// Requirement of an item on its engine.
#[derive(Clone, Copy, Debug)]
pub struct Requirement<'a> {
    pub model: &'a str,
    /// Oldest version that may generate the item's tokens.
    pub min_version: Version,
    /// Engine that must not run the item: the one of its last run, if that did not succeed, or the one that it is to
    /// leave for a faster one.
    pub avoid: Option<&'a TargetId>,
    /// The item has waited long enough to run on a slow engine.
    pub allow_slow: bool,
}

/// State of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub target: Arc<Target>,
    /// Items that this leader runs on it.
    pub in_flight: u32,
    /// Moving average of the time per event.
    pub pace: Duration,
    measured_at: Time,
    backoff_until: Time,
    /// Consecutive runs that were not executed or broke.
    failures: u32,
    /// Model whose version is being loaded; none of its items starts until the load ends.
    pub loading: Option<ModelId>,
    /// Versions loaded by this leader that the registration may not show yet.
    loaded: BTreeMap<ModelId, Version>,
}

impl Engine {
    fn new(target: Arc<Target>) -> Self {
        Self {
            target,
            in_flight: 0,
            pace: PACE_INITIAL,
            measured_at: Time::ZERO,
            backoff_until: Time::ZERO,
            failures: 0,
            loading: None,
            loaded: BTreeMap::new(),
        }
    }

    /// Newest known version of a model on the engine.
    pub fn version(&self, model: &str) -> Option<Version> {
        let registered = self.target.versions.get(model).copied();
        registered.max(self.loaded.get(model).copied())
    }

    /// Newest known versions of all models on the engine.
    pub fn versions(&self) -> BTreeMap<ModelId, Version> {
        let models = self.target.versions.keys();
        models.filter_map(|model| Some((model.clone(), self.version(model)?))).collect()
    }

    pub fn set_loaded(&mut self, model: ModelId, version: Version) {
        self.loaded.insert(model, version);
    }

    /// Whether an item of a model may start.
    pub fn is_open(&self, model: &str, now: Time) -> bool {
        self.loading.as_deref() != Some(model)
            && !self.target.draining
            && now >= self.backoff_until
            && self.in_flight < self.target.slots
    }
}

/// Engines of one service.
#[derive(Debug, Default)]
pub struct Engines {
    by_id: BTreeMap<TargetId, Engine>,
}

impl Engines {
    /// Adds or updates a registration. A new incarnation starts without history.
    pub fn put(&mut self, target: Arc<Target>) {
        match self.by_id.get_mut(&target.id) {
            Some(engine) if engine.target.started_ms == target.started_ms => engine.target = target,
            _ => {
                self.by_id.insert(target.id.clone(), Engine::new(target));
            }
        }
    }

    pub fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut Engine> {
        self.by_id.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.by_id.values()
    }

    /// Open engine on which an item would finish first. Unless the requirement allows slow engines, a slow engine runs
    /// one item at a time, as a probe of whether it has recovered.
    pub fn choose(&self, now: Time, requirement: &Requirement) -> Option<&Engine> {
        let qualifies = |engine: &&Engine| {
            engine.is_open(requirement.model, now)
                && engine
                    .version(requirement.model)
                    .is_some_and(|version| version >= requirement.min_version)
                && requirement.avoid != Some(&engine.target.id)
                && (requirement.allow_slow || engine.in_flight == 0 || !self.is_slow(engine, now))
        };
        self.by_id.values().filter(qualifies).min_by_key(|engine| self.cost(engine, now))
    }

    /// Whether an open engine is so much faster than `current` that moving an item pays.
    pub fn has_faster(&self, now: Time, requirement: &Requirement, current: &str) -> bool {
        let Some(engine) = self.by_id.get(current) else {
            return false;
        };
        let best = self.choose(now, requirement);
        best.is_some_and(|best| {
            self.pace(engine, now) > self.pace(best, now).mul_f64(FASTER_FACTOR)
        })
    }

    fn is_slow(&self, engine: &Engine, now: Time) -> bool {
        self.pace(engine, now) > self.pace_max()
    }

    /// Pace above which an engine is slow. The limit is loose until a run was measured.
    pub fn pace_max(&self) -> Duration {
        match self.median_pace() {
            Some(median) => median.mul_f64(SLOW_FACTOR).max(SLOW_PACE_MIN),
            None => PACE_INITIAL.mul_f64(UNMEASURED_SLOW_FACTOR),
        }
    }

    /// Expected time per event, increased by the share of slots taken.
    fn cost(&self, engine: &Engine, now: Time) -> Duration {
        let pace = self.pace(engine, now);
        let taken = f64::from(engine.in_flight) / f64::from(engine.target.slots.max(1));
        pace.mul_f64(1.0 + FULL_ENGINE_COST * taken)
    }

    fn pace(&self, engine: &Engine, now: Time) -> Duration {
        if now > engine.measured_at + PACE_TTL { self.typical_pace() } else { engine.pace }
    }

    /// Median pace of the measured engines, or the assumed pace if none was measured.
    pub fn typical_pace(&self) -> Duration {
        self.median_pace().unwrap_or(PACE_INITIAL)
    }

    fn median_pace(&self) -> Option<Duration> {
        let measured = self.by_id.values().filter(|engine| engine.measured_at > Time::ZERO);
        let mut paces: Vec<Duration> = measured.map(|engine| engine.pace).collect();
        paces.sort_unstable();
        paces.get(paces.len() / 2).copied()
    }

    /// Free slots for items of a model.
    pub fn free_slots(&self, model: &str, now: Time) -> usize {
        let open = self.by_id.values().filter(|engine| engine.is_open(model, now));
        open.map(|engine| engine.target.slots.saturating_sub(engine.in_flight) as usize).sum()
    }

    pub fn start_run(&mut self, id: &str) {
        if let Some(engine) = self.by_id.get_mut(id) {
            engine.in_flight += 1;
        }
    }

    /// Ends a run. `pace` is its time per event, if any event arrived.
    pub fn finish_run(&mut self, id: &str, now: Time, pace: Option<Duration>) {
        let Some(engine) = self.by_id.get_mut(id) else {
            return;
        };
        engine.in_flight = engine.in_flight.saturating_sub(1);
        if let Some(pace) = pace {
            engine.failures = 0;
            let valid = now <= engine.measured_at + PACE_TTL;
            engine.pace = if valid {
                engine.pace.mul_f64(1.0 - PACE_WEIGHT) + pace.mul_f64(PACE_WEIGHT)
            } else {
                pace
            };
            engine.measured_at = now;
        }
    }

    /// Starts the backoff of an engine, during which no item starts on it.
    pub fn back_off(&mut self, id: &str, now: Time) {
        if let Some(engine) = self.by_id.get_mut(id) {
            // Runs that break together count as one failure.
            if now >= engine.backoff_until {
                let backoff = BACKOFF.saturating_mul(1 << engine.failures.min(8));
                engine.backoff_until = now + backoff.min(BACKOFF_MAX);
                engine.failures += 1;
            }
        }
    }
}
