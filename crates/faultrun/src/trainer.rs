//! Trainer that pulls batches and checks each one: no sample or prompt twice, and none beyond the staleness bound.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use snafu::{OptionExt, ensure_whatever};

use crate::{Result, http::Request};

/// Must equal `staleness_versions` in the configuration of the cluster.
const STALENESS_VERSIONS: u64 = 1;

/// State of a trainer, with the ids and prompts of all samples that it has accepted.
#[derive(Debug, Default)]
pub struct Trainer {
    pub version: u64,
    pub batches: usize,
    cursor: String,
    sample_ids: BTreeSet<String>,
    prompts: BTreeSet<u64>,
}

impl Trainer {
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Pulls once, checks the batch and accepts it. Returns `false` if none was received.
    pub fn pull(&mut self, entry: SocketAddr, wait: Duration) -> Result<bool> {
        let body = json!({"cursor": self.cursor, "version": self.version, "wait_ms": wait.as_millis() as u64});
        let request = Request::post(entry, "/v1/trainers/blurb/pull", &body);
        let response = match request.timeout(wait + Duration::from_secs(5)).send() {
            Ok(response) if response.status == 200 && response.complete => response,
            _ => return Ok(false),
        };
        let batch = response.json();
        // Staleness was checked against another version; the interface requires trainers to discard such a batch.
        if batch["version"] != self.version {
            return Ok(false);
        }
        self.accept(&batch)?;
        Ok(true)
    }

    /// Pulls from the hosts in turn until a batch is received, and returns the time this took.
    pub fn pull_from_any(&mut self, entries: &[SocketAddr], within: Duration) -> Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < within {
            for entry in entries {
                if self.pull(*entry, Duration::from_secs(1))? {
                    return Ok(start.elapsed());
                }
            }
        }
        snafu::whatever!("no batch received within {within:?} after {} batches", self.batches);
    }

    fn accept(&mut self, batch: &Value) -> Result<()> {
        let groups =
            batch["groups"].as_array().whatever_context("could not find groups in the batch")?;
        ensure_whatever!(
            groups.len() == 2,
            "expected 2 groups in a batch, got {}: {batch}",
            groups.len()
        );
        for group in groups {
            let index = group["prompt_index"]
                .as_u64()
                .whatever_context("could not find the prompt index of a group")?;
            ensure_whatever!(self.prompts.insert(index), "prompt {index} was delivered twice");
            let samples = group["samples"]
                .as_array()
                .whatever_context("could not find the samples of a group")?;
            ensure_whatever!(
                samples.len() == 2,
                "expected 2 samples in a group, got {}",
                samples.len()
            );
            for sample in samples {
                let id = sample["id"].to_string();
                ensure_whatever!(
                    self.sample_ids.insert(id.clone()),
                    "sample {id} was delivered twice"
                );
                let segments = sample["segments"]
                    .as_array()
                    .whatever_context("could not find the segments of a sample")?;
                ensure_whatever!(!segments.is_empty(), "sample {id} has no segments");
                for segment in segments {
                    let version = segment["version"]
                        .as_u64()
                        .whatever_context("could not find the version of a segment")?;
                    let within_bound = version + STALENESS_VERSIONS >= self.version;
                    ensure_whatever!(
                        within_bound,
                        "sample {id} of version {version} is too old for trainer version {}",
                        self.version
                    );
                }
            }
        }
        self.cursor = batch["cursor"]
            .as_str()
            .whatever_context("could not find the cursor in the batch")?
            .to_owned();
        self.batches += 1;
        Ok(())
    }
}
