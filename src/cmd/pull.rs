use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

use http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;

use super::{Client, Pull, Result, Run, client::Fault, error, print};
use crate::{code::Kind, prelude::*};

const WHAT: &str = "pull a batch";

impl Run for Pull {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        for _ in 0..self.batches {
            let cursor = read(&self.cursor_file)?;
            let batch = self.batch(&mut client, &cursor).await?;
            self.print(&batch)?;
            // The cursor moves only after the batch was handed on. A trainer stores both in one step.
            let next = batch["cursor"].as_str().unwrap_or_default();
            write(&self.cursor_file, next)
                .context(error::WriteSnafu { path: &self.cursor_file })?;
        }
        Ok(())
    }
}

impl Pull {
    /// Repeats the cursor until a whole answer has come that was judged by the trainer's present version.
    async fn batch(&self, client: &mut Client, cursor: &str) -> Result<Value> {
        let path = format!("/v1/trainers/{}/pull", self.trainer);
        let mut last = None;
        while !client.late() {
            let version = self.version()?;
            let call = json!({"cursor": cursor, "version": version, "wait_ms": self.wait_ms});
            if let Ok(answer) = client.send(Method::POST, &path, &[], call.to_string().into()).await
            {
                match Fault::read(&answer.body) {
                    Some(fault) if fault.code.kind() == Kind::Refused => {
                        return Err(fault.into_error(WHAT));
                    }
                    Some(fault) => last = Some(fault),
                    None => {
                        let batch: Value = answer.json(WHAT)?;
                        if batch["version"].as_u64() >= Some(self.version()?) {
                            return Ok(batch);
                        }
                    }
                }
            }
            client.next_host().await;
        }
        Err(last.map_or_else(|| client.unavailable(WHAT), |fault| fault.into_error(WHAT)))
    }

    fn version(&self) -> Result<Version> {
        let Some(path) = &self.version_file else {
            return Ok(self.version.unwrap_or(0));
        };
        read(path)?
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

/// Versions that produced a sample, in their order.
fn versions(sample: &Value) -> String {
    let segments = sample["segments"].as_array().into_iter().flatten();
    let versions: Vec<String> = segments.map(|segment| segment["version"].to_string()).collect();
    versions.join("+")
}

/// Text of a file, empty when there is none.
fn read(path: &Path) -> Result<String> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().into()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(String::new()),
        Err(error) => Err(error).context(error::ReadSnafu { path }),
    }
}

/// Replaces a file whole, so that a crash leaves the old or the new cursor.
fn write(path: &Path, cursor: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    writeln!(file, "{cursor}")?;
    file.sync_all()?;
    fs::rename(new, path)
}
