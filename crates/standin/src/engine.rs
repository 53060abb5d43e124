//! Model engine with continuous batching, a prefix cache and version orders.

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
    completion::{self, Piece, Request},
    http::{Call, Handler, Refusal, fail, leaving, ok},
    model::Text,
    prefix,
    slots::Slots,
};

/// Exit status of an engine that was told to crash.
const CRASHED: i32 = 70;

/// Body of `POST /control`; a field that is absent changes nothing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    /// Exit after this many tokens from now on.
    crash_after_tokens: Option<u64>,
    /// Exit when a request with this text in its prompt has given its first token; empty for never.
    crash_on: Option<Box<str>>,
    /// Answer nothing and produce nothing for this long.
    freeze_ms: Option<u64>,
    /// Fail this many loads.
    fail_loads: Option<u32>,
    leaving: Option<bool>,
    /// Break off the next stream after this many tokens.
    truncate_after_tokens: Option<u64>,
}

/// Longest text of one request.
const TOKENS_MAX: u64 = 131_072;

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
    fence: u64,
    loading: BTreeSet<Box<str>>,
    frozen_until: Instant,
    crash_after_tokens: Option<u64>,
    crash_on: Box<str>,
    fail_loads: u32,
    leaving: bool,
    truncate_after_tokens: Option<u64>,
    cache: prefix::Cache,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    settings: cmd::Engine,
    slots: Arc<Slots>,
    versions: watch::Sender<BTreeMap<Box<str>, u64>>,
    state: Mutex<State>,
}

impl Engine {
    pub fn new(settings: cmd::Engine) -> Arc<Self> {
        let state = State {
            fence: 0,
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

    /// Version that serves a model; `None` while a load holds it.
    fn serving(&self, model: &str) -> Option<u64> {
        let stopped = self.settings.swap == Swap::Stop && self.state().loading.contains(model);
        if stopped {
            return None;
        }
        self.versions.borrow().get(model).copied()
    }

    /// Waits until a model serves again and returns its version.
    async fn version(&self, model: &str) -> u64 {
        let mut versions = self.versions.subscribe();
        loop {
            if let Some(version) = self.serving(model) {
                return version;
            }
            let _ = versions.changed().await;
        }
    }

    /// Generates one text into `pieces` until it ends or its reader goes away.
    pub async fn generate(self: Arc<Self>, request: Request, pieces: mpsc::Sender<Piece>) {
        let permit = tokio::select! {
            permit = self.slots.take(request.priority) => permit,
            () = pieces.closed() => return,
        };
        let Some(_permit) = permit else {
            let _ = pieces.send(Piece::Full).await;
            return;
        };
        let (cold, truncate) = {
            let mut state = self.state();
            (state.cache.touch(&request.prompt), state.truncate_after_tokens.take())
        };
        time::sleep(Duration::from_millis(self.settings.prefill_ms).mul_f64(cold)).await;
        let mut text = Text::new(&request.prompt, self.settings.mean_tokens);
        let mut finish = "length";
        for number in 0..request.max_tokens {
            if truncate.is_some_and(|after| number >= after) {
                return;
            }
            time::sleep(Duration::from_millis(self.settings.token_delay_ms)).await;
            self.wait_unfrozen().await;
            let version = self.version(&request.model).await;
            let Some(token) = text.next() else {
                finish = "stop";
                break;
            };
            if pieces.send(Piece::Token { text: token, version }).await.is_err() {
                return;
            }
            self.crash_if_told(&request.prompt).await;
        }
        let version = self.version(&request.model).await;
        let _ = pieces.send(Piece::End { finish, version }).await;
    }

    async fn crash_if_told(&self, prompt: &str) {
        let crashes = {
            let mut state = self.state();
            let on_prompt = !state.crash_on.is_empty() && prompt.contains(&*state.crash_on);
            let on_count = state.crash_after_tokens.as_mut().is_some_and(|left| {
                *left = left.saturating_sub(1);
                *left == 0
            });
            on_prompt || on_count
        };
        if crashes {
            // Lets the last token reach the socket, so that a crash leaves a partial stream.
            time::sleep(Duration::from_millis(5)).await;
            process::exit(CRASHED);
        }
    }

    async fn complete(self: Arc<Self>, call: &Call) -> Result<Response, Refusal> {
        let request: Request = call.json()?;
        if !self.versions.borrow().contains_key(&request.model) {
            return Err(fail(StatusCode::NOT_FOUND, "model not found"));
        }
        if request.max_tokens == 0 || request.max_tokens > TOKENS_MAX || request.n != 1 {
            let text = format!("max_tokens must be 1 to {TOKENS_MAX} and n must be 1");
            return Err(fail(StatusCode::BAD_REQUEST, &text));
        }
        if self.serving(&request.model).is_none() {
            return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "model is loading"));
        }
        completion::respond(request, |request, pieces| self.generate(request, pieces)).await
    }

    async fn order(self: Arc<Self>, call: &Call) -> Result<Response, Refusal> {
        let order: Order = call.json()?;
        if &*order.op != "load_version" {
            return Err(fail(StatusCode::BAD_REQUEST, "unknown op"));
        }
        if !self.versions.borrow().contains_key(&order.model) {
            return Err(fail(StatusCode::NOT_FOUND, "model not found"));
        }
        {
            let mut state = self.state();
            if self.settings.checks_fence && order.fence < state.fence {
                return Err(fail(StatusCode::CONFLICT, "old fence"));
            }
            state.fence = state.fence.max(order.fence);
            if self.versions.borrow().get(&order.model) == Some(&order.version) {
                return Ok(ok(&json!({"version": order.version})));
            }
            if !state.loading.insert(order.model.clone()) {
                return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "a load is under way"));
            }
        }
        log::info!("loading {}@{} from {}", order.model, order.version, order.weights);
        // A task of its own: the load goes on when the connection of the order breaks.
        let load = tokio::spawn(self.load(order));
        load.await.unwrap_or_else(|_| Err(fail(StatusCode::INTERNAL_SERVER_ERROR, "load failed")))
    }

    async fn load(self: Arc<Self>, order: Order) -> Result<Response, Refusal> {
        time::sleep(Duration::from_millis(self.settings.load_ms)).await;
        self.wait_unfrozen().await;
        let failed = {
            let mut state = self.state();
            state.loading.remove(&order.model);
            let failed = state.fail_loads > 0;
            state.fail_loads = state.fail_loads.saturating_sub(1);
            failed
        };
        // Streams that wait for the end of the load are woken in both cases.
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

    fn control(&self, call: &Call) -> Result<Response, Refusal> {
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

    async fn answer(self: Arc<Self>, call: Call) -> Result<Response, Refusal> {
        if &*call.path == "/control" {
            return self.control(&call);
        }
        self.wait_unfrozen().await;
        let gone = self.state().leaving;
        match (&call.method, &*call.path) {
            (&Method::GET, "/health") if gone => Err(leaving()),
            (&Method::GET, "/health") => Ok(ok(&json!({}))),
            (&Method::GET, "/load") => Ok(ok(&self.load_report())),
            (&Method::POST, "/v1/completions") if gone => Err(leaving()),
            (&Method::POST, "/v1/completions") => self.complete(&call).await,
            (&Method::POST, "/orders") => self.order(&call).await,
            _ => Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        }
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        self.answer(call).await.unwrap_or_else(|refusal| *refusal)
    }
}
