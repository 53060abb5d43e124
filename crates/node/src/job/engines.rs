//! Placement of job items on model engines, by free slots, pace and loaded versions.
//!
//! The pace of an engine is its average time per event, so a lower pace is better. Engines with a free slot are indexed
//! by model in the order in which they are chosen. A change of an engine moves only its own entries, so the time for a
//! decision does not grow with the number of engines.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    fleet::Target,
    job::{
        engine::{Engine, PACE_INITIAL},
        paces::Paces,
    },
    prefix,
    prelude::*,
    rate::Limit,
};

/// Relative increase of the pace on an engine whose slots are all taken.
const FULL_ENGINE_COST: f64 = 0.15;
/// An engine is fast if the median pace exceeds its own by this factor.
const FAST_FACTOR: f64 = 1.4;
/// An engine is slow if its pace exceeds the median by this factor.
const SLOW_FACTOR: f64 = 1.7;
/// The same, relative to the assumed pace before any run was measured.
const UNMEASURED_SLOW_FACTOR: f64 = 2.5;
/// Lower bound of the limit above which a measured engine is slow.
const SLOW_PACE_MIN: Duration = Duration::from_millis(55);

/// Requests that a load of a version takes: report, order and the first poll.
const REQUESTS_PER_LOAD: u32 = 3;

/// What determines the order of engines: whether it comes after the others, as runs failed there lately or as an item in
/// doubt has it to itself, and its cost.
type Cost = (bool, Duration);
/// Cost of an engine, and its id.
pub(super) type Rank = (bool, Duration, TargetId);

/// Engines with a free slot for a model.
#[derive(Debug, Default)]
pub(super) struct OpenEngines {
    /// Oldest version that any open job of the model accepts.
    min_version: Version,
    /// The first one is chosen first.
    pub(super) ranks: BTreeSet<Rank>,
}

/// An engine and its entries in the indexes.
#[derive(Debug)]
struct Entry {
    engine: Engine,
    /// Models under which the engine is indexed, with its cost.
    indexed: Vec<(ModelId, Cost)>,
    /// Scheduled update of its index entries.
    update_at: Option<Time>,
}

/// Engines of one service.
#[derive(Debug, Default)]
pub struct Engines {
    by_id: BTreeMap<TargetId, Entry>,
    pub(super) open: BTreeMap<ModelId, OpenEngines>,
    /// Number of engines by software version.
    software: BTreeMap<Software, usize>,
    paces: Paces,
    /// Engines whose state changes by itself, by time.
    updates: BTreeSet<(Time, TargetId)>,
    /// What the engines hold of prompts, if items are placed by it.
    pub(super) prefixes: Option<prefix::Table>,
    pub(super) now: Time,
}

impl Engines {
    /// Adds or updates a registration. A new incarnation starts without history.
    pub fn put(&mut self, target: Arc<Target>) {
        let id = target.id.clone();
        match self.by_id.get_mut(&id) {
            Some(entry) if Arc::ptr_eq(&entry.engine.target, &target) => return,
            Some(entry)
                if entry.engine.target.started_ms == target.started_ms
                    && entry.engine.target.software == target.software =>
            {
                let before = self.prefixes.is_some().then(|| entry.engine.versions());
                entry.engine.target = target;
                self.forget_loaded(&id, before.unwrap_or_default());
            }
            _ => {
                self.remove(&id);
                *self.software.entry(target.software.clone()).or_default() += 1;
                let entry =
                    Entry { engine: Engine::new(target), indexed: Vec::new(), update_at: None };
                self.by_id.insert(id.clone(), entry);
            }
        }
        self.reindex(&id);
    }

