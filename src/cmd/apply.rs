//! `apply`: submits a declarative file and, on request, waits until all hosts have its revision.
//!
//! Retries use the same apply id, so that an apply whose answer was lost takes effect at most once.

use std::{collections::BTreeSet, fs};

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time;

use super::{
    Apply, Client, Error, Failure, Result, Run,
    client::ApiError,
    error,
    print::{self, Format},
};
use crate::prelude::*;

const ACTION: &str = "apply the file";
/// Interval at which the status is polled until all hosts have the revision.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

impl Run for Apply {
    async fn run(self) -> Result<()> {
        let file = fs::read(&self.file).context(error::ReadSnafu { path: &self.file })?;
        let mut client = Client::operator(&self.operator)?;
        let expected = match self.expected {
            Some(revision) => revision,
            None => active_revision(&mut client).await?,
        };
        let apply_id = self
            .apply_id
            .clone()
            .unwrap_or_else(|| format!("apply-{:016x}", rand::random::<u64>()).into());
        let call = json!({
            "apply_id": apply_id,
            "expected_revision": expected,
            "dry_run": self.dry_run,
            "file": String::from_utf8_lossy(&file),
        });
        let applied = send(&mut client, &call, &apply_id).await?;
        print::value(&applied, self.json.into())?;
        let Some(revision) = applied["revision"].as_u64().filter(|_| self.wait && !self.dry_run)
        else {
            return Ok(());
        };
        wait_for_hosts(&mut client, revision, &zones(&file), self.json.into()).await
    }
}

/// Revision in force, or 0 if there is none yet.
async fn active_revision(client: &mut Client) -> Result<Revision> {
    let config: Result<Value> =
        client.read_json("read the revision in force", Method::GET, "/v1/admin/config").await;
    match config {
        Ok(config) => Ok(config["revision"].as_u64().unwrap_or(0)),
        Err(Error::Refused { code: Code::NotReady, .. }) => Ok(0),
        Err(error) => Err(error),
    }
}

/// Sends the apply under the same id until the outcome is known or the deadline has passed.
async fn send(client: &mut Client, call: &Value, apply_id: &str) -> Result<Value> {
    let body = Bytes::from(call.to_string());
    // An earlier attempt without an answer may still take effect, so a later "not applied" does not settle its outcome.
    let mut outcome_unknown = false;
    let mut refusal: Option<ApiError> = None;
    while !client.is_expired() {
        match client.send(Method::POST, "/v1/admin/apply", &[], body.clone()).await {
            Err(Failure::Connect) => {}
            Err(Failure::Broken) => outcome_unknown = true,
            Ok(answer) => match ApiError::parse(&answer.body) {
                None => return answer.json(ACTION),
                Some(error) => match error.code {
                    Code::ApplyUnknown => outcome_unknown = true,
                    // The host has already retried the store for the maximum time of an apply, so this is final.
                    Code::StoreUnavailable if !outcome_unknown => {
                        return Err(error.into_error(ACTION));
                    }
                    Code::StoreUnavailable | Code::NotReady | Code::Draining => {
                        refusal = Some(error);
                    }
                    _ => return Err(error.into_error(ACTION)),
                },
            },
        }
        client.next_host().await;
    }
    if outcome_unknown {
        let hint =
            format!("repeat with --apply-id {apply_id} --expected {}", call["expected_revision"]);
        return Err(Error::OutcomeUnknown { action: ACTION.into(), hint: hint.into() });
    }
    Err(refusal.map_or_else(|| client.unavailable(ACTION), |error| error.into_error(ACTION)))
}

/// Waits until all hosts have the revision.
async fn wait_for_hosts(
    client: &mut Client,
    revision: Revision,
    zones: &BTreeSet<Box<str>>,
    format: Format,
) -> Result<()> {
    let mut behind: Vec<Box<str>> = Vec::new();
    loop {
        let status: Result<Value> =
            client.read_json("read the status", Method::GET, "/v1/admin/status").await;
        match status {
            Ok(status) => {
                behind = lagging(&status, revision, zones);
                if behind.is_empty() {
                    return match format {
                        Format::Json => Ok(()),
                        Format::Text => print::line("in force on all hosts"),
                    };
                }
            }
            // The hosts named by the last status are more useful than the error of the next request.
            Err(error) if behind.is_empty() => behind = vec![error.to_string().into()],
            Err(_) => {}
        }
        if client.is_expired() {
            return Err(Error::Lagging { revision, lagging: behind });
        }
        time::sleep(STATUS_INTERVAL).await;
    }
}

/// Zones listed in the file.
fn zones(file: &[u8]) -> BTreeSet<Box<str>> {
    let file: Value = serde_json::from_slice(file).unwrap_or_default();
    let yards = file["yards"].as_object().into_iter().flatten();
    let zones = yards.flat_map(|(_, yard)| yard["zones"].as_array().into_iter().flatten());
    zones.filter_map(|zone| zone.as_str().map(Box::from)).collect()
}

/// Describes what lacks the revision: each host of the answering host's zone, and each other zone by its summary. A
/// zone of the file without a summary is included, as its hosts are unknown.
fn lagging(status: &Value, revision: Revision, zones: &BTreeSet<Box<str>>) -> Vec<Box<str>> {
    let behind = |found: &Value| found.as_u64().is_none_or(|found| found < revision);
    let own = status["hosts"].as_array().into_iter().flatten();
    let mut lagging: Vec<Box<str>> = own
        .filter(|host| {
            matches!(host["state"].as_str(), Some("live" | "suspect")) && behind(&host["revision"])
        })
        .map(|host| format!("host {} has revision {}", host["host"], host["revision"]).into())
        .collect();
    let summaries = status["zones"].as_object();
    let missing =
        zones.iter().filter(|&name| summaries.is_none_or(|zones| !zones.contains_key(&**name)));
    lagging.extend(missing.map(|name| format!("zone {name} has sent no summary").into()));
    for (name, zone) in summaries.into_iter().flatten() {
        let other = status["zone"] != name.as_str();
        if other && zone["hosts"] != 0 && behind(&zone["lowest_revision"]) {
            let (lowest, hosts) = (&zone["lowest_revision"], &zone["lagging"]);
            lagging.push(
                format!("zone {name} has lowest revision {lowest}, lagging hosts: {hosts}").into(),
            );
        }
    }
    lagging
}
