//! Validation of the declarative file.
//!
//! All faults are collected with their JSON paths. A file with any fault is rejected.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

use crate::{
    file::{Error, Kind, Limits, Model, Objective, Pool, Route, Service, Snapshot, Trainer, raw},
    prelude::*,
};

const NAME_MAX_BYTES: usize = 64;
const PREFIX_MAX_BYTES: usize = 256;
/// Maximum of all durations: one hour, above any expected deadline or weight load.
const DURATION_MAX_MS: u64 = 3_600_000;

/// Faults of a file.
#[derive(Default)]
struct Faults(Vec<Box<str>>);

impl Faults {
    fn add(&mut self, path: &str, message: impl std::fmt::Display) {
        self.0.push(format!("{path}: {message}").into());
    }

    fn bounded(&mut self, path: &str, field: &str, value: u64, bounds: RangeInclusive<u64>) -> u32 {
        if !bounds.contains(&value) {
            let (low, high) = bounds.into_inner();
            self.add(&format!("{path}.{field}"), format_args!("{value} is not in {low} to {high}"));
        }
        u32::try_from(value).unwrap_or(u32::MAX)
    }

    fn duration(&mut self, path: &str, field: &str, value: u64, min: u64) -> Duration {
        self.bounded(path, field, value, min..=DURATION_MAX_MS);
        Duration::from_millis(value)
    }

    fn name(&mut self, path: &str, name: &str) {
        let is_valid = (1..=NAME_MAX_BYTES).contains(&name.len())
            && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if !is_valid {
            self.add(
                path,
                format_args!(
                    "name must have 1 to {NAME_MAX_BYTES} of the characters a-z A-Z 0-9 - _ ."
                ),
            );
        }
    }

    fn prefix(&mut self, path: &str, prefix: &str) {
        let is_valid = prefix.starts_with('/')
            && prefix.len() <= PREFIX_MAX_BYTES
            && prefix.bytes().all(|b| b.is_ascii_graphic() && !b"?#".contains(&b));
        if !is_valid {
            self.add(
                path,
                format_args!("\"{prefix}\" must start with / and have up to {PREFIX_MAX_BYTES} path characters"),
            );
        }
    }
}

