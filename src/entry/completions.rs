//! `POST /v1/completions`: generations by model engines, OpenAI style.

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

use super::{Answer, deadline, key, unexpected};
use crate::{
    answer::{self, Error},
    control::{Chunk, Control, Pending, Reply},
    core::{
        Event,
        request::{self, Generate, Incoming, Output, Text, Work},
    },
    prelude::*,
};

/// Tokens of a request that names no limit, as the published interface has it.
const MAX_TOKENS_DEFAULT: u32 = 16;

/// How the caller wants its answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Form {
    Whole,
    Stream,
}

pub async fn run(
    control: &Arc<Control>,
    request: Request,
    started: Instant,
) -> Result<Answer, Error> {
    let (key, deadline) = (key(request.headers())?, deadline(request.headers())?);
    let (body, room) = control.read(request).await?;
    let (generate, form) = generate(answer::parse(&body)?)?;
    control.ready()?;
    let head = Head::new(&generate.model);
    let work = Work::Generate(generate);
    let incoming = Incoming { work, key, deadline };
    let event = |ticket| Event::Request(request::Event::Submit { ticket, incoming });
    if form == Form::Whole {
        let text = whole(control.ask(event)?.reply().await?)?;
        return Ok(Answer::Whole(answer::json(&head.whole(&text))));
    }
    let (pending, chunks) = control.ask_stream(event)?;
    let mut stream = Stream {
        control: Arc::clone(control),
        pending: Some(pending),
        chunks,
        sent: String::new(),
        head,
        started,
        _room: room,
    };
    // The head of the answer waits for the first chunk, so that a refusal still has its own HTTP status.
    let first = stream.next().await?;
    let rest = stream::unfold((Some(first), stream), |(first, mut stream)| async move {
        let bytes = match first {
            Some(bytes) => bytes,
            None if stream.pending.is_none() => return None,
            None => stream.next().await.unwrap_or_else(|error| event_text(&error.body())),
        };
        Some((Ok(Frame::data(bytes)), (None, stream)))
    });
    let mut response = Response::new(Body::from_stream(rest));
    let headers = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", http::HeaderValue::from_static("no-store"));
    Ok(Answer::Streams(response))
}

/// Checks the body; parameters that are not ours are passed on.
fn generate(mut body: Map<String, Value>) -> Result<(Generate, Form), Error> {
    let fault = |text: &str| Error::new(Code::RequestMalformed, text);
    let (Some(Value::String(model)), Some(Value::String(prompt))) =
        (body.remove("model"), body.remove("prompt"))
    else {
        return Err(fault("model and prompt: must be strings"));
    };
    let max_tokens = match body.remove("max_tokens") {
        None => Some(MAX_TOKENS_DEFAULT),
        Some(value) => value.as_u64().and_then(|it| u32::try_from(it).ok()).filter(|&it| it > 0),
    };
    let max_tokens = max_tokens.ok_or_else(|| fault("max_tokens: must be a positive number"))?;
    let form = match body.remove("stream") {
        None | Some(Value::Bool(false)) => Form::Whole,
        Some(Value::Bool(true)) => Form::Stream,
        Some(_) => return Err(fault("stream: must be true or false")),
    };
    // Of several choices only one could be resumed on another engine.
    for field in ["n", "best_of"] {
        if body.get(field).is_some_and(|it| *it != json!(1)) {
            return Err(fault(&format!("{field}: only 1 is supported")));
        }
    }
    if body.get("echo").is_some_and(|it| *it != json!(false)) {
        return Err(fault("echo: is not supported"));
    }
    // Priorities are given by this host.
    body.remove("priority");
    let params = if body.is_empty() { String::new() } else { Value::Object(body).to_string() };
    Ok((Generate::new(&model, &prompt, max_tokens, &params), form))
}

