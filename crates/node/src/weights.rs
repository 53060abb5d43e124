//! Which engines load a new version next.
//!
//! A step for version `k` also accepts `k - 1`, so an engine remains usable for one version after its own.
//! Engines that are too old for the requested version load first. The others load while no item is waiting for a slot,
//! so that a step finds all engines available at its start and none is too old when the next version is requested. An
//! engine that runs a long item loads after the item has ended, as long as half of the engines are usable.
//!
//! Where several models are trained on the same engines, the engines are partitioned: each model has a share of them,
//! and only these load its new versions, because all engines cannot load every version of every model in time. Shares
//! are proportional to the work in each model's steps, so that the steps of all models find slots at once.

use std::collections::BTreeMap;

use crate::prelude::*;

/// One in this many engines may load at the same time.
const LOADING_DIVISOR: usize = 5;
/// An engine moves to another model when the two models' surpluses differ by more than this many engines.
const SURPLUS_DIFFERENCE_MAX: f64 = 1.5;
/// Delay after which an unconfirmed load is ordered again.
pub const LOAD_RETRY_DELAY: Duration = Duration::from_secs(3);

/// An engine that may load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub id: TargetId,
    pub version: Version,
    /// A load is in progress, or the retry of a failed one is delayed.
    pub loading: bool,
    /// Items running on it.
    pub in_flight: u32,
    /// It runs one of the longest items of its step, so a load would delay the whole step.
    pub has_long_item: bool,
}

/// Maximum number of `total` engines that may load at the same time.
pub fn parallel_loads_max(total: usize) -> usize {
    total.div_ceil(LOADING_DIVISOR).max(1)
}

/// Engines that load the `requested` version now, the most urgent first and at most `limit`. `queue_empty` means that
/// no item is waiting for a slot.
pub fn next_loads(
    requested: Version,
    candidates: &[Candidate],
    queue_empty: bool,
    limit: usize,
) -> Vec<TargetId> {
    let oldest_allowed = requested.saturating_sub(1);
    let due = |it: &&Candidate| {
        !it.loading && it.version < if queue_empty { requested } else { oldest_allowed }
    };
    let mut outdated: Vec<&Candidate> = candidates.iter().filter(due).collect();
    let usable = candidates.iter().filter(|it| !it.loading && it.version >= oldest_allowed);
    if 2 * usable.count() >= candidates.len() {
        outdated.retain(|it| !it.has_long_item);
    }
    outdated.sort_by_key(|it| (it.has_long_item, it.version, it.in_flight));
    outdated.into_iter().take(limit).map(|it| it.id.clone()).collect()
}

/// Versions of the models on an engine.
pub type Versions = BTreeMap<ModelId, Version>;

/// Work in the steps of each model, in any unit.
pub type Demand = BTreeMap<ModelId, f64>;

/// Partition of the engines among the models. An engine loads only new versions of its model.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    by_engine: BTreeMap<TargetId, ModelId>,
}

impl Partition {
    /// Adapts the partition to the engines and to demand. An engine keeps its model unless that has too large a share.
    pub fn rebalance(
        &mut self,
        engines: &BTreeMap<TargetId, Versions>,
        requested: &Versions,
        demand: &Demand,
    ) {
        self.by_engine
            .retain(|id, model| engines.contains_key(id) && requested.contains_key(model));
        let shares = shares(engines.len(), requested, demand);
        for (id, versions) in engines {
            if !self.by_engine.contains_key(id)
                && let Some(model) = self.most_lacking(versions, requested, &shares)
            {
                self.by_engine.insert(id.clone(), model);
            }
        }
        // Each transfer brings two models closer to their shares, so there are fewer transfers than engines.
        for _ in 0..engines.len() {
            let Some((id, model)) = self.next_transfer(engines, requested, &shares) else {
                break;
            };
            self.by_engine.insert(id, model);
        }
    }

    /// Model of an engine.
    pub fn model_of(&self, id: &str) -> Option<&ModelId> {
        self.by_engine.get(id)
    }

    /// Engines of a model beyond its share.
    fn surplus(&self, model: &ModelId, shares: &Demand) -> f64 {
        let count = self.by_engine.values().filter(|assigned| *assigned == model).count();
        count as f64 - shares.get(model).copied().unwrap_or_default()
    }

    /// Model with the smallest surplus; among equals, the one whose version on the engine is the least behind.
    fn most_lacking(
        &self,
        versions: &Versions,
        requested: &Versions,
        shares: &Demand,
    ) -> Option<ModelId> {
        let present = requested.keys().filter(|model| versions.contains_key(*model));
        let most_lacking = present.min_by(|a, b| {
            let by_share = self.surplus(a, shares).total_cmp(&self.surplus(b, shares));
            by_share
                .then_with(|| behind(versions, requested, a).cmp(&behind(versions, requested, b)))
        });
        most_lacking.cloned()
    }

    /// Next engine to move from the model with the largest surplus to the one with the smallest.
    fn next_transfer(
        &self,
        engines: &BTreeMap<TargetId, Versions>,
        requested: &Versions,
        shares: &Demand,
    ) -> Option<(TargetId, ModelId)> {
        let surplus = |model: &ModelId| self.surplus(model, shares);
        let largest = requested.keys().max_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        let smallest = requested.keys().min_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        if surplus(largest) - surplus(smallest) <= SURPLUS_DIFFERENCE_MAX {
            return None;
        }
        let of_largest = self.by_engine.iter().filter(|(_, model)| *model == largest);
        let movable = of_largest.filter_map(|(id, _)| {
            let versions = engines.get(id)?;
            versions.contains_key(smallest).then(|| (behind(versions, requested, smallest), id))
        });
        movable.min().map(|(_, id)| (id.clone(), smallest.clone()))
    }
}

/// Partition of engines of uneven speed: the fast ones are shared apart from the others, so that each model has its share of
/// them for its longest items.
#[derive(Clone, Debug, Default)]
pub struct Partitions {
    fast: Partition,
    others: Partition,
}

impl Partitions {
    /// Adapts both partitions. An engine whose speed has changed joins the other one.
    pub fn rebalance(
        &mut self,
        fast: &BTreeMap<TargetId, Versions>,
        others: &BTreeMap<TargetId, Versions>,
        requested: &Versions,
        demand: &Demand,
    ) {
        self.fast.rebalance(fast, requested, demand);
        self.others.rebalance(others, requested, demand);
    }

    /// Model of an engine.
    pub fn model_of(&self, id: &str) -> Option<&ModelId> {
        self.fast.model_of(id).or_else(|| self.others.model_of(id))
    }
}

/// Number of engines that each model should have, by demand. A model without known demand counts as average.
fn shares(engines: usize, requested: &Versions, demand: &Demand) -> Demand {
    let known: Vec<f64> = requested.keys().filter_map(|model| demand.get(model)).copied().collect();
    let average =
        if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let work = |model: &ModelId| demand.get(model).copied().unwrap_or(average);
    let all: f64 = requested.keys().map(work).sum();
    let share = |model: &ModelId| (engines as f64 * work(model) / all).max(1.0);
    requested.keys().map(|model| (model.clone(), share(model))).collect()
}

/// Number of versions by which an engine is behind the requested one.
fn behind(versions: &Versions, requested: &Versions, model: &ModelId) -> Version {
    let has = versions.get(model).copied().unwrap_or_default();
    requested.get(model).copied().unwrap_or_default().saturating_sub(has)
}
