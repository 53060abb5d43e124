//! Completions in the published JSON form of OpenAI-compatible model servers, streamed or whole.

use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{io, sync::mpsc};
use volo_http::response::Response;

use crate::http::{Refusal, abort, fail, ok, streamed};

/// Pieces that may wait for a slow reader.
const PIECES_MAX: usize = 16;

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
    #[serde(default = "one")]
    pub n: u64,
}

// Published default of the completions interface.
fn default_max_tokens() -> u64 {
    16
}

fn one() -> u64 {
    1
}

/// What a generation produces.
#[derive(Clone, Debug)]
pub enum Piece {
    /// The queue is full; nothing was run.
    Full,
    Token {
        text: Box<str>,
        version: u64,
    },
    End {
        finish: &'static str,
        version: u64,
    },
}

/// Starts a generation and answers with its pieces; a generation without an end breaks the connection.
pub async fn respond<F>(
    request: Request,
    generate: impl FnOnce(Request, mpsc::Sender<Piece>) -> F,
) -> Result<Response, Refusal>
where
    F: Future<Output = ()> + Send + 'static,
{
    let (sender, mut pieces) = mpsc::channel(PIECES_MAX);
    tokio::spawn(generate(request.clone(), sender));
    let first = pieces.recv().await.ok_or_else(abort)?;
    if matches!(first, Piece::Full) {
        return Err(fail(StatusCode::SERVICE_UNAVAILABLE, "queue is full"));
    }
    if !request.stream {
        return whole(&request, first, pieces).await;
    }
    let (frames, body) = mpsc::channel(PIECES_MAX);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(piece) = next {
            let ended = matches!(piece, Piece::End { .. });
            let mut text = format!("data: {}\n\n", chunk(&request, &piece));
            if ended {
                text.push_str("data: [DONE]\n\n");
            }
            if frames.send(Ok(text.into())).await.is_err() || ended {
                return;
            }
            next = pieces.recv().await;
        }
        let _ = frames.send(Err(io::Error::other("generation broke off"))).await;
    });
    Ok(streamed("text/event-stream", body))
}

async fn whole(
    request: &Request,
    first: Piece,
    mut pieces: mpsc::Receiver<Piece>,
) -> Result<Response, Refusal> {
    let (mut text, mut tokens) = (String::new(), 0);
    let mut next = Some(first);
    while let Some(piece) = next {
        match piece {
            Piece::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
            }
            Piece::End { finish, version } => {
                let mut answer = body(request, version, &text, Some(finish));
                let prompt_tokens = request.prompt.split_whitespace().count();
                answer["usage"] = json!({
                    "prompt_tokens": prompt_tokens,
                    "completion_tokens": tokens,
                    "total_tokens": prompt_tokens + tokens,
                });
                return Ok(ok(&answer));
            }
            Piece::Full => break,
        }
        next = pieces.recv().await;
    }
    Err(abort())
}

fn chunk(request: &Request, piece: &Piece) -> Value {
    match piece {
        Piece::Full => Value::Null,
        Piece::Token { text, version } => body(request, *version, text, None),
        Piece::End { finish, version } => body(request, *version, "", Some(finish)),
    }
}

fn body(request: &Request, version: u64, text: &str, finish: Option<&str>) -> Value {
    json!({
        "id": "cmpl-standin",
        "object": "text_completion",
        "created": 0,
        "model": request.model,
        "system_fingerprint": format!("{}@{version}", request.model),
        "choices": [{"index": 0, "text": text, "logprobs": null, "finish_reason": finish}],
    })
}
