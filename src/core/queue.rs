//! Bounded queues per model and service.
//!
//! Requests of callers go before bulk requests, which keep a configured share of the dispatches.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{budget::Budget, lane::Lane},
    file::{Limits, Snapshot},
    prelude::*,
};

/// Divisor of the moving average of the service time: the newest measurement has a weight of 1/8.
const AVERAGE_DIVISOR: u32 = 8;

/// Highest share of the dispatches that bulk requests may have while callers wait.
const BULK_SHARE_MAX_PERCENT: u32 = 90;

/// Priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Caller,
    Bulk,
}

/// Requests of one lane that wait for a target. Ids ascend, so a set ordered by id is first in, first out, and a
/// request that is queued again keeps its position.
#[derive(Debug, Default)]
pub struct Queue {
    pub callers: BTreeSet<RequestId>,
    pub bulk: BTreeSet<RequestId>,
    /// Requests that must not be dispatched before a time, such as that of a backoff.
    pub delayed: BTreeSet<RequestId>,
    /// Attempts in flight.
    pub running: u32,
    /// Moving average of the time of successful attempts.
    pub service_time: Option<Duration>,
    pub budget: Budget,
    /// Dispatches so far, for round robin.
    pub dispatches: usize,
    /// Grows with each caller dispatched while bulk waits. At `100 - share` the next dispatch goes to bulk.
    credit: u32,
}

impl Queue {
    /// Waiting requests of both classes, delayed ones included.
    pub fn len(&self) -> usize {
        self.callers.len() + self.bulk.len() + self.delayed.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request, which may have been delayed.
    pub fn push(&mut self, class: Class, id: RequestId) {
        self.delayed.remove(&id);
        match class {
            Class::Caller => self.callers.insert(id),
            Class::Bulk => self.bulk.insert(id),
        };
    }

    /// Removes a request from whichever set holds it.
    pub fn remove(&mut self, id: RequestId) {
        let _ = self.callers.remove(&id) || self.bulk.remove(&id) || self.delayed.remove(&id);
    }

    /// Request to dispatch next.
    pub fn next(&self, limits: &Limits) -> Option<RequestId> {
        let (caller, bulk) = (self.callers.first().copied(), self.bulk.first().copied());
        let share = limits.bulk_share_percent.min(BULK_SHARE_MAX_PERCENT);
        match (caller, bulk) {
            (Some(_), Some(bulk)) if share > 0 && self.credit >= 100 - share => Some(bulk),
            (caller, bulk) => caller.or(bulk),
        }
    }

    /// Oldest request of either class.
    pub fn first(&self) -> Option<RequestId> {
        self.callers.first().into_iter().chain(self.bulk.first()).min().copied()
    }

    /// Removes a dispatched request and counts it towards the share of bulk.
    pub fn dispatched(&mut self, id: RequestId, limits: &Limits) {
        let share = limits.bulk_share_percent.min(BULK_SHARE_MAX_PERCENT);
        if self.callers.remove(&id) {
            self.credit = if self.bulk.is_empty() { 0 } else { self.credit + share };
        } else {
            self.bulk.remove(&id);
            self.credit = self.credit.saturating_sub(100 - share);
        }
        self.running += 1;
        self.dispatches += 1;
    }

    /// Adds the duration of a successful attempt to the moving average.
    pub fn record_service_time(&mut self, time: Duration) {
        self.service_time = Some(match self.service_time {
            Some(mean) => (mean * (AVERAGE_DIVISOR - 1) + time) / AVERAGE_DIVISOR,
            None => time,
        });
    }

    /// Expected wait of a new request: the requests ahead of it over the measured service rate. Requests that arrived
    /// in this tick are still queued although the `free` slots can take them, so these are subtracted first.
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
    /// Lanes that changed since they were last served.
    pub dirty: BTreeSet<Lane>,
    /// Configuration with which the queues were last served.
    pub served_config: Option<Arc<Snapshot>>,
}

impl Table {
    /// Queue of a lane, created if missing.
    pub fn of(&mut self, lane: &Lane) -> &mut Queue {
        if !self.queues.contains_key(lane) {
            self.queues.insert(lane.clone(), Queue::default());
        }
        self.queues.get_mut(lane).expect("the queue was inserted above")
    }

    /// Marks a lane to be served in the next run.
    pub fn touch(&mut self, lane: &Lane) {
        if !self.dirty.contains(lane) {
            self.dirty.insert(lane.clone());
        }
    }

    /// Marks every lane with waiting requests to be served in the next run.
    pub fn touch_all(&mut self) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        self.dirty.extend(waiting.map(|(lane, _)| lane.clone()));
    }
}
