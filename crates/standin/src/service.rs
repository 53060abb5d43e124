//! Plain service.
//!
//! Counts the runs of entries and bookings, which callers must not run twice, and serves prompts and a judge that
//! returns rewards. `POST /control` injects faults.

use std::{
    collections::BTreeMap,
    process,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time;
use volo_http::response::Response;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::{Call, ErrorResponse, Handler, abort, fail, leaving, ok, reply};

/// Exit status of an injected crash.
const CRASH_EXIT_STATUS: i32 = 70;
/// IDs whose runs are counted.
const IDS_MAX: usize = 100_000;
/// Prompts in one response.
const PROMPTS_MAX: u64 = 4_096;

/// Body of `POST /control`; absent fields change nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    delay_ms: Option<u64>,
    /// Number of calls whose connection is closed without running them.
    fail_before: Option<u32>,
    /// The process runs the next entry or booking and then exits without a response.
    die_after_run: Option<bool>,
    leaving: Option<bool>,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    fail_before: u32,
    die_after_run: bool,
    leaving: bool,
    /// Runs by ID.
    runs: BTreeMap<Box<str>, u64>,
    total: u64,
}

#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
}

impl Service {
    pub fn new(delay: Duration) -> Arc<Self> {
        let state = State { delay, ..State::default() };
        Arc::new(Self { state: Mutex::new(state) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs an entry or a booking; callers must cause this effect at most once per ID.
    fn run(&self, call: &Call) -> Result<Response, ErrorResponse> {
        let body: Value = call.json()?;
        let id = match &body["id"] {
            Value::String(id) => id.as_str().into(),
            Value::Number(id) => id.to_string().into_boxed_str(),
            _ => return Err(fail(StatusCode::BAD_REQUEST, "body has no id")),
        };
        let mut state = self.state();
        if state.runs.len() >= IDS_MAX && !state.runs.contains_key(&id) {
            return Err(fail(StatusCode::INSUFFICIENT_STORAGE, "too many ids"));
        }
        state.total += 1;
        let number = state.total;
        *state.runs.entry(id.clone()).or_default() += 1;
        if state.die_after_run {
            process::exit(CRASH_EXIT_STATUS);
        }
        Ok(reply(StatusCode::CREATED, &json!({"id": id, "number": number})))
    }

    fn count(&self, call: &Call) -> Response {
        let id = call.param("id").unwrap_or_default();
        let count = self.state().runs.get(id).copied().unwrap_or(0);
        ok(&json!({"id": id, "count": count}))
    }

    fn register(&self) -> Response {
        let state = self.state();
        ok(&json!({"entries": state.runs.len(), "runs": state.total}))
    }

    fn control(&self, call: &Call) -> Result<Response, ErrorResponse> {
        let control: Control = call.json()?;
        let mut state = self.state();
        if let Some(ms) = control.delay_ms {
            state.delay = Duration::from_millis(ms);
        }
        state.fail_before = control.fail_before.unwrap_or(state.fail_before);
        state.die_after_run = control.die_after_run.unwrap_or(state.die_after_run);
        state.leaving = control.leaving.unwrap_or(state.leaving);
        Ok(ok(&json!({})))
    }

    async fn route(&self, call: Call) -> Result<Response, ErrorResponse> {
        match &*call.path {
            "/control" => return self.control(&call),
            "/count" => return Ok(self.count(&call)),
            _ => {}
        }
        let delay = {
            let mut state = self.state();
            if state.leaving {
                return Err(leaving());
            }
            if &*call.path != "/health" && state.fail_before > 0 {
                state.fail_before -= 1;
                return Err(abort());
            }
            state.delay
        };
        if !matches!(&*call.path, "/health" | "/load") && !delay.is_zero() {
            time::sleep(delay).await;
        }
        match (&call.method, &*call.path) {
            (&Method::GET, "/health") => Ok(ok(&json!({}))),
            (&Method::GET, "/load") => {
                Ok(ok(&json!({"running": 0, "waiting": 0, "kv_used_percent": 0})))
            }
            (&Method::POST, "/entries" | "/bookings") => self.run(&call),
            (&Method::GET, "/register") => Ok(self.register()),
            (&Method::GET, "/prompts/prompts") => Ok(prompts(&call)),
            (&Method::POST, "/judge/judge") => Ok(judge(&call)),
            _ => Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        }
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        self.route(call).await.unwrap_or_else(|response| *response)
    }
}

/// Prompts `from` to `from + count`; an index always gives the same prompt.
fn prompts(call: &Call) -> Response {
    let number =
        |name, default| call.param(name).and_then(|text| text.parse().ok()).unwrap_or(default);
    let from: u64 = number("from", 0);
    let count = number("count", 1).min(PROMPTS_MAX);
    let text = |index| format!("Write the placard of exhibit {index}, in one sentence:");
    let prompts: Vec<String> = (from..from.saturating_add(count)).map(text).collect();
    ok(&json!(prompts))
}

/// Reward between 0 and 1, derived from a hash of the body.
fn judge(call: &Call) -> Response {
    let thousandths = xxh3_64(&call.body) % 1_001;
    ok(&json!({"reward": thousandths as f64 / 1_000.0}))
}
