//! Fake of a plain service: entries and bookings that may not be repeated, prompts, rewards.

use std::collections::BTreeMap;

use lagoonyard::{
    core::request::{Call, Response},
    prelude::*,
};

/// One process of a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    pub zone: ZoneId,
    pub pool: PoolId,
    pub up: bool,
    pub leaving: Option<Time>,
    /// Time to run a call.
    pub takes: Duration,
    /// Runs the next calls and dies before it answers.
    pub die_after_run: bool,
}

impl Service {
    /// An idle process.
    pub fn new(zone: &str, pool: &str) -> Self {
        Self {
            zone: zone.into(),
            pool: pool.into(),
            up: true,
            leaving: None,
            takes: Duration::from_millis(20),
            die_after_run: false,
        }
    }
}

/// What all processes of a service ran, by method, path and body; it stands for their common ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    pub runs: BTreeMap<Box<str>, u32>,
}

impl Ledger {
    /// Runs a call.
    pub fn run(&mut self, call: &Call) -> Response {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if let Some(query) = call.path.split_once("/prompts?").map(|(_, query)| query) {
            return json(prompts(&call.path, query));
        }
        if call.path.ends_with("/judge") {
            return json(format!("{{\"reward\":{}}}", body.len() % 7));
        }
        if &*call.method != "GET" {
            *self.runs.entry(body.as_str().into()).or_default() += 1;
        }
        json(format!("ran {body}"))
    }
}

fn json(body: String) -> Response {
    Response { status: 200, content_type: "application/json".into(), body: body.into() }
}

fn prompts(path: &str, query: &str) -> String {
    let number = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
    };
    let root = path.split('/').find(|part| !part.is_empty()).unwrap_or("prompts");
    let (from, count) = (number("from"), number("count").min(4096));
    let list: Vec<String> =
        (from..from + count).map(|index| format!("{root} prompt {index}")).collect();
    serde_json::to_string(&list).unwrap_or_default()
}
