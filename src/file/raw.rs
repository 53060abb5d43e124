//! JSON form of the declarative file, as serde reads it.
//!
//! Numbers are `u64`, so that values out of bounds are reported by the validation, with their bounds, and not by serde.

use std::{collections::BTreeMap, fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, Visitor},
};

/// Root of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub yards: UniqueMap<Yard>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Yard {
    pub zones: Vec<Box<str>>,
    #[serde(default)]
    pub objective: Objective,
    #[serde(default)]
    pub models: UniqueMap<Model>,
    #[serde(default)]
    pub pools: UniqueMap<Pool>,
    #[serde(default)]
    pub services: UniqueMap<Service>,
    #[serde(default)]
    pub trainers: UniqueMap<Trainer>,
    #[serde(default)]
    pub limits: Limits,
}

/// Scheduling objective of a yard.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    #[default]
    Idle,
    Staleness,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Model {
    pub parallel_loads: u64,
    pub max_unavailable_percent: u64,
    pub load_timeout_ms: u64,
}

impl Default for Model {
    fn default() -> Self {
        Self { parallel_loads: 2, max_unavailable_percent: 25, load_timeout_ms: 60_000 }
    }
}

/// Kind of the targets of a pool.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Engine,
    Service,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub kind: Kind,
    pub model: Option<Box<str>>,
    pub service: Option<Box<str>>,
    pub slots: u64,
    #[serde(default)]
    pub checks_fence: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub routes: Vec<Route>,
}

/// Route of a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub method: Box<str>,
    pub prefix: Box<str>,
    #[serde(default)]
    pub idempotent: bool,
    pub timeout_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trainer {
    pub model: Box<str>,
    pub zone: Box<str>,
    pub group_size: u64,
    pub groups_per_step: u64,
    pub staleness_versions: u64,
    #[serde(default = "one")]
    pub weight: u64,
    pub prompts: Source,
    pub judge: Option<Source>,
    pub max_tokens: u64,
}

fn one() -> u64 {
    1
}

/// Path prefix of a plain service that supplies prompts or rewards.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    pub service: Box<str>,
    pub prefix: Box<str>,
}

/// Limits of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    pub queue_requests: u64,
    pub deadline_ms: u64,
    pub attempts: u64,
    pub retry_budget_percent: u64,
    pub crash_limit: u64,
    pub bulk_share_percent: u64,
    pub duplicate_percent: u64,
}

impl Default for Limits {
    fn default() -> Self {
        let limits = super::Limits::default();
        Self {
            queue_requests: limits.queue_requests.into(),
            deadline_ms: limits.deadline.as_millis() as u64,
            attempts: limits.attempts.into(),
            retry_budget_percent: limits.retry_budget_percent.into(),
            crash_limit: limits.crash_limit.into(),
            bulk_share_percent: limits.bulk_share_percent.into(),
            duplicate_percent: limits.duplicate_percent.into(),
        }
    }
}

/// JSON object from names to values that rejects duplicate names. The maps of serde keep only the last value and would
/// silently drop part of the operator's file.
#[derive(Clone, Debug)]
pub struct UniqueMap<T>(pub BTreeMap<Box<str>, T>);

impl<T> Default for UniqueMap<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for UniqueMap<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(Entries(PhantomData))
    }
}

struct Entries<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Entries<T> {
    type Value = UniqueMap<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<UniqueMap<T>, A::Error> {
        let mut entries = BTreeMap::new();
        while let Some((name, value)) = access.next_entry::<Box<str>, T>()? {
            if entries.contains_key(&name) {
                return Err(A::Error::custom(format_args!("duplicate name \"{name}\"")));
            }
            entries.insert(name, value);
        }
        Ok(UniqueMap(entries))
    }
}
