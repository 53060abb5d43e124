//! Entry address: what each request asks for and how it is answered.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use log::{info, warn};
use tokio::time::Instant;

use crate::{
    config::{Config, Kind, Route},
    dialect::Operation,
    metrics::METERS,
    prelude::*,
    traffic::{
        dispatch::{Call, Failure, Whole, dispatch},
        jobs,
        serve::Traffic,
        submit::{Submitted, submit},
    },
};

/// Time after which a caller that was turned away finds room again.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest wait for results.
const RESULTS_WAIT_MAX: Duration = Duration::from_millis(1000);
/// Body limit while no configuration is known.
const BODY_BYTES_DEFAULT: usize = 1 << 20;
/// Headers that concern only one connection.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    HeaderName::from_static("keep-alive"),
];

pub type Answer = Response<Full<Bytes>>;

/// Answers a request.
pub async fn handle(traffic: Rc<Traffic>, request: Request<Incoming>) -> Answer {
    let ask = traffic.dialect.operation(request.method(), request.uri(), request.headers());
    let mut answer = match ask {
        Operation::Results { job, after, wait } => {
            job_answer(jobs::results(&traffic, &job, after, wait.min(RESULTS_WAIT_MAX)).await, true)
        }
        Operation::Body { job, item } => job_answer(jobs::body(&traffic, &job, &item).await, false),
        Operation::End { job } => {
            job_answer(jobs::end(&traffic, &job).await.map(|()| Bytes::new()), false)
        }
        Operation::Routed => routed(&traffic, request).await,
    };
    if traffic.view.load().stopping {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn job_answer(result: Result<Bytes, jobs::Error>, json: bool) -> Answer {
    match result {
        Ok(body) => {
            let mut answer = Response::new(Full::new(body));
            if json {
                let value = HeaderValue::from_static("application/json");
                answer.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            answer
        }
        Err(jobs::Error::Missing) => status(StatusCode::NOT_FOUND),
        Err(error) => {
            warn!(reason:% = error; "job read refused");
            turned_away()
        }
    }
}

fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// The request has not run and will not.
fn turned_away() -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
    let after = format!("{:.2}", RETRY_AFTER.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&after) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

async fn routed(traffic: &Rc<Traffic>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    let view = traffic.view.load_full();
    let (parts, body) = request.into_parts();
    // The body is read before any answer: a connection that closes with unread bytes is reset, and the answer lost.
    let body = match read(view.config.as_deref(), body).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let head = traffic.dialect.head(&parts.headers);
    let Some(config) = &view.config else {
        info!(request = &*head.id; "request refused: no configuration is known yet");
        return turned_away();
    };
    let Some(route) = config.route(&head.host, parts.uri.path()).cloned() else {
        log::debug!(request = &*head.id, version = config.version; "request refused: no route");
        return status(StatusCode::NOT_FOUND);
    };
    let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    if route.kind == Kind::Job {
        let id = (&*head.id, &*head.host, parts.uri.path());
        let result = submit(traffic, &route, id, body).await;
        METERS.request(route.kind.name(), result.name(), arrived.elapsed());
        return submitted(result);
    }
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse();
    let call = Call {
        id: head.id,
        method: parts.method,
        uri: uri.unwrap_or_default(),
        headers: end_to_end(parts.headers),
        body,
        by: arrived + patience,
    };
    let result = dispatch(traffic, &route, &call).await;
    log_end(&call, &route, &result, arrived);
    answer(result)
}

/// Reads a body within the limit.
async fn read(config: Option<&Config>, body: Incoming) -> Result<Bytes, Answer> {
    let limit = config.map_or(BODY_BYTES_DEFAULT, |config| config.limits.body_bytes);
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(status(StatusCode::PAYLOAD_TOO_LARGE)),
        Err(_) => Err(status(StatusCode::BAD_REQUEST)),
    }
}

fn submitted(submitted: Submitted) -> Answer {
    match submitted {
        Submitted::Accepted => status(StatusCode::ACCEPTED),
        Submitted::Malformed => status(StatusCode::BAD_REQUEST),
        Submitted::NotRun => turned_away(),
        Submitted::Unknown => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Headers without those that concern only one connection.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn answer(result: Result<Whole, Failure>) -> Answer {
    match result {
        Ok(whole) => {
            let mut answer = Response::new(Full::new(whole.body));
            *answer.status_mut() = whole.status;
            *answer.headers_mut() = end_to_end(whole.headers);
            answer
        }
        Err(Failure::NotRun) => turned_away(),
        Err(Failure::Unknown) => status(StatusCode::BAD_GATEWAY),
        Err(Failure::Timeout) => status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn log_end(call: &Call, route: &Route, result: &Result<Whole, Failure>, arrived: Instant) {
    let took_ms = crate::logging::ms(arrived.elapsed());
    let outcome = match result {
        Ok(whole) if whole.status.is_success() => "success",
        Ok(_) => "failure",
        Err(Failure::NotRun) => "not_run",
        Err(Failure::Unknown) => "unknown",
        Err(Failure::Timeout) => "timeout",
    };
    METERS.request(route.kind.name(), outcome, arrived.elapsed());
    match result {
        Ok(whole) => {
            log::debug!(request = &*call.id, route = &*route.name, status = whole.status.as_u16(), took_ms; "request answered");
        }
        Err(failure) => {
            info!(request = &*call.id, route = &*route.name, outcome:? = failure, took_ms; "request failed");
        }
    }
}
