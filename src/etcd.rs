//! Client of the key-value store over the JSON gateway of etcd v3.
//!
//! As in the protobuf JSON mapping, keys and values are base64, 64-bit numbers are JSON strings, and responses omit
//! fields that have their default value.

use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use http::{StatusCode, Uri};
use serde::{Deserialize, Deserializer};
use serde_json::{Value as Json, json};
use tokio::time::{Instant, timeout_at};

use crate::{
    core::store::{Call, Expect, Failure, Reply, Value},
    external,
    outbound::{self, Lines},
    prelude::*,
};

/// Largest response: a value of 1 MB in base64 with its envelope.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// gRPC status code for a lease that does not exist.
const NOT_FOUND: u32 = 5;

/// Client of one etcd cluster.
#[derive(Debug)]
pub struct Etcd {
    urls: Vec<Uri>,
    connect_timeout: Duration,
    /// Index of the URL that is tried first.
    preferred: AtomicUsize,
}

/// Response of the gateway to a call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CallResponse {
    header: Header,
    succeeded: bool,
    kvs: Vec<Kv>,
    responses: Vec<ResponseOp>,
    #[serde(rename = "ID", deserialize_with = "number")]
    id: i64,
    #[serde(rename = "TTL", deserialize_with = "number")]
    ttl: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Header {
    #[serde(deserialize_with = "number")]
    revision: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResponseOp {
    response_range: Option<Range>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Range {
    kvs: Vec<Kv>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Kv {
    value: String,
    #[serde(deserialize_with = "number")]
    mod_revision: i64,
    #[serde(deserialize_with = "number")]
    create_revision: i64,
}

/// One message of a streaming call.
#[derive(Debug, Deserialize)]
struct StreamMessage<T> {
    result: T,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchResponse {
    canceled: bool,
    events: Vec<Event>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: Kv,
}

/// Body of an error response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct GatewayError {
    code: u32,
}

/// Deserializes a 64-bit number, which the gateway writes as a string.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(i64),
    }
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        log::warn!("could not read a response of the key-value store: {error}");
        Failure::Unknown
    })
}

impl TryFrom<Kv> for Value {
    type Error = Failure;

    fn try_from(kv: Kv) -> Result<Self, Failure> {
        Ok(Self {
            bytes: BASE64.decode(kv.value).map_err(|_| Failure::Unknown)?.into(),
            mod_revision: kv.mod_revision.unsigned_abs(),
            create_revision: kv.create_revision.unsigned_abs(),
        })
    }
}

fn first_value(kvs: Vec<Kv>) -> Result<Option<Value>, Failure> {
    kvs.into_iter().next().map(Value::try_from).transpose()
}

