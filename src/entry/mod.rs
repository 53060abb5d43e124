//! HTTP API for callers and trainers.

pub mod completions;
pub mod keys;
pub mod services;
pub mod trainers;

use std::{sync::Arc, time::Instant};

use http::{HeaderMap, Response};
use volo_http::{
    body::Body,
    request::Request,
    server::{
        Router,
        route::{any, get, post},
    },
};

use crate::{
    answer::{self, Error},
    control::Control,
    prelude::*,
};

/// Routes of the entry port.
pub fn router(control: &Arc<Control>) -> Router {
    macro_rules! route {
        ($method:ident, $name:literal, $handler:path) => {{
            let control = Arc::clone(control);
            $method(move |request: Request| {
                let control = Arc::clone(&control);
                async move {
                    let started = Instant::now();
                    let result = $handler(&control, request, started).await;
                    respond(&control, $name, started, result)
                }
            })
        }};
    }
    Router::new()
        .route("/v1/completions", route!(post, "completions", completions::run))
        .route("/v1/keys", route!(post, "keys", keys::run))
        .route("/v1/services/{service}", route!(any, "services", services::run))
        .route("/v1/services/{service}/{*path}", route!(any, "services", services::run))
        .route("/v1/trainers/{trainer}/pull", route!(post, "pull", trainers::pull))
        .route("/v1/trainers/{trainer}/versions", route!(post, "versions", trainers::versions))
        .route("/readyz", route!(get, "readyz", readyz))
        .fallback(async || Error::from(Code::UnknownName).response())
}

/// Answer of a handler.
pub enum Answer {
    Complete(Response<Body>),
    /// The body is still being produced and records the request in the metrics when it ends.
    Streaming(Response<Body>),
}

fn respond(
    control: &Control,
    route: &'static str,
    started: Instant,
    result: Result<Answer, Error>,
) -> Response<Body> {
    let took = started.elapsed();
    match result {
        Ok(Answer::Complete(response)) => {
            control.metrics.record_request(route, None, took);
            response
        }
        Ok(Answer::Streaming(response)) => response,
        Err(error) => {
            control.metrics.record_request(route, Some(error.code), took);
            error.response()
        }
    }
}

async fn readyz(control: &Arc<Control>, _: Request, _: Instant) -> Result<Answer, Error> {
    control.check_ready()?;
    let revision = control.snapshot.load().as_ref().map(|it| it.revision);
    Ok(Answer::Complete(answer::json(&serde_json::json!({"ready": true, "revision": revision}))))
}

/// Idempotency key of a request, if it has one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Error> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= 256 => Ok(Some(text.into())),
        _ => Err(Error::new(Code::RequestMalformed, "idempotency-key must be 1 to 256 characters")),
    }
}

/// Longest time until the answer, if the caller sets one.
fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(ms @ 1..=86_400_000) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(Error::new(Code::RequestMalformed, "x-deadline-ms must be 1 to 86400000")),
    }
}

fn unexpected_reply() -> Error {
    Error::new(Code::Internal, "unexpected kind of reply from the control thread")
}
