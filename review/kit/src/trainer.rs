//! Stand-in of a trainer: submits batches and reads their results.

use std::{net::SocketAddr, time::Duration};

use crate::{
    engine::MODEL,
    http::{self, Response},
    json::{Value, encode64, obj},
};

pub const HOST: &str = "yard.example";
const LIMIT: Duration = Duration::from_millis(2500);

/// Body of a batch of groups of four items, whose ids begin with the batch's.
pub fn batch(id: &str, prefix: &str, groups: usize) -> Value {
    let item = |number: usize| {
        let item = format!("{id}-{number}");
        let headers = obj([
            ("X-Model-Name", MODEL.into()),
            ("X-Token-Usage", "1016,400".into()),
            ("X-Prompt-Prefix", format!("9c2e41:1000,{number:x}d07b8:16").into()),
        ]);
        let scorer = obj([
            ("id", format!("{item}-score").into()),
            ("host", HOST.into()),
            ("path", "/check/text".into()),
            ("body", encode64(item.as_bytes()).into()),
        ]);
        obj([
            ("id", item.clone().into()),
            ("path", format!("{prefix}{number}").into()),
            ("headers", headers),
            ("body", encode64(item.as_bytes()).into()),
            ("tokens", 1416u64.into()),
            ("group", format!("{id}-g{}", number / 4).into()),
            ("scorer", scorer),
        ])
    };
    obj([
        ("step", 0u64.into()),
        ("model", MODEL.into()),
        ("min_version", 1u64.into()),
        ("group_count", (groups as u64).into()),
        ("items", (0..4 * groups).map(item).collect::<Vec<_>>().into()),
    ])
}

/// Submits a batch once. Returns the status; 0 if no answer came.
pub fn submit(entry: SocketAddr, id: &str, prefix: &str, body: &Value) -> u16 {
    let headers = [("Host", HOST), ("X-Request-Id", id), ("Content-Type", "application/json")];
    let path = format!("{prefix}batch");
    let body = body.to_string();
    let answer = http::call(entry, "POST", &path, &headers, body.as_bytes(), LIMIT);
    answer.map_or(0, |answer| answer.status)
}

/// Reads results from a position on.
pub fn read(entry: SocketAddr, id: &str, after: u64, wait_ms: u64) -> Option<Response> {
    let (path, wait) = (format!("/lagoonyard/lots/{id}?after={after}"), wait_ms.to_string());
    let headers = [("Host", HOST), ("X-Wait-Ms", &*wait)];
    http::call(entry, "GET", &path, &headers, b"", LIMIT).ok()
}

/// Reads the results that are new since a position, if the host answers.
pub fn new_results(entry: SocketAddr, id: &str, after: u64) -> Vec<Value> {
    let answer = read(entry, id, after, 500).filter(|answer| answer.status == 200);
    let value = answer.and_then(|answer| Value::parse(&answer.body));
    value.map_or_else(Vec::new, |value| value.arr("results").to_vec())
}

/// Ends a batch. Returns the status; 0 if no answer came.
pub fn end(entry: SocketAddr, id: &str) -> u16 {
    let path = format!("/lagoonyard/lots/{id}");
    let answer = http::call(entry, "DELETE", &path, &[("Host", HOST)], b"", LIMIT);
    answer.map_or(0, |answer| answer.status)
}

/// A rollout route of the service `writers`.
pub fn rollout_route(name: &str, prefix: &str) -> Value {
    obj([
        ("name", name.into()),
        ("host", HOST.into()),
        ("prefix", prefix.into()),
        ("kind", "rollout".into()),
        ("timeout_ms", 10_000u64.into()),
        ("target_latency_ms", 400u64.into()),
        ("run_deadline_ms", 7500u64.into()),
        ("item_ttl_s", 40u64.into()),
        ("priority", 0u64.into()),
        ("max_attempts", 3u64.into()),
        ("service", "writers".into()),
    ])
}

/// A configuration with the judges' route and further ones.
pub fn config(version: u64, check_timeout_ms: u64, routes: Vec<Value>) -> Value {
    let check = obj([
        ("name", "check".into()),
        ("host", HOST.into()),
        ("prefix", "/check/".into()),
        ("kind", "idempotent".into()),
        ("timeout_ms", check_timeout_ms.into()),
        ("target_latency_ms", 400u64.into()),
        ("priority", 2u64.into()),
        ("max_attempts", 4u64.into()),
        ("service", "desk".into()),
    ]);
    let service = |name: &str, max_conns: u64| {
        obj([
            ("name", name.into()),
            ("health_path", "/health".into()),
            ("max_conns", max_conns.into()),
        ])
    };
    let mut writers = service("writers", 150);
    let models = vec![obj([("name", MODEL.into())])];
    writers.set("engine", obj([("slots", 8u64.into()), ("models", models.into())]));
    obj([
        ("version", version.into()),
        ("routes", [vec![check], routes].concat().into()),
        ("services", vec![writers, service("desk", 110)].into()),
        ("limits", crate::refusal::limits()),
    ])
}
