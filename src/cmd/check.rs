//! `check`: validates a declarative file without contacting a host.

use std::{fs, path::Path};

use serde_json::json;
use snafu::ResultExt;

use super::{Check, Error, Result, Run, error, print};
use crate::file;

impl Run for Check {
    async fn run(self) -> Result<()> {
        let body = fs::read(&self.file).context(error::ReadSnafu { path: &self.file })?;
        let checked = check(&self.file, &body);
        if self.json {
            let faults = match &checked {
                Err(Error::Invalid { faults, .. }) => faults.clone(),
                _ => Vec::new(),
            };
            print::line(&json!({"valid": checked.is_ok(), "faults": faults}).to_string())?;
        } else if checked.is_ok() {
            print::line("valid")?;
        }
        checked
    }
}

/// Validates a file with the same code as the hosts.
fn check(path: &Path, body: &[u8]) -> Result<()> {
    let checked = file::parse(body, 0);
    checked.map(|_| ()).map_err(|error| Error::Invalid {
        path: path.into(),
        code: error.code(),
        faults: error.faults(),
    })
}
