//! Placement of job items on model engines: places taken, pace of each engine, and the versions that it may serve.

use std::{collections::BTreeMap, sync::Arc};

use crate::{fleet::Target, prelude::*};

/// Weight of the last run in the average pace of an engine.
const PACE_WEIGHT: f64 = 0.3;
/// Time per event before any run was seen.
const PACE_INITIAL: Duration = Duration::from_millis(40);
/// Time without new items after an engine refused or broke a run; doubles up to the maximum while it goes on.
const BACKOFF: Duration = Duration::from_millis(300);
const BACKOFF_MAX: Duration = Duration::from_millis(2400);
/// Time after which a slow pace is forgotten, so that a recovered engine is tried again.
const PACE_MEMORY: Duration = Duration::from_secs(10);
/// Part by which the time per event grows on an engine whose places are all taken.
const FULL_COST: f64 = 0.15;
/// An item is moved to an engine that is faster by this factor.
const FASTER_FACTOR: f64 = 1.2;

/// An engine is slow that takes this many times the usual time per event.
const SLOW_FACTOR: f64 = 1.7;
/// The same before any run was seen.
const UNKNOWN_SLOW_FACTOR: f64 = 2.5;
/// Shortest time per event that counts as slow.
const SLOW_MIN: Duration = Duration::from_millis(55);

/// What an item wants of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Requirement<'a> {
    pub model: &'a str,
    /// Oldest version that may generate its tokens.
    pub min_version: Version,
    /// Engine that broke or slowed the last run.
    pub avoid: Option<&'a TargetId>,
    /// The item has waited long enough to take any place.
    pub urgent: bool,
}

/// What is known of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub target: Arc<Target>,
    /// Items of this host that run on it.
    pub in_flight: u32,
    /// Average time per event.
    pub pace: Duration,
    paced_at: Time,
    blocked_until: Time,
    /// Refused or broken runs in a row.
    failures: u32,
    /// Model of which a version is being loaded; none of its items starts meanwhile.
    pub loading: Option<ModelId>,
    /// Versions that were loaded here and may not yet stand in the registration.
    loaded: BTreeMap<ModelId, Version>,
}

impl Engine {
    fn new(target: Arc<Target>) -> Self {
        Self {
            target,
            in_flight: 0,
            pace: PACE_INITIAL,
            paced_at: Time::ZERO,
            blocked_until: Time::ZERO,
            failures: 0,
            loading: None,
            loaded: BTreeMap::new(),
        }
    }

    /// Version of a model on the engine.
    pub fn version(&self, model: &str) -> Option<Version> {
        let registered = self.target.versions.get(model).copied();
        registered.max(self.loaded.get(model).copied())
    }

    /// Versions of all models on the engine.
    pub fn versions(&self) -> BTreeMap<ModelId, Version> {
        let models = self.target.versions.keys();
        models.filter_map(|model| Some((model.clone(), self.version(model)?))).collect()
    }

    /// A version was loaded.
    pub fn loaded(&mut self, model: ModelId, version: Version) {
        self.loaded.insert(model, version);
    }

    /// Whether a new item of a model may start.
    pub fn open(&self, model: &str, now: Time) -> bool {
        self.loading.as_deref() != Some(model)
            && !self.target.draining
            && now >= self.blocked_until
            && self.in_flight < self.target.slots
    }
}

/// Engines of one service.
#[derive(Debug, Default)]
pub struct Engines {
    by_id: BTreeMap<TargetId, Engine>,
}

impl Engines {
    /// Takes a registration; a new incarnation starts without history.
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

    /// The open engine on which an item would finish first. A slow engine gets one item at a time, to see whether it has
    /// recovered, as long as the item can still wait for a place on another.
    pub fn choose(&self, now: Time, wish: &Requirement) -> Option<&Engine> {
        let fits = |engine: &&Engine| {
            engine.open(wish.model, now)
                && engine.version(wish.model).is_some_and(|version| version >= wish.min_version)
                && wish.avoid != Some(&engine.target.id)
                && (wish.urgent || engine.in_flight == 0 || !self.is_slow(engine, now))
        };
        self.by_id.values().filter(fits).min_by_key(|engine| self.cost(engine, now))
    }

    /// Whether an engine with a free place is so much faster than one that an item is worth moving.
    pub fn has_faster(&self, now: Time, wish: &Requirement, than: &str) -> bool {
        let Some(engine) = self.by_id.get(than) else {
            return false;
        };
        let best = self.choose(now, wish);
        best.is_some_and(|best| {
            self.pace(engine, now) > self.pace(best, now).mul_f64(FASTER_FACTOR)
        })
    }

    fn is_slow(&self, engine: &Engine, now: Time) -> bool {
        self.pace(engine, now) > self.pace_max()
    }

    /// Time per event above which an engine counts as slow. Before any run was seen, only what no engine should take does.
    pub fn pace_max(&self) -> Duration {
        match self.median_pace() {
            Some(usual) => usual.mul_f64(SLOW_FACTOR).max(SLOW_MIN),
            None => PACE_INITIAL.mul_f64(UNKNOWN_SLOW_FACTOR),
        }
    }

    /// Expected time per event, lengthened by the share of places taken.
    fn cost(&self, engine: &Engine, now: Time) -> Duration {
        let pace = self.pace(engine, now);
        let taken = f64::from(engine.in_flight) / f64::from(engine.target.slots.max(1));
        pace.mul_f64(1.0 + FULL_COST * taken)
    }

    fn pace(&self, engine: &Engine, now: Time) -> Duration {
        if now > engine.paced_at + PACE_MEMORY { self.usual_pace() } else { engine.pace }
    }

    /// Median pace of the engines that were measured.
    pub fn usual_pace(&self) -> Duration {
        self.median_pace().unwrap_or(PACE_INITIAL)
    }

    fn median_pace(&self) -> Option<Duration> {
        let measured = self.by_id.values().filter(|engine| engine.paced_at > Time::ZERO);
        let mut paces: Vec<Duration> = measured.map(|engine| engine.pace).collect();
        paces.sort_unstable();
        paces.get(paces.len() / 2).copied()
    }

    /// Places that are free for items of a model.
    pub fn free(&self, model: &str, now: Time) -> usize {
        let open = self.by_id.values().filter(|engine| engine.open(model, now));
        open.map(|engine| engine.target.slots.saturating_sub(engine.in_flight) as usize).sum()
    }

    pub fn started(&mut self, id: &str) {
        if let Some(engine) = self.by_id.get_mut(id) {
            engine.in_flight += 1;
        }
    }

    /// Takes the end of a run and its time per event, if it made any.
    pub fn finished(&mut self, id: &str, now: Time, pace: Option<Duration>) {
        let Some(engine) = self.by_id.get_mut(id) else {
            return;
        };
        engine.in_flight = engine.in_flight.saturating_sub(1);
        if let Some(pace) = pace {
            engine.failures = 0;
            let fresh = now <= engine.paced_at + PACE_MEMORY;
            engine.pace = if fresh {
                engine.pace.mul_f64(1.0 - PACE_WEIGHT) + pace.mul_f64(PACE_WEIGHT)
            } else {
                pace
            };
            engine.paced_at = now;
        }
    }

    /// Keeps new items away for a moment.
    pub fn block(&mut self, id: &str, now: Time) {
        if let Some(engine) = self.by_id.get_mut(id) {
            // Runs that break together count once.
            if now >= engine.blocked_until {
                let pause = BACKOFF.saturating_mul(1 << engine.failures.min(8));
                engine.blocked_until = now + pause.min(BACKOFF_MAX);
                engine.failures += 1;
            }
        }
    }
}
