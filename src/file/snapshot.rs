//! Validated form of the declarative file.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Scheduling objective of a yard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Objective {
    /// Minimizes the idle time of trainers.
    #[default]
    Idle,
    /// Minimizes the staleness of samples.
    Staleness,
}

/// Model and the limits of its weight loads.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    pub yard: Box<str>,
    pub objective: Objective,
    pub zones: Vec<ZoneId>,
    /// Maximum number of concurrent weight loads; the rate of the weight store may allow fewer.
    pub parallel_loads: u32,
    /// Maximum share of the model's engines that are out of service for a load.
    pub max_unavailable_percent: u32,
    pub load_timeout: Duration,
    pub limits: Limits,
}

/// Kind of the targets of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Engine { model: ModelId },
    Service { service: ServiceId },
}

/// Pool of interchangeable targets. The host list assigns targets to pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub kind: Kind,
    /// Maximum number of concurrent requests per target.
    pub slots: u32,
    /// Whether the targets reject an order with an old fencing token.
    pub checks_fence: bool,
}

/// Route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// HTTP method in upper case, or `*`.
    pub method: Box<str>,
    pub prefix: Box<str>,
    pub idempotent: bool,
    pub timeout: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub yard: Box<str>,
    pub zones: Vec<ZoneId>,
    pub routes: Vec<Route>,
    pub limits: Limits,
}

/// Trainer and the limits of its batches.
#[derive(Clone, Debug, PartialEq)]
pub struct Trainer {
    pub yard: Box<str>,
    pub objective: Objective,
    pub model: ModelId,
    pub zone: ZoneId,
    /// Samples per prompt.
    pub group_size: u32,
    pub groups_per_step: u32,
    /// Maximum distance between the trainer's version and the oldest version in a sample.
    pub staleness_versions: u64,
    /// Share of the engines relative to other trainers when engines are scarce.
    pub weight: u32,
    /// Plain service and path prefix of the prompts.
    pub prompts: Option<(ServiceId, Box<str>)>,
    /// Plain service and path prefix of the rewards.
    pub judge: Option<(ServiceId, Box<str>)>,
    pub max_tokens: u32,
}

/// Limits of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of requests queued on a host for a model or service.
    pub queue_requests: u32,
    /// Deadline of requests that set none.
    pub deadline: Duration,
    /// Maximum number of attempts of an idempotent request.
    pub attempts: u32,
    /// Maximum number of retries per hundred successes.
    pub retry_budget_percent: u32,
    /// Number of distinct targets that a content may crash before it is refused.
    pub crash_limit: u32,
    /// Share of the slots reserved for bulk generation while requests of callers wait.
    pub bulk_share_percent: u32,
    /// Maximum number of duplicates of straggling samples per hundred samples.
    pub duplicate_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_requests: 256,
            deadline: Duration::from_secs(30),
            attempts: 3,
            retry_budget_percent: 10,
            crash_limit: 3,
            bulk_share_percent: 20,
            duplicate_percent: 5,
        }
    }
}

/// Validated file. Names are unique across all yards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub revision: Revision,
    pub models: BTreeMap<ModelId, Model>,
    pub pools: BTreeMap<PoolId, Pool>,
    pub services: BTreeMap<ServiceId, Service>,
    pub trainers: BTreeMap<TrainerId, Trainer>,
}
