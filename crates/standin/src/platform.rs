//! The platform: key-value service, host list, rate limit and control interface.

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
    http::{Call, Handler, Refusal, abort, fail, ok, reply, streamed},
    outage::{self, Mode, Outage},
    store::{Change, Compare, Fault, Op, Span, Store},
    watch as stream,
};

/// Time between two looks at the leases.
const LEASE_CHECK: Duration = Duration::from_millis(20);
/// Most watches at once.
const WATCHES_MAX: usize = 1_000;
/// Most entries of the host list.
const TARGETS_MAX: usize = 10_000;

/// Calls of one kind that are accepted in the current second.
#[derive(Debug)]
struct Rate {
    per_s: u32,
    used: u32,
    second: Instant,
}

impl Rate {
    fn new(per_s: u32) -> Self {
        Self { per_s, used: 0, second: Instant::now() }
    }

    fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
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
    calls: BTreeMap<Box<str>, u64>,
    writes: Rate,
    reads: Rate,
}

/// Whether a call changes the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Read,
    Write,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    pub outage: Arc<Outage>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    restores: AtomicUsize,
    watches: Arc<AtomicUsize>,
}

impl Platform {
    /// An empty platform whose leases expire by themselves.
    pub fn start(outage: Arc<Outage>, writes_per_s: u32, reads_per_s: u32) -> Arc<Self> {
        let state = State {
            store: Store::default(),
            targets: Vec::new(),
            calls: BTreeMap::new(),
            writes: Rate::new(writes_per_s),
            reads: Rate::new(reads_per_s),
        };
        let platform = Arc::new(Self {
            outage,
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            restores: AtomicUsize::new(0),
            watches: Arc::default(),
        });
        let leases = platform.clone();
        tokio::spawn(async move {
            loop {
                time::sleep(LEASE_CHECK).await;
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

    /// How often the store was put back to older contents.
    pub fn restores(&self) -> usize {
        self.restores.load(Ordering::Acquire)
    }

    /// Changes of a span and the revision that they reach up to.
    pub fn changes(&self, span: &Span, from: i64) -> Result<(Vec<Change>, i64), Fault> {
        let state = self.state();
        Ok((state.store.changes(span, from)?, state.store.revision()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Counts a call and checks the rate.
    fn admit(&self, path: &str, class: Class) -> bool {
        let mut state = self.state();
        *state.calls.entry(path.into()).or_default() += 1;
        let now = Instant::now();
        let admitted = match class {
            Class::Read => state.reads.take(now),
            Class::Write => state.writes.take(now),
        };
        if !admitted {
            *state.calls.entry("rate_limited".into()).or_default() += 1;
        }
        admitted
    }

    fn run(&self, op: Op) -> Result<Response, Refusal> {
        let mut state = self.state();
        match state.store.run(&[op]) {
            Ok(outcomes) => Ok(ok(&gateway::outcome(&outcomes[0], state.store.revision()))),
            Err(fault) => Err(refuse(fault)),
        }
    }

    fn txn(&self, raw: gateway::Txn) -> Result<Response, Refusal> {
        let checked =
            raw.compare.into_iter().map(Compare::try_from).collect::<Result<Vec<_>, _>>().and_then(
                |compares| {
                    Ok((compares, gateway::branch(raw.success)?, gateway::branch(raw.failure)?))
                },
            );
        let (compares, success, failure) = match checked {
            Ok(checked) => checked,
            Err(text) => return Err(fail(StatusCode::BAD_REQUEST, text)),
        };
        let mut state = self.state();
        let succeeded = state.store.holds(&compares);
        match state.store.run(if succeeded { &success } else { &failure }) {
            Ok(outcomes) => {
                Ok(ok(&gateway::transaction(succeeded, &outcomes, state.store.revision())))
            }
            Err(fault) => Err(refuse(fault)),
        }
    }

    fn lease(&self, path: &str, raw: &gateway::Lease) -> Result<Response, Refusal> {
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
        let id = granted.map_err(refuse)?;
        let header = gateway::header(state.store.revision());
        Ok(ok(&json!({"header": header, "ID": id.to_string(), "TTL": raw.ttl.0.to_string()})))
    }

    fn watch(self: &Arc<Self>, raw: gateway::Watch) -> Result<Response, Refusal> {
        let raw = raw.create_request;
        if self.watches.fetch_add(1, Ordering::AcqRel) >= WATCHES_MAX {
            self.watches.fetch_sub(1, Ordering::AcqRel);
            return Err(fail(StatusCode::TOO_MANY_REQUESTS, "too many watches"));
        }
        let (lines, received) = mpsc::channel(stream::LINES_MAX);
        let span = gateway::span(raw.key, raw.range_end);
        let watches = self.watches.clone();
        let running = stream::run(self.clone(), span, raw.start_revision.0, lines);
        tokio::spawn(async move {
            running.await;
            watches.fetch_sub(1, Ordering::AcqRel);
        });
        Ok(streamed("application/json", received))
    }

    fn listing(&self, zone: Option<&str>) -> Response {
        let state = self.state();
        let wanted = |target: &&Value| zone.is_none_or(|zone| target["labels"]["zone"] == zone);
        let targets: Vec<Value> = state.targets.iter().filter(wanted).cloned().collect();
        ok(&targets.into())
    }

    fn control(&self, call: &Call) -> Result<Response, Refusal> {
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
                self.state().store.rewind(rewind.revision).map_err(refuse)?;
                self.restores.fetch_add(1, Ordering::AcqRel);
                self.notify();
            }
            "/control/calls" => return Ok(ok(&json!(self.state().calls))),
            _ => return Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        }
        Ok(ok(&json!({})))
    }

    async fn answer(self: Arc<Self>, call: Call) -> Result<Response, Refusal> {
        let class = match &*call.path {
            "/sd" | "/v3/kv/range" | "/v3/watch" | "/v3/lease/keepalive" => Class::Read,
            "/v3/kv/put" | "/v3/kv/txn" | "/v3/kv/deleterange" => Class::Write,
            "/v3/lease/grant" | "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Class::Write,
            _ => return Err(fail(StatusCode::NOT_FOUND, "unknown path")),
        };
        let method = if &*call.path == "/sd" { Method::GET } else { Method::POST };
        if call.method != method {
            return Err(fail(StatusCode::METHOD_NOT_ALLOWED, "wrong method"));
        }
        if !self.admit(&call.path, class) {
            return Err(fail(StatusCode::TOO_MANY_REQUESTS, "too many requests"));
        }
        match self.outage.mode() {
            Mode::Refuse => return Err(abort()),
            Mode::Hang => {
                self.outage.hang().await;
                return Err(abort());
            }
            Mode::None | Mode::LoseAnswers => {}
        }
        let response = match &*call.path {
            "/sd" => Ok(self.listing(call.param("zone"))),
            "/v3/kv/range" => self.run(raw::<gateway::Range>(&call)?.into()),
            "/v3/kv/put" => self.run(raw::<gateway::Put>(&call)?.into()),
            "/v3/kv/deleterange" => self.run(raw::<gateway::DeleteRange>(&call)?.into()),
            "/v3/kv/txn" => self.txn(raw(&call)?),
            "/v3/watch" => self.watch(raw(&call)?),
            path => self.lease(path, &raw(&call)?),
        };
        if class == Class::Write {
            self.notify();
            if self.outage.loses_answer() {
                return Err(abort());
            }
        }
        self.outage.delay().await;
        response
    }
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let answer = if call.path.starts_with("/control/") {
            self.control(&call)
        } else {
            self.answer(call).await
        };
        answer.unwrap_or_else(|refusal| *refusal)
    }
}

#[derive(Debug, Deserialize)]
struct Rewind {
    revision: i64,
}

fn raw<T: DeserializeOwned>(call: &Call) -> Result<T, Refusal> {
    call.json()
}

fn refuse(fault: Fault) -> Refusal {
    let (text, code) = gateway::fault(fault);
    let status = match fault {
        Fault::LeaseNotFound => StatusCode::NOT_FOUND,
        Fault::Full => StatusCode::TOO_MANY_REQUESTS,
        Fault::TooLarge | Fault::Compacted => StatusCode::BAD_REQUEST,
    };
    let body = json!({"error": text, "message": text, "code": code, "details": []});
    Box::new(reply(status, &body))
}
