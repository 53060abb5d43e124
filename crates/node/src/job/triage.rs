//! Which open jobs are served first when there are not enough slots for all of them.
//!
//! Load pattern: each trainer has two steps open and asks for the next one when the first of them ends. If the engines
//! cannot keep up and slots are shared by due time alone, both steps of every trainer end late, and so does every later
//! one. Instead, jobs that cannot be complete in time beside those due before them are deferred: they get the slots that
//! no other job can use. Jobs are accepted in the order of their due times; whenever the accepted work does not fit, the
//! largest accepted job is deferred, which leaves the most jobs in time (Moore-Hodgson).

use std::collections::BTreeSet;

use crate::{job::Effort, prelude::*};

/// Work that a job needs to be complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    pub job: JobId,
    pub due: Time,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Slot time of all items that the trainer still needs.
    pub work: Effort,
    /// Time of the longest of these items.
    pub longest: Effort,
}

/// Jobs to defer of those that share `slots` slots.
pub fn deferred(now: Time, slots: f64, mut loads: Vec<Load>) -> BTreeSet<JobId> {
    loads.sort_by(|a, b| a.due.cmp(&b.due).then_with(|| a.job.cmp(&b.job)));
    let (mut accepted, mut deferred): (Vec<Load>, BTreeSet<JobId>) = Default::default();
    for load in loads {
        let due = load.due;
        // A job that would be late even alone costs no other job its place.
        if !fits(now, slots, std::slice::from_ref(&load), due) {
            deferred.insert(load.job);
            continue;
        }
        accepted.push(load);
        while !fits(now, slots, &accepted, due) {
            let dropped = largest(&accepted);
            deferred.insert(accepted.swap_remove(dropped).job);
        }
    }
    deferred
}

/// Whether the accepted jobs are complete by `due`, the latest of their due times.
fn fits(now: Time, slots: f64, accepted: &[Load], due: Time) -> bool {
    let longest = accepted.iter().map(|load| load.longest).max().unwrap_or_default();
    let work: Effort = accepted.iter().map(|load| load.work).sum();
    accepted.is_empty() || now + work.in_slots(slots).max(longest.time()) <= due
}

/// Index of the largest of the least urgent jobs.
fn largest(accepted: &[Load]) -> usize {
    let key = |at: &usize| (accepted[*at].priority, accepted[*at].work.max(accepted[*at].longest));
    (0..accepted.len()).max_by_key(key).unwrap_or_default()
}
