//! Which engines load a version next.
//!
//! A step that is asked for version `k` allows `k - 1`, so an engine may serve for one version after its own. Engines that
//! are too old for the named version load first. The others load when no item waits for a place, so that a step finds
//! all engines at its start and none is too old when the next version is named.

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
}

/// Engines that may load at once out of `total`.
pub fn at_once(total: usize) -> usize {
    total.div_ceil(LOADING_DIVISOR).max(1)
}

/// Engines to load `named` now, the most urgent first. `calm` means that no item waits for a place.
pub fn next(named: Version, candidates: &[Candidate], calm: bool) -> Vec<TargetId> {
    let loading = candidates.iter().filter(|it| it.loading).count();
    let room = at_once(candidates.len()).saturating_sub(loading);
    let oldest_allowed = named.saturating_sub(1);
    let due =
        |it: &&Candidate| !it.loading && it.version < if calm { named } else { oldest_allowed };
    let mut behind: Vec<&Candidate> = candidates.iter().filter(due).collect();
    behind.sort_by_key(|it| (it.version, it.in_flight));
    behind.into_iter().take(room).map(|it| it.id.clone()).collect()
}
