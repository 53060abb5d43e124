//! Requests to plain services: attempts, repeats and hedges within a request's deadline.
//!
//! A request that may be repeated gets a second attempt on another target when the first is slower than usual. Any other
//! request is sent again only after its target stated that it did not run it.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use log::{debug, info};
use tokio::time::{Instant, sleep_until};

use crate::{
    config::{Kind, Route},
    dialect::Answer,
    fleet::Target,
    metrics::METERS,
    prelude::*,
    traffic::{
        channel::{Channel, Liveness},
        serve::Traffic,
    },
};

/// Longest answer that is read whole.
const ANSWER_BYTES_MAX: usize = 32 << 20;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// A second attempt starts after this many average answer times, within the bounds below.
const HEDGE_AVERAGES: u32 = 3;
const HEDGE_MIN: Duration = Duration::from_millis(80);
const HEDGE_MAX: Duration = Duration::from_millis(600);
/// Pause before a request that all targets refused is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(20);
/// Age up to which a kept connection carries a request that may not be repeated.
const FRESH: Duration = Duration::from_millis(500);
/// Time kept back from the deadline that a target gets, so that its answer still reaches the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);

/// Statuses with which a caller is promised that its request has not run.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: Box<str>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// End of the caller's patience or of the route's timeout.
    pub by: Instant,
}

/// A target's whole answer.
#[derive(Debug)]
pub struct Whole {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub receipt: Box<str>,
    /// Attempts that a target answered with a failure (500), this one included. Other errors, such as a late 504, do not
    /// count.
    pub failures: u32,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No target ran it, and none will.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// A target may still work on it at the end of its time.
    Timeout,
}

/// Why an exchange has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Nothing was sent.
    Unsent,
    /// The target may have run the request.
    MaybeRun,
}

/// How an attempt ended.
enum Attempt {
    Answer(Whole),
    /// The target stated that it did not run the request, or nothing was sent.
    NotRun,
    /// The target may have run it.
    Broken,
}

/// A place on a target, given back when dropped.
pub struct Place {
    traffic: Rc<Traffic>,
    target: Arc<Target>,
}

impl Place {
    pub fn new(traffic: &Rc<Traffic>, target: &Arc<Target>) -> Self {
        traffic.pool.borrow_mut().started(target);
        Self { traffic: Rc::clone(traffic), target: Arc::clone(target) }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.traffic.pool.borrow_mut().released(&self.target.id);
    }
}

/// State of a request between its attempts.
struct Dispatch<'a> {
    traffic: &'a Rc<Traffic>,
    route: &'a Route,
    call: &'a Call,
    service: ServiceId,
    repeatable: bool,
    /// Targets that were tried and did not refuse.
    tried: Vec<TargetId>,
    /// Attempts that may have run.
    sent: u32,
    failures: u32,
    last_failure: Option<Whole>,
}

/// Carries a request to a target of its route.
pub async fn dispatch(traffic: &Rc<Traffic>, route: &Route, call: &Call) -> Result<Whole, Failure> {
    let service = route.service(&call.id).cloned().ok_or(Failure::NotRun)?;
    let state = Dispatch {
        traffic,
        route,
        call,
        service,
        repeatable: route.kind == Kind::Idempotent,
        tried: Vec::new(),
        sent: 0,
        failures: 0,
        last_failure: None,
    };
    state.run().await
}

