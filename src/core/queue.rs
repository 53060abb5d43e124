//! Bounded queues per model and service.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{budget::Budget, lane::Lane},
    file::{Limits, Snapshot},
    prelude::*,
};

/// Weight of the newest measurement in the mean service time is one over this.
const MEAN_WEIGHT: u32 = 8;

/// Highest share that bulk can keep from callers, in percent.
const BULK_SHARE_MAX_PERCENT: u32 = 90;

/// Classes of requests in one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Caller,
    Bulk,
}

/// Requests of one lane that wait for a target. Ids count up, so a set in id order is first come first served, and a
/// request that is queued again keeps its place.
#[derive(Debug, Default)]
pub struct Queue {
    pub callers: BTreeSet<RequestId>,
    pub bulk: BTreeSet<RequestId>,
    /// Requests that wait for a time before they may be dispatched.
    pub delayed: BTreeSet<RequestId>,
    /// Attempts in flight.
    pub running: u32,
    /// Mean time of a successful attempt.
    pub service_time: Option<Duration>,
    pub budget: Budget,
    /// Dispatches so far, for round robin.
    pub turn: usize,
    /// Grows with each caller dispatched while bulk waits; enough of it gives bulk the next turn.
    credit: u32,
}

impl Queue {
    /// Requests that wait, in both classes.
    pub fn len(&self) -> usize {
        self.callers.len() + self.bulk.len() + self.delayed.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a request in.
    pub fn push(&mut self, class: Class, id: RequestId) {
        self.delayed.remove(&id);
        match class {
            Class::Caller => self.callers.insert(id),
            Class::Bulk => self.bulk.insert(id),
        };
    }

    /// Takes a request out, wherever it waits.
    pub fn remove(&mut self, id: RequestId) {
        let _ = self.callers.remove(&id) || self.bulk.remove(&id) || self.delayed.remove(&id);
    }

    /// Request whose turn it is.
    pub fn next(&self, limits: &Limits) -> Option<RequestId> {
        let (caller, bulk) = (self.callers.first().copied(), self.bulk.first().copied());
        let share = limits.bulk_share_percent.min(BULK_SHARE_MAX_PERCENT);
        match (caller, bulk) {
            (Some(_), Some(bulk)) if share > 0 && self.credit >= 100 - share => Some(bulk),
            (caller, bulk) => caller.or(bulk),
        }
    }

    /// Request that came first, whatever its class.
    pub fn first(&self) -> Option<RequestId> {
        self.callers.first().into_iter().chain(self.bulk.first()).min().copied()
    }

    /// Counts a dispatch towards the share of bulk and takes the request out.
    pub fn dispatched(&mut self, id: RequestId, limits: &Limits) {
        let share = limits.bulk_share_percent.min(BULK_SHARE_MAX_PERCENT);
        if self.callers.remove(&id) {
            self.credit = if self.bulk.is_empty() { 0 } else { self.credit + share };
        } else {
            self.bulk.remove(&id);
            self.credit = self.credit.saturating_sub(100 - share);
        }
        self.running += 1;
        self.turn += 1;
    }

    /// Takes the duration of a successful attempt into the mean.
    pub fn measured(&mut self, time: Duration) {
        self.service_time = Some(match self.service_time {
            Some(mean) => (mean * (MEAN_WEIGHT - 1) + time) / MEAN_WEIGHT,
            None => time,
        });
    }

    /// Expected wait of a new request: requests ahead of it over the measured service rate. Requests that arrive together
    /// stand in the queue for a moment although `free` slots wait for them, so these are taken off first.
    pub fn expected_wait(&self, class: Class, limits: &Limits, free: u32) -> Duration {
        let Some(mean) = self.service_time else {
            return Duration::ZERO;
        };
        let callers = self.callers.len() as u32;
        let ahead = match class {
            Class::Bulk => callers + self.bulk.len() as u32,
            Class::Caller if self.bulk.is_empty() => callers,
            Class::Caller => {
                callers * 100 / (100 - limits.bulk_share_percent.min(BULK_SHARE_MAX_PERCENT))
            }
        };
        mean * ahead.saturating_sub(free) / (self.running + free).max(1)
    }
}

/// Queues of this host.
#[derive(Debug, Default)]
pub struct Table {
    pub queues: BTreeMap<Lane, Queue>,
    /// Lanes in which something changed since they were last served.
    pub dirty: BTreeSet<Lane>,
    /// Configuration that the queues were last served under.
    pub served_under: Option<Arc<Snapshot>>,
}

impl Table {
    /// Queue of a lane.
    pub fn of(&mut self, lane: &Lane) -> &mut Queue {
        if !self.queues.contains_key(lane) {
            self.queues.insert(lane.clone(), Queue::default());
        }
        self.queues.get_mut(lane).expect("the queue was inserted above")
    }

    /// Has a lane served in the next run.
    pub fn touch(&mut self, lane: &Lane) {
        if !self.dirty.contains(lane) {
            self.dirty.insert(lane.clone());
        }
    }

    /// Has every lane served in which something waits.
    pub fn touch_all(&mut self) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        self.dirty.extend(waiting.map(|(lane, _)| lane.clone()));
    }
}
