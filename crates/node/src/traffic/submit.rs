//! Submission of a job: it is accepted once its head and body are in the store.

use std::rc::Rc;

use bytes::Bytes;
use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    config::Route,
    job::{self, Record},
    prelude::*,
    store::{Error, Outcome, Put, Txn},
    traffic::serve::Traffic,
};

/// Part of the largest value of the store that one part of a body takes, as a divisor.
const PART_DIVISOR: usize = 2;
/// Pause before a write without an answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which a submission is tried.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Refused writes after which the caller is sent to another host.
const REFUSALS_MAX: u32 = 2;

/// How a submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The store has the job.
    Accepted,
    /// The submission is no job.
    Malformed,
    /// The store has nothing of it and never will from this attempt.
    NotRun,
    /// The store may have it.
    Unknown,
}

impl Submitted {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "success",
            Self::Malformed => "refused",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Accepts a job once, however often and at however many hosts it is submitted.
pub async fn submit(
    traffic: &Rc<Traffic>,
    route: &Route,
    (id, host, path): (&str, &str, &str),
    body: Bytes,
) -> Submitted {
    let spec = match traffic.dialect.submission(id, &body) {
        Ok(spec) => spec,
        Err(error) => {
            warn!(job = id, reason:% = error; "submission refused");
            return Submitted::Malformed;
        }
    };
    let Some(service) = route.service(id) else {
        return Submitted::NotRun;
    };
    let parts: Vec<Bytes> = split(&body, traffic.settings.value_bytes / PART_DIVISOR);
    let record = Record {
        host: host.into(),
        path: path.into(),
        service: service.clone(),
        submitted_ms: clock::unix_ms(),
        total: spec.items.len(),
        parts: parts.len(),
        ended: false,
    };
    let txn = transaction(id, &record, parts);
    let submitted = write(traffic, id, &txn).await;
    info!(job = id, step = spec.step, items = spec.items.len(), min_version = spec.min_version, outcome:? = submitted; "job submitted");
    submitted
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

/// Writes until the outcome is known. A write that may have been lost is sent again under the same condition, so only
/// one copy can take effect.
async fn write(traffic: &Traffic, id: &str, txn: &Txn) -> Submitted {
    let (end, mut refusals, mut unknown) = (Instant::now() + SUBMIT_TIMEOUT, 0, false);
    loop {
        match traffic.store.commit(txn).await {
            Ok(Outcome::Committed(_) | Outcome::Conflict(_)) => return Submitted::Accepted,
            Ok(Outcome::NoLease) | Err(Error::Refused { .. }) => refusals += 1,
            Err(error) => {
                info!(job = id, reason:% = error; "submission has no answer from the store");
                unknown = true;
            }
        }
        if !unknown && refusals >= REFUSALS_MAX {
            return Submitted::NotRun;
        }
        if Instant::now() >= end {
            return if unknown { Submitted::Unknown } else { Submitted::NotRun };
        }
        sleep(RETRY_PAUSE).await;
    }
}
