//! HTTP client of the commands.
//!
//! Each request opens its own connection. A failure to connect thus proves that nothing was sent, and any later failure
//! leaves the outcome unknown.

use std::{fs, path::Path, time::Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, header};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::time;
use volo_http::{
    body::Body,
    client,
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use super::{Entry, Error, Operator, Result, error};
use crate::prelude::*;

/// Maximum size of an answer; a batch of samples at the planned size takes about 10 MB.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Timeout of a connection attempt, after which the next host is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum timeout of a request while that much of the command's time remains.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_secs(2);
/// Delay after all hosts were tried, so that a persistent failure is not retried in a tight loop.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Failure of a request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    Connect,
    /// The connection failed or timed out after the request may have been received.
    Broken,
}

/// Complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// Error in the answer of a host.
#[derive(Clone, Debug)]
pub struct ApiError {
    pub code: Code,
    pub message: Box<str>,
    pub details: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct Envelope {
    error: RawError,
}

#[derive(Deserialize)]
struct RawError {
    code: Box<str>,
    #[serde(default)]
    message: Box<str>,
    #[serde(default)]
    details: Vec<Box<str>>,
}

impl ApiError {
    /// Parses the error of a host. Returns `None` for any other body, such as an error of a plain service.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let raw = serde_json::from_slice::<Envelope>(body).ok()?.error;
        let number = raw.code.strip_prefix("LY-")?.parse().ok()?;
        Some(Self { code: Code::from_number(number)?, message: raw.message, details: raw.details })
    }

    pub fn into_error(self, action: impl Into<Box<str>>) -> Error {
        Error::Refused {
            action: action.into(),
            code: self.code,
            message: self.message,
            details: self.details,
        }
    }
}

impl Answer {
    /// Deserializes the body of a successful answer, or returns the error of the host.
    pub fn json<T: DeserializeOwned>(&self, action: &str) -> Result<T> {
        if let Some(error) = ApiError::parse(&self.body) {
            return Err(error.into_error(action));
        }
        let invalid = |message: String| Error::InvalidAnswer {
            action: action.into(),
            message: message.into(),
        };
        if self.status != 200 {
            return Err(invalid(format!("status {}", self.status)));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| invalid(format!("answer is not valid: {error}")))
    }
}

/// Client of a list of hosts, of which one is used at a time.
#[derive(Clone, Debug)]
pub struct Client {
    hosts: Vec<Box<str>>,
    token: Option<HeaderValue>,
    deadline: Instant,
    /// Index of the host that is used.
    current: usize,
}

impl Client {
    /// Creates a client of admin ports.
    pub fn operator(operator: &Operator) -> Result<Self> {
        let mut client = Self::new(&operator.hosts, operator.timeout_ms)?;
        if let Some(path) = &operator.token_file {
            client.token = Some(bearer_token(path)?);
        }
        Ok(client)
    }

    /// Creates a client of entry ports.
    pub fn entry(entry: &Entry) -> Result<Self> {
        Self::new(&entry.hosts, entry.timeout_ms)
    }

    fn new(hosts: &[Box<str>], timeout_ms: u64) -> Result<Self> {
        Ok(Self {
            hosts: hosts.iter().map(|host| base_url(host)).collect::<Result<_>>()?,
            token: None,
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            current: 0,
        })
    }

    /// Returns one client per host, for commands that query all hosts.
    pub fn per_host(&self) -> Vec<Self> {
        let single = |host: &str| Self { hosts: vec![host.into()], current: 0, ..self.clone() };
        self.hosts.iter().map(|host| single(host)).collect()
    }

    /// Whether the deadline of the command has passed.
    pub fn is_expired(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Time until the deadline of the command.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Timeout of one request: half of the remaining time, so that a host that hangs leaves time for another.
    fn attempt_timeout(&self) -> Duration {
        self.remaining().min(ATTEMPT_TIMEOUT_MIN.max(self.remaining() / 2))
    }

    /// Switches to the next host, with a delay after all were tried.
    pub async fn next_host(&mut self) {
        self.current = (self.current + 1) % self.hosts.len();
        if self.current == 0 {
            time::sleep(RETRY_DELAY.min(self.remaining())).await;
        }
    }

    pub fn unavailable(&self, action: &str) -> Error {
        Error::Unavailable { action: action.into(), hosts: self.hosts.clone() }
    }

    /// Sends a request to the current host and reads the complete answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> std::result::Result<Answer, Failure> {
        let answer = async {
            let response = self.open(method, path, headers, body).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect().await;
            let body = body.map_err(|_| Failure::Broken)?.to_bytes();
            Ok(Answer { status, body })
        };
        time::timeout(self.attempt_timeout(), answer).await.unwrap_or(Err(Failure::Broken))
    }

    /// Sends a request to the current host and returns when the head of the answer has arrived.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> std::result::Result<Response, Failure> {
        let mut builder = client::Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT.min(self.remaining()));
        let client = builder.build().map_err(|_| Failure::Connect)?;
        let url = format!("{}{path}", self.hosts[self.current]);
        let mut request =
            client.request(method, url).header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(HeaderName::from_static(name), *value);
        }
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token.clone());
        }
        let sent = request.data(body).send::<Body>().await;
        sent.map_err(|error| classify(&error))
    }

    /// Sends a request that is safe to repeat to one host after the other until one answers; returns the JSON answer.
    pub async fn read_json<T: DeserializeOwned>(
        &mut self,
        action: &str,
        method: Method,
        path: &str,
    ) -> Result<T> {
        loop {
            match self.send(method.clone(), path, &[], Bytes::new()).await {
                Ok(answer) => return answer.json(action),
                Err(_) => self.next_host().await,
            }
            if self.is_expired() {
                return Err(self.unavailable(action));
            }
        }
    }
}

/// Classifies an error by whether the request may have been sent. The library reports a failed connect as a request
/// error whose source is the I/O error itself; errors of an open connection are errors of its HTTP layer.
fn classify(error: &ClientError) -> Failure {
    let source = std::error::Error::source(error);
    let is_io_error = source.is_some_and(|source| source.is::<std::io::Error>());
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => Failure::Connect,
        ErrorKind::Request if is_io_error => Failure::Connect,
        _ => Failure::Broken,
    }
}

/// Adds a scheme to the address if it has none and removes trailing slashes.
fn base_url(host: &str) -> Result<Box<str>> {
    let host = host.trim_end_matches('/');
    let url = if host.contains("://") { host.into() } else { format!("http://{host}") };
    let valid = url.parse::<http::Uri>().is_ok_and(|uri| uri.authority().is_some());
    snafu::ensure!(valid, error::AddressSnafu { address: host });
    Ok(url.into())
}

fn bearer_token(path: &Path) -> Result<HeaderValue> {
    let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
    HeaderValue::from_str(&format!("Bearer {}", text.trim()))
        .map_err(|_| std::io::ErrorKind::InvalidData.into())
        .context(error::ReadSnafu { path })
}
