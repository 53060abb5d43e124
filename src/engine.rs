//! Client of model engines over HTTP.
//!
//! A generation is an OpenAI-style completion streamed as server-sent events. Polls read `/health` and `/load`, and
//! orders to load a version go to `/orders`.

use std::{collections::BTreeMap, io};

use async_trait::async_trait;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::Limited;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::time::{Instant, timeout_at};
use volo_http::client::sse::SseReader;

use crate::{
    attempt::Exchange,
    core::{
        request::{Attempt, Failure, Generate, Output, Segment, Text, Update, Work},
        rollout, target,
    },
    external, outbound,
    prelude::*,
};

/// Largest load report or response to an order.
const REPORT_MAX_BYTES: usize = 256 * 1024;

/// Client of model engines.
#[derive(Clone, Debug)]
pub struct Engine {
    pub connect_timeout: Duration,
    pub poll_timeout: Duration,
    /// Longest time between two chunks.
    pub chunk_timeout: Duration,
    pub max_answer_bytes: usize,
}

/// One chunk of a completion.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    system_fingerprint: Option<String>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u32,
}

/// Load report of an engine.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Load {
    running: u32,
    waiting: u32,
    kv_used_percent: f64,
    versions: BTreeMap<ModelId, Version>,
}

/// Text generated so far, which grows chunk by chunk.
struct PartialText {
    text: String,
    segments: Vec<Segment>,
}

impl PartialText {
    fn new(so_far: Option<&Text>) -> Self {
        let (text, segments) =
            so_far.map_or_else(Default::default, |it| (it.text.to_string(), it.segments.clone()));
        Self { text, segments }
    }

    fn tokens(&self) -> u32 {
        self.segments.iter().map(|it| it.tokens).sum()
    }

    /// Appends a chunk; successive tokens of one version share a segment.
    fn push(&mut self, text: &str, tokens: u32, version: Option<Version>) {
        self.text.push_str(text);
        if tokens == 0 {
            return;
        }
        match self.segments.last_mut() {
            Some(last) if last.version == version => last.tokens += tokens,
            _ => self.segments.push(Segment { version, tokens }),
        }
    }

    fn finish(self, finish_reason: Option<Box<str>>) -> Text {
        Text { text: self.text.into(), segments: self.segments, finish_reason }
    }
}

/// Version in a fingerprint `<model>@<version>` of this model.
fn fingerprint_version(fingerprint: Option<&str>, model: &str) -> Option<Version> {
    let (name, version) = fingerprint?.rsplit_once('@')?;
    (name == model).then(|| version.parse().ok()).flatten()
}

/// Body of a completion request that continues the text so far with the tokens left.
fn request_body(work: &Generate, so_far: &PartialText, priority: i32) -> Bytes {
    let mut map: Map<String, Value> = serde_json::from_str(&work.params).unwrap_or_default();
    map.insert("model".into(), json!(work.model));
    map.insert("prompt".into(), json!(format!("{}{}", work.prompt, so_far.text)));
    map.insert("max_tokens".into(), json!(work.max_tokens - so_far.tokens()));
    map.insert("priority".into(), json!(priority));
    map.insert("stream".into(), json!(true));
    Value::Object(map).to_string().into()
}

impl Engine {
    /// Reads a generation into `partial` and returns its finish reason, without which the text is not complete.
    async fn stream(
        &self,
        attempt: &Attempt,
        work: &Generate,
        partial: &mut PartialText,
        sink: &mut dyn external::Sink,
    ) -> Result<Box<str>, Failure> {
        // An earlier attempt may have failed after the last permitted token but before the finish reason.
        if partial.tokens() >= work.max_tokens {
            return Ok("length".into());
        }
        let body = request_body(work, partial, attempt.priority);
        let request = outbound::build_request(
            "POST",
            &attempt.address,
            "/v1/completions",
            "application/json",
            body,
        );
        let Exchange { response, driver: _driver, deadline } =
            Exchange::start(attempt, request, self.connect_timeout, sink).await?;
        if !response.status().is_success() {
            return Err(Failure::Status(response.status().as_u16()));
        }
        if outbound::is_leaving(response.headers()) {
            sink.target_leaving();
        }
        let response = response.map(|body| Limited::new(body, self.max_answer_bytes));
        let mut events = SseReader::into_sse(response).map_err(|_| Failure::Broken)?;
        loop {
            let by = deadline.min(Instant::now() + self.chunk_timeout);
            let event = match timeout_at(by, events.read()).await {
                Ok(Ok(Some(event))) => event,
                Ok(Ok(None) | Err(_)) => return Err(Failure::Broken),
                Err(_) => return Err(Failure::Timeout),
            };
            // `[DONE]` before a finish reason fails to parse as a chunk, which marks the response as incomplete.
            let Some(data) = event.data() else { continue };
            let chunk: Chunk = serde_json::from_str(data).map_err(|_| Failure::Broken)?;
            let Some(choice) = chunk.choices.into_iter().next() else {
                continue;
            };
            let tokens = chunk.usage.map(|it| it.completion_tokens);
            let tokens = tokens.unwrap_or_else(|| u32::from(!choice.text.is_empty()));
            let version = fingerprint_version(chunk.system_fingerprint.as_deref(), &work.model);
            partial.push(&choice.text, tokens, version);
            if !choice.text.is_empty() {
                sink.push_chunk(&choice.text, tokens, version).await;
            }
            if let Some(reason) = choice.finish_reason {
                return Ok(reason);
            }
        }
    }

