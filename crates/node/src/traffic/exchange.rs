//! One exchange with a target: a request, and its response with the complete body.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use log::info;
use tokio::time::Instant;

use crate::{
    clock,
    crash::{Content, Run},
    dialect::Answer,
    fleet::Target,
    prelude::*,
    traffic::{
        announce,
        body::{self, Taken},
        channel::{self, Channel, Demand},
        connect::{OnLoss, connect, send},
        serve::Traffic,
        silence::Silence,
        suspects::Suspect,
        visit::Visit,
    },
};

/// Largest response body that is accepted from a target.
pub const RESPONSE_BYTES_MAX: usize = 32 << 20;
/// Longest idle time of a reused connection that carries a non-idempotent request, which cannot be retried if the
/// connection breaks.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_millis(500);
/// Subtracted from the deadline that a target receives, so that its response still reaches the caller in time.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Statuses that tell a caller that its request has not run.
pub const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// What is needed of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Whole,
    /// The body is dropped.
    Head,
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: Box<str>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the body takes of the budget of callers' bodies, until no target needs it any more.
    #[expect(dead_code, reason = "only dropped")]
    pub held: Option<Rc<Taken>>,
    /// Workspace in whose usage the request counts.
    pub workspace: Option<WorkspaceId>,
    /// Time at which the request fails if there is no response yet.
    pub deadline: Instant,
    pub need: Need,
}

/// A target's response, with its complete body if that is needed.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub receipt: Box<str>,
    /// Attempts of this request that a target answered with status 500, including this one. Other errors, such as a
    /// late 504, do not count.
    pub failures: u32,
}

/// Why an exchange with a target has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// A refusal has come that may be a second copy of an earlier one, so the target may run the request.
    DoubtfulRefusal,
    /// The target may have run the request.
    MaybeRun,
    /// The same; the connection broke, so the target may have ended.
    ConnectionBroke,
}

impl From<&channel::Error> for ExchangeError {
    fn from(error: &channel::Error) -> Self {
        match error {
            channel::Error::Broken { .. } => Self::ConnectionBroke,
            _ => Self::MaybeRun,
        }
    }
}

impl From<&body::Error> for ExchangeError {
    fn from(error: &body::Error) -> Self {
        match error {
            body::Error::Broken { .. } => Self::ConnectionBroke,
            body::Error::TooLarge { .. } | body::Error::NoBudget => Self::MaybeRun,
        }
    }
}

impl Call {
    /// What a target is asked to do.
    pub fn content(&self) -> Content {
        let host = self.headers.get(header::HOST).map_or(&b""[..], HeaderValue::as_bytes);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        Content::new(self.method.as_str(), &String::from_utf8_lossy(host), path, &self.body)
    }
}

/// Counts a request as in flight on a target until dropped.
pub struct InFlight {
    traffic: Rc<Traffic>,
    target: Arc<Target>,
    /// Other requests keep away from the target meanwhile.
    alone: bool,
}

impl InFlight {
    pub fn new(traffic: &Rc<Traffic>, target: &Arc<Target>, alone: bool) -> Self {
        let mut pool = traffic.pool.borrow_mut();
        pool.start_request(target);
        if alone {
            pool.begin_alone(&target.id);
        }
        Self { traffic: Rc::clone(traffic), target: Arc::clone(target), alone }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut pool = self.traffic.pool.borrow_mut();
        pool.end_request(&self.target.id);
        if self.alone {
            pool.end_alone(&self.target.id);
        }
    }
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Never,
    /// After a failure.
    AfterFailure,
    /// Also after a refusal that may be a second copy of an earlier one.
    AfterDoubt,
}

/// Connection that a request needs.
pub fn demand(request: &str, repeat: Repeat) -> Demand<'_> {
    let idle_max = if repeat == Repeat::Never { NON_IDEMPOTENT_IDLE_MAX } else { Duration::MAX };
    Demand { request, idle_max, allows_doubt: repeat == Repeat::AfterDoubt }
}

