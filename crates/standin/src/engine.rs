//! Model engine.
//!
//! Simulates continuous batching: completions run in parallel slots, with a queue and a prefix cache, and generate
//! deterministic text at a set speed. `POST /orders` loads another weight version of a model; orders carry a fencing
//! token. `POST /control` injects faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    process,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, watch},
    time::{self, Instant},
};
use volo_http::response::Response;

use crate::{
    cmd::{self, Swap},
    completion::{self, Event, Request},
    http::{Call, ErrorResponse, Handler, fail, leaving, ok},
    model::Text,
    prefix,
    slots::Slots,
};

/// Exit status of an injected crash.
const CRASH_EXIT_STATUS: i32 = 70;

/// Body of `POST /control`; absent fields change nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    /// Number of tokens, counted over all requests from now on, after which the process exits.
    crash_after_tokens: Option<u64>,
    /// The process exits after the first token of a request whose prompt contains this text; empty for never.
    crash_on: Option<Box<str>>,
    /// Time for which responses and generation are held back.
    freeze_ms: Option<u64>,
    /// Number of loads to fail.
    fail_loads: Option<u32>,
    leaving: Option<bool>,
    /// Number of tokens after which the next generation is cut off.
    truncate_after_tokens: Option<u64>,
}

const TOKENS_MAX: u64 = 131_072;

/// Body of `POST /orders`.
#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    op: Box<str>,
    model: Box<str>,
    version: u64,
    #[serde(default)]
    weights: Box<str>,
}

#[derive(Debug)]
struct State {
    /// Highest fencing token received in an order.
    highest_fence: u64,
    /// Models with a load in progress.
    loading: BTreeSet<Box<str>>,
    frozen_until: Instant,
    crash_after_tokens: Option<u64>,
    crash_on: Box<str>,
    fail_loads: u32,
    leaving: bool,
    truncate_after_tokens: Option<u64>,
    cache: prefix::Cache,
}

#[derive(Debug)]
pub struct Engine {
    settings: cmd::Engine,
    slots: Arc<Slots>,
    /// Loaded version of each model.
    versions: watch::Sender<BTreeMap<Box<str>, u64>>,
    state: Mutex<State>,
}