impl Dispatch<'_> {
    async fn run(mut self) -> Result<Whole, Failure> {
        let mut refuse_at = None;
        let mut running: FuturesUnordered<LocalBoxFuture<'static, Attempt>> =
            FuturesUnordered::new();
        let mut next = Some(Instant::now());
        loop {
            if next.is_some_and(|at| at <= Instant::now()) {
                if running.is_empty() {
                    self.traffic.freshness.wait_for_refresh().await;
                }
                // A request that no target takes is refused early enough for the caller to come back in time.
                let refuse_at = *refuse_at.get_or_insert_with(|| {
                    (Instant::now() + self.route.objective / 4).min(self.call.by)
                });
                next = match self.start() {
                    Some((attempt, hedge)) => {
                        running.push(attempt);
                        self.may_hedge().then(|| Instant::now() + hedge)
                    }
                    None if running.is_empty() && Instant::now() < refuse_at => {
                        self.tried.clear();
                        Some(Instant::now() + OFFER_PAUSE)
                    }
                    None if running.is_empty() => {
                        let failure = self.failure();
                        // A target's own failure says more to the caller than that a later attempt broke.
                        return self.last_failure.ok_or(failure);
                    }
                    None => None,
                };
            }
            let wake = next.map_or(self.call.by, |at| at.min(self.call.by));
            tokio::select! {
                Some(attempt) = running.next(), if !running.is_empty() => {
                    if let Some(result) = self.ended(attempt) {
                        return result;
                    }
                    if running.is_empty() {
                        next = Some(Instant::now());
                    }
                }
                () = sleep_until(wake) => {
                    if Instant::now() >= self.call.by {
                        return self.last_failure.ok_or(if self.sent == 0 && running.is_empty() {
                            Failure::NotRun
                        } else {
                            Failure::Timeout
                        });
                    }
                }
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.repeatable && (self.tried.len() as u32) < self.route.max_attempts
    }

    fn failure(&self) -> Failure {
        if self.sent == 0 { Failure::NotRun } else { Failure::Unknown }
    }

    /// Starts an attempt; gives it and the time after which another may start beside it.
    fn start(&mut self) -> Option<(LocalBoxFuture<'static, Attempt>, Duration)> {
        if self.tried.len() as u32 >= self.route.max_attempts {
            return None;
        }
        let view = self.traffic.view.load();
        let now = std::time::Instant::now();
        let mut pool = self.traffic.pool.borrow_mut();
        let target = pool.choose(&view, &self.service, &self.tried, now)?;
        let hedge = (pool.average(&target.id) * HEDGE_AVERAGES).clamp(HEDGE_MIN, HEDGE_MAX);
        drop(pool);
        self.tried.push(target.id.clone());
        let traffic = Rc::clone(self.traffic);
        let attempt = attempt(traffic, target, self.call.clone(), self.repeatable);
        Some((attempt.boxed_local(), hedge))
    }

    /// Takes the end of an attempt; gives the result of the request if this decides it.
    fn ended(&mut self, attempt: Attempt) -> Option<Result<Whole, Failure>> {
        match attempt {
            Attempt::NotRun => None,
            Attempt::Broken => {
                self.sent += 1;
                (!self.repeatable).then_some(Err(Failure::Unknown))
            }
            Attempt::Answer(mut whole) => {
                self.sent += 1;
                self.failures += u32::from(whole.status == StatusCode::INTERNAL_SERVER_ERROR);
                whole.failures = self.failures;
                let again = whole.status.is_server_error()
                    && self.repeatable
                    && (self.tried.len() as u32) < self.route.max_attempts;
                if again {
                    self.last_failure = Some(whole);
                    return None;
                }
                Some(Ok(whole))
            }
        }
    }
}

/// One attempt on a target.
async fn attempt(
    traffic: Rc<Traffic>,
    target: Arc<Target>,
    call: Call,
    repeatable: bool,
) -> Attempt {
    let place = Place::new(&traffic, &target);
    let begun = Instant::now();
    let result = exchange(&traffic, &target, &call, repeatable).await;
    drop(place);
    let now = std::time::Instant::now();
    let mut pool = traffic.pool.borrow_mut();
    let (result, outcome) = match result {
        Ok((whole, answer)) if answer.not_run => {
            pool.full(&target.id, now);
            (Attempt::NotRun, whole.status.as_u16())
        }
        Ok((whole, _)) => {
            pool.answered(&target.id, begun.elapsed(), now);
            let status = whole.status.as_u16();
            (Attempt::Answer(whole), status)
        }
        Err(Lost::Unsent) => {
            pool.failed(&target.id, now);
            (Attempt::NotRun, 0)
        }
        Err(Lost::MaybeRun) => {
            pool.failed(&target.id, now);
            (Attempt::Broken, 0)
        }
    };
    METERS.attempt(match &result {
        Attempt::Answer(whole) if whole.status.is_success() => "success",
        Attempt::Answer(_) => "failure",
        Attempt::NotRun => "not_run",
        Attempt::Broken => "broken",
    });
    debug!(request = &*call.id, target = &*target.id, status = outcome, took_ms = crate::logging::ms(begun.elapsed()); "attempt ended");
    result
}

/// Sends a request and reads the whole answer.
async fn exchange(
    traffic: &Rc<Traffic>,
    target: &Arc<Target>,
    call: &Call,
    repeatable: bool,
) -> Result<(Whole, Answer), Lost> {
    let fresh = if repeatable { Duration::MAX } else { FRESH };
    let mut channel = connect(traffic, target, fresh, call.by).await?;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let remaining = call.by.saturating_duration_since(Instant::now()).saturating_sub(RETURN_MARGIN);
    traffic.dialect.set_attempt_headers(
        request.headers_mut(),
        &call.id,
        &target.id,
        Some(remaining),
    );
    let fail = |reason: &dyn std::fmt::Display| {
        info!(request = &*call.id, target = &*target.id, reason:% = reason; "attempt broke");
        Lost::MaybeRun
    };
    let response = channel.send(request, call.by).await.map_err(|error| fail(&error))?;
    let (parts, body) = response.into_parts();
    let answer = traffic.dialect.answer(parts.status, &parts.headers);
    if answer.id.as_ref().is_some_and(|id| *id != call.id) {
        return Err(fail(&"answer to another request"));
    }
    if !answer.not_run && PROMISES.contains(&parts.status) {
        return Err(fail(&"a refusal that does not say that nothing was run"));
    }
    let closes = closes(&parts.headers);
    let body = Limited::new(body, ANSWER_BYTES_MAX).collect().await.map_err(|e| fail(&e))?;
    if parts.status.is_success() && answer.receipt.is_none() {
        return Err(fail(&"success without a receipt"));
    }
    if !closes {
        traffic.channels.keep(target.address, channel, answer.idle);
    }
    let whole = Whole {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        receipt: answer.receipt.clone().unwrap_or_default(),
        failures: 0,
    };
    Ok((whole, answer))
}

/// A kept connection or a new one.
pub async fn connect(
    traffic: &Traffic,
    target: &Target,
    fresh: Duration,
    by: Instant,
) -> Result<Channel, Lost> {
    if let Some(channel) = traffic.channels.take(target.address, fresh, by).await {
        return Ok(channel);
    }
    let by = by.min(Instant::now() + CONNECT_TIMEOUT);
    Channel::open(target.address, Liveness::Deadline, by).await.map_err(|error| {
        info!(target_id = &*target.id, reason:% = error; "target unreachable");
        traffic.channels.forget(target.address);
        Lost::Unsent
    })
}

/// Whether an answer says that its connection closes.
pub fn closes(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}
