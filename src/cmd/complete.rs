//! `complete`: streams a completion to stdout.

use http::Method;
use http_body_util::{BodyExt, Limited};
use serde_json::{Value, json};
use tokio::time;
use volo_http::{body::Body, client::sse::SseReader, response::Response};

use super::{Client, Complete, Error, Failure, Result, Run, client::ApiError, print};
use crate::prelude::*;

const ACTION: &str = "complete the prompt";
/// Maximum size of an answer.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Maximum size of an answer that is an error.
const ERROR_MAX_BYTES: usize = 1 << 20;

/// Event stream of an answer.
type Events = SseReader<Limited<Body>>;

impl Run for Complete {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        let call = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "stream": true,
        });
        let mut events = loop {
            let opened = client.open(Method::POST, "/v1/completions", &[], call.to_string().into());
            match time::timeout(client.remaining(), opened).await {
                Ok(Ok(response)) => match read_head(&client, response).await {
                    Ok(events) => break events,
                    // The request did not run, and another host may accept it.
                    Err(Error::Refused { code: Code::Draining | Code::NotReady, .. })
                        if !client.is_expired() =>
                    {
                        client.next_host().await;
                    }
                    Err(error) => return Err(error),
                },
                Ok(Err(Failure::Connect)) => client.next_host().await,
                Ok(Err(Failure::Broken)) | Err(_) => return Err(incomplete()),
            }
            if client.is_expired() {
                return Err(client.unavailable(ACTION));
            }
        };
        self.print(&client, &mut events).await
    }
}

impl Complete {
    /// Prints text as it arrives. The completion is incomplete without a finish reason and `[DONE]`.
    async fn print(&self, client: &Client, events: &mut Events) -> Result<()> {
        let (mut text, mut last) = (String::new(), Value::Null);
        loop {
            let event = time::timeout(client.remaining(), events.read()).await;
            let Ok(Ok(Some(event))) = event else {
                return Err(incomplete());
            };
            let Some(data) = event.data() else {
                continue;
            };
            let data = data.trim();
            if data == "[DONE]" {
                break;
            }
            if let Some(error) = ApiError::parse(data.as_bytes()) {
                return Err(error.into_error(ACTION));
            }
            let chunk: Value = serde_json::from_str(data).map_err(|error| {
                Error::InvalidAnswer { action: ACTION.into(), message: error.to_string().into() }
            })?;
            let piece = chunk["choices"][0]["text"].as_str().unwrap_or_default();
            text.push_str(piece);
            if !self.json {
                print::text(piece)?;
            }
            last = chunk;
        }
        let finish = &last["choices"][0]["finish_reason"];
        if !finish.is_string() {
            return Err(incomplete());
        }
        if !self.json {
            return print::line("");
        }
        let output = json!({"text": text, "finish_reason": finish, "segments": last["segments"]});
        print::line(&output.to_string())
    }
}

/// Returns the events of a successful answer, or the error of the host.
async fn read_head(client: &Client, response: Response) -> Result<Events> {
    let status = response.status().as_u16();
    if status == 200 {
        let response = response.map(|body| Limited::new(body, ANSWER_MAX_BYTES));
        return Events::into_sse(response).map_err(|error| Error::InvalidAnswer {
            action: ACTION.into(),
            message: error.to_string().into(),
        });
    }
    let error = time::timeout(client.remaining(), read_error(status, response.into_body())).await;
    Err(error.unwrap_or_else(|_| incomplete()))
}

/// Reads the error from an answer that is not a stream.
async fn read_error(status: u16, body: Body) -> Error {
    let body = Limited::new(body, ERROR_MAX_BYTES).collect().await;
    let error = body.ok().and_then(|body| ApiError::parse(&body.to_bytes()));
    error.map_or(Error::Status { action: ACTION.into(), status }, |it| it.into_error(ACTION))
}

fn incomplete() -> Error {
    Error::Refused {
        action: ACTION.into(),
        code: Code::Incomplete,
        message: Code::Incomplete.text().into(),
        details: Vec::new(),
    }
}
