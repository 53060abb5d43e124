//! What the route of a job says of the job.
//!
//! A job is accepted under the configuration that the accepting host knows, which the leader may not know yet. That host
//! stores the route's policy with the job, so that whoever leads applies it from the first item on. An item counts as sent
//! when its job was accepted: what this configuration or any later one allows is in order.

use serde::{Deserialize, Serialize};

use crate::{config::Route, prelude::*};

/// Time after which items of a removed route expire.
const REMOVED_ROUTE_TTL_MS: u64 = 600_000;

/// Policy of a route for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Version of the configuration that has the route.
    pub config: u64,
    /// Time from the submission until the results are due.
    pub deadline_ms: u64,
    /// Time from the submission after which waiting items expire.
    pub item_ttl_ms: u64,
    /// Failed attempts after which an item is given up.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether a single version must generate each result.
    pub single_version: bool,
}

impl Policy {
    pub fn new(config: u64, route: &Route) -> Self {
        Self {
            config,
            deadline_ms: millis(route.job_deadline),
            item_ttl_ms: millis(route.item_ttl),
            max_attempts: route.max_attempts,
            priority: route.priority,
            single_version: route.single_version,
        }
    }

    /// Policy of a job that an earlier build has stored without one, and whose route is gone.
    pub fn of_removed_route() -> Self {
        Self {
            config: 0,
            deadline_ms: 0,
            item_ttl_ms: REMOVED_ROUTE_TTL_MS,
            max_attempts: 1,
            priority: 0,
            single_version: true,
        }
    }

    /// Policy after a later configuration. Until its end the job keeps the wider of the limits that end its items, and the
    /// stricter demand on its texts, as either configuration may be the one that its trainer knows.
    pub fn updated(self, later: Self) -> Self {
        if later.config <= self.config {
            return self;
        }
        Self {
            item_ttl_ms: later.item_ttl_ms.max(self.item_ttl_ms),
            max_attempts: later.max_attempts.max(self.max_attempts),
            single_version: later.single_version || self.single_version,
            ..later
        }
    }

    pub(super) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    pub(super) fn item_ttl(&self) -> Duration {
        Duration::from_millis(self.item_ttl_ms)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
