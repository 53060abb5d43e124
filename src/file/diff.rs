//! Readable differences between two configurations, for dry runs.

use std::collections::BTreeMap;

use crate::{
    file::{Kind, Limits, Objective, Snapshot},
    prelude::*,
};

/// Lists the changes from one configuration to another, one line each, ordered by path.
pub fn diff(old: &Snapshot, new: &Snapshot) -> Vec<Box<str>> {
    let (old, new) = (flatten(old), flatten(new));
    let mut lines = BTreeMap::new();
    for (path, value) in &new {
        match old.get(path) {
            None => lines.insert(path, format!("+ {path} = {value}")),
            Some(before) if before != value => {
                lines.insert(path, format!("~ {path} = {value} (was {before})"))
            }
            Some(_) => None,
        };
    }
    for (path, value) in &old {
        if !new.contains_key(path) {
            lines.insert(path, format!("- {path} = {value}"));
        }
    }
    lines.into_values().map(Box::from).collect()
}

type Lines = BTreeMap<String, String>;

fn flatten(snapshot: &Snapshot) -> Lines {
    let mut lines = Lines::new();
    for (id, model) in &snapshot.models {
        let path = format!("yards.{}.models.{id}", model.yard);
        let mut put = |field: &str, value: String| lines.insert(format!("{path}.{field}"), value);
        put("zones", model.zones.join(", "));
        put("objective", objective(model.objective));
        put("parallel_loads", model.parallel_loads.to_string());
        put("max_unavailable_percent", model.max_unavailable_percent.to_string());
        put("load_timeout_ms", millis(model.load_timeout));
        limits(&mut lines, &path, &model.limits);
    }
    for (id, service) in &snapshot.services {
        let path = format!("yards.{}.services.{id}", service.yard);
        lines.insert(format!("{path}.zones"), service.zones.join(", "));
        for route in &service.routes {
            let idempotent = if route.idempotent { "idempotent" } else { "not idempotent" };
            let value = format!("{idempotent}, timeout_ms {}", millis(route.timeout));
            lines.insert(format!("{path}.routes.{} {}", route.method, route.prefix), value);
        }
        limits(&mut lines, &path, &service.limits);
    }
    for (id, pool) in &snapshot.pools {
        let kind = match &pool.kind {
            Kind::Engine { model } => format!("engine of model {model}"),
            Kind::Service { service } => format!("target of service {service}"),
        };
        lines.insert(format!("pools.{id}.kind"), kind);
        lines.insert(format!("pools.{id}.slots"), pool.slots.to_string());
        lines.insert(format!("pools.{id}.checks_fence"), pool.checks_fence.to_string());
    }
    for (id, trainer) in &snapshot.trainers {
        let path = format!("yards.{}.trainers.{id}", trainer.yard);
        let mut put = |field: &str, value: String| lines.insert(format!("{path}.{field}"), value);
        put("model", trainer.model.to_string());
        put("objective", objective(trainer.objective));
        put("zone", trainer.zone.to_string());
        put("group_size", trainer.group_size.to_string());
        put("groups_per_step", trainer.groups_per_step.to_string());
        put("staleness_versions", trainer.staleness_versions.to_string());
        put("weight", trainer.weight.to_string());
        put("max_tokens", trainer.max_tokens.to_string());
        for (field, source) in [("prompts", &trainer.prompts), ("judge", &trainer.judge)] {
            if let Some((service, prefix)) = source {
                put(field, format!("{service} {prefix}"));
            }
        }
    }
    lines
}

fn limits(lines: &mut Lines, path: &str, limits: &Limits) {
    let mut put =
        |field: &str, value: String| lines.insert(format!("{path}.limits.{field}"), value);
    put("queue_requests", limits.queue_requests.to_string());
    put("deadline_ms", millis(limits.deadline));
    put("attempts", limits.attempts.to_string());
    put("retry_budget_percent", limits.retry_budget_percent.to_string());
    put("crash_limit", limits.crash_limit.to_string());
    put("bulk_share_percent", limits.bulk_share_percent.to_string());
    put("duplicate_percent", limits.duplicate_percent.to_string());
}

fn objective(objective: Objective) -> String {
    match objective {
        Objective::Idle => "idle".into(),
        Objective::Staleness => "staleness".into(),
    }
}

fn millis(time: Duration) -> String {
    time.as_millis().to_string()
}
