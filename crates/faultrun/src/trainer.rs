//! A trainer that checks each batch.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use snafu::{OptionExt, ensure_whatever};

use crate::{Result, http::Request};

/// Staleness bound of the trainer in versions, as in the file.
const BOUND: u64 = 1;

/// State of a trainer and all that it has taken.
#[derive(Debug, Default)]
pub struct Trainer {
    pub version: u64,
    pub batches: usize,
    cursor: String,
    ids: BTreeSet<String>,
    prompts: BTreeSet<u64>,
}

impl Trainer {
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Pulls once; `false` if no batch came. A batch is checked and taken.
    pub fn pull(&mut self, entry: SocketAddr, wait: Duration) -> Result<bool> {
        let body = json!({"cursor": self.cursor, "version": self.version, "wait_ms": wait.as_millis() as u64});
        let request = Request::post(entry, "/v1/trainers/blurb/pull", &body);
        let answer = match request.timeout(wait + Duration::from_secs(5)).send() {
            Ok(answer) if answer.status == 200 && answer.whole => answer,
            _ => return Ok(false),
        };
        let batch = answer.json();
        // A batch that was checked against another version is thrown away, as the interface asks.
        if batch["version"] != self.version {
            return Ok(false);
        }
        self.take(&batch)?;
        Ok(true)
    }

    /// Pulls from the hosts in turn until a batch comes.
    pub fn pull_any(&mut self, entries: &[SocketAddr], within: Duration) -> Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < within {
            for entry in entries {
                if self.pull(*entry, Duration::from_secs(1))? {
                    return Ok(start.elapsed());
                }
            }
        }
        snafu::whatever!("no batch within {within:?} after {} batches", self.batches);
    }

    fn take(&mut self, batch: &Value) -> Result<()> {
        let groups = batch["groups"].as_array().whatever_context("batch has no groups")?;
        ensure_whatever!(groups.len() == 2, "batch of {} groups: {batch}", groups.len());
        for group in groups {
            let index = group["prompt_index"].as_u64().whatever_context("no prompt index")?;
            ensure_whatever!(self.prompts.insert(index), "prompt {index} came twice");
            let samples = group["samples"].as_array().whatever_context("no samples")?;
            ensure_whatever!(samples.len() == 2, "group of {} samples", samples.len());
            for sample in samples {
                let id = sample["id"].to_string();
                ensure_whatever!(self.ids.insert(id.clone()), "sample {id} came twice");
                let segments = sample["segments"].as_array().whatever_context("no segments")?;
                ensure_whatever!(!segments.is_empty(), "sample {id} names no version");
                for segment in segments {
                    let version =
                        segment["version"].as_u64().whatever_context("segment has no version")?;
                    let fits = version + BOUND >= self.version;
                    ensure_whatever!(
                        fits,
                        "sample {id} of version {version} at version {}",
                        self.version
                    );
                }
            }
        }
        self.cursor = batch["cursor"].as_str().whatever_context("no cursor")?.to_owned();
        self.batches += 1;
        Ok(())
    }
}