    /// Reads the load report of a target. `None` if it has none, as is the case for plain services.
    async fn read_load(
        &self,
        address: &str,
        deadline: Instant,
    ) -> Result<Option<Load>, outbound::Failure> {
        let (status, body) = outbound::call_json(
            address,
            "/load",
            Bytes::new(),
            REPORT_MAX_BYTES,
            deadline,
            deadline,
        )
        .await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !status.is_success() {
            return Err(outbound::Failure::Broken);
        }
        serde_json::from_slice(&body).map(Some).map_err(|error| {
            let error = io::Error::from(error);
            log::warn!("could not read the load report of {address}: {error}");
            outbound::Failure::Broken
        })
    }
}

#[async_trait]
impl external::Engine for Engine {
    async fn generate(&self, attempt: &Attempt, sink: &mut dyn external::Sink) -> Update {
        let Work::Generate(work) = &attempt.work else {
            let (failure, partial) = (Failure::Connect, None);
            return Update::Failed { failure, partial };
        };
        let mut partial = PartialText::new(attempt.so_far.as_ref());
        match self.stream(attempt, work, &mut partial, sink).await {
            Ok(reason) => Update::Done(Output::Text(partial.finish(Some(reason)))),
            Err(failure) => Update::Failed { failure, partial: Some(partial.finish(None)) },
        }
    }

    async fn poll(&self, address: &str) -> target::Outcome {
        let deadline = Instant::now() + self.poll_timeout;
        let health = outbound::call_json(
            address,
            "/health",
            Bytes::new(),
            REPORT_MAX_BYTES,
            deadline,
            deadline,
        )
        .await;
        match health {
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => return target::Outcome::Leaving,
            Ok((status, _)) if status.is_success() => {}
            _ => return target::Outcome::Unreachable,
        }
        match self.read_load(address, deadline).await {
            Ok(load) => {
                let load = load.unwrap_or_default();
                target::Outcome::Report(target::Report {
                    running: load.running,
                    waiting: load.waiting,
                    // Rounds half up, since `target::Report` holds whole percents.
                    kv_used_percent: (load.kv_used_percent.clamp(0.0, 100.0) + 0.5) as u32,
                    versions: load.versions,
                })
            }
            // An engine that answers `/health` stays in service even if its load report cannot be read.
            Err(_) => target::Outcome::Healthy,
        }
    }

    async fn order(&self, order: &rollout::Order) -> Result<(), rollout::Failure> {
        let op = match order.op {
            rollout::Op::LoadVersion => "load_version",
        };
        let body = json!({
            "fence": order.fence,
            "op": op,
            "model": order.model,
            "version": order.desired.version,
            "weights": order.desired.weights,
        });
        let now = Instant::now();
        let (connect_deadline, deadline) = (now + self.connect_timeout, now + order.timeout);
        let body = body.to_string().into();
        match outbound::call_json(
            &order.address,
            "/orders",
            body,
            REPORT_MAX_BYTES,
            connect_deadline,
            deadline,
        )
        .await
        {
            Ok((StatusCode::CONFLICT, _)) => Err(rollout::Failure::StaleFence),
            Ok((status, _)) if status.is_success() => Ok(()),
            Err(outbound::Failure::Connect) => Err(rollout::Failure::Unreachable),
            _ => Err(rollout::Failure::Failed),
        }
    }
}