/// The text of an answer, if it is whole.
fn whole(reply: Reply) -> Result<Text, Error> {
    match reply {
        Reply::Answer(request::Answer::Done(Output::Text(text)))
            if text.finish_reason.is_some() =>
        {
            Ok(text)
        }
        Reply::Answer(request::Answer::Done(Output::Text(_))) => Err(Code::Incomplete.into()),
        Reply::Answer(request::Answer::Error { code, message }) => Err(Error::new(code, message)),
        _ => Err(unexpected()),
    }
}

/// Fields that every message of one answer repeats.
struct Head {
    id: String,
    created: u64,
    model: ModelId,
}

impl Head {
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

    /// The last message, which also counts tokens and names the versions of the whole text.
    fn last(&self, text: &Text, rest: &str) -> Value {
        let version = text.segments.last().and_then(|it| it.version);
        let mut message = self.message(rest, text.finish_reason.as_deref(), version);
        let tokens: u32 = text.segments.iter().map(|it| it.tokens).sum();
        message["usage"] = json!({ "completion_tokens": tokens });
        message["segments"] = answer::segments(&text.segments);
        message
    }

    fn whole(&self, text: &Text) -> Value {
        self.last(text, &text.text)
    }
}

fn event_text(value: &Value) -> Bytes {
    let name = if value.get("error").is_some() { "event: error\n" } else { "" };
    format!("{name}data: {value}\n\n").into()
}

/// A streamed answer.
struct Stream {
    control: Arc<Control>,
    /// `None` after the last event.
    pending: Option<Pending>,
    chunks: mpsc::Receiver<Chunk>,
    /// Text that the caller has got.
    sent: String,
    head: Head,
    started: Instant,
    /// Stands for the bytes of the request.
    _room: OwnedSemaphorePermit,
}

impl Stream {
    /// The next events as text. An error before the first text is the caller's to answer.
    async fn next(&mut self) -> Result<Bytes, Error> {
        let Some(pending) = &mut self.pending else {
            return Ok(Bytes::new());
        };
        let reply = loop {
            tokio::select! {
                biased;
                Some(chunk) = self.chunks.recv() => match rest(&self.sent, chunk.offset, &chunk.text) {
                    Some("") => {}
                    Some(text) => {
                        self.sent.push_str(text);
                        return Ok(event_text(&self.head.message(text, None, chunk.version)));
                    }
                    None => break Err(Error::new(Code::Incomplete, "text was generated anew after a break")),
                },
                reply = pending.reply() => break reply.map_err(Error::from),
            }
        };
        // Dropping the receipt of an answer that has not come ends the request.
        self.pending = None;
        let text = reply.and_then(whole).and_then(|text| {
            let rest = rest(&self.sent, 0, &text.text).map(Box::<str>::from);
            let rest = rest.ok_or_else(|| {
                Error::new(Code::Incomplete, "text was generated anew after a break")
            })?;
            Ok(self.head.last(&text, &rest))
        });
        match text {
            Ok(message) => {
                self.finished(None);
                Ok([&event_text(&message)[..], b"data: [DONE]\n\n"].concat().into())
            }
            Err(error) if self.sent.is_empty() => Err(error),
            Err(error) => {
                // Part of the text went out, so no other kind would be true.
                let error = if error.code == Code::Incomplete {
                    error
                } else {
                    Error::new(Code::Incomplete, format!("{} {}", error.code, error.message))
                };
                self.finished(Some(error.code));
                Ok(event_text(&error.body()))
            }
        }
    }

    fn finished(&self, code: Option<Code>) {
        self.control.metrics.answered("completions", code, self.started.elapsed());
    }
}

/// What `text`, which stands at `offset` of the whole, adds to what was sent; `None` when the two do not fit.
fn rest<'a>(sent: &str, offset: usize, text: &'a str) -> Option<&'a str> {
    let known = sent.get(offset..)?;
    if known.len() >= text.len() {
        return known.starts_with(text).then_some("");
    }
    text.strip_prefix(known)
}
