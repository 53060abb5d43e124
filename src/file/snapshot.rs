//! Checked form of the declarative file.

use std::collections::BTreeMap;

use crate::prelude::*;

/// What a yard's operators weigh more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Objective {
    /// Trainers that do not wait.
    #[default]
    Idle,
    /// Samples from recent weights.
    Staleness,
}

/// A model and how its weights may be changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    pub yard: Box<str>,
    pub objective: Objective,
    pub zones: Vec<ZoneId>,
    /// Weight loads at the same time, as far as the weight store's rate allows.
    pub parallel_loads: u32,
    /// Share of the model's engines that may be out of service for a load, in percent.
    pub max_unavailable_percent: u32,
    pub load_timeout: Duration,
    pub limits: Limits,
}

/// What a pool's targets run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Engine { model: ModelId },
    Service { service: ServiceId },
}

/// A pool of equal targets; the host list says which targets are in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub kind: Kind,
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Whether its targets refuse an order with an old fencing number.
    pub checks_fence: bool,
}

/// One route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// HTTP method in upper case, or `*`.
    pub method: Box<str>,
    pub prefix: Box<str>,
    pub idempotent: bool,
    pub timeout: Duration,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub yard: Box<str>,
    pub zones: Vec<ZoneId>,
    pub routes: Vec<Route>,
    pub limits: Limits,
}

/// A trainer and the bounds on what it gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Trainer {
    pub yard: Box<str>,
    pub objective: Objective,
    pub model: ModelId,
    pub zone: ZoneId,
    /// Samples of one prompt.
    pub group_size: u32,
    pub groups_per_step: u32,
    /// Highest distance between the trainer's version and the oldest version in a sample.
    pub staleness_versions: u64,
    /// Share of the engines relative to other trainers when they are short.
    pub weight: u32,
    /// Plain service and path prefix that gives prompts.
    pub prompts: Option<(ServiceId, Box<str>)>,
    /// Plain service and path prefix that gives rewards.
    pub judge: Option<(ServiceId, Box<str>)>,
    pub max_tokens: u32,
}

/// Bounds on requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Requests that may wait on one host for one model or service.
    pub queue_requests: u32,
    /// Deadline of a caller's request that names none.
    pub deadline: Duration,
    /// Attempts for one idempotent request.
    pub attempts: u32,
    /// Retries for each hundred successes.
    pub retry_budget_percent: u32,
    /// Distinct targets that one content may crash.
    pub crash_limit: u32,
    /// Slots that bulk generation keeps while callers wait, in percent.
    pub bulk_share_percent: u32,
    /// Samples that may run twice, in percent of those running.
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

/// A whole checked file. Names are unique across its yards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub revision: Revision,
    pub models: BTreeMap<ModelId, Model>,
    pub pools: BTreeMap<PoolId, Pool>,
    pub services: BTreeMap<ServiceId, Service>,
    pub trainers: BTreeMap<TrainerId, Trainer>,
}
