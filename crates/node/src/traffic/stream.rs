//! Streams of callers: events pass through as they arrive.
//!
//! The response begins with the first event. Whole events are forwarded, one at a time, so a caller that reads slowly
//! slows its target down, and no part of an event is sent twice. If the stream of a resumable route breaks, it goes on
//! inside the same response at another target of the same software version. A response that cannot go on is broken
//! off, so that it never looks complete.

use std::{fmt::Display, rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, response::Parts};
use http_body_util::{BodyExt, Full};
use log::{debug, info};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    config::{Kind, Route},
    crash::Run,
    events::Parser,
    fleet::Target,
    metrics::METERS,
    prelude::*,
    traffic::{
        announce,
        body::{self, Taken},
        channel::{self, Channel, Demand},
        connect::{OnLoss, connect, send},
        dispatch::{Failure, REFUSED_BACKOFF},
        event_body::EventBody,
        exchange::{
            Call, ExchangeError, InFlight, NOT_RUN_STATUSES, RESPONSE_BYTES_MAX, RESPONSE_MARGIN,
            Response, closes_connection,
        },
        forward::forward,
        open::Open,
        origins, permit,
        serve::Traffic,
        silence::Silence,
        suspects::{self, Admission, Suspect},
        visit::Visit,
    },
};

/// Time for a target of a resumable route to send its first event, and longest time without a byte after that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time without a complete event. A slow target may send an event in many small parts.
pub(super) const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a stream that has begun looks for a target at which it goes on.
const GO_ON_PATIENCE: Duration = Duration::from_millis(500);
/// Events that are read from a target before the caller takes the first of them.
const QUEUED_EVENTS: usize = 1;

/// Part of a stream that a caller has already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the request that brought the first event.
    pub stream: Box<str>,
    /// Service that began the stream.
    pub service: ServiceId,
    pub last_event: u64,
    /// Version that began the stream.
    pub software: Software,
}

/// Head and body of a stream that has begun, or the complete response of a target that made none.
pub enum Answered {
    Begun(Parts, EventBody),
    Whole(Response),
}

/// A stream that has begun at a target, or the complete response of a target that made none.
pub(super) enum Start {
    Begun(Box<Open>),
    Whole(Response),
}

/// How an attempt on a target ended.
enum Outcome {
    Started(Start),
    NotRun,
    Broken,
}

/// State of a caller's stream.
pub(super) struct Stream {
    pub(super) traffic: Rc<Traffic>,
    pub(super) route: Route,
    pub(super) call: Call,
    pub(super) service: ServiceId,
    pub(super) resumable: bool,
    /// Version that began the stream, once it has.
    pub(super) software: Option<Software>,
    pub(super) last_event: Option<u64>,
    /// Targets that may have run the request.
    pub(super) maybe_run: u32,
    /// Targets tried since the stream last broke; cleared when none is left to try.
    pub(super) tried: Vec<TargetId>,
    /// Targets at which the stream broke. One of them may have started anew with other software, which its registration
    /// does not show yet.
    pub(super) broken_at: Vec<TargetId>,
    pub(super) retry_after: Option<Duration>,
    /// Time for which the content is held since targets ended under it.
    pub(super) held_for: Option<Duration>,
    pub(super) admission: Admission,
    pub(super) last_failure: Option<Response>,
}

/// Connection that a stream of a route needs.
pub(super) fn demand(request: &str, kind: Kind) -> Demand<'_> {
    let is_resumable = kind == Kind::Stream { resumable: true };
    let idle_max = if is_resumable { Duration::MAX } else { Duration::ZERO };
    Demand { request, idle_max, allows_doubt: false }
}

