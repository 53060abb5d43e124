//! Client for a stand-in that runs as a child process.

#![allow(dead_code)] // Not every test binary uses every helper.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};
use volo_http::{body::BodyConversion, client::Client};

/// Running stand-in; its process is killed on drop.
pub struct Standin {
    child: Child,
    pub url: String,
    pub control: String,
}

impl Standin {
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lagoonyard-standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        let url = format!("http://{}", line["address"].as_str().unwrap());
        let control = line["control"]
            .as_str()
            .map_or_else(|| url.clone(), |address| format!("http://{address}"));
        Self { child, url, control }
    }

    /// Status and body of a POST, or `None` when the connection broke.
    pub async fn post(&self, path: &str, body: &Value) -> Option<(u16, Value)> {
        let client = Client::builder().build().unwrap();
        let url = if path.starts_with("/control") { &self.control } else { &self.url };
        let answer = client.post(format!("{url}{path}")).data(body.to_string());
        let answer = answer.send::<volo_http::body::Body>().await.ok()?;
        let status = answer.status().as_u16();
        let text = answer.into_string().await.ok()?;
        Some((status, serde_json::from_str(&text).unwrap_or(Value::String(text))))
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        let client = Client::builder().build().unwrap();
        let answer = client.get(format!("{}{path}", self.url));
        let answer = answer.send::<volo_http::body::Body>().await.unwrap();
        let status = answer.status().as_u16();
        let text = answer.into_string().await.unwrap();
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Whether the process exits within a second.
    pub async fn has_exited(&mut self) -> bool {
        for _ in 0..50 {
            if self.child.try_wait().unwrap().is_some() {
                return true;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        false
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

/// Transaction that writes `value` only if the key was last changed at `mod_revision`; "0" means that it does not
/// exist.
pub fn swap_body(key: &str, mod_revision: &str, value: &str) -> Value {
    json!({
        "compare": [{"key": b64(key), "target": "MOD", "result": "EQUAL", "mod_revision": mod_revision}],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}
