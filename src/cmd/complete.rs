use bytes::BytesMut;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::time;
use volo_http::{body::Body, response::Response};

use super::{Client, Complete, Error, Failure, Result, Run, client::Fault, print};
use crate::prelude::*;

const WHAT: &str = "complete the prompt";
/// Longest event of a stream.
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
            match time::timeout(client.left(), opened).await {
                Ok(Ok(response)) => match Events::of(&client, response).await {
                    Ok(events) => break events,
                    // Nothing was run, and another host may take work.
                    Err(Error::Refused { code: Code::Draining | Code::NotReady, .. })
                        if !client.late() =>
                    {
                        client.next_host().await;
                    }
                    Err(error) => return Err(error),
                },
                Ok(Err(Failure::Connect)) => client.next_host().await,
                Ok(Err(Failure::Broken)) | Err(_) => return Err(broken_off()),
            }
            if client.late() {
                return Err(client.unavailable(WHAT));
            }
        };
        self.print(&client, &mut events).await
    }
}

impl Complete {
    /// Prints text as it comes; only a finish reason and `[DONE]` make it whole.
    async fn print(&self, client: &Client, events: &mut Events) -> Result<()> {
        let (mut text, mut last) = (String::new(), Value::Null);
        loop {
            let event = time::timeout(client.left(), events.next()).await;
            let Some(event) = event.ok().flatten() else {
                return Err(broken_off());
            };
            let Some(data) = event.lines().find_map(|line| line.strip_prefix("data:")) else {
                continue;
            };
            let data = data.trim();
            if data == "[DONE]" {
                break;
            }
            if let Some(fault) = Fault::read(data.as_bytes()) {
                return Err(fault.into_error(WHAT));
            }
            let chunk: Value = serde_json::from_str(data).map_err(|error| Error::Answer {
                what: WHAT.into(),
                message: error.to_string().into(),
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
            return Err(broken_off());
        }
        if !self.json {
            return print::line("");
        }
        let whole = json!({"text": text, "finish_reason": finish, "segments": last["segments"]});
        print::line(&whole.to_string())
    }
}

/// Events of a stream.
struct Events {
    body: Body,
    buffer: BytesMut,
}

impl Events {
    /// Events of a good answer, or the refusal that came in their place.
    async fn of(client: &Client, response: Response) -> Result<Self> {
        let status = response.status().as_u16();
        let mut events = Self { body: response.into_body(), buffer: BytesMut::new() };
        if status == 200 {
            return Ok(events);
        }
        let refusal = time::timeout(client.left(), events.refusal(status)).await;
        Err(refusal.unwrap_or_else(|_| broken_off()))
    }

    /// The next event, or `None` when the stream ended or broke.
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

    /// Error in an answer that is not a stream.
    async fn refusal(&mut self, status: u16) -> Error {
        while self.buffer.len() < EVENT_MAX_BYTES {
            let Some(Ok(frame)) = self.body.frame().await else {
                break;
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        match Fault::read(&self.buffer) {
            Some(fault) => fault.into_error(WHAT),
            None => Error::Status { what: WHAT.into(), status },
        }
    }
}

fn broken_off() -> Error {
    Error::Refused {
        what: WHAT.into(),
        code: Code::Incomplete,
        message: Code::Incomplete.text().into(),
        details: Vec::new(),
    }
}
