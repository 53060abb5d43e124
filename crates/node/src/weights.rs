//! Which engines load a version next.
//!
//! A step that is asked for version `k` allows `k - 1`, so an engine may serve for one version after its own. The plan
//! loads engines that are too old for the named version first and then brings half of the rest up to date. The other
//! half is loaded with the next version, so that a model is never without engines and each load serves two versions.

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

/// Engines to load `named` now, the most urgent first.
pub fn next(named: Version, candidates: &[Candidate]) -> Vec<TargetId> {
    let loading = candidates.iter().filter(|it| it.loading).count();
    let room = at_once(candidates.len()).saturating_sub(loading);
    let oldest_allowed = named.saturating_sub(1);
    let current = candidates.iter().filter(|it| it.version >= named || it.loading).count();
    let half = candidates.len().div_ceil(2);
    let mut behind: Vec<&Candidate> =
        candidates.iter().filter(|it| !it.loading && it.version < named).collect();
    behind.sort_by_key(|it| (it.version, it.in_flight));
    let urgent = behind.iter().filter(|it| it.version < oldest_allowed).count();
    let wanted = urgent.max(half.saturating_sub(current));
    behind.into_iter().take(room.min(wanted)).map(|it| it.id.clone()).collect()
}
