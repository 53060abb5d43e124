//! HTTP API for operators, authorized by a bearer token.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use serde::Deserialize;
use serde_json::value::RawValue;
use subtle::ConstantTimeEq;
use tokio::time::timeout;
use volo_http::{
    body::Body,
    request::Request,
    server::{
        Router,
        route::{get, post},
    },
};

use crate::{
    answer::{self, Error},
    control::{Control, Reply},
    core::{Event, config},
    prelude::*,
};

/// Largest body of an apply call. The store accepts values up to 1 MB, and escaping makes a file sent as a JSON string
/// larger.
const APPLY_MAX_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Apply {
    apply_id: Box<str>,
    expected_revision: Revision,
    #[serde(default)]
    dry_run: bool,
    /// Configuration file as a JSON value, or its text as a JSON string.
    file: Box<RawValue>,
}

/// Routes of the admin port.
pub fn router(control: &Arc<Control>, token: &str) -> Router {
    let token: Arc<str> = token.into();
    macro_rules! route {
        ($method:ident, $handler:expr) => {{
            let (control, token) = (Arc::clone(control), Arc::clone(&token));
            $method(move |request: Request| {
                let (control, token) = (Arc::clone(&control), Arc::clone(&token));
                async move {
                    let result = match authorize(request.headers(), &token) {
                        Ok(()) => $handler(&control, request).await,
                        Err(error) => Err(error),
                    };
                    result.unwrap_or_else(|error: Error| error.response())
                }
            })
        }};
    }
    Router::new()
        .route("/v1/admin/apply", route!(post, apply))
        .route("/v1/admin/config", route!(get, show))
        .route("/v1/admin/status", route!(get, status))
        .route("/v1/admin/report", route!(get, report))
        .route("/v1/admin/drain", route!(post, drain))
        .route("/metrics", route!(get, metrics))
        .fallback(async || Error::from(Code::UnknownName).response())
}

fn authorize(headers: &HeaderMap, token: &str) -> Result<(), Error> {
    let given = headers.get(header::AUTHORIZATION).map_or(&b""[..], |it| it.as_bytes());
    let given = given.strip_prefix(b"Bearer ").unwrap_or_default();
    if bool::from(given.ct_eq(token.as_bytes())) {
        return Ok(());
    }
    Err(Code::TokenRequired.into())
}

async fn apply(control: &Arc<Control>, request: Request) -> Result<Response<Body>, Error> {
    let body = answer::read_body(request, APPLY_MAX_BYTES, control.limits.body_timeout).await?;
    let Apply { apply_id, expected_revision: expected, dry_run, file } = answer::parse_json(&body)?;
    let body = match serde_json::from_str::<String>(file.get()) {
        Ok(text) => Bytes::from(text),
        Err(_) => Bytes::from(file.get().to_owned()),
    };
    log::info!("apply_id={apply_id} revision={expected} apply called");
    let event = |ticket| config::Admin::Apply { ticket, apply_id, expected, dry_run, body };
    call_control(control, event, Code::ApplyUnknown).await
}

async fn show(control: &Arc<Control>, _: Request) -> Result<Response<Body>, Error> {
    call_control(control, |ticket| config::Admin::Show { ticket }, Code::Internal).await
}

async fn status(control: &Arc<Control>, _: Request) -> Result<Response<Body>, Error> {
    call_control(control, |ticket| config::Admin::Status { ticket }, Code::Internal).await
}

async fn report(control: &Arc<Control>, _: Request) -> Result<Response<Body>, Error> {
    call_control(control, |ticket| config::Admin::Report { ticket }, Code::Internal).await
}

async fn drain(control: &Arc<Control>, _: Request) -> Result<Response<Body>, Error> {
    log::info!("drain called");
    control.set_draining();
    call_control(control, |ticket| config::Admin::Drain { ticket: Some(ticket) }, Code::Internal)
        .await
}

async fn metrics(control: &Arc<Control>, _: Request) -> Result<Response<Body>, Error> {
    Ok(answer::typed("text/plain; version=0.0.4", control.metrics.text()))
}

/// Calls the control thread; a call that times out fails with `timeout_code`.
async fn call_control(
    control: &Arc<Control>,
    call: impl FnOnce(Ticket) -> config::Admin,
    timeout_code: Code,
) -> Result<Response<Body>, Error> {
    let mut pending = control.call(|ticket| Event::Admin(call(ticket)))?;
    let reply = timeout(control.limits.admin_timeout, pending.reply()).await;
    match reply.map_err(|_| Error::from(timeout_code))?? {
        Reply::Admin(config::Answer::Done(value)) => Ok(answer::json(&value)),
        Reply::Admin(config::Answer::Error { code, message, details }) => {
            Err(Error { code, message, details })
        }
        _ => Err(Error::new(Code::Internal, "unexpected kind of reply from the control thread")),
    }
}