impl Engine {
    pub fn new(settings: cmd::Engine) -> Arc<Self> {
        let state = State {
            highest_fence: 0,
            loading: BTreeSet::new(),
            frozen_until: Instant::now(),
            crash_after_tokens: None,
            crash_on: "".into(),
            fail_loads: 0,
            leaving: false,
            truncate_after_tokens: None,
            cache: prefix::Cache::new(settings.cache_blocks),
        };
        Arc::new(Self {
            slots: Slots::new(settings.slots, settings.queue),
            versions: watch::Sender::new(settings.models.iter().cloned().collect()),
            state: Mutex::new(state),
            settings,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_unfrozen(&self) {
        let until = self.state().frozen_until;
        time::sleep_until(until).await;
    }

    /// Version that serves a model; `None` while a load stops it or if the model is not loaded.
    fn serving_version(&self, model: &str) -> Option<u64> {
        let stopped = self.settings.swap == Swap::Stop && self.state().loading.contains(model);
        if stopped {
            return None;
        }
        self.versions.borrow().get(model).copied()
    }

    /// Waits until a version serves the model and returns it.
    async fn wait_for_version(&self, model: &str) -> u64 {
        let mut versions = self.versions.subscribe();
        loop {
            if let Some(version) = self.serving_version(model) {
                return version;
            }
            let _ = versions.changed().await;
        }
    }

    /// Generates one text into `events`, until it ends or the receiver is dropped. Returning without `End` cuts it off.
    pub async fn generate(self: Arc<Self>, request: Request, events: mpsc::Sender<Event>) {
        let permit = tokio::select! {
            permit = self.slots.acquire(request.priority) => permit,
            () = events.closed() => return,
        };
        let Some(_permit) = permit else {
            let _ = events.send(Event::QueueFull).await;
            return;
        };
        let (miss_ratio, truncate_after) = {
            let mut state = self.state();
            (state.cache.insert(&request.prompt), state.truncate_after_tokens.take())
        };
        time::sleep(Duration::from_millis(self.settings.prefill_ms).mul_f64(miss_ratio)).await;
        let mut text = Text::new(&request.prompt, self.settings.mean_tokens);
        let mut finish = "length";
        for number in 0..request.max_tokens {
            if truncate_after.is_some_and(|limit| number >= limit) {
                return;
            }
            time::sleep(Duration::from_millis(self.settings.token_delay_ms)).await;
            self.wait_unfrozen().await;
            let version = self.wait_for_version(&request.model).await;
            let Some(token) = text.next() else {
                finish = "stop";
                break;
            };
            if events.send(Event::Token { text: token, version }).await.is_err() {
                return;
            }
            self.crash_if_due(&request.prompt).await;
        }
        let version = self.wait_for_version(&request.model).await;
        let _ = events.send(Event::End { finish, version }).await;
    }

    /// Counts a generated token and exits the process if an injected crash is due.
    async fn crash_if_due(&self, prompt: &str) {
        let is_due = {
            let mut state = self.state();
            let on_prompt = !state.crash_on.is_empty() && prompt.contains(&*state.crash_on);
            let on_count = state.crash_after_tokens.as_mut().is_some_and(|remaining| {
                *remaining = remaining.saturating_sub(1);
                *remaining == 0
            });
            on_prompt || on_count
        };
        if is_due {
            // Lets the last token reach the socket, so that the reader gets a partial stream.
            time::sleep(Duration::from_millis(5)).await;
            process::exit(CRASH_EXIT_STATUS);
        }
    }

    async fn complete(self: Arc<Self>, call: &Call) -> Result<Response, ErrorResponse> {
        let request: Request = call.json()?;
        if !self.versions.borrow().contains_key(&request.model) {
            return Err(fail(StatusCode::NOT_FOUND, "model not found"));
        }
        if request.max_tokens == 0 || request.max_tokens > TOKENS_MAX || request.n != 1 {
            let message = format!("max_tokens must be 1 to {TOKENS_MAX} and n must be 1");
            return Err(fail(StatusCode::BAD_REQUEST, &message));
        }
        if self.serving_version(&request.model).is_none() {
            return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "model is loading"));
        }
        completion::respond(request, |request, events| self.generate(request, events)).await
    }

    async fn order(self: Arc<Self>, call: &Call) -> Result<Response, ErrorResponse> {
        let order: Order = call.json()?;
        if &*order.op != "load_version" {
            return Err(fail(StatusCode::BAD_REQUEST, "unknown op"));
        }
        if !self.versions.borrow().contains_key(&order.model) {
            return Err(fail(StatusCode::NOT_FOUND, "model not found"));
        }
        {
            let mut state = self.state();
            if self.settings.checks_fence && order.fence < state.highest_fence {
                return Err(fail(StatusCode::CONFLICT, "old fence"));
            }
            state.highest_fence = state.highest_fence.max(order.fence);
            if self.versions.borrow().get(&order.model) == Some(&order.version) {
                return Ok(ok(&json!({"version": order.version})));
            }
            if !state.loading.insert(order.model.clone()) {
                return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "a load is under way"));
            }
        }
        log::info!("loading {}@{} from {}", order.model, order.version, order.weights);
        // Spawned so that the load continues if the connection of the order breaks.
        let load = tokio::spawn(self.load(order));
        load.await.unwrap_or_else(|_| Err(fail(StatusCode::INTERNAL_SERVER_ERROR, "load failed")))
    }

    async fn load(self: Arc<Self>, order: Order) -> Result<Response, ErrorResponse> {
        time::sleep(Duration::from_millis(self.settings.load_ms)).await;
        self.wait_unfrozen().await;
        let failed = {
            let mut state = self.state();
            state.loading.remove(&order.model);
            let failed = state.fail_loads > 0;
            state.fail_loads = state.fail_loads.saturating_sub(1);
            failed
        };
        // Sent for a failed load too, to wake the generations that wait for its end.
        self.versions.send_modify(|versions| {
            if !failed {
                versions.insert(order.model.clone(), order.version);
            }
        });
        if failed {
            return Err(fail(StatusCode::INTERNAL_SERVER_ERROR, "load failed"));
        }
        Ok(ok(&json!({"version": order.version})))
    }

    fn load_report(&self) -> Value {
        let (running, waiting) = self.slots.load();
        json!({
            "running": running,
            "waiting": waiting,
            "kv_used_percent": self.state().cache.used_percent(),
            "versions": *self.versions.borrow(),
        })
    }

    fn control(&self, call: &Call) -> Result<Response, ErrorResponse> {
        let control: Control = call.json()?;
        let mut state = self.state();
        if let Some(ms) = control.freeze_ms {
            state.frozen_until = Instant::now() + Duration::from_millis(ms);
        }
        state.crash_after_tokens = control.crash_after_tokens.or(state.crash_after_tokens);
        state.truncate_after_tokens = control.truncate_after_tokens.or(state.truncate_after_tokens);
        state.fail_loads = control.fail_loads.unwrap_or(state.fail_loads);
        state.leaving = control.leaving.unwrap_or(state.leaving);
        if let Some(text) = control.crash_on {
            state.crash_on = text;
        }
        Ok(ok(&json!({})))
    }

    async fn route(self: Arc<Self>, call: Call) -> Result<Response, ErrorResponse> {
        if &*call.path == "/control" {
            return self.control(&call);
        }
        self.wait_unfrozen().await;
        let is_leaving = self.state().leaving;
        match (&call.method, &*call.path) {
            (&Method::GET, "/health") if is_leaving => Err(leaving()),
            (&Method::GET, "/health") => Ok(ok(&json!({}))),
            (&Method::GET, "/load") => Ok(ok(&self.load_report())),
            (&Method::POST, "/v1/completions") if is_leaving => Err(leaving()),
            (&Method::POST, "/v1/completions") => self.complete(&call).await,
            (&Method::POST, "/orders") => self.order(&call).await,
            _ => Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        }
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        self.route(call).await.unwrap_or_else(|response| *response)
    }
}
