//! Simulated plain service: entries and bookings, which must not run twice, prompts and rewards.

use std::collections::BTreeMap;

use lagoonyard::{
    core::request::{Call, Response},
    prelude::*,
};

/// Process of a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    pub zone: ZoneId,
    pub pool: PoolId,
    pub up: bool,
    pub leaving: Option<Time>,
    /// Duration of a call.
    pub call_time: Duration,
    /// Executes each call and crashes before the reply.
    pub crashes_before_reply: bool,
}

impl Service {
    pub fn new(zone: &str, pool: &str) -> Self {
        Self {
            zone: zone.into(),
            pool: pool.into(),
            up: true,
            leaving: None,
            call_time: Duration::from_millis(20),
            crashes_before_reply: false,
        }
    }
}

/// Ledger shared by all processes of a service: how often each body was executed.
#[derive(Debug, Default)]
pub struct Ledger {
    pub runs: BTreeMap<Box<str>, u32>,
}

impl Ledger {
    /// Executes a call. Counts it unless it is a `GET` or fetches prompts or a reward.
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
