//! Rollout of weights on the engines of a service: which engines load which version, and the loads in progress.

use std::collections::{HashMap, HashSet};

use crate::{
    job::{Engine, Engines, Job},
    prelude::*,
    weights::{self, Candidate, Demand, Homes, Versions},
};

/// Weight of the last step in a model's demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Part of its work by which a step counts for each rank that it is less urgent.
const RANK_FACTOR: f64 = 0.8;

/// An engine that is to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    pub target: TargetId,
    pub model: ModelId,
    pub version: Version,
}

/// State of the rollout.
#[derive(Debug, Default)]
pub struct Rollout {
    /// Newest version that a trainer named, by model.
    named: Versions,
    homes: Homes,
    /// Engines, named versions or demand have changed since the homes were assigned.
    homes_due: bool,
    /// Work of the latest steps by model.
    demand: Demand,
    /// Loads in progress.
    loads: HashMap<TargetId, ModelId>,
    /// Time before which no further order goes to an engine.
    order_after: HashMap<TargetId, Time>,
}

impl Rollout {
    /// The engines or the named versions may have changed.
    pub fn sync(&mut self, named: &Versions) {
        self.named.clone_from(named);
        self.homes_due = true;
    }

    /// Takes note of a step's work: the output tokens that its trainer expects, less for a less urgent one.
    pub fn note_work(&mut self, job: &Job) {
        let tokens: u64 = job.spec.items.iter().map(|item| item.length_hint.unwrap_or(1)).sum();
        let rank = i32::try_from(job.priority).unwrap_or(i32::MAX);
        let work = tokens as f64 * RANK_FACTOR.powi(rank);
        let known = self.demand.entry(job.spec.model.clone()).or_insert(work);
        *known += (work - *known) * DEMAND_WEIGHT;
        self.homes_due = true;
    }

    /// Model of which an engine is loading a version.
    pub fn loads_model(&self, target: &str) -> Option<&ModelId> {
        self.loads.get(target)
    }

    pub fn is_idle(&self) -> bool {
        self.loads.is_empty()
    }

    /// Loads that begin now. `calm` means that no item waits for a place; `long` holds the engines with an item that is
    /// among the longest of its step.
    pub fn next(
        &mut self,
        now: Time,
        engines: &mut Engines,
        calm: bool,
        long: &HashSet<TargetId>,
    ) -> Vec<Step> {
        if std::mem::take(&mut self.homes_due) {
            let staying = engines.iter().filter(|engine| !engine.target.draining);
            let versions = staying.map(|engine| (engine.target.id.clone(), engine.versions()));
            self.homes.assign(&versions.collect(), &self.named, &self.demand);
        }
        let mut steps = Vec::new();
        for (model, &version) in &self.named {
            let candidates = self.candidates(model, now, engines, long);
            let room = weights::at_once(engines.iter().count()).saturating_sub(self.loads.len());
            for target in weights::next(version, &candidates, calm, room) {
                if let Some(engine) = engines.get_mut(&target) {
                    engine.loading = Some(model.clone());
                }
                self.loads.insert(target.clone(), model.clone());
                steps.push(Step { target, model: model.clone(), version });
            }
        }
        steps
    }

    fn candidates(
        &self,
        model: &ModelId,
        now: Time,
        engines: &Engines,
        long: &HashSet<TargetId>,
    ) -> Vec<Candidate> {
        let at_home = engines.iter().filter(|engine| {
            !engine.target.draining && self.homes.of(&engine.target.id) == Some(model)
        });
        let candidate = |engine: &Engine| {
            let id = &engine.target.id;
            let waits = self.order_after.get(id).is_some_and(|after| *after > now);
            Some(Candidate {
                id: id.clone(),
                version: engine.version(model)?,
                loading: self.loads.contains_key(id) || waits,
                in_flight: engine.in_flight,
                has_long: long.contains(id),
            })
        };
        at_home.filter_map(candidate).collect()
    }

    /// Takes the end of a load, with the version that the engine has if it reached one.
    pub fn ended(&mut self, id: &str, version: Option<Version>, now: Time, engines: &mut Engines) {
        let Some(model) = self.loads.remove(id) else {
            return;
        };
        if version.is_none() {
            self.order_after.insert(id.into(), now + weights::ORDER_RETRY);
        }
        if let Some(engine) = engines.get_mut(id) {
            engine.loading = None;
            if let Some(version) = version {
                engine.loaded(model, version);
            }
        }
    }
}
