//! `pull`: pulls batches of samples and keeps the cursor in a file.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

use http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;

use super::{Client, Pull, Result, Run, client::ApiError, error, print};
use crate::{code::Kind, prelude::*};

const ACTION: &str = "pull a batch";

impl Run for Pull {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        for _ in 0..self.batches {
            let cursor = read_text(&self.cursor_file)?;
            let batch = self.batch(&mut client, &cursor).await?;
            self.print(&batch)?;
            // The cursor is written only after the batch was printed. A trainer stores both in one step.
            let next = batch["cursor"].as_str().unwrap_or_default();
            write_cursor(&self.cursor_file, next)
                .context(error::WriteSnafu { path: &self.cursor_file })?;
        }
        Ok(())
    }
}

impl Pull {
    /// Pulls with the same cursor until a complete batch arrives that is valid for the trainer's current version.
    async fn batch(&self, client: &mut Client, cursor: &str) -> Result<Value> {
        let path = format!("/v1/trainers/{}/pull", self.trainer);
        let mut last_error = None;
        while !client.is_expired() {
            let version = self.version()?;
            let call = json!({"cursor": cursor, "version": version, "wait_ms": self.wait_ms});
            if let Ok(answer) = client.send(Method::POST, &path, &[], call.to_string().into()).await
            {
                match ApiError::parse(&answer.body) {
                    Some(error) if error.code.kind() == Kind::Refused => {
                        return Err(error.into_error(ACTION));
                    }
                    Some(error) => last_error = Some(error),
                    None => {
                        let batch: Value = answer.json(ACTION)?;
                        if batch["version"].as_u64() >= Some(self.version()?) {
                            return Ok(batch);
                        }
                    }
                }
            }
            client.next_host().await;
        }
        Err(last_error.map_or_else(|| client.unavailable(ACTION), |error| error.into_error(ACTION)))
    }

    fn version(&self) -> Result<Version> {
        let Some(path) = &self.version_file else {
            return Ok(self.version.unwrap_or(0));
        };
        read_text(path)?
            .parse()
            .map_err(|_| io::ErrorKind::InvalidData.into())
            .context(error::ReadSnafu { path })
    }

    fn print(&self, batch: &Value) -> Result<()> {
        if self.json {
            return print::line(&batch.to_string());
        }
        for group in batch["groups"].as_array().into_iter().flatten() {
            let samples = group["samples"].as_array().map_or(&[][..], Vec::as_slice);
            let versions: Vec<String> = samples.iter().map(versions).collect();
            print::line(&format!(
                "prompt {}: {} samples, versions {}",
                group["prompt_index"],
                samples.len(),
                versions.join(" ")
            ))?;
        }
        Ok(())
    }
}

/// Weight versions of the segments of a sample, in order.
fn versions(sample: &Value) -> String {
    let segments = sample["segments"].as_array().into_iter().flatten();
    let versions: Vec<String> = segments.map(|segment| segment["version"].to_string()).collect();
    versions.join("+")
}

/// Reads a file; empty if the file does not exist.
fn read_text(path: &Path) -> Result<String> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().into()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(String::new()),
        Err(error) => Err(error).context(error::ReadSnafu { path }),
    }
}

/// Replaces the file atomically, so that a crash leaves either the old or the new cursor.
fn write_cursor(path: &Path, cursor: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    writeln!(file, "{cursor}")?;
    file.sync_all()?;
    fs::rename(new, path)
}