/// Names of each namespace with the path that declares them.
#[derive(Default)]
struct Names(BTreeMap<(&'static str, Box<str>), String>);

impl Names {
    fn declare(&mut self, faults: &mut Faults, namespace: &'static str, path: &str, name: &str) {
        faults.name(path, name);
        match self.0.get(&(namespace, name.into())) {
            Some(other) => faults.add(path, format_args!("name is already used by {other}")),
            None => {
                self.0.insert((namespace, name.into()), path.into());
            }
        }
    }
}

impl TryFrom<raw::File> for Snapshot {
    type Error = Error;

    fn try_from(file: raw::File) -> Result<Self, Error> {
        let mut snapshot = Self::default();
        let (mut faults, mut names) = (Faults::default(), Names::default());
        for (name, yard) in &file.yards.0 {
            let path = format!("yards.{name}");
            faults.name(&path, name);
            add_yard(&mut snapshot, &mut faults, &mut names, &path, name, yard);
        }
        if faults.0.is_empty() { Ok(snapshot) } else { Err(Error::Invalid { faults: faults.0 }) }
    }
}

fn add_yard(
    snapshot: &mut Snapshot,
    faults: &mut Faults,
    names: &mut Names,
    path: &str,
    name: &str,
    yard: &raw::Yard,
) {
    let zones = zones(faults, path, &yard.zones);
    let limits = limits(faults, &format!("{path}.limits"), &yard.limits);
    let objective = match yard.objective {
        raw::Objective::Idle => Objective::Idle,
        raw::Objective::Staleness => Objective::Staleness,
    };
    for (id, model) in &yard.models.0 {
        let path = format!("{path}.models.{id}");
        // Models and services share a namespace, as requests and queues refer to both by name.
        names.declare(faults, "target of requests", &path, id);
        let model = Model {
            yard: name.into(),
            objective,
            zones: zones.clone(),
            parallel_loads: faults.bounded(&path, "parallel_loads", model.parallel_loads, 1..=1000),
            max_unavailable_percent: faults.bounded(
                &path,
                "max_unavailable_percent",
                model.max_unavailable_percent,
                1..=100,
            ),
            load_timeout: faults.duration(&path, "load_timeout_ms", model.load_timeout_ms, 1000),
            limits: limits.clone(),
        };
        snapshot.models.insert(id.clone(), model);
    }
    for (id, service) in &yard.services.0 {
        let path = format!("{path}.services.{id}");
        names.declare(faults, "target of requests", &path, id);
        let service = Service {
            yard: name.into(),
            zones: zones.clone(),
            routes: routes(faults, &path, &service.routes),
            limits: limits.clone(),
        };
        snapshot.services.insert(id.clone(), service);
    }
    for (id, pool) in &yard.pools.0 {
        let path = format!("{path}.pools.{id}");
        names.declare(faults, "pool", &path, id);
        if let Some(pool) = check_pool(faults, &path, yard, pool) {
            snapshot.pools.insert(id.clone(), pool);
        }
    }
    for (id, trainer) in &yard.trainers.0 {
        let path = format!("{path}.trainers.{id}");
        names.declare(faults, "trainer", &path, id);
        let trainer = check_trainer(faults, &path, name, objective, yard, trainer);
        snapshot.trainers.insert(id.clone(), trainer);
    }
}

fn zones(faults: &mut Faults, path: &str, raw: &[Box<str>]) -> Vec<ZoneId> {
    let path = format!("{path}.zones");
    if raw.is_empty() {
        faults.add(&path, "at least one zone is required");
    }
    let mut seen = BTreeSet::new();
    for (index, zone) in raw.iter().enumerate() {
        faults.name(&format!("{path}[{index}]"), zone);
        if !seen.insert(zone) {
            faults.add(&format!("{path}[{index}]"), format_args!("duplicate zone \"{zone}\""));
        }
    }
    raw.to_vec()
}

fn limits(faults: &mut Faults, path: &str, raw: &raw::Limits) -> Limits {
    Limits {
        queue_requests: faults.bounded(path, "queue_requests", raw.queue_requests, 1..=100_000),
        deadline: faults.duration(path, "deadline_ms", raw.deadline_ms, 1),
        attempts: faults.bounded(path, "attempts", raw.attempts, 1..=10),
        retry_budget_percent: faults.bounded(
            path,
            "retry_budget_percent",
            raw.retry_budget_percent,
            0..=100,
        ),
        crash_limit: faults.bounded(path, "crash_limit", raw.crash_limit, 1..=100),
        bulk_share_percent: faults.bounded(
            path,
            "bulk_share_percent",
            raw.bulk_share_percent,
            0..=100,
        ),
        duplicate_percent: faults.bounded(path, "duplicate_percent", raw.duplicate_percent, 0..=50),
    }
}

fn routes(faults: &mut Faults, path: &str, raw: &[raw::Route]) -> Vec<Route> {
    if raw.is_empty() {
        faults.add(&format!("{path}.routes"), "at least one route is required");
    }
    let mut seen = BTreeSet::new();
    let mut routes = Vec::new();
    for (index, route) in raw.iter().enumerate() {
        let path = format!("{path}.routes[{index}]");
        let upper =
            !route.method.is_empty() && route.method.bytes().all(|b| b.is_ascii_uppercase());
        if !upper && &*route.method != "*" {
            faults.add(
                &format!("{path}.method"),
                format_args!("\"{}\" is neither an upper-case method nor *", route.method),
            );
        }
        faults.prefix(&format!("{path}.prefix"), &route.prefix);
        if !seen.insert((&route.method, &route.prefix)) {
            faults.add(&path, format_args!("duplicate route {} {}", route.method, route.prefix));
        }
        routes.push(Route {
            method: route.method.clone(),
            prefix: route.prefix.clone(),
            idempotent: route.idempotent,
            timeout: faults.duration(&path, "timeout_ms", route.timeout_ms, 1),
        });
    }
    routes
}

fn check_pool(faults: &mut Faults, path: &str, yard: &raw::Yard, pool: &raw::Pool) -> Option<Pool> {
    let slots = faults.bounded(path, "slots", pool.slots, 1..=4096);
    let (kind, other, given) = match pool.kind {
        raw::Kind::Engine => ("engine", "service", &pool.service),
        raw::Kind::Service => ("service", "model", &pool.model),
    };
    if given.is_some() {
        faults.add(
            &format!("{path}.{other}"),
            format_args!("not allowed in a pool of kind \"{kind}\""),
        );
    }
    if pool.kind == raw::Kind::Service && pool.checks_fence {
        faults.add(&format!("{path}.checks_fence"), "only engines receive weight loads");
    }
    let kind = match pool.kind {
        raw::Kind::Engine => Kind::Engine {
            model: reference(faults, path, "model", pool.model.as_deref(), &yard.models)?,
        },
        raw::Kind::Service => Kind::Service {
            service: reference(faults, path, "service", pool.service.as_deref(), &yard.services)?,
        },
    };
    Some(Pool { kind, slots, checks_fence: pool.checks_fence })
}

/// Checks a reference by name to an entry of the same yard.
fn reference<T>(
    faults: &mut Faults,
    path: &str,
    field: &str,
    name: Option<&str>,
    entries: &raw::UniqueMap<T>,
) -> Option<Box<str>> {
    let path = format!("{path}.{field}");
    let Some(name) = name else {
        faults.add(&path, format_args!("a {field} is required"));
        return None;
    };
    if !entries.0.contains_key(name) {
        faults.add(&path, format_args!("no {field} \"{name}\" in this yard"));
    }
    Some(name.into())
}

fn check_trainer(
    faults: &mut Faults,
    path: &str,
    name: &str,
    objective: Objective,
    yard: &raw::Yard,
    raw: &raw::Trainer,
) -> Trainer {
    reference(faults, path, "model", Some(&raw.model), &yard.models);
    if !yard.zones.contains(&raw.zone) {
        faults.add(&format!("{path}.zone"), format_args!("no zone \"{}\" in this yard", raw.zone));
    }
    let mut source = |field: &str, source: &raw::Source| {
        let path = format!("{path}.{field}");
        reference(faults, &path, "service", Some(&source.service), &yard.services);
        faults.prefix(&format!("{path}.prefix"), &source.prefix);
        (source.service.clone(), source.prefix.clone())
    };
    let prompts = Some(source("prompts", &raw.prompts));
    let judge = raw.judge.as_ref().map(|judge| source("judge", judge));
    faults.bounded(path, "staleness_versions", raw.staleness_versions, 0..=1000);
    Trainer {
        yard: name.into(),
        objective,
        model: raw.model.clone(),
        zone: raw.zone.clone(),
        group_size: faults.bounded(path, "group_size", raw.group_size, 1..=1024),
        groups_per_step: faults.bounded(path, "groups_per_step", raw.groups_per_step, 1..=65_536),
        staleness_versions: raw.staleness_versions,
        weight: faults.bounded(path, "weight", raw.weight, 1..=1000),
        prompts,
        judge,
        max_tokens: faults.bounded(path, "max_tokens", raw.max_tokens, 1..=1_000_000),
    }
}