/// Serves a stream. Returns once it has begun or cannot begin.
pub async fn serve(
    traffic: &Rc<Traffic>,
    route: &Route,
    call: Call,
    take_up: Option<TakeUp>,
) -> Result<Answered, Failure> {
    let id = take_up.as_ref().map_or(&call.id, |take_up| &take_up.stream).clone();
    let service = match &take_up {
        Some(take_up) => take_up.service.clone(),
        None => route.service(&call.id).cloned().ok_or(Failure::NotRun)?,
    };
    let admission = suspects::admit(traffic, &call).await.map_err(Failure::Held)?;
    let mut stream = Stream {
        traffic: Rc::clone(traffic),
        route: route.clone(),
        service,
        resumable: route.kind == Kind::Stream { resumable: true },
        last_event: take_up.as_ref().map(|take_up| take_up.last_event),
        software: take_up.map(|take_up| take_up.software),
        maybe_run: 0,
        tried: Vec::new(),
        broken_at: Vec::new(),
        retry_after: None,
        held_for: None,
        admission,
        last_failure: None,
        call,
    };
    let open = match stream.open().await? {
        Start::Begun(open) => *open,
        Start::Whole(response) => return Ok(Answered::Whole(response)),
    };
    origins::record(traffic, &id, &open.target.software);
    stream.software = Some(open.target.software.clone());
    let (parts, receiver) = mpsc::channel(QUEUED_EVENTS);
    let head = open.head.clone();
    tokio::task::spawn_local(forward(stream, open, parts));
    Ok(Answered::Begun(head, EventBody::new(receiver)))
}

impl Stream {
    fn failure(&self) -> Failure {
        match (self.held_for, self.retry_after) {
            _ if self.maybe_run > 0 => Failure::Unknown,
            (Some(left), _) => Failure::Held(left),
            (None, Some(retry_after)) => Failure::Limited(retry_after),
            (None, None) => Failure::NotRun,
        }
    }

    /// Tries targets until one has sent an event or a complete response.
    pub(super) async fn open(&mut self) -> Result<Start, Failure> {
        self.traffic.freshness.wait_for_refresh().await;
        let refuse_at = (Instant::now() + self.patience()).min(self.call.deadline);
        loop {
            if Instant::now() >= self.call.deadline {
                return Err(if self.maybe_run == 0 { Failure::NotRun } else { Failure::Timeout });
            }
            let may_run = self.maybe_run < self.attempts_max() && !self.is_held();
            let Some(target) = self.choose().filter(|_| may_run) else {
                if may_run && self.retry_after.is_none() && Instant::now() < refuse_at {
                    self.tried.clear();
                    sleep(REFUSED_BACKOFF).await;
                    continue;
                }
                return self.last_failure.take().map(Start::Whole).ok_or_else(|| self.failure());
            };
            self.tried.push(target.id.clone());
            let priority = self.route.priority;
            if let Err(left) = permit::acquire(&self.traffic, &target, priority).await {
                self.retry_after = Some(self.retry_after.unwrap_or(left).min(left));
                continue;
            }
            match self.begin(&target).await {
                Outcome::NotRun => {}
                Outcome::Broken => {
                    self.maybe_run += 1;
                    if !self.resumable {
                        return Err(Failure::Unknown);
                    }
                }
                Outcome::Started(start) => {
                    self.maybe_run += 1;
                    match start {
                        Start::Whole(response)
                            if self.resumable && response.status.is_server_error() =>
                        {
                            self.last_failure = Some(response);
                        }
                        start => return Ok(start),
                    }
                }
            }
        }
    }

    fn attempts_max(&self) -> u32 {
        if self.admission == Admission::Once { 1 } else { self.route.max_attempts }
    }

    /// Whether targets ended under the content so often that no further one is to run it.
    fn is_held(&mut self) -> bool {
        if self.admission != Admission::Once {
            self.held_for = suspects::held_for(&self.traffic, &self.call);
        }
        self.held_for.is_some()
    }

    /// Time for which targets are tried again after none has taken the request. One that is refused is refused early, so that
    /// the caller has time to retry; a stream that has begun can only go on here.
    fn patience(&self) -> Duration {
        if self.maybe_run > 0 { GO_ON_PATIENCE } else { self.route.objective / 4 }
    }

