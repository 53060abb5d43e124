//! `POST /v1/completions`: generations by model engines, with an OpenAI-style API.
//!
//! An answer is one JSON object or a stream of server-sent events. A stream ends with `[DONE]` only if its text is
//! complete. An attempt that resumes a generation may repeat text, which is cut off before it reaches the caller. If
//! the repeated text differs from what the caller has received, the stream ends with an error.

use std::{
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::stream;
use http::Response;
use hyper::body::Frame;
use serde_json::{Map, Value, json};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use volo_http::{body::Body, request::Request};

use super::{Answer, deadline, idempotency_key, unexpected_reply};
use crate::{
    answer::{self, Error},
    control::{Chunk, Control, Pending, Reply},
    core::{
        Event,
        request::{self, Generate, Incoming, Output, Text, Work},
    },
    prelude::*,
};

/// Token limit of a request that names none, as in the published API.
const MAX_TOKENS_DEFAULT: u32 = 16;

/// Format of the answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Format {
    Json,
    EventStream,
}

pub async fn run(
    control: &Arc<Control>,
    request: Request,
    started: Instant,
) -> Result<Answer, Error> {
    let (key, deadline) = (idempotency_key(request.headers())?, deadline(request.headers())?);
    let (body, body_permit) = control.read_body(request).await?;
    let (generate, format) = parse_generate(answer::parse_json(&body)?)?;
    control.check_ready()?;
    let envelope = Envelope::new(&generate.model);
    let work = Work::Generate(generate);
    let incoming = Incoming { work, key, deadline };
    let event = |ticket| Event::Request(request::Event::Submit { ticket, incoming });
    if format == Format::Json {
        let text = complete_text(control.call(event)?.reply().await?)?;
        return Ok(Answer::Complete(answer::json(&envelope.complete(&text))));
    }
    let (pending, chunks) = control.call_streaming(event)?;
    let mut stream = EventStream {
        control: Arc::clone(control),
        pending: Some(pending),
        chunks,
        sent: String::new(),
        envelope,
        started,
        _body_permit: body_permit,
    };
    // The response starts only after the first event, so that an earlier refusal still gets its own HTTP status.
    let first = stream.next().await?;
    let rest = stream::unfold((Some(first), stream), |(first, mut stream)| async move {
        let bytes = match first {
            Some(bytes) => bytes,
            None if stream.pending.is_none() => return None,
            None => stream.next().await.unwrap_or_else(|error| format_event(&error.body())),
        };
        Some((Ok(Frame::data(bytes)), (None, stream)))
    });
    let mut response = Response::new(Body::from_stream(rest));
    let headers = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", http::HeaderValue::from_static("no-store"));
    Ok(Answer::Streaming(response))
}

/// Checks the body. Parameters that this host does not interpret are passed on to the engine.
fn parse_generate(mut body: Map<String, Value>) -> Result<(Generate, Format), Error> {
    let invalid = |text: &str| Error::new(Code::RequestMalformed, text);
    let (Some(Value::String(model)), Some(Value::String(prompt))) =
        (body.remove("model"), body.remove("prompt"))
    else {
        return Err(invalid("model and prompt: must be strings"));
    };
    let max_tokens = match body.remove("max_tokens") {
        None => Some(MAX_TOKENS_DEFAULT),
        Some(value) => value.as_u64().and_then(|it| u32::try_from(it).ok()).filter(|&it| it > 0),
    };
    let max_tokens = max_tokens.ok_or_else(|| invalid("max_tokens: must be a positive number"))?;
    let format = match body.remove("stream") {
        None | Some(Value::Bool(false)) => Format::Json,
        Some(Value::Bool(true)) => Format::EventStream,
        Some(_) => return Err(invalid("stream: must be true or false")),
    };
    // A generation with several choices could not be resumed on another engine.
    for field in ["n", "best_of"] {
        if body.get(field).is_some_and(|it| *it != json!(1)) {
            return Err(invalid(&format!("{field}: only 1 is supported")));
        }
    }
    if body.get("echo").is_some_and(|it| *it != json!(false)) {
        return Err(invalid("echo: is not supported"));
    }
    // The host sets the priority itself.
    body.remove("priority");
    let params = if body.is_empty() { String::new() } else { Value::Object(body).to_string() };
    Ok((Generate::new(&model, &prompt, max_tokens, &params), format))
}

/// Text of a reply, or an error if it is not complete.
fn complete_text(reply: Reply) -> Result<Text, Error> {
    match reply {
        Reply::Answer(request::Answer::Done(Output::Text(text)))
            if text.finish_reason.is_some() =>
        {
            Ok(text)
        }
        Reply::Answer(request::Answer::Done(Output::Text(_))) => Err(Code::Incomplete.into()),
        Reply::Answer(request::Answer::Error { code, message }) => Err(Error::new(code, message)),
        _ => Err(unexpected_reply()),
    }
}

