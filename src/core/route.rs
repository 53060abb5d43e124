//! Choice of a target for a request, by pure functions.

use rand::{Rng, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{core::target::Row, prelude::*};

/// A remote target is considered once every target of the own zone is loaded beyond its slots.
pub const REMOTE_PENALTY: f64 = 1.0;
/// For a target that lately broke off, refused or did not answer a request.
pub const ERROR_PENALTY: f64 = 1.0;
const LOADING_PENALTY: f64 = 2.0;
const FAILURE_PENALTY: f64 = 2.0;
/// Targets whose scores differ by less are taken as equal, because load reports are late.
const TIE: f64 = 0.5;
/// A target keeps the prompts of its prefixes up to this multiple of the mean load.
const BOUNDED_LOAD: f64 = 1.25;

/// A target that could take the request now.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub target: TargetId,
    pub load: f64,
    pub score: f64,
}

impl Candidate {
    /// Rates a target.
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

/// Load of a target: the late report, corrected by what this host started and finished since. Without a report every
/// host of the zone is taken to send as much as this one.
pub fn load(row: &Row, hosts: usize) -> f64 {
    match &row.report {
        Some(report) => {
            let others = (report.running + report.waiting).saturating_sub(row.in_flight_at_report);
            f64::from(others + row.in_flight)
        }
        None => f64::from(row.in_flight) * hosts.max(1) as f64,
    }
}

/// Picks a target: the one that has the prompt's prefix unless it is overloaded, else the better of two random ones
/// among the best.
pub fn pick(candidates: &[Candidate], prefix: Option<u64>, rng: &mut impl Rng) -> Option<TargetId> {
    let best = candidates.iter().map(|it| it.score).min_by(f64::total_cmp)?;
    if let Some(near) = prefix.and_then(|prefix| affine(candidates, prefix, best)) {
        return Some(near.target.clone());
    }
    let ties: Vec<&Candidate> = candidates.iter().filter(|it| it.score <= best + TIE).collect();
    let chosen = index::sample(rng, ties.len(), ties.len().min(2));
    let chosen = chosen.iter().map(|at| ties[at]);
    chosen.min_by(|a, b| a.score.total_cmp(&b.score)).map(|it| it.target.clone())
}

/// Picks targets in turn.
pub fn round_robin(candidates: &[Candidate], turn: usize) -> Option<TargetId> {
    let at = turn.checked_rem(candidates.len())?;
    Some(candidates[at].target.clone())
}

/// Candidate of a prefix by rendezvous hash, if its load is within the bound and nothing but load speaks against it.
fn affine(candidates: &[Candidate], prefix: u64, best: f64) -> Option<&Candidate> {
    let near =
        candidates.iter().max_by_key(|it| xxh3_64_with_seed(it.target.as_bytes(), prefix))?;
    let total: f64 = candidates.iter().map(|it| it.load).sum();
    let bound = (BOUNDED_LOAD * (total + 1.0) / candidates.len() as f64).ceil();
    (near.load + 1.0 <= bound && near.score < best + 1.0).then_some(near)
}