    /// Target that would begin first, of the version that began the stream.
    fn choose(&mut self) -> Option<Arc<Target>> {
        let view = self.traffic.view.load();
        let fits = |target: &Target| {
            self.software.as_ref().is_none_or(|software| *software == target.software)
        };
        let unfit = view.targets.values().filter(|target| !fits(target));
        let mut excluded = self.tried.clone();
        excluded.extend(self.broken_at.iter().cloned());
        excluded.extend(unfit.map(|target| target.id.clone()));
        let now = std::time::Instant::now();
        let (channels, demand) = (&self.traffic.channels, self.demand());
        let connection = |target: &Target| channels.connection(target.address, demand);
        let pool = self.traffic.pool.borrow();
        pool.choose(&view, &self.service, &excluded, connection, now)
    }

    /// Connection that the request needs.
    fn demand(&self) -> Demand<'_> {
        demand(&self.call.id, self.route.kind)
    }

    /// Sends the request to a target and waits for its first event.
    async fn begin(&self, target: &Arc<Target>) -> Outcome {
        let in_flight = InFlight::new(&self.traffic, target, self.admission != Admission::Free);
        let started = Instant::now();
        let result = self.exchange(target, in_flight).await;
        if matches!(result, Err(ExchangeError::ConnectionBroke)) {
            self.connection_broke(target, self.last_event.unwrap_or(0)).await;
        }
        let now = std::time::Instant::now();
        let mut pool = self.traffic.pool.borrow_mut();
        let (outcome, name) = match result {
            Ok(Outcome::NotRun) => {
                pool.record_refusal(&target.id, now);
                (Outcome::NotRun, "not_run")
            }
            Ok(outcome) => {
                pool.record_response(&target.id, started.elapsed(), now);
                (outcome, "success")
            }
            Err(error) => {
                pool.record_failure(&target.id, now);
                let unsent = error == ExchangeError::Unsent;
                if unsent { (Outcome::NotRun, "not_run") } else { (Outcome::Broken, "broken") }
            }
        };
        METERS.attempt(name);
        debug!(request = &*self.call.id, target = &*target.id, software = &*target.software, after = self.last_event.unwrap_or(0), outcome = name; "stream attempt");
        outcome
    }

    /// Finds out whether a target has ended that ran the stream after event `from`.
    pub(super) async fn connection_broke(&self, target: &Target, from: u64) {
        let finding = suspects::connection_broke(&self.traffic, self.suspect(target, from));
        // Only a stream that may go on depends on it.
        if self.resumable {
            finding.await;
        }
    }

    /// What a target ran after event `from`.
    pub(super) fn suspect(&self, target: &Target, from: u64) -> Suspect {
        let reached = self.last_event.unwrap_or(0);
        let run = Run { from, reached, resumable: self.resumable, ..Run::default() };
        Suspect::request(self.call.content(), target, run)
    }

    async fn exchange(
        &self,
        target: &Arc<Target>,
        in_flight: InFlight,
    ) -> Result<Outcome, ExchangeError> {
        let (traffic, deadline) = (&self.traffic, self.call.deadline);
        let to = (&target.id, target.address);
        let channel = connect(traffic, to, self.demand(), deadline).await?;
        let suspect = self.suspect(target, self.last_event.unwrap_or(0));
        let visit = Visit::begin(traffic, suspect, deadline);
        let mut result = self.exchange_on(channel, target, in_flight).await;
        match &mut result {
            Ok(Outcome::Started(Start::Begun(open))) => open.visit = Some(visit),
            Ok(_) | Err(_) => visit.settle(),
        }
        result
    }

    async fn exchange_on(
        &self,
        mut channel: Channel,
        target: &Arc<Target>,
        in_flight: InFlight,
    ) -> Result<Outcome, ExchangeError> {
        let (traffic, call) = (&self.traffic, &self.call);
        let to = (&target.id, target.address);
        let broke = |reason: &dyn Display| {
            info!(request = &*call.id, target = &*target.id, content:% = call.content(), reason:% = reason; "stream did not begin");
            ExchangeError::ConnectionBroke
        };
        let fail = |reason: &dyn Display| {
            broke(reason);
            ExchangeError::MaybeRun
        };
        let by = self.silent_at(call.deadline);
        let sent_at = clock::now();
        let on_loss = if self.resumable { OnLoss::GiveUp } else { OnLoss::Wait };
        let request = self.request(target);
        let silence = Silence::new(traffic);
        let suspect = || self.suspect(target, self.last_event.unwrap_or(0));
        let response = send(traffic, to, &mut channel, request, by, on_loss);
        let response = match silence.watch(by, suspect, response).await {
            Ok(response) => response,
            Err(error) => {
                broke(&error);
                if matches!(error, channel::Error::LinkLost) {
                    silence.look(suspect());
                }
                return Err(silence.error(ExchangeError::from(&error)));
            }
        };
        let (head, mut body) = response.into_parts();
        let answer = traffic.dialect.answer(head.status, &head.headers);
        if answer.id.as_ref().is_some_and(|id| *id != call.id) {
            return Err(fail(&"response carries the id of another request"));
        }
        let instance = (&target.id, target.started_ms);
        announce::record(traffic, instance, head.status, &answer, sent_at);
        if answer.not_run {
            return Ok(Outcome::NotRun);
        }
        if NOT_RUN_STATUSES.contains(&head.status) {
            return Err(fail(&"refusal does not state that the request was not run"));
        }
        if !head.status.is_success() {
            let body = body::read(body, RESPONSE_BYTES_MAX, &traffic.response_bytes);
            let body = timeout_at(by, body).await.map_err(|_| fail(&"body not in time"))?;
            let failures = u32::from(head.status == StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(Outcome::Started(Start::Whole(Response {
                status: head.status,
                headers: head.headers,
                body: body.map_err(|error| fail(&error))?,
                receipt: answer.receipt.unwrap_or_default(),
                failures,
            })));
        }
        if answer.receipt.is_none() {
            return Err(fail(&"successful response has no receipt"));
        }
        let mut parser = Parser::new(traffic.dialect.version_field());
        let (mut ended, mut held) = (false, Taken::new(&traffic.response_bytes));
        let event_by = Instant::now() + EVENT_TIMEOUT;
        while !ended && !parser.has_event() {
            let by = self.silent_at(event_by);
            match silence.watch(by, suspect, timeout_at(by, body.frame())).await {
                Ok(Some(Ok(frame))) => {
                    traffic.links.heard(&target.id, clock::now());
                    parser.push(&frame.into_data().unwrap_or_default());
                }
                Ok(Some(Err(error))) => return Err(silence.error(broke(&error))),
                Ok(None) => ended = true,
                Err(_) => return Err(fail(&"no event in time")),
            }
            if parser.is_too_long() || !held.set(parser.buffered()) {
                return Err(fail(&"event too long"));
            }
        }
        if parser.has_event() {
            traffic.meter.began(call.workspace.as_ref());
        }
        let closes = closes_connection(&head.headers);
        let target = Arc::clone(target);
        Ok(Outcome::Started(Start::Begun(Box::new(Open {
            target,
            head,
            channel,
            body,
            parser,
            held,
            ended,
            closes,
            answer,
            visit: None,
            _in_flight: in_flight,
        }))))
    }

    /// Time at which a target counts as silent that sends nothing more, and no event by `event_by`. Silence is no reason
    /// to end a stream sooner with which no other target may go on.
    pub(super) fn silent_at(&self, event_by: Instant) -> Instant {
        match self.resumable {
            true => (Instant::now() + SILENCE_TIMEOUT).min(event_by).min(self.call.deadline),
            false => self.call.deadline,
        }
    }

    fn request(&self, target: &Target) -> Request<Full<Bytes>> {
        let call = &self.call;
        let remaining =
            call.deadline.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_MARGIN);
        let mut headers: HeaderMap = call.headers.clone();
        let dialect = &self.traffic.dialect;
        dialect.set_attempt_headers(&mut headers, &call.id, &target.id, Some(remaining));
        dialect.set_priority_header(&mut headers, self.route.priority);
        if let Some(last_event) = self.last_event {
            dialect.set_resume_header(&mut headers, last_event);
        }
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}
