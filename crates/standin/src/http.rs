//! HTTP server shared by the stand-ins.
//!
//! Reads each request with a limit on its size and time, passes it to a `Handler` as a `Call`, and builds JSON and
//! streamed responses.

use std::{convert::Infallible, io::Write, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::{HeaderName, HeaderValue, Method, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::{
    io,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    task::JoinSet,
    time,
};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use volo::Service;
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

use crate::{Result, error, listener::Listener};

/// Above the base64 length of the largest value that the key-value store accepts (1 MB).
const BODY_MAX_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Response that ends the handling of a request early, boxed to keep results small.
pub type ErrorResponse = Box<Response>;

/// HTTP request whose body has been read.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    pub path: Box<str>,
    pub query: Box<str>,
    pub body: Bytes,
}

impl Call {
    /// Value of a query parameter, without percent-decoding.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Parses the body as JSON; an empty body is parsed as an empty object.
    pub fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, ErrorResponse> {
        let body: &[u8] = if self.body.is_empty() { b"{}" } else { &self.body };
        serde_json::from_slice(body)
            .map_err(|error| fail(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Handles the requests of one stand-in.
pub trait Handler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Response> + Send;
}

/// Adapts a `Handler` to the HTTP server.
struct App<H>(Arc<H>);

impl<H: Handler> Service<ServerContext, Request<Body>> for App<H> {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request<Body>,
    ) -> std::result::Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, BODY_MAX_BYTES).collect();
        let body = match time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return Ok(*fail(StatusCode::PAYLOAD_TOO_LARGE, "body too large")),
            Err(_) => return Ok(*fail(StatusCode::REQUEST_TIMEOUT, "body too slow")),
        };
        let call = Call {
            method: parts.method,
            path: parts.uri.path().into(),
            query: parts.uri.query().unwrap_or_default().into(),
            body: body.to_bytes(),
        };
        Ok(self.0.clone().handle(call).await)
    }
}

/// Prints the listening addresses as one JSON line, which scripts read.
pub fn print_address(line: &Value) -> Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).context(error::PrintSnafu)
}

/// Serves one handler on all listeners until SIGTERM or SIGINT, then drops open connections.
pub async fn serve_until_signal<H: Handler>(
    listeners: Vec<Listener>,
    handler: Arc<H>,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(error::SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(error::SignalSnafu)?;
    let mut servers = JoinSet::new();
    for listener in listeners {
        servers.spawn(Server::new(App(handler.clone())).run(listener));
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = servers.join_next() => {}
    }
    Ok(())
}

/// JSON response.
pub fn reply(status: StatusCode, body: &Value) -> Response {
    respond(status, &[(header::CONTENT_TYPE, "application/json")], body.to_string().into())
}

/// JSON response with status 200.
pub fn ok(body: &Value) -> Response {
    reply(StatusCode::OK, body)
}

/// JSON error response. Sets both `error` and `message`, as the etcd gateway does.
pub fn fail(status: StatusCode, message: &str) -> ErrorResponse {
    Box::new(reply(status, &json!({"error": message, "message": message})))
}

/// Response while the stand-in is leaving: the request was not run, and the connection closes.
pub fn leaving() -> ErrorResponse {
    let headers = [(header::CONNECTION, "close"), (HeaderName::from_static("x-leaving"), "1")];
    Box::new(respond(StatusCode::SERVICE_UNAVAILABLE, &headers, "leaving".into()))
}

/// Closes the connection without a response: the body fails before the head is flushed.
pub fn abort() -> ErrorResponse {
    let broken = stream::iter([Err(io::Error::other("connection closed on purpose").into())]);
    Box::new(Response::new(Body::from_stream(broken)))
}

/// Streamed response; the connection is closed early when an item is an error.
pub fn stream_response(
    content_type: &'static str,
    chunks: mpsc::Receiver<io::Result<Bytes>>,
) -> Response {
    let frames = ReceiverStream::new(chunks).map(|chunk| Ok(Frame::data(chunk?)));
    respond(StatusCode::OK, &[(header::CONTENT_TYPE, content_type)], Body::from_stream(frames))
}

fn respond(status: StatusCode, headers: &[(HeaderName, &'static str)], body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for (name, value) in headers {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    response
}
