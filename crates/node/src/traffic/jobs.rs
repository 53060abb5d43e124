//! Requests of trainers about existing jobs: results, bodies of items and the end of a job.
//!
//! Any host serves them: it asks the leader, which has its jobs in memory, and without an answer reads the job from the
//! store.

use std::{rc::Rc, sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use log::info;
use snafu::Snafu;

use crate::{
    job::{self, Chunk, Record, Spec},
    prelude::*,
    store::{self, Change, Outcome, Put, Txn, WatchResponse},
    traffic::{
        absence::Absence,
        cache::{self, Owner},
        peers::{self, Answer},
        serve::Traffic,
    },
    workspace::Caller,
};

/// Attempts to mark a job as ended while others change its head.
const END_ATTEMPTS_MAX: u32 = 8;

/// Why a request about a job failed.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not find the {absence}"))]
    NotFound { absence: Absence },
    #[snafu(display("could not access the job: {source}"), context(false))]
    Store { source: store::Error },
    #[snafu(display("could not decode the job: {reason}"))]
    Malformed { reason: Box<str> },
    #[snafu(display("could not read the job: {key} is missing"))]
    Incomplete { key: Box<str> },
    #[snafu(display("could not mark the job as ended: its head changed in {attempts} attempts"))]
    Conflict { attempts: u32 },
}

impl From<Absence> for Error {
    fn from(absence: Absence) -> Self {
        Self::NotFound { absence }
    }
}

/// Returns the results of a job from position `after` on, encoded as the body of a response. If there are none yet,
/// waits up to `wait` for new ones. The leader answers for its jobs; without one the results are read from the store.
pub async fn results(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
    after: u64,
    wait: Duration,
) -> Result<Bytes, Error> {
    let begun = Instant::now();
    if let Some(answer) = peers::results(traffic, (id, caller), after, wait).await {
        return served(answer);
    }
    let job = load(traffic, (id, caller)).await?;
    let end = job.borrow().end();
    if end <= after {
        refresh(traffic, (id, &job), after, wait.saturating_sub(begun.elapsed())).await?;
    }
    page(traffic, (id, &job), after).await
}

/// Results of a cached job from a position on. Those that were evicted are read again.
pub(super) async fn page(
    traffic: &Traffic,
    (id, job): (&str, &cache::Handle),
    after: u64,
) -> Result<Bytes, Error> {
    let evicted = job.borrow().evicted_chunk(after);
    if let Some(number) = evicted {
        let chunk = read_chunk(traffic, id, number).await?;
        job.borrow_mut().restore(number, chunk);
    }
    let page = job.borrow_mut().page(traffic.dialect.as_ref(), after);
    traffic.cache.evict();
    Ok(page)
}

async fn read_chunk(traffic: &Traffic, id: &str, number: u64) -> Result<Chunk, Error> {
    let key = job::chunk_key(id, number);
    let (entry, _) = traffic.store.get(&key).await?;
    let entry = entry.ok_or(Error::Incomplete { key })?;
    serde_json::from_slice(&entry.value).map_err(malformed)
}

fn malformed(error: impl ToString) -> Error {
    Error::Malformed { reason: error.to_string().into() }
}

/// Body of a leader's answer.
fn served(answer: Answer) -> Result<Bytes, Error> {
    match answer {
        Answer::Served(body) => Ok(body),
        Answer::Hidden => Err(Absence::hidden().into()),
    }
}

/// Cached job, read from the store if it is not cached. Fails if the job does not exist for the caller.
async fn load(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
) -> Result<cache::Handle, Error> {
    let Some(job) = traffic.cache.get(id) else {
        return read(traffic, (id, caller)).await;
    };
    let is_visible = job.borrow().is_visible(caller);
    match is_visible {
        Some(true) => {}
        Some(false) => return Err(Absence::hidden().into()),
        None => {
            // The job was cached before there were workspaces.
            let workspace = record(traffic, id).await?.0.workspace;
            let is_visible = Absence::check_visible(caller, workspace.as_deref());
            job.borrow_mut().owner = Owner::Known(workspace);
            is_visible?;
        }
    }
    Ok(job)
}

/// Reads the results of a job into the cache, and its head if needed. Fails if the job does not exist for the caller.
async fn read(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
) -> Result<cache::Handle, Error> {
    let (entries, revision) =
        store::read_all(traffic.store.as_ref(), &job::chunks_prefix(id)).await?;
    // Each chunk states the number of items and the workspace, so the head of a job with results is not read. Only a chunk of
    // an earlier build does not tell the workspace.
    let first =
        entries.first().and_then(|entry| serde_json::from_slice::<Chunk>(&entry.value).ok());
    let (total, owner) = match first {
        Some(Chunk { total, workspace: Some(workspace), .. }) => {
            (total, Owner::Known(Some(workspace)))
        }
        Some(Chunk { total, .. }) if *caller == Caller::Any => (total, Owner::NotRead),
        _ => {
            let record = record(traffic, id).await?.0;
            (record.total, Owner::Known(record.workspace))
        }
    };
    if let Owner::Known(workspace) = &owner {
        Absence::check_visible(caller, workspace.as_deref())?;
    }
    let mut cached = cache::Job::new(total, owner, revision);
    for entry in entries {
        cached.add_encoded(&entry.value);
    }
    Ok(traffic.cache.insert(id, cached))
}