    pub fn remove(&mut self, id: &str) {
        let Some(mut entry) = self.by_id.remove(id) else {
            return;
        };
        unindex(&mut self.open, &mut entry);
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.forget_engine(id);
        }
        if let Some(count) = self.software.get_mut(&entry.engine.target.software) {
            *count -= 1;
        }
        self.software.retain(|_, count| *count > 0);
        self.paces.replace(entry.engine.last_pace(), None);
        if let Some(at) = entry.update_at {
            self.updates.remove(&(at, id.into()));
        }
    }

    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.by_id.get(id).map(|entry| &entry.engine)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.by_id.values().map(|entry| &entry.engine)
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Sets the models of the open jobs, each with the oldest version that a job accepts.
    pub fn set_demand(&mut self, min_versions: &BTreeMap<ModelId, Version>) {
        let is_current =
            self.open.len() == min_versions.len()
                && self.open.iter().zip(min_versions).all(|((model, open), (wanted, min))| {
                    model == wanted && open.min_version == *min
                });
        if is_current {
            return;
        }
        for entry in self.by_id.values_mut() {
            entry.indexed.clear();
        }
        let open = |min: &Version| OpenEngines { min_version: *min, ranks: BTreeSet::new() };
        self.open = min_versions.iter().map(|(model, min)| (model.clone(), open(min))).collect();
        let ids: Vec<TargetId> = self.by_id.keys().cloned().collect();
        for id in ids {
            self.reindex(&id);
        }
    }

    /// Applies the changes that are due by time: backoffs that end and measurements that expire.
    pub fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
        while let Some((at, id)) = self.updates.pop_first() {
            if at > self.now {
                self.updates.insert((at, id));
                return;
            }
            if let Some(entry) = self.by_id.get_mut(&id) {
                entry.update_at = None;
            }
            self.reindex(&id);
        }
    }

    /// Whether an engine with a suitable version has a free slot for a model.
    pub fn has_open(&self, model: &str) -> bool {
        self.open.get(model).is_some_and(|open| !open.ranks.is_empty())
    }

    /// Whether an engine of a software version is registered.
    pub fn has_software(&self, software: &str) -> bool {
        self.software.contains_key(software)
    }

    /// Whether an engine is much faster than most. Its last pace counts, however old, so that a pause between runs does
    /// not change which model it serves.
    pub fn is_fast(&self, engine: &Engine) -> bool {
        engine.last_pace().is_some_and(|pace| self.is_fast_pace(pace))
    }

    /// Whether any engine is fast.
    pub fn has_fast(&self) -> bool {
        self.paces.least().is_some_and(|pace| self.is_fast_pace(pace))
    }

    fn is_fast_pace(&self, pace: Duration) -> bool {
        pace.mul_f64(FAST_FACTOR) <= self.typical_pace()
    }

    pub(super) fn is_slow(&self, engine: &Engine) -> bool {
        self.pace(engine) > self.pace_max()
    }

    /// Pace above which an engine is slow. The limit is loose until a run was measured.
    pub fn pace_max(&self) -> Duration {
        match self.paces.median() {
            Some(median) => median.mul_f64(SLOW_FACTOR).max(SLOW_PACE_MIN),
            None => PACE_INITIAL.mul_f64(UNMEASURED_SLOW_FACTOR),
        }
    }

    /// Median pace of the measured engines, or the assumed pace if none was measured.
    pub fn typical_pace(&self) -> Duration {
        self.paces.median().unwrap_or(PACE_INITIAL)
    }

    /// Time per event of an engine, or the typical one if it was not measured lately.
    pub fn pace(&self, engine: &Engine) -> Duration {
        engine.measured_pace(self.now).unwrap_or_else(|| self.typical_pace())
    }

    /// Expected time per event, increased by the share of slots taken.
    pub(super) fn cost(&self, engine: &Engine) -> Duration {
        let taken = f64::from(engine.in_flight) / f64::from(engine.target.slots.max(1));
        self.pace(engine).mul_f64(1.0 + FULL_ENGINE_COST * taken)
    }

    /// Free slots for items of a model.
    pub fn free_slots(&self, model: &str) -> usize {
        let free = |engine: &Engine| engine.free_slots() as usize;
        match self.open.get(model) {
            Some(open) => open.ranks.iter().filter_map(|(_, _, id)| self.get(id)).map(free).sum(),
            None => self.iter().filter(|engine| engine.is_open(model, self.now)).map(free).sum(),
        }
    }

    /// Slots that each model can use. An engine that serves several models counts in equal parts for each.
    pub fn slots_by_model(
        &self,
        min_versions: &BTreeMap<ModelId, Version>,
    ) -> BTreeMap<ModelId, f64> {
        let mut slots: BTreeMap<ModelId, f64> = BTreeMap::new();
        for engine in self.iter().filter(|engine| engine.is_usable(self.now)) {
            let serves = |(model, min): &(&ModelId, &Version)| {
                engine.version(model).is_some_and(|version| version >= **min)
            };
            let models: Vec<&ModelId> =
                min_versions.iter().filter(serves).map(|(model, _)| model).collect();
            for model in &models {
                *slots.entry((*model).clone()).or_default() +=
                    f64::from(engine.target.slots) / models.len() as f64;
            }
        }
        slots
    }

    /// Sets the limit that an engine names.
    pub fn set_limit(&mut self, id: &str, limit: Option<Limit>, now: Time) {
        self.now = self.now.max(now);
        self.update(id, |engine| engine.set_limit(limit, now));
    }

    /// Grants a caller's request for an engine, or returns the time after which to ask again.
    pub fn grant(&mut self, id: &str, priority: u32, now: Time) -> Result<(), Duration> {
        self.now = self.now.max(now);
        let mut granted = Ok(());
        self.update(id, |engine| granted = engine.grant(priority, now));
        granted
    }

    /// Takes a slot.
    pub fn start_run(&mut self, id: &str) {
        let now = self.now;
        self.update(id, |engine| {
            engine.in_flight += 1;
            engine.charge(1, now);
        });
    }

    /// Takes a slot for an item in doubt, which has the engine to itself until its first event as long as others have slots.
    pub fn start_doubtful_run(&mut self, id: &str) {
        self.start_run(id);
        self.update(id, Engine::reserve);
    }

    /// Frees a slot. `pace` is the run's time per event, if any event arrived.
    pub fn finish_run(&mut self, id: &str, now: Time, pace: Option<Duration>) {
        self.now = self.now.max(now);
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.end_run(id);
        }
        self.update(id, |engine| {
            engine.end_run();
            if let Some(pace) = pace {
                engine.record_pace(pace, now);
            }
        });
    }

    /// Records that a run on an engine has made an event.
    pub fn heard(&mut self, id: &str, now: Time) {
        // Reports are frequent, and only the end of a failure or a reservation changes the indexes.
        let engine = self.by_id.get_mut(id).map(|entry| &mut entry.engine);
        if engine.is_some_and(|engine| engine.hear(now)) {
            self.now = self.now.max(now);
            self.reindex(id);
        }
    }

    /// Starts the backoff of an engine, during which no item starts on it.
    pub fn back_off(&mut self, id: &str, now: Time) {
        self.now = self.now.max(now);
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.forget_prompts(id);
        }
        self.update(id, |engine| engine.back_off(now));
    }

    pub fn begin_load(&mut self, id: &str, model: &ModelId) {
        let now = self.now;
        self.forget_prompts(id, model);
        self.update(id, |engine| {
            engine.begin_load(model.clone());
            engine.charge(REQUESTS_PER_LOAD, now);
        });
    }

    /// Ends a load, with the version that the engine has if the load succeeded.
    pub fn end_load(&mut self, id: &str, version: Option<Version>) {
        // Prompts that were sent meanwhile may have been prefilled by either version.
        if let Some(model) = self.get(id).and_then(|engine| engine.loading().cloned()) {
            self.forget_prompts(id, &model);
        }
        self.update(id, |engine| engine.end_load(version));
    }

    fn update(&mut self, id: &str, change: impl FnOnce(&mut Engine)) {
        let Some(entry) = self.by_id.get_mut(id) else {
            return;
        };
        let before = entry.engine.last_pace();
        change(&mut entry.engine);
        let after = entry.engine.last_pace();
        if before != after {
            self.paces.replace(before, after);
        }
        self.reindex(id);
    }

    /// Replaces the index entries of an engine.
    fn reindex(&mut self, id: &str) {
        let Some(mut entry) = self.by_id.remove(id) else {
            return;
        };
        unindex(&mut self.open, &mut entry);
        let engine = &entry.engine;
        let (is_last, cost) = (engine.comes_last(self.now), self.cost(engine));
        for (model, open) in &mut self.open {
            let suits = engine.version(model).is_some_and(|version| version >= open.min_version);
            if suits && engine.is_open(model, self.now) {
                open.ranks.insert((is_last, cost, id.into()));
                entry.indexed.push((model.clone(), (is_last, cost)));
            }
        }
        self.schedule_update(id, &mut entry);
        self.by_id.insert(id.into(), entry);
    }

    fn schedule_update(&mut self, id: &str, entry: &mut Entry) {
        let Some(at) = entry.engine.next_change(self.now) else {
            return;
        };
        // An update that comes too early schedules the next one.
        if entry.update_at.is_none_or(|scheduled| at < scheduled) {
            if let Some(scheduled) = entry.update_at.replace(at) {
                self.updates.remove(&(scheduled, id.into()));
            }
            self.updates.insert((at, id.into()));
        }
    }
}

fn unindex(open: &mut BTreeMap<ModelId, OpenEngines>, entry: &mut Entry) {
    for (model, (is_last, cost)) in entry.indexed.drain(..) {
        if let Some(open) = open.get_mut(&model) {
            open.ranks.remove(&(is_last, cost, entry.engine.target.id.clone()));
        }
    }
}
