//! Which engines load a version next.
//!
//! A step that is asked for version `k` allows `k - 1`, so an engine may serve for one version after its own. Engines that
//! are too old for the named version load first. The others load when no item waits for a place, so that a step finds
//! all engines at its start and none is too old when the next version is named. An engine on which a long item runs loads
//! after that item's end, as long as half of the engines may serve.
//!
//! Where several models are trained on the same engines, each has a share of them as its home, and only these are loaded
//! with its new versions: all engines cannot load every version of every model in time.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Share of the engines that may load at once, as a divisor.
const LOADING_DIVISOR: usize = 5;
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

/// Model whose new versions an engine loads.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    by_engine: BTreeMap<TargetId, ModelId>,
}

impl Homes {
    /// Brings the shares up to date: engines stay where they are unless the shares differ by more than one.
    pub fn assign(&mut self, engines: &BTreeMap<TargetId, Versions>, named: &Versions) {
        self.by_engine.retain(|id, model| engines.contains_key(id) && named.contains_key(model));
        for (id, versions) in engines {
            if !self.by_engine.contains_key(id)
                && let Some(model) = self.neediest(versions, named)
            {
                self.by_engine.insert(id.clone(), model);
            }
        }
        while let Some((id, model)) = self.transfer(engines, named) {
            self.by_engine.insert(id, model);
        }
    }

    /// Model at home on an engine.
    pub fn of(&self, id: &str) -> Option<&ModelId> {
        self.by_engine.get(id)
    }

    fn count(&self, model: &ModelId) -> usize {
        self.by_engine.values().filter(|home| *home == model).count()
    }

    /// The model with the smallest share, and among equals the one whose version on the engine is least behind.
    fn neediest(&self, versions: &Versions, named: &Versions) -> Option<ModelId> {
        named
            .keys()
            .filter(|model| versions.contains_key(*model))
            .min_by_key(|model| (self.count(model), behind(versions, named, model)))
            .cloned()
    }

    /// An engine to be moved from the largest share to the smallest.
    fn transfer(
        &self,
        engines: &BTreeMap<TargetId, Versions>,
        named: &Versions,
    ) -> Option<(TargetId, ModelId)> {
        let largest = named.keys().max_by_key(|model| self.count(model))?;
        let smallest = named.keys().min_by_key(|model| self.count(model))?;
        if self.count(largest) <= self.count(smallest) + 1 {
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

/// Versions by which an engine is behind the named one.
fn behind(versions: &Versions, named: &Versions, model: &ModelId) -> Version {
    let has = versions.get(model).copied().unwrap_or_default();
    named.get(model).copied().unwrap_or_default().saturating_sub(has)
}
