//! Completions API of OpenAI-compatible model servers, as a stream of server-sent events or as one JSON body.

use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{io, sync::mpsc};
use volo_http::response::Response;

use crate::http::{ErrorResponse, abort, fail, ok, stream_response};

/// Events or chunks buffered for a slow reader.
const CHANNEL_CAPACITY: usize = 16;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    pub model: Box<str>,
    pub prompt: Box<str>,
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    pub priority: i64,
    #[serde(default = "default_n")]
    pub n: u64,
}

// Default of the OpenAI completions API.
fn default_max_tokens() -> u64 {
    16
}

fn default_n() -> u64 {
    1
}

/// Event of a generation.
#[derive(Clone, Debug)]
pub enum Event {
    /// The queue is full; the request was not run.
    QueueFull,
    Token {
        text: Box<str>,
        version: u64,
    },
    End {
        finish: &'static str,
        version: u64,
    },
}

/// Starts a generation and responds with its events. If the generation stops without `End`, the connection is closed
/// early.
pub async fn respond<F>(
    request: Request,
    generate: impl FnOnce(Request, mpsc::Sender<Event>) -> F,
) -> Result<Response, ErrorResponse>
where
    F: Future<Output = ()> + Send + 'static,
{
    let (sender, mut events) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(generate(request.clone(), sender));
    let first = events.recv().await.ok_or_else(abort)?;
    if matches!(first, Event::QueueFull) {
        return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "queue is full"));
    }
    if !request.stream {
        return collect(&request, first, events).await;
    }
    let (frames, body) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(event) = next {
            let is_end = matches!(event, Event::End { .. });
            let mut text = format!("data: {}\n\n", event_json(&request, &event));
            if is_end {
                text.push_str("data: [DONE]\n\n");
            }
            if frames.send(Ok(text.into())).await.is_err() || is_end {
                return;
            }
            next = events.recv().await;
        }
        let _ = frames.send(Err(io::Error::other("generation was cut off"))).await;
    });
    Ok(stream_response("text/event-stream", body))
}

async fn collect(
    request: &Request,
    first: Event,
    mut events: mpsc::Receiver<Event>,
) -> Result<Response, ErrorResponse> {
    let (mut text, mut tokens) = (String::new(), 0);
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            Event::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
            }
            Event::End { finish, version } => {
                let mut answer = completion_json(request, version, &text, Some(finish));
                let prompt_tokens = request.prompt.split_whitespace().count();
                answer["usage"] = json!({
                    "prompt_tokens": prompt_tokens,
                    "completion_tokens": tokens,
                    "total_tokens": prompt_tokens + tokens,
                });
                return Ok(ok(&answer));
            }
            Event::QueueFull => break,
        }
        next = events.recv().await;
    }
    Err(abort())
}

fn event_json(request: &Request, event: &Event) -> Value {
    match event {
        Event::QueueFull => Value::Null,
        Event::Token { text, version } => completion_json(request, *version, text, None),
        Event::End { finish, version } => completion_json(request, *version, "", Some(finish)),
    }
}

fn completion_json(request: &Request, version: u64, text: &str, finish: Option<&str>) -> Value {
    json!({
        "id": "cmpl-standin",
        "object": "text_completion",
        "created": 0,
        "model": request.model,
        "system_fingerprint": format!("{}@{version}", request.model),
        "choices": [{"index": 0, "text": text, "logprobs": null, "finish_reason": finish}],
    })
}
