//! HTTP client of the commands.
//!
//! Every request opens its own connection: a failure to connect then proves that nothing was sent, and any later failure
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

/// Longest answer; a batch of samples at the planned size takes some 10 MB.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Longest time to open a connection before the next host is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that one request gets even when little is left.
const ATTEMPT_MIN: Duration = Duration::from_secs(2);
/// Pause after all hosts were tried, so that a lasting failure is not asked in a tight loop.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    Connect,
    /// The request may have been taken.
    Broken,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

/// Error that a host sends.
#[derive(Clone, Debug)]
pub struct Fault {
    pub code: Code,
    pub message: Box<str>,
    pub details: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct Envelope {
    error: RawFault,
}

#[derive(Deserialize)]
struct RawFault {
    code: Box<str>,
    #[serde(default)]
    message: Box<str>,
    #[serde(default)]
    details: Vec<Box<str>>,
}

impl Fault {
    /// Reads a host's error; anything else is `None`, such as an error of a plain service.
    pub fn read(body: &[u8]) -> Option<Self> {
        let raw = serde_json::from_slice::<Envelope>(body).ok()?.error;
        let number = raw.code.strip_prefix("LY-")?.parse().ok()?;
        Some(Self { code: Code::from_number(number)?, message: raw.message, details: raw.details })
    }

    pub fn into_error(self, what: impl Into<Box<str>>) -> Error {
        Error::Refused {
            what: what.into(),
            code: self.code,
            message: self.message,
            details: self.details,
        }
    }
}

impl Answer {
    /// Body of a good answer, or the host's error.
    pub fn json<T: DeserializeOwned>(&self, what: &str) -> Result<T> {
        if let Some(fault) = Fault::read(&self.body) {
            return Err(fault.into_error(what));
        }
        let unreadable =
            |message: String| Error::Answer { what: what.into(), message: message.into() };
        if self.status != 200 {
            return Err(unreadable(format!("status {}", self.status)));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| unreadable(format!("answer is not understood: {error}")))
    }
}

/// Hosts that a command talks to, one after the other.
#[derive(Clone, Debug)]
pub struct Client {
    hosts: Vec<Box<str>>,
    token: Option<HeaderValue>,
    deadline: Instant,
    next: usize,
}

impl Client {
    /// Client of admin ports.
    pub fn operator(operator: &Operator) -> Result<Self> {
        let mut client = Self::new(&operator.hosts, operator.timeout_ms)?;
        if let Some(path) = &operator.token_file {
            client.token = Some(token(path)?);
        }
        Ok(client)
    }

    /// Client of entry ports.
    pub fn entry(entry: &Entry) -> Result<Self> {
        Self::new(&entry.hosts, entry.timeout_ms)
    }

    fn new(hosts: &[Box<str>], timeout_ms: u64) -> Result<Self> {
        Ok(Self {
            hosts: hosts.iter().map(|host| base(host)).collect::<Result<_>>()?,
            token: None,
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            next: 0,
        })
    }

    /// One client a host, for commands that ask all of them.
    pub fn each(&self) -> Vec<Self> {
        let one = |host: &str| Self { hosts: vec![host.into()], next: 0, ..self.clone() };
        self.hosts.iter().map(|host| one(host)).collect()
    }

    /// Whether the command's time is over.
    pub fn late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Longest time of one request: half of what is left, so that a host that hangs leaves time for another.
    fn attempt(&self) -> Duration {
        self.left().min(ATTEMPT_MIN.max(self.left() / 2))
    }

    /// Turns to the next host; pauses when all were tried.
    pub async fn next_host(&mut self) {
        self.next = (self.next + 1) % self.hosts.len();
        if self.next == 0 {
            time::sleep(ROUND_PAUSE.min(self.left())).await;
        }
    }

    pub fn unavailable(&self, what: &str) -> Error {
        Error::Unavailable { what: what.into(), hosts: self.hosts.clone() }
    }

    /// Sends one request to the host whose turn it is and reads the whole answer.
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
        time::timeout(self.attempt(), answer).await.unwrap_or(Err(Failure::Broken))
    }

    /// Sends one request and returns as soon as the head of the answer is there.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> std::result::Result<Response, Failure> {
        let mut builder = client::Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT.min(self.left()));
        let client = builder.build().map_err(|_| Failure::Connect)?;
        let url = format!("{}{path}", self.hosts[self.next]);
        let mut request =
            client.request(method, url).header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(HeaderName::from_static(name), *value);
        }
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, token.clone());
        }
        let sent = request.data(body).send::<Body>().await;
        sent.map_err(|error| failure(&error))
    }

    /// Asks hosts in turn until one answers a request that may be repeated, then reads its JSON.
    pub async fn read<T: DeserializeOwned>(
        &mut self,
        what: &str,
        method: Method,
        path: &str,
    ) -> Result<T> {
        loop {
            match self.send(method.clone(), path, &[], Bytes::new()).await {
                Ok(answer) => return answer.json(what),
                Err(_) => self.next_host().await,
            }
            if self.late() {
                return Err(self.unavailable(what));
            }
        }
    }
}

/// Whether anything was sent. The library reports a failed connect as a request error whose source is the I/O error
/// itself; errors of an open connection come as errors of its HTTP layer.
fn failure(error: &ClientError) -> Failure {
    let source = std::error::Error::source(error);
    let connecting = source.is_some_and(|source| source.is::<std::io::Error>());
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => Failure::Connect,
        ErrorKind::Request if connecting => Failure::Connect,
        _ => Failure::Broken,
    }
}

/// Address with a scheme and without a slash at its end.
fn base(host: &str) -> Result<Box<str>> {
    let host = host.trim_end_matches('/');
    let url = if host.contains("://") { host.into() } else { format!("http://{host}") };
    let valid = url.parse::<http::Uri>().is_ok_and(|uri| uri.authority().is_some());
    snafu::ensure!(valid, error::AddressSnafu { address: host });
    Ok(url.into())
}

fn token(path: &Path) -> Result<HeaderValue> {
    let text = fs::read_to_string(path).context(error::ReadSnafu { path })?;
    HeaderValue::from_str(&format!("Bearer {}", text.trim()))
        .map_err(|_| std::io::ErrorKind::InvalidData.into())
        .context(error::ReadSnafu { path })
}