/// Path and body of the request for a call.
fn encode_request(call: &Call) -> (&'static str, Json) {
    let encode = |text: &str| BASE64.encode(text);
    match call {
        Call::Get { key } => ("/v3/kv/range", json!({"key": encode(key)})),
        Call::Swap { key, expect, value, lease } => {
            let compare = match expect {
                Expect::Absent => {
                    json!({"key": encode(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"})
                }
                Expect::Revision(revision) => {
                    let revision = revision.to_string();
                    json!({"key": encode(key), "target": "MOD", "result": "EQUAL", "mod_revision": revision})
                }
            };
            let mut put = json!({"key": encode(key), "value": BASE64.encode(value)});
            if let Some(lease) = lease {
                put["lease"] = lease.to_string().into();
            }
            let range = json!({"key": encode(key)});
            let body = json!({
                "compare": [compare],
                "success": [{"request_put": put}],
                "failure": [{"request_range": range}],
            });
            ("/v3/kv/txn", body)
        }
        Call::Delete { key } => ("/v3/kv/deleterange", json!({"key": encode(key)})),
        Call::Grant { ttl } => {
            // Lease times are whole seconds.
            let seconds = ttl.as_secs_f64().ceil().max(1.0) as u64;
            ("/v3/lease/grant", json!({"TTL": seconds.to_string()}))
        }
        Call::KeepAlive { lease } => ("/v3/lease/keepalive", json!({"ID": lease.to_string()})),
        Call::Watch { key, after, .. } => {
            let start = (after + 1).to_string();
            let create = json!({"key": encode(key), "start_revision": start});
            ("/v3/watch", json!({"create_request": create}))
        }
    }
}

fn lease_reply(id: i64, ttl: i64) -> Reply {
    // The response to a keep-alive of an expired lease has no TTL.
    if ttl <= 0 {
        return Reply::LeaseGone;
    }
    let ttl = Duration::from_secs(ttl.unsigned_abs());
    Reply::Lease { id, ttl }
}

fn parse_reply(call: &Call, body: &[u8]) -> Result<Reply, Failure> {
    if matches!(call, Call::KeepAlive { .. }) {
        let response: StreamMessage<CallResponse> = parse(body)?;
        return Ok(lease_reply(response.result.id, response.result.ttl));
    }
    let response: CallResponse = parse(body)?;
    Ok(match call {
        Call::Swap { .. } if response.succeeded => {
            Reply::Swapped { revision: response.header.revision.unsigned_abs() }
        }
        Call::Swap { .. } => {
            let range = response.responses.into_iter().find_map(|it| it.response_range);
            Reply::Conflict(first_value(range.unwrap_or_default().kvs)?)
        }
        Call::Delete { .. } => Reply::Deleted,
        Call::Grant { .. } => lease_reply(response.id, response.ttl),
        Call::Get { .. } | Call::KeepAlive { .. } | Call::Watch { .. } => {
            Reply::Value(first_value(response.kvs)?)
        }
    })
}

/// Result of a call that got an error status.
fn error_reply(call: &Call, status: StatusCode, body: &[u8]) -> Result<Reply, Failure> {
    let error: GatewayError = serde_json::from_slice(body).unwrap_or_default();
    let leased = matches!(call, Call::KeepAlive { .. } | Call::Swap { lease: Some(_), .. });
    if leased && error.code == NOT_FOUND {
        return Ok(Reply::LeaseGone);
    }
    log::warn!("call to the key-value store failed with status {status}");
    // Client errors are detected before a write is proposed; any other error may follow a write that took effect.
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return Err(Failure::Unsent);
    }
    Err(Failure::Unknown)
}

/// Outcome of a call to one URL.
enum Attempt {
    NoConnection,
    Finished(Result<Reply, Failure>),
}

impl Etcd {
    /// Creates a client that tries the URLs in turn until one accepts the connection.
    pub fn new(urls: Vec<Uri>, connect_timeout: Duration) -> Self {
        Self { urls, connect_timeout, preferred: AtomicUsize::new(0) }
    }

    async fn attempt(&self, address: &str, call: &Call, deadline: Instant) -> Attempt {
        let (path, body) = encode_request(call);
        let body = Bytes::from(body.to_string());
        let Some(request) =
            outbound::build_request("POST", address, path, "application/json", body)
        else {
            return Attempt::NoConnection;
        };
        let connect_deadline = deadline.min(Instant::now() + self.connect_timeout);
        let Ok(connection) = outbound::connect(address, connect_deadline).await else {
            return Attempt::NoConnection;
        };
        let Ok((response, _driver)) = connection.send(request, deadline).await else {
            return Attempt::Finished(Err(Failure::Unknown));
        };
        let status = response.status();
        let body = response.into_body();
        if !status.is_success() {
            let Ok(body) = outbound::read_body(body, RESPONSE_MAX_BYTES, deadline).await else {
                return Attempt::Finished(Err(Failure::Unknown));
            };
            return Attempt::Finished(error_reply(call, status, &body));
        }
        Attempt::Finished(match call {
            Call::Watch { wait, .. } => {
                watch(&mut Lines::new(body, RESPONSE_MAX_BYTES), *wait).await
            }
            // The stream of a keep-alive stays open after its only response, so one line is read instead of the body.
            Call::KeepAlive { .. } => {
                let mut lines = Lines::new(body, RESPONSE_MAX_BYTES);
                match timeout_at(deadline, lines.next()).await {
                    Ok(Ok(Some(line))) => parse_reply(call, &line),
                    _ => Err(Failure::Unknown),
                }
            }
            _ => match outbound::read_body(body, RESPONSE_MAX_BYTES, deadline).await {
                Ok(body) => parse_reply(call, &body),
                Err(_) => Err(Failure::Unknown),
            },
        })
    }
}

/// Waits for the first change, at most for `wait`. Dropping the connection ends the watch.
async fn watch(lines: &mut Lines, wait: Duration) -> Result<Reply, Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let line = match timeout_at(deadline, lines.next()).await {
            Ok(Ok(Some(line))) => line,
            Ok(_) => return Err(Failure::Unknown),
            Err(_) => return Ok(Reply::NoChange),
        };
        let message: StreamMessage<WatchResponse> = parse(&line)?;
        // The watch is cancelled if its start revision was compacted away; the caller then reads the key.
        if message.result.canceled {
            return Err(Failure::Unknown);
        }
        if let Some(event) = message.result.events.into_iter().next_back() {
            let value = (event.kind != "DELETE").then(|| Value::try_from(event.kv));
            return Ok(Reply::Value(value.transpose()?));
        }
    }
}

#[async_trait]
impl external::Store for Etcd {
    async fn call(&self, call: Call, timeout: Duration) -> Result<Reply, Failure> {
        let deadline = Instant::now() + timeout;
        let start = self.preferred.load(Ordering::Relaxed);
        for offset in 0..self.urls.len() {
            let index = (start + offset) % self.urls.len();
            let Some(authority) = self.urls[index].authority() else {
                continue;
            };
            if let Attempt::Finished(result) =
                self.attempt(authority.as_str(), &call, deadline).await
            {
                // A member that accepted the call but gave no usable response is no longer tried first.
                let next = index + usize::from(result == Err(Failure::Unknown));
                self.preferred.store(next % self.urls.len(), Ordering::Relaxed);
                return result;
            }
        }
        Err(Failure::Unsent)
    }
}
