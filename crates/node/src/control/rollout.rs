//! Rollout of weights to the engines of a service: which engines load which version, and the loads in progress. The
//! policy itself is in [`crate::weights`].

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    control::orders::LoadResult,
    demand,
    job::{Claim, Engine, Engines, Job},
    loads::Ends,
    prelude::*,
    weights::{self, Candidate, Partitions, Versions},
};

/// A load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    pub target: TargetId,
    pub model: ModelId,
    pub version: Version,
}

/// State of the rollout.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Newest version that a trainer requested, by model.
    requested: Versions,
    partitions: Partitions,
    /// Engines, requested versions or demand have changed since the last rebalancing.
    rebalance_due: bool,
    demand: demand::Averages,
    /// Loads in progress.
    loads: HashMap<TargetId, (ModelId, Version)>,
    /// Engines that ended under an order.
    ends: Ends,
    /// Earliest time of the next order to an engine whose last load failed.
    retry_after: HashMap<TargetId, Time>,
}

impl Rollout {
    /// Updates the requested versions. The engines may have changed as well.
    pub fn sync(&mut self, requested: &Versions) {
        self.requested.clone_from(requested);
        self.rebalance_due = true;
    }

    /// Adds a step to the demand for its model.
    pub fn record_demand(&mut self, job: &Job, claim: Claim) {
        self.demand.record(&job.spec.model, job.policy.priority, claim);
        self.rebalance_due = true;
    }

    /// Model whose version an engine is loading.
    pub fn loading_model(&self, target: &str) -> Option<&ModelId> {
        self.loads.get(target).map(|(model, _)| model)
    }

    pub fn is_idle(&self) -> bool {
        self.loads.is_empty()
    }

    /// Loads to order now. `queue_empty` means that no item is waiting for a slot; `long` holds the engines that run
    /// one of the longest items of its step.
    pub fn plan(
        &mut self,
        now: Time,
        engines: &mut Engines,
        queue_empty: bool,
        long: &HashSet<TargetId>,
    ) -> Vec<PlannedLoad> {
        if std::mem::take(&mut self.rebalance_due) {
            let available = engines.iter().filter(|engine| !engine.target.draining);
            let (fast, others): (Vec<_>, Vec<_>) =
                available.partition(|engine| engines.is_fast(engine));
            let versions = |engines: Vec<&Engine>| {
                engines.iter().map(|it| (it.target.id.clone(), it.versions())).collect()
            };
            let (fast, others) = (versions(fast), versions(others));
            self.partitions.rebalance(&fast, &others, &self.requested, &self.demand.demand());
        }
        let mut candidates = self.candidates(now, engines, long);
        let total = engines.len();
        let mut planned = Vec::new();
        for (model, &version) in &self.requested {
            let free = weights::parallel_loads_max(total).saturating_sub(self.loads.len());
            let loading = self.loads.values().filter(|(of, _)| of == model).count();
            let free = self.ends.limit((model, version), (loading, free), now);
            let candidates = candidates.remove(model).unwrap_or_default();
            for target in weights::next_loads(version, &candidates, queue_empty, free) {
                engines.begin_load(&target, model);
                self.loads.insert(target.clone(), (model.clone(), version));
                planned.push(PlannedLoad { target, model: model.clone(), version });
            }
        }
        planned
    }

    /// Engines that may load, by the model that they are assigned to.
    fn candidates(
        &self,
        now: Time,
        engines: &Engines,
        long: &HashSet<TargetId>,
    ) -> BTreeMap<ModelId, Vec<Candidate>> {
        let mut candidates: BTreeMap<ModelId, Vec<Candidate>> = BTreeMap::new();
        for engine in engines.iter().filter(|engine| !engine.target.draining) {
            let id = &engine.target.id;
            let Some(model) = self.partitions.model_of(id) else {
                continue;
            };
            let Some(version) = engine.version(model) else {
                continue;
            };
            let backing_off = self.retry_after.get(id).is_some_and(|after| *after > now);
            candidates.entry(model.clone()).or_default().push(Candidate {
                id: id.clone(),
                version,
                loading: self.loads.contains_key(id) || backing_off,
                in_flight: engine.in_flight,
                has_long_item: long.contains(id),
            });
        }
        candidates
    }

    /// Ends a load.
    pub fn finish_load(&mut self, id: &str, result: LoadResult, now: Time, engines: &mut Engines) {
        let Some((model, ordered)) = self.loads.remove(id) else {
            return;
        };
        let version = match result {
            LoadResult::Version(version) => Some(version),
            LoadResult::Unconfirmed | LoadResult::Ended | LoadResult::Fenced => None,
        };
        match result {
            LoadResult::Ended => self.ends.ended(&model, ordered, now),
            LoadResult::Version(_) => self.ends.loaded(&model, ordered),
            LoadResult::Unconfirmed | LoadResult::Fenced => {}
        }
        if version.is_none() {
            self.retry_after.insert(id.into(), now + weights::LOAD_RETRY_DELAY);
        }
        engines.end_load(id, version);
    }
}
