use std::{collections::BTreeSet, fs};

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time;

use super::{
    Apply, Client, Error, Failure, Result, Run,
    client::Fault,
    error,
    print::{self, Form},
};
use crate::prelude::*;

const WHAT: &str = "apply the file";
/// Time between two looks at the revisions of the hosts.
const WAIT_STEP: Duration = Duration::from_millis(200);

impl Run for Apply {
    async fn run(self) -> Result<()> {
        let file = fs::read(&self.file).context(error::ReadSnafu { path: &self.file })?;
        let mut client = Client::operator(&self.operator)?;
        let expected = match self.expected {
            Some(revision) => revision,
            None => in_force(&mut client).await?,
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
        wait(&mut client, revision, &zones(&file), self.json.into()).await
    }
}

/// Revision in force, 0 when there is none yet.
async fn in_force(client: &mut Client) -> Result<Revision> {
    let shown: Result<Value> =
        client.read("read the revision in force", Method::GET, "/v1/admin/config").await;
    match shown {
        Ok(shown) => Ok(shown["revision"].as_u64().unwrap_or(0)),
        Err(Error::Refused { code: Code::NotReady, .. }) => Ok(0),
        Err(error) => Err(error),
    }
}

/// Sends the same apply id until the outcome is known or the time is over.
async fn send(client: &mut Client, call: &Value, apply_id: &str) -> Result<Value> {
    let body = Bytes::from(call.to_string());
    // An earlier attempt without an answer may still take effect, so a later "not applied" does not speak for it.
    let mut unknown = false;
    let mut refusal: Option<Fault> = None;
    while !client.late() {
        match client.send(Method::POST, "/v1/admin/apply", &[], body.clone()).await {
            Err(Failure::Connect) => {}
            Err(Failure::Broken) => unknown = true,
            Ok(answer) => match Fault::read(&answer.body) {
                None => return answer.json(WHAT),
                Some(fault) => match fault.code {
                    Code::ApplyUnknown => unknown = true,
                    // The host has tried the store for as long as an apply may take, so this is final.
                    Code::StoreUnavailable if !unknown => return Err(fault.into_error(WHAT)),
                    Code::StoreUnavailable | Code::NotReady | Code::Draining => {
                        refusal = Some(fault);
                    }
                    _ => return Err(fault.into_error(WHAT)),
                },
            },
        }
        client.next_host().await;
    }
    if unknown {
        let hint =
            format!("repeat with --apply-id {apply_id} --expected {}", call["expected_revision"]);
        return Err(Error::Unknown { what: WHAT.into(), hint: hint.into() });
    }
    Err(refusal.map_or_else(|| client.unavailable(WHAT), |fault| fault.into_error(WHAT)))
}

/// Waits until every host has the revision.
async fn wait(
    client: &mut Client,
    revision: Revision,
    zones: &BTreeSet<Box<str>>,
    form: Form,
) -> Result<()> {
    let mut behind: Vec<Box<str>> = Vec::new();
    loop {
        let status: Result<Value> =
            client.read("read the status", Method::GET, "/v1/admin/status").await;
        match status {
            Ok(status) => {
                behind = lagging(&status, revision, zones);
                if behind.is_empty() {
                    return match form {
                        Form::Json => Ok(()),
                        Form::Text => print::line("in force on all hosts"),
                    };
                }
            }
            // What the last status named says more than that the next one did not come in time.
            Err(error) if behind.is_empty() => behind = vec![error.to_string().into()],
            Err(_) => {}
        }
        if client.late() {
            return Err(Error::Lagging { revision, lagging: behind });
        }
        time::sleep(WAIT_STEP).await;
    }
}

/// Zones that the file names.
fn zones(file: &[u8]) -> BTreeSet<Box<str>> {
    let file: Value = serde_json::from_slice(file).unwrap_or_default();
    let yards = file["yards"].as_object().into_iter().flatten();
    let zones = yards.flat_map(|(_, yard)| yard["zones"].as_array().into_iter().flatten());
    zones.filter_map(|zone| zone.as_str().map(Box::from)).collect()
}

/// What does not have the revision yet: hosts of the answering host's zone one by one, other zones as they describe
/// themselves. A zone of the file from which nothing was heard counts too, as its hosts are not known.
fn lagging(status: &Value, revision: Revision, zones: &BTreeSet<Box<str>>) -> Vec<Box<str>> {
    let behind = |found: &Value| found.as_u64().is_none_or(|found| found < revision);
    let own = status["hosts"].as_array().into_iter().flatten();
    let mut lagging: Vec<Box<str>> = own
        .filter(|host| {
            matches!(host["state"].as_str(), Some("live" | "suspect")) && behind(&host["revision"])
        })
        .map(|host| format!("host {} has revision {}", host["host"], host["revision"]).into())
        .collect();
    let heard = status["zones"].as_object();
    let silent =
        zones.iter().filter(|&name| heard.is_none_or(|zones| !zones.contains_key(&**name)));
    lagging.extend(silent.map(|name| format!("zone {name} was not heard from").into()));
    for (name, zone) in heard.into_iter().flatten() {
        let other = status["zone"] != name.as_str();
        if other && zone["hosts"] != 0 && behind(&zone["lowest_revision"]) {
            let (lowest, hosts) = (&zone["lowest_revision"], &zone["lagging"]);
            lagging.push(
                format!("zone {name} has revision {lowest} at the lowest, behind are {hosts}")
                    .into(),
            );
        }
    }
    lagging
}