/// Waits for the result at a position. If the watch does not deliver it, the chunks are read all the same, as a watch
/// may miss changes.
async fn refresh(
    traffic: &Traffic,
    (id, job): (&str, &cache::Handle),
    position: u64,
    wait: Duration,
) -> Result<(), Error> {
    let (revision, is_complete) = {
        let job = job.borrow();
        (job.revision, job.is_complete())
    };
    if is_complete {
        return Ok(());
    }
    if !wait.is_zero()
        && let WatchResponse::Changes { changes, revision } =
            traffic.store.watch(&job::chunks_prefix(id), revision, wait).await?
    {
        let entries = changes.into_iter().filter_map(|change| match change {
            Change::Put(entry) => Some(entry),
            Change::Removed { .. } => None,
        });
        if add_chunks(job, entries, revision) > position {
            return Ok(());
        }
    }
    read_rest(traffic, (id, job)).await
}

/// Reads the chunks after the known ones.
async fn read_rest(traffic: &Traffic, (id, job): (&str, &cache::Handle)) -> Result<(), Error> {
    let count = job.borrow().chunk_count();
    let last = count.checked_sub(1).map(|last| job::chunk_key(id, last as u64));
    let store = traffic.store.as_ref();
    let (entries, revision) =
        store::read_after(store, &job::chunks_prefix(id), last.as_deref()).await?;
    add_chunks(job, entries, revision);
    Ok(())
}

/// Adds chunks to a cached job. Returns the position after its last result.
fn add_chunks(
    job: &cache::Handle,
    entries: impl IntoIterator<Item = store::Entry>,
    revision: Revision,
) -> u64 {
    let mut job = job.borrow_mut();
    for entry in entries {
        job.add_encoded(&entry.value);
    }
    job.revision = job.revision.max(revision);
    job.end()
}

async fn record(traffic: &Traffic, id: &str) -> Result<(Record, Revision), Error> {
    let (entry, _) = traffic.store.get(&job::head_key(id)).await?;
    let entry = Absence::check_head(entry)?;
    let record = serde_json::from_slice(&entry.value).map_err(malformed)?;
    Ok((record, entry.revision))
}

/// Returns the request body of an item.
pub async fn body(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
    item: &str,
) -> Result<Bytes, Error> {
    if let Some(answer) = peers::body(traffic, (id, caller), item).await {
        return served(answer);
    }
    let job = load(traffic, (id, caller)).await?;
    let spec = spec(traffic, (id, &job)).await?;
    Ok(Absence::check_item(&spec, item)?.body.clone())
}

/// Submission of a cached job, read again if it was evicted.
async fn spec(traffic: &Traffic, (id, job): (&str, &cache::Handle)) -> Result<Arc<Spec>, Error> {
    let cached = job.borrow_mut().use_spec();
    if let Some(spec) = cached {
        return Ok(spec);
    }
    let record = record(traffic, id).await?.0;
    let spec = Arc::new(read_spec(traffic.store.as_ref(), &traffic.dialect, id, &record).await?);
    job.borrow_mut().set_spec(&spec);
    traffic.cache.evict();
    Ok(spec)
}

/// Reads and decodes the submission of a job.
pub async fn read_spec(
    store: &dyn store::Store,
    dialect: &crate::dialect::Handle,
    id: &str,
    record: &Record,
) -> Result<Spec, Error> {
    let mut body = BytesMut::new();
    for part in 0..record.parts {
        let key = job::body_key(id, part);
        let (entry, _) = store.get(&key).await?;
        body.extend_from_slice(&entry.ok_or(Error::Incomplete { key })?.value);
    }
    dialect.submission(id, &body).map_err(malformed)
}

/// Marks a job as ended; has no effect if it is already.
pub async fn end(traffic: &Rc<Traffic>, (id, caller): (&str, &Caller)) -> Result<(), Error> {
    if let Some(answer) = peers::end(traffic, (id, caller)).await {
        return served(answer).map(|_| ());
    }
    let mut last_error = None;
    for _ in 0..END_ATTEMPTS_MAX {
        match try_end(traffic, (id, caller)).await {
            Ok(true) => {
                info!(job = id; "job ended by its trainer");
                return Ok(());
            }
            Ok(false) => {}
            Err(error @ Error::NotFound { .. }) => return Err(error),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or(Error::Conflict { attempts: END_ATTEMPTS_MAX }))
}

/// Returns whether the job is marked as ended; `false` if its head changed meanwhile.
async fn try_end(traffic: &Traffic, (id, caller): (&str, &Caller)) -> Result<bool, Error> {
    let (record, revision) = record(traffic, id).await?;
    Absence::check_visible(caller, record.workspace.as_deref())?;
    if record.ended {
        return Ok(true);
    }
    let value = serde_json::to_vec(&Record { ended: true, ..record }).unwrap_or_default();
    let put = Put { key: job::head_key(id), value: value.into(), lease: None };
    let txn =
        Txn { expected: vec![(job::head_key(id), revision)], puts: vec![put], removes: vec![] };
    Ok(matches!(traffic.store.commit(&txn).await?, Outcome::Committed(_)))
}