/// Fields common to all messages of one answer.
struct Envelope {
    id: String,
    created: u64,
    model: ModelId,
}

impl Envelope {
    fn new(model: &ModelId) -> Self {
        Self {
            id: format!("cmpl-{:016x}", rand::random::<u64>()),
            created: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs(),
            model: model.clone(),
        }
    }

    fn message(&self, text: &str, finish_reason: Option<&str>, version: Option<Version>) -> Value {
        let fingerprint = version.map(|version| format!("{}@{version}", self.model));
        json!({
            "id": self.id,
            "object": "text_completion",
            "created": self.created,
            "model": self.model,
            "system_fingerprint": fingerprint,
            "choices": [{"index": 0, "text": text, "logprobs": null, "finish_reason": finish_reason}],
        })
    }

    /// Last message of an answer, with the token count and the segments of the whole text.
    fn final_message(&self, text: &Text, rest: &str) -> Value {
        let version = text.segments.last().and_then(|it| it.version);
        let mut message = self.message(rest, text.finish_reason.as_deref(), version);
        let tokens: u32 = text.segments.iter().map(|it| it.tokens).sum();
        message["usage"] = json!({ "completion_tokens": tokens });
        message["segments"] = answer::segments_json(&text.segments);
        message
    }

    fn complete(&self, text: &Text) -> Value {
        self.final_message(text, &text.text)
    }
}

fn format_event(value: &Value) -> Bytes {
    let name = if value.get("error").is_some() { "event: error\n" } else { "" };
    format!("{name}data: {value}\n\n").into()
}

/// Streamed answer.
struct EventStream {
    control: Arc<Control>,
    /// `None` after the last event.
    pending: Option<Pending>,
    chunks: mpsc::Receiver<Chunk>,
    /// Text sent to the caller so far.
    sent: String,
    envelope: Envelope,
    started: Instant,
    /// Accounts for the bytes of the request's body.
    _body_permit: OwnedSemaphorePermit,
}

impl EventStream {
    /// Next events as text. Returns an error only if no text has been sent yet; later errors become an event.
    async fn next(&mut self) -> Result<Bytes, Error> {
        let Some(pending) = &mut self.pending else {
            return Ok(Bytes::new());
        };
        let reply = loop {
            tokio::select! {
                biased;
                Some(chunk) = self.chunks.recv() => match unsent_suffix(
                    &self.sent,
                    chunk.offset,
                    &chunk.text,
                ) {
                    Some("") => {}
                    Some(text) => {
                        self.sent.push_str(text);
                        return Ok(format_event(&self.envelope.message(text, None, chunk.version)));
                    }
                    None => break Err(Error::new(
                        Code::Incomplete,
                        "could not continue: regenerated text differs from the text sent",
                    )),
                },
                reply = pending.reply() => break reply.map_err(Error::from),
            }
        };
        // Dropping a pending reply that has not arrived cancels the request.
        self.pending = None;
        let text = reply.and_then(complete_text).and_then(|text| {
            let rest = unsent_suffix(&self.sent, 0, &text.text).map(Box::<str>::from);
            let rest = rest.ok_or_else(|| {
                Error::new(
                    Code::Incomplete,
                    "could not continue: regenerated text differs from the text sent",
                )
            })?;
            Ok(self.envelope.final_message(&text, &rest))
        });
        match text {
            Ok(message) => {
                self.record_request(None);
                Ok([&format_event(&message)[..], b"data: [DONE]\n\n"].concat().into())
            }
            Err(error) if self.sent.is_empty() => Err(error),
            Err(error) => {
                // Part of the text has been sent, so any other code would have the wrong kind.
                let error = if error.code == Code::Incomplete {
                    error
                } else {
                    Error::new(Code::Incomplete, format!("{} {}", error.code, error.message))
                };
                self.record_request(Some(error.code));
                Ok(format_event(&error.body()))
            }
        }
    }

    fn record_request(&self, code: Option<Code>) {
        self.control.metrics.record_request("completions", code, self.started.elapsed());
    }
}

/// Part of `text`, which starts at `offset` of the whole text, that follows what was sent. `None` if the two differ or
/// leave a gap.
fn unsent_suffix<'a>(sent: &str, offset: usize, text: &'a str) -> Option<&'a str> {
    let overlap = sent.get(offset..)?;
    if overlap.len() >= text.len() {
        return overlap.starts_with(text).then_some("");
    }
    text.strip_prefix(overlap)
}
