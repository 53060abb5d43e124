//! `call`: sends a request to a plain service.
//!
//! Calls other than GET and HEAD carry an idempotency key, so that a retry does not run them twice.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    path::Path,
};

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::ResultExt;

use super::{Answer, Call, Client, Error, Failure, Result, Run, client::ApiError, error, print};
use crate::prelude::*;

#[derive(Deserialize)]
struct Keys {
    keys: Vec<Box<str>>,
}

impl Run for Call {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        let key = self.key(&mut client).await?;
        let answer = self.send(&mut client, key.as_deref()).await?;
        self.print(&answer, key.as_deref())?;
        if answer.status >= 400 {
            return Err(Error::Status { action: self.action().into(), status: answer.status });
        }
        Ok(())
    }
}

impl Call {
    fn action(&self) -> String {
        format!("call {} {} of {}", self.method, self.path, self.service)
    }

    /// Key of the call: the given one, the one in the key file, or a new one. GET and HEAD calls without a key file
    /// need none.
    async fn key(&self, client: &mut Client) -> Result<Option<Box<str>>> {
        if self.key.is_some() {
            return Ok(self.key.clone());
        }
        if let Some(path) = &self.key_file {
            match fs::read_to_string(path) {
                Ok(text) => return Ok(Some(text.trim().into())),
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => return Err(error).context(error::ReadSnafu { path }),
            }
        } else if matches!(self.method, Method::GET | Method::HEAD) {
            return Ok(None);
        }
        let key = fetch_key(client).await?;
        if let Some(path) = &self.key_file {
            write_key(path, &key)?;
        }
        Ok(Some(key))
    }

    /// Sends the call and repeats it with the same key while the outcome is unknown.
    async fn send(&self, client: &mut Client, key: Option<&str>) -> Result<Answer> {
        let action = self.action();
        let path = format!("/v1/services/{}/{}", self.service, self.path.trim_start_matches('/'));
        let headers: Vec<(&'static str, &str)> =
            key.map(|key| ("idempotency-key", key)).into_iter().collect();
        let body = Bytes::copy_from_slice(self.body.as_bytes());
        let (mut outcome_unknown, mut refusal) = (false, None);
        let mut sent = 0;
        while sent < self.attempts.max(1) && !client.is_expired() {
            match client.send(self.method.clone(), &path, &headers, body.clone()).await {
                Err(Failure::Connect) => {}
                Err(Failure::Broken) => {
                    outcome_unknown = true;
                    sent += 1;
                }
                Ok(answer) => match ApiError::parse(&answer.body) {
                    None => return Ok(answer),
                    Some(error) if error.code == Code::OutcomeUnknown => {
                        outcome_unknown = true;
                        sent += 1;
                    }
                    // The host refused this attempt; the outcome of earlier attempts stays open.
                    Some(error) if matches!(error.code, Code::Draining | Code::NotReady) => {
                        refusal = Some(error);
                        sent += 1;
                    }
                    Some(error) => return Err(error.into_error(action)),
                },
            }
            client.next_host().await;
        }
        if !outcome_unknown {
            return Err(refusal.map_or_else(
                || client.unavailable(&action),
                |error| error.into_error(action.as_str()),
            ));
        }
        let hint = match key {
            Some(key) => format!("retry with --key {key}"),
            None => "the call was sent without a key".into(),
        };
        Err(Error::OutcomeUnknown { action: action.into(), hint: hint.into() })
    }

    fn print(&self, answer: &Answer, key: Option<&str>) -> Result<()> {
        let text = String::from_utf8_lossy(&answer.body);
        if !self.json {
            return print::line(&text);
        }
        let body = serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.into()));
        print::line(&json!({"status": answer.status, "key": key, "body": body}).to_string())
    }
}

/// Fetches a key from the first host that accepts work.
async fn fetch_key(client: &mut Client) -> Result<Box<str>> {
    let action = "fetch an idempotency key";
    let body = Bytes::from_static(br#"{"count": 1}"#);
    loop {
        if let Ok(answer) = client.send(Method::POST, "/v1/keys", &[], body.clone()).await {
            let error = ApiError::parse(&answer.body);
            let retryable =
                error.is_some_and(|error| matches!(error.code, Code::Draining | Code::NotReady));
            if !retryable || client.is_expired() {
                let mut keys: Keys = answer.json(action)?;
                return keys.keys.pop().ok_or_else(|| Error::InvalidAnswer {
                    action: action.into(),
                    message: "the host returned no key".into(),
                });
            }
        }
        client.next_host().await;
        if client.is_expired() {
            return Err(client.unavailable(action));
        }
    }
}

/// Persists a new key before its first use, so that a caller can repeat the call after a crash.
fn write_key(path: &Path, key: &str) -> Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path)
        .context(error::WriteSnafu { path })?;
    writeln!(file, "{key}").and_then(|()| file.sync_all()).context(error::WriteSnafu { path })
}
