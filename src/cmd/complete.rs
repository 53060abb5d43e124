//! `complete`: streams a completion to stdout.

use bytes::BytesMut;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time;
use volo_http::{body::Body, response::Response};

use super::{Client, Complete, Error, Failure, Result, Run, client::ApiError, print};
use crate::prelude::*;

const ACTION: &str = "complete the prompt";
/// Maximum size of an event.
const EVENT_MAX_BYTES: usize = 1 << 20;

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
                Ok(Ok(response)) => match Events::from_response(&client, response).await {
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
            let event = time::timeout(client.remaining(), events.next()).await;
            let Some(event) = event.ok().flatten() else {
                return Err(incomplete());
            };
            let Some(data) = event.lines().find_map(|line| line.strip_prefix("data:")) else {
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

/// Event stream of an answer.
struct Events {
    body: Body,
    buffer: BytesMut,
}

impl Events {
    /// Returns the events of a successful answer, or the error of the host.
    async fn from_response(client: &Client, response: Response) -> Result<Self> {
        let status = response.status().as_u16();
        let mut events = Self { body: response.into_body(), buffer: BytesMut::new() };
        if status == 200 {
            return Ok(events);
        }
        let error = time::timeout(client.remaining(), events.read_error(status)).await;
        Err(error.unwrap_or_else(|_| incomplete()))
    }

    /// Returns the next event, or `None` if the stream has ended or failed.
    async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = self.buffer.split_to(end + 2);
                return Some(String::from_utf8_lossy(&event).into_owned());
            }
            if self.buffer.len() > EVENT_MAX_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Reads the error from an answer that is not a stream.
    async fn read_error(&mut self, status: u16) -> Error {
        while self.buffer.len() < EVENT_MAX_BYTES {
            let Some(Ok(frame)) = self.body.frame().await else {
                break;
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        match ApiError::parse(&self.buffer) {
            Some(error) => error.into_error(ACTION),
            None => Error::Status { action: ACTION.into(), status },
        }
    }
}

fn incomplete() -> Error {
    Error::Refused {
        action: ACTION.into(),
        code: Code::Incomplete,
        message: Code::Incomplete.text().into(),
        details: Vec::new(),
    }
}
