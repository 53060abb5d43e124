//! Which engines load a version next.
//!
//! A step that is asked for version `k` allows `k - 1`, so an engine may serve for one version after its own. Engines that
//! are too old for the named version load first. The others load when no item waits for a place, so that a step finds
//! all engines at its start and none is too old when the next version is named. An engine on which a long item runs loads
//! after that item's end, as long as half of the engines may serve.
//!
//! Where several models are trained on the same engines, each has a share of them as its home, and only these are loaded
//! with its new versions: all engines cannot load every version of every model in time. Shares go by the work that each
//! model's steps bring, so that the steps of all models find places at once.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Share of the engines that may load at once, as a divisor.
const LOADING_DIVISOR: usize = 5;
/// An engine moves to another model when the models' distances from their shares differ by more than this many engines.
const TRANSFER_MIN: f64 = 1.5;
/// Time after which an order without effect is sent again.
pub const ORDER_RETRY: Duration = Duration::from_secs(3);

/// An engine as the plan sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub id: TargetId,
    pub version: Version,
    /// Loads now, or an order to load is on its way.
    pub loading: bool,
    /// Items that run on it.
    pub in_flight: u32,
    /// One of them is among the longest of its step, so the step would wait for what a load costs it.
    pub has_long: bool,
}

/// Engines that may load at once out of `total`.
pub fn at_once(total: usize) -> usize {
    total.div_ceil(LOADING_DIVISOR).max(1)
}

/// Engines to load `named` now, at most `room`, the most urgent first. `calm` means that no item waits for a place.
pub fn next(named: Version, candidates: &[Candidate], calm: bool, room: usize) -> Vec<TargetId> {
    let oldest_allowed = named.saturating_sub(1);
    let due =
        |it: &&Candidate| !it.loading && it.version < if calm { named } else { oldest_allowed };
    let mut behind: Vec<&Candidate> = candidates.iter().filter(due).collect();
    let usable = candidates.iter().filter(|it| !it.loading && it.version >= oldest_allowed);
    if 2 * usable.count() >= candidates.len() {
        behind.retain(|it| !it.has_long);
    }
    behind.sort_by_key(|it| (it.has_long, it.version, it.in_flight));
    behind.into_iter().take(room).map(|it| it.id.clone()).collect()
}

/// Versions of the models on an engine.
pub type Versions = BTreeMap<ModelId, Version>;

/// Work that the steps of each model bring, in any unit.
pub type Demand = BTreeMap<ModelId, f64>;

/// Model whose new versions an engine loads.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    by_engine: BTreeMap<TargetId, ModelId>,
}

impl Homes {
    /// Brings the homes up to date: engines stay where they are unless their model has too large a share.
    pub fn assign(
        &mut self,
        engines: &BTreeMap<TargetId, Versions>,
        named: &Versions,
        demand: &Demand,
    ) {
        self.by_engine.retain(|id, model| engines.contains_key(id) && named.contains_key(model));
        let shares = shares(engines.len(), named, demand);
        for (id, versions) in engines {
            if !self.by_engine.contains_key(id)
                && let Some(model) = self.neediest(versions, named, &shares)
            {
                self.by_engine.insert(id.clone(), model);
            }
        }
        // Each transfer brings two models nearer to their shares, so there are fewer than engines.
        for _ in 0..engines.len() {
            let Some((id, model)) = self.transfer(engines, named, &shares) else {
                break;
            };
            self.by_engine.insert(id, model);
        }
    }

    /// Model at home on an engine.
    pub fn of(&self, id: &str) -> Option<&ModelId> {
        self.by_engine.get(id)
    }

    /// Engines of a model beyond its share.
    fn surplus(&self, model: &ModelId, shares: &Demand) -> f64 {
        let count = self.by_engine.values().filter(|home| *home == model).count();
        count as f64 - shares.get(model).copied().unwrap_or_default()
    }

    /// The model that lacks most of its share, and among equals the one whose version on the engine is least behind.
    fn neediest(&self, versions: &Versions, named: &Versions, shares: &Demand) -> Option<ModelId> {
        let present = named.keys().filter(|model| versions.contains_key(*model));
        let neediest = present.min_by(|a, b| {
            let by_share = self.surplus(a, shares).total_cmp(&self.surplus(b, shares));
            by_share.then_with(|| behind(versions, named, a).cmp(&behind(versions, named, b)))
        });
        neediest.cloned()
    }

    /// An engine to be moved from the model with the largest surplus to the one with the smallest.
    fn transfer(
        &self,
        engines: &BTreeMap<TargetId, Versions>,
        named: &Versions,
        shares: &Demand,
    ) -> Option<(TargetId, ModelId)> {
        let surplus = |model: &ModelId| self.surplus(model, shares);
        let largest = named.keys().max_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        let smallest = named.keys().min_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        if surplus(largest) - surplus(smallest) <= TRANSFER_MIN {
            return None;
        }
        let of_largest = self.by_engine.iter().filter(|(_, home)| *home == largest);
        let movable = of_largest.filter_map(|(id, _)| {
            let versions = engines.get(id)?;
            versions.contains_key(smallest).then(|| (behind(versions, named, smallest), id))
        });
        movable.min().map(|(_, id)| (id.clone(), smallest.clone()))
    }
}

/// Engines that each model should have, by demand; a model of which nothing is known yet counts as an average one.
fn shares(engines: usize, named: &Versions, demand: &Demand) -> Demand {
    let known: Vec<f64> = named.keys().filter_map(|model| demand.get(model)).copied().collect();
    let average =
        if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let work = |model: &ModelId| demand.get(model).copied().unwrap_or(average);
    let all: f64 = named.keys().map(work).sum();
    let share = |model: &ModelId| (engines as f64 * work(model) / all).max(1.0);
    named.keys().map(|model| (model.clone(), share(model))).collect()
}

/// Versions by which an engine is behind the named one.
fn behind(versions: &Versions, named: &Versions, model: &ModelId) -> Version {
    let has = versions.get(model).copied().unwrap_or_default();
    named.get(model).copied().unwrap_or_default().saturating_sub(has)
}
