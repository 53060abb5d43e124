//! Platform: a key-value store with the etcd v3 JSON gateway, and the host list as Prometheus HTTP service discovery.
//!
//! Reads and writes are rate-limited separately. `/control/` sets outages and the host list, rewinds the store,
//! and returns call counts.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc, watch},
    time,
};
use volo_http::response::Response;

use crate::{
    gateway,
    http::{Call, ErrorResponse, Handler, abort, fail, ok, reply, stream_response},
    outage::{self, Mode, Outage},
    store::{Change, Compare, Error, Op, Span, Store},
    watch_stream,
};

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const WATCHES_MAX: usize = 1_000;
const TARGETS_MAX: usize = 10_000;

/// Rate limiter with a fixed window of one second.
#[derive(Debug)]
struct RateLimiter {
    per_s: u32,
    used: u32,
    window_start: Instant,
}

impl RateLimiter {
    fn new(per_s: u32) -> Self {
        Self { per_s, used: 0, window_start: Instant::now() }
    }

    /// Counts a call; returns whether it is within the limit.
    fn try_acquire(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.per_s
    }
}

#[derive(Debug)]
struct State {
    store: Store,
    targets: Vec<Value>,
    /// Calls by path, including rejected ones; `rate_limited` counts these again.
    calls: BTreeMap<Box<str>, u64>,
    writes: RateLimiter,
    reads: RateLimiter,
}

/// Rate limit that a call counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

#[derive(Debug)]
pub struct Platform {
    pub outage: Arc<Outage>,
    state: Mutex<State>,
    /// Incremented after writes, lease expiry and rewinds, to wake the watches.
    changed: watch::Sender<u64>,
    rewinds: AtomicUsize,
    watches: Arc<AtomicUsize>,
}

impl Platform {
    /// Creates an empty platform and spawns the task that expires its leases.
    pub fn start(outage: Arc<Outage>, writes_per_s: u32, reads_per_s: u32) -> Arc<Self> {
        let state = State {
            store: Store::default(),
            targets: Vec::new(),
            calls: BTreeMap::new(),
            writes: RateLimiter::new(writes_per_s),
            reads: RateLimiter::new(reads_per_s),
        };
        let platform = Arc::new(Self {
            outage,
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            rewinds: AtomicUsize::new(0),
            watches: Arc::default(),
        });
        let leases = platform.clone();
        tokio::spawn(async move {
            loop {
                time::sleep(LEASE_CHECK_INTERVAL).await;
                if leases.state().store.expire(Instant::now()) {
                    leases.notify();
                }
            }
        });
        platform
    }

    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub fn revision(&self) -> i64 {
        self.state().store.revision()
    }

    /// First revision from which a watch gets all changes.
    pub fn oldest_revision(&self) -> i64 {
        self.state().store.oldest_revision()
    }

    /// Number of times that the store was rewound.
    pub fn rewinds(&self) -> usize {
        self.rewinds.load(Ordering::Acquire)
    }

