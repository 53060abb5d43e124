//! Submission of jobs: a job is accepted once its head and body are in the store.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    config::Route,
    job::{self, Policy, Record},
    prelude::*,
    store::{Entry, Error, Outcome, Put, Txn},
    traffic::{Submission, peers, serve::Traffic},
    workspace::Caller,
};

/// The store's limit on the size of a value, divided by this, bounds each part of a body.
const PART_SIZE_DIVISOR: usize = 2;
/// Delay before a write that got no response or was refused is sent again.
const RETRY_BACKOFF: Duration = Duration::from_millis(60);
/// Time after which a submission is not retried any more.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Refused writes after which the caller is told to retry, which it can do at another host.
const REFUSALS_MAX: u32 = 2;

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is in the store.
    Accepted,
    /// The submission could not be decoded.
    Malformed,
    /// A job of another workspace has the id.
    Taken,
    /// The job is not in the store, and no write of this attempt can still put it there.
    NotRun,
    /// The job may be in the store.
    Unknown,
}

impl SubmitOutcome {
    /// Value of the outcome label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "success",
            Self::Malformed | Self::Taken => "refused",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Writes a job to the store. A job that is submitted repeatedly, or at several hosts, is written only once.
pub async fn submit(
    traffic: &Rc<Traffic>,
    (config, route): (u64, &Route),
    (id, host, path): (&str, &str, &str),
    caller: &Caller,
    body: Bytes,
) -> SubmitOutcome {
    // Without workspaces no header is a key, and all of them pass.
    let body = match caller {
        Caller::Any => Ok(body),
        Caller::Public | Caller::Member(_) => {
            let redacted = traffic.dialect.without_keys(&body);
            // The budget of bodies counts one of the two, and the store may take long.
            drop(body);
            redacted
        }
    };
    let decoded =
        body.and_then(|body| traffic.dialect.submission(id, &body).map(|spec| (spec, body)));
    let (spec, body) = match decoded {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(job = id, reason:% = error; "submission refused");
            return SubmitOutcome::Malformed;
        }
    };
    let Some(service) = route.service(id) else {
        return SubmitOutcome::NotRun;
    };
    let parts: Vec<Bytes> = split(&body, traffic.settings.value_bytes / PART_SIZE_DIVISOR);
    let record = Record {
        host: host.into(),
        path: path.into(),
        service: service.clone(),
        submitted_ms: clock::unix_ms(),
        total: spec.items.len(),
        parts: parts.len(),
        ended: false,
        policy: Some(Policy::new(config, route)),
        workspace: caller.workspace().map(|workspace| workspace.name.clone()),
    };
    let txn = transaction(id, &record, parts);
    let (outcome, revision) = write(traffic, (id, caller), &txn).await;
    info!(job = id, step = spec.step, items = spec.items.len(), min_version = spec.min_version, outcome:?; "job submitted");
    if let Some(revision) = revision {
        let submission = Submission { record, revision, spec: Arc::new(spec) };
        tokio::task::spawn_local(peers::announce(Rc::clone(traffic), submission, body));
    }
    outcome
}

fn split(body: &Bytes, size: usize) -> Vec<Bytes> {
    (0..body.len())
        .step_by(size.max(1))
        .map(|at| body.slice(at..body.len().min(at + size)))
        .collect()
}

fn transaction(id: &str, record: &Record, parts: Vec<Bytes>) -> Txn {
    let head = serde_json::to_vec(record).unwrap_or_default();
    let mut puts = vec![Put { key: job::head_key(id), value: head.into(), lease: None }];
    for (number, value) in parts.into_iter().enumerate() {
        puts.push(Put { key: job::body_key(id, number), value, lease: None });
    }
    Txn { expected: vec![(job::head_key(id), 0)], puts, removes: Vec::new() }
}

/// Whether the job that is in the store already is one that does not exist for the caller.
fn is_taken(id: &str, caller: &Caller, found: &[Entry]) -> bool {
    let head = found.iter().find(|entry| entry.key == job::head_key(id));
    let record = head.and_then(|head| serde_json::from_slice::<Record>(&head.value).ok());
    record.is_some_and(|record| !caller.sees(record.workspace.as_deref()))
}

/// Retries the write until its outcome is known or the time is up. All copies expect that the head does not exist, so
/// only one can take effect. Returns the revision if the write is known to have created the job.
async fn write(
    traffic: &Traffic,
    (id, caller): (&str, &Caller),
    txn: &Txn,
) -> (SubmitOutcome, Option<Revision>) {
    let (deadline, mut refusals, mut unknown) = (Instant::now() + SUBMIT_TIMEOUT, 0, false);
    loop {
        match traffic.store.commit(txn).await {
            Ok(Outcome::Committed(revision)) => return (SubmitOutcome::Accepted, Some(revision)),
            Ok(Outcome::Conflict(found)) if is_taken(id, caller, &found) => {
                warn!(job = id; "submission refused: a job of another workspace has its id");
                return (SubmitOutcome::Taken, None);
            }
            Ok(Outcome::Conflict(_)) => return (SubmitOutcome::Accepted, None),
            Ok(Outcome::NoLease) | Err(Error::Refused { .. }) => refusals += 1,
            Err(error) => {
                info!(job = id, reason:% = error; "store did not answer the write of a job");
                unknown = true;
            }
        }
        if !unknown && refusals >= REFUSALS_MAX {
            return (SubmitOutcome::NotRun, None);
        }
        if Instant::now() >= deadline {
            let outcome = if unknown { SubmitOutcome::Unknown } else { SubmitOutcome::NotRun };
            return (outcome, None);
        }
        sleep(RETRY_BACKOFF).await;
    }
}