/// Sends a request and reads the response.
pub async fn exchange(
    traffic: &Rc<Traffic>,
    target: &Arc<Target>,
    call: &Call,
    repeat: Repeat,
) -> Result<(Response, Answer), ExchangeError> {
    let to = (&target.id, target.address);
    let channel = connect(traffic, to, demand(&call.id, repeat), call.deadline).await?;
    let suspect = Suspect::request(call.content(), target, Run::default());
    let visit = Visit::begin(traffic, suspect, call.deadline);
    let result = exchange_on(channel, traffic, target, call, repeat).await;
    visit.settle();
    result
}

async fn exchange_on(
    mut channel: Channel,
    traffic: &Rc<Traffic>,
    target: &Arc<Target>,
    call: &Call,
    repeat: Repeat,
) -> Result<(Response, Answer), ExchangeError> {
    let idempotent = repeat != Repeat::Never;
    let to = (&target.id, target.address);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let remaining =
        call.deadline.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_MARGIN);
    traffic.dialect.set_attempt_headers(
        request.headers_mut(),
        &call.id,
        &target.id,
        Some(remaining),
    );
    let broke = |reason: &dyn std::fmt::Display| {
        info!(request = &*call.id, target = &*target.id, content:% = call.content(), reason:% = reason; "attempt broke");
    };
    let fail = |reason: &dyn std::fmt::Display| {
        broke(reason);
        ExchangeError::MaybeRun
    };
    let sent_at = clock::now();
    let usage = traffic.meter.begin(call.workspace.as_ref());
    let on_loss = if idempotent { OnLoss::GiveUp } else { OnLoss::Wait };
    let silence = Silence::new(traffic);
    let suspect = || Suspect::request(call.content(), target, Run::default());
    let response = send(traffic, to, &mut channel, request, call.deadline, on_loss);
    let response = match silence.watch(call.deadline, suspect, response).await {
        Ok(response) => response,
        Err(error) => {
            broke(&error);
            if matches!(error, channel::Error::LinkLost) {
                silence.look(suspect());
            }
            return Err(silence.error(ExchangeError::from(&error)));
        }
    };
    let (parts, body) = response.into_parts();
    let answer = traffic.dialect.answer(parts.status, &parts.headers);
    if answer.id.as_ref().is_some_and(|id| *id != call.id) {
        return Err(fail(&"response carries the id of another request"));
    }
    let instance = (&target.id, target.started_ms);
    announce::record(traffic, instance, parts.status, &answer, sent_at);
    match answer.not_run {
        true => usage.not_run(),
        false => drop(usage),
    }
    if !answer.not_run && NOT_RUN_STATUSES.contains(&parts.status) {
        return Err(fail(&"refusal does not state that the request was not run"));
    }
    let closes = closes_connection(&parts.headers);
    let body = async {
        match call.need {
            Need::Whole => body::read(body, RESPONSE_BYTES_MAX, &traffic.response_bytes).await,
            // Read to its end, as the connection is of no more use otherwise. A lower limit would make attempts at judges that do
            // not end their answers follow each other faster, which takes more processor time than the bytes.
            Need::Head => body::skip(body, RESPONSE_BYTES_MAX).await.map(|()| Bytes::new()),
        }
    };
    let body = body.await.map_err(|error| {
        broke(&error);
        ExchangeError::from(&error)
    })?;
    if parts.status.is_success() && answer.receipt.is_none() {
        return Err(fail(&"successful response has no receipt"));
    }
    let is_doubtful = answer.not_run && answer.id.is_none() && channel.is_doubtful();
    if !closes {
        traffic.channels.put(target.address, channel, &answer);
    }
    if is_doubtful {
        return Err(ExchangeError::DoubtfulRefusal);
    }
    let response = Response {
        status: parts.status,
        headers: parts.headers,
        body,
        receipt: answer.receipt.clone().unwrap_or_default(),
        failures: 0,
    };
    Ok((response, answer))
}

/// Whether a response announces that the target closes the connection.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}
