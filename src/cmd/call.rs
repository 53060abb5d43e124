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

use super::{Answer, Call, Client, Error, Failure, Result, Run, client::Fault, error, print};
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
            return Err(Error::Status { what: self.what().into(), status: answer.status });
        }
        Ok(())
    }
}

impl Call {
    fn what(&self) -> String {
        format!("call {} {} of {}", self.method, self.path, self.service)
    }

    /// Key of the call: as given, from the file, or a new one; reading calls need none.
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
        } else if matches!(&*self.method, "GET" | "HEAD") {
            return Ok(None);
        }
        let key = fetch_key(client).await?;
        if let Some(path) = &self.key_file {
            write_key(path, &key)?;
        }
        Ok(Some(key))
    }

    /// Sends the call, and sends it again with the same key while the outcome is unknown.
    async fn send(&self, client: &mut Client, key: Option<&str>) -> Result<Answer> {
        let what = self.what();
        let method = Method::from_bytes(self.method.as_bytes()).map_err(|_| Error::Answer {
            what: what.as_str().into(),
            message: "method is not valid".into(),
        })?;
        let path = format!("/v1/services/{}/{}", self.service, self.path.trim_start_matches('/'));
        let headers: Vec<(&'static str, &str)> =
            key.map(|key| ("idempotency-key", key)).into_iter().collect();
        let body = Bytes::copy_from_slice(self.body.as_bytes());
        let (mut unknown, mut refusal) = (false, None);
        let mut sent = 0;
        while sent < self.attempts.max(1) && !client.late() {
            match client.send(method.clone(), &path, &headers, body.clone()).await {
                Err(Failure::Connect) => {}
                Err(Failure::Broken) => {
                    unknown = true;
                    sent += 1;
                }
                Ok(answer) => match Fault::read(&answer.body) {
                    None => return Ok(answer),
                    Some(fault) if fault.code == Code::OutcomeUnknown => {
                        unknown = true;
                        sent += 1;
                    }
                    // Says only that this host takes no work; it speaks for no earlier attempt.
                    Some(fault) if matches!(fault.code, Code::Draining | Code::NotReady) => {
                        refusal = Some(fault);
                        sent += 1;
                    }
                    Some(fault) => return Err(fault.into_error(what)),
                },
            }
            client.next_host().await;
        }
        if !unknown {
            return Err(refusal.map_or_else(
                || client.unavailable(&what),
                |fault| fault.into_error(what.as_str()),
            ));
        }
        let hint = match key {
            Some(key) => format!("ask again with --key {key}"),
            None => "the call was sent without a key".into(),
        };
        Err(Error::Unknown { what: what.into(), hint: hint.into() })
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

/// Fetches one key from the first host that has one to give.
async fn fetch_key(client: &mut Client) -> Result<Box<str>> {
    let what = "fetch an idempotency key";
    let body = Bytes::from_static(br#"{"count": 1}"#);
    loop {
        if let Ok(answer) = client.send(Method::POST, "/v1/keys", &[], body.clone()).await {
            let fault = Fault::read(&answer.body);
            let elsewhere =
                fault.is_some_and(|fault| matches!(fault.code, Code::Draining | Code::NotReady));
            if !elsewhere || client.late() {
                let mut keys: Keys = answer.json(what)?;
                return keys.keys.pop().ok_or_else(|| Error::Answer {
                    what: what.into(),
                    message: "the host gave none".into(),
                });
            }
        }
        client.next_host().await;
        if client.late() {
            return Err(client.unavailable(what));
        }
    }
}

/// Writes a new key durably before its first use, so that a caller that crashes can ask again.
fn write_key(path: &Path, key: &str) -> Result<()> {
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path)
        .context(error::WriteSnafu { path })?;
    writeln!(file, "{key}").and_then(|()| file.sync_all()).context(error::WriteSnafu { path })
}