    /// Changes within a span from revision `from` on, and the current revision.
    pub fn changes(&self, span: &Span, from: i64) -> Result<(Vec<Change>, i64), Error> {
        let state = self.state();
        Ok((state.store.changes(span, from)?, state.store.revision()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Counts a call and checks its rate limit.
    fn admit(&self, path: &str, access: Access) -> bool {
        let mut state = self.state();
        *state.calls.entry(path.into()).or_default() += 1;
        let now = Instant::now();
        let admitted = match access {
            Access::Read => state.reads.try_acquire(now),
            Access::Write => state.writes.try_acquire(now),
        };
        if !admitted {
            *state.calls.entry("rate_limited".into()).or_default() += 1;
        }
        admitted
    }

    fn execute(&self, op: Op) -> Result<Response, ErrorResponse> {
        let mut state = self.state();
        match state.store.execute(&[op]) {
            Ok(outcomes) => Ok(ok(&gateway::op_response(&outcomes[0], state.store.revision()))),
            Err(error) => Err(store_error(error)),
        }
    }

    fn txn(&self, raw: gateway::Txn) -> Result<Response, ErrorResponse> {
        let checked = raw
            .compare
            .into_iter()
            .map(Compare::try_from)
            .collect::<Result<Vec<_>, _>>()
            .and_then(|compares| {
                Ok((compares, gateway::parse_ops(raw.success)?, gateway::parse_ops(raw.failure)?))
            });
        let (compares, success, failure) = match checked {
            Ok(checked) => checked,
            Err(message) => return Err(fail(StatusCode::BAD_REQUEST, message)),
        };
        let mut state = self.state();
        let succeeded = state.store.all_hold(&compares);
        match state.store.execute(if succeeded { &success } else { &failure }) {
            Ok(outcomes) => {
                Ok(ok(&gateway::txn_response(succeeded, &outcomes, state.store.revision())))
            }
            Err(error) => Err(store_error(error)),
        }
    }

    fn lease(&self, path: &str, raw: &gateway::Lease) -> Result<Response, ErrorResponse> {
        let mut state = self.state();
        let id = raw.id.0;
        if path == "/v3/lease/keepalive" {
            let ttl = state.store.keep_alive(id, Instant::now()).unwrap_or_default().as_secs();
            let header = gateway::header(state.store.revision());
            let result = json!({"header": header, "ID": id.to_string(), "TTL": ttl.to_string()});
            return Ok(ok(&json!({"result": result})));
        }
        let granted = if path == "/v3/lease/grant" {
            let ttl = Duration::from_secs(u64::try_from(raw.ttl.0).unwrap_or(0).max(1));
            state.store.grant(id, ttl, Instant::now())
        } else {
            state.store.revoke(id).map(|()| id)
        };
        let id = granted.map_err(store_error)?;
        let header = gateway::header(state.store.revision());
        Ok(ok(&json!({"header": header, "ID": id.to_string(), "TTL": raw.ttl.0.to_string()})))
    }

    fn watch(self: &Arc<Self>, raw: gateway::Watch) -> Result<Response, ErrorResponse> {
        let raw = raw.create_request;
        if self.watches.fetch_add(1, Ordering::AcqRel) >= WATCHES_MAX {
            self.watches.fetch_sub(1, Ordering::AcqRel);
            return Err(fail(StatusCode::TOO_MANY_REQUESTS, "too many watches"));
        }
        let (lines, body) = mpsc::channel(watch_stream::CHANNEL_CAPACITY);
        let span = gateway::span(raw.key, raw.range_end);
        let watches = self.watches.clone();
        let stream = watch_stream::run(self.clone(), span, raw.start_revision.0, lines);
        tokio::spawn(async move {
            stream.await;
            watches.fetch_sub(1, Ordering::AcqRel);
        });
        Ok(stream_response("application/json", body))
    }

    fn target_list(&self, zone: Option<&str>) -> Response {
        let state = self.state();
        let is_in_zone = |target: &&Value| zone.is_none_or(|zone| target["labels"]["zone"] == zone);
        let targets: Vec<Value> = state.targets.iter().filter(is_in_zone).cloned().collect();
        ok(&targets.into())
    }

    fn control(&self, call: &Call) -> Result<Response, ErrorResponse> {
        match &*call.path {
            "/control/outage" => self.outage.set(&call.json::<outage::Request>()?),
            "/control/targets" => {
                let targets: Vec<Value> = call.json()?;
                if targets.len() > TARGETS_MAX {
                    return Err(fail(StatusCode::BAD_REQUEST, "too many targets"));
                }
                self.state().targets = targets;
            }
            "/control/rewind" => {
                let rewind: Rewind = call.json()?;
                let now = Instant::now();
                self.state().store.rewind(rewind.revision, now).map_err(store_error)?;
                self.rewinds.fetch_add(1, Ordering::AcqRel);
                self.notify();
            }
            "/control/calls" => return Ok(ok(&json!(self.state().calls))),
            _ => return Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        }
        Ok(ok(&json!({})))
    }

    async fn route(self: Arc<Self>, call: Call) -> Result<Response, ErrorResponse> {
        let access = match &*call.path {
            "/sd" | "/v3/kv/range" | "/v3/watch" | "/v3/lease/keepalive" => Access::Read,
            "/v3/kv/put" | "/v3/kv/txn" | "/v3/kv/deleterange" => Access::Write,
            "/v3/lease/grant" | "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Access::Write,
            _ => return Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        };
        let method = if &*call.path == "/sd" { Method::GET } else { Method::POST };
        if call.method != method {
            return Err(fail(StatusCode::METHOD_NOT_ALLOWED, "wrong method"));
        }
        if !self.admit(&call.path, access) {
            return Err(fail(StatusCode::TOO_MANY_REQUESTS, "too many requests"));
        }
        match self.outage.mode() {
            Mode::Refuse => return Err(abort()),
            Mode::Hang => {
                self.outage.wait_while_hanging().await;
                return Err(abort());
            }
            Mode::None | Mode::LoseAnswers => {}
        }
        let response = match &*call.path {
            "/sd" => Ok(self.target_list(call.param("zone"))),
            "/v3/kv/range" => self.execute(parse::<gateway::Range>(&call)?.into()),
            "/v3/kv/put" => self.execute(parse::<gateway::Put>(&call)?.into()),
            "/v3/kv/deleterange" => self.execute(parse::<gateway::DeleteRange>(&call)?.into()),
            "/v3/kv/txn" => self.txn(parse(&call)?),
            "/v3/watch" => self.watch(parse(&call)?),
            path => self.lease(path, &parse(&call)?),
        };
        if access == Access::Write {
            self.notify();
            if self.outage.should_lose_response() {
                return Err(abort());
            }
        }
        self.outage.wait_delay().await;
        response
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let response = if call.path.starts_with("/control/") {
            self.control(&call)
        } else {
            self.route(call).await
        };
        response.unwrap_or_else(|response| *response)
    }
}

/// Body of `POST /control/rewind`.
#[derive(Debug, Deserialize)]
struct Rewind {
    revision: i64,
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, ErrorResponse> {
    call.json()
}

fn store_error(error: Error) -> ErrorResponse {
    let (message, code) = gateway::error_status(error);
    let status = match error {
        Error::LeaseNotFound => StatusCode::NOT_FOUND,
        Error::SpaceExceeded => StatusCode::TOO_MANY_REQUESTS,
        Error::ValueTooLarge | Error::LeaseExists | Error::Compacted => StatusCode::BAD_REQUEST,
    };
    let body = json!({"error": message, "message": message, "code": code, "details": []});
    Box::new(reply(status, &body))
}
