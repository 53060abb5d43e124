//! Choice of a target for a request, by pure functions.
//!
//! A candidate's score is its load per slot plus penalties; the lowest is best. A generation prefers the engine that
//! its prompt's prefix hashes to, as that engine is likely to have the prefix cached. Otherwise the better of two
//! random candidates near the best score is taken, since load reports lag behind.

use rand::{Rng, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{core::target::Row, prelude::*};

/// Penalty of a target of another zone: it is used once every target of the own zone is loaded beyond its slots.
pub const REMOTE_PENALTY: f64 = 1.0;
/// Penalty of a target on which a request failed recently.
pub const ERROR_PENALTY: f64 = 1.0;
const LOADING_PENALTY: f64 = 2.0;
const FAILURE_PENALTY: f64 = 2.0;
/// Scores within this of the best count as equal, because load reports lag behind.
const TIE_MARGIN: f64 = 0.5;
/// Prefix affinity holds up to this multiple of the mean load.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// A target with a free slot for the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub target: TargetId,
    pub load: f64,
    pub score: f64,
}

impl Candidate {
    /// Computes the score of a target.
    pub fn new(target: &TargetId, row: &Row, slots: u32, hosts: usize, own_zone: &str) -> Self {
        let load = load(row, hosts);
        let mut score = load / f64::from(slots.max(1));
        if &*row.zone != own_zone {
            score += REMOTE_PENALTY;
        }
        if row.loading_weights {
            score += LOADING_PENALTY;
        }
        if row.failures > 0 {
            score += FAILURE_PENALTY;
        }
        Self { target: target.clone(), load, score }
    }
}

/// Load of a target: its last report, corrected by the requests that this host has started and finished since. Without
/// a report, every host of the zone is assumed to send as many as this one.
pub fn load(row: &Row, hosts: usize) -> f64 {
    match &row.report {
        Some(report) => {
            let others = (report.running + report.waiting).saturating_sub(row.in_flight_at_report);
            f64::from(others + row.in_flight)
        }
        None => f64::from(row.in_flight) * hosts.max(1) as f64,
    }
}

/// Picks the target with affinity to the prompt's prefix unless it is overloaded, else the better of two random
/// candidates with about the best score.
pub fn pick(candidates: &[Candidate], prefix: Option<u64>, rng: &mut impl Rng) -> Option<TargetId> {
    let best = candidates.iter().map(|it| it.score).min_by(f64::total_cmp)?;
    if let Some(candidate) = prefix.and_then(|prefix| preferred(candidates, prefix, best)) {
        return Some(candidate.target.clone());
    }
    let ties: Vec<&Candidate> =
        candidates.iter().filter(|it| it.score <= best + TIE_MARGIN).collect();
    let chosen = index::sample(rng, ties.len(), ties.len().min(2));
    let chosen = chosen.iter().map(|at| ties[at]);
    chosen.min_by(|a, b| a.score.total_cmp(&b.score)).map(|it| it.target.clone())
}

/// Picks the target of a round-robin dispatch.
pub fn round_robin(candidates: &[Candidate], dispatches: usize) -> Option<TargetId> {
    let at = dispatches.checked_rem(candidates.len())?;
    Some(candidates[at].target.clone())
}

/// Candidate of a prefix by rendezvous hash, unless its load is above the bound or it has a penalty.
fn preferred(candidates: &[Candidate], prefix: u64, best: f64) -> Option<&Candidate> {
    let candidate =
        candidates.iter().max_by_key(|it| xxh3_64_with_seed(it.target.as_bytes(), prefix))?;
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let bound = (AFFINITY_LOAD_FACTOR * (total + 1.0) / candidates.len() as f64).ceil();
    (candidate.load + 1.0 <= bound && candidate.score < best + 1.0).then_some(candidate)
}
