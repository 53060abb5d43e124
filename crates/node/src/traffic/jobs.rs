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
        cache::{CachedJob, Owner},
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
    #[snafu(display("could not find the job or item"))]
    NotFound,
    #[snafu(display("could not access the job: {source}"), context(false))]
    Store { source: store::Error },
    #[snafu(display("could not decode the job: {reason}"))]
    Malformed { reason: Box<str> },
    #[snafu(display("could not mark the job as ended: its head changed in {attempts} attempts"))]
    Conflict { attempts: u32 },
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
    load(traffic, (id, caller)).await?;
    if traffic.cache.get(id).is_none_or(|job| job.end() <= after) {
        refresh(traffic, id, after, wait.saturating_sub(begun.elapsed())).await?;
    }
    let job = traffic.cache.get(id).ok_or(Error::NotFound)?;
    Ok(job.page(traffic.dialect.as_ref(), after))
}

/// Body of a leader's answer.
fn served(answer: Answer) -> Result<Bytes, Error> {
    match answer {
        Answer::Served(body) => Ok(body),
        Answer::Hidden => Err(Error::NotFound),
    }
}

/// Fails if a job of a workspace does not exist for a caller.
fn check_visible(caller: &Caller, workspace: Option<&str>) -> Result<(), Error> {
    if caller.sees(workspace) { Ok(()) } else { Err(Error::NotFound) }
}

/// Reads the results of a job into the cache, and its head if needed, unless the job is cached. Fails if the job does not
/// exist for the caller.
async fn load(traffic: &Rc<Traffic>, (id, caller): (&str, &Caller)) -> Result<(), Error> {
    let is_visible = traffic.cache.get_mut(id).map(|mut job| {
        job.last_used = Instant::now();
        job.is_visible(caller)
    });
    match is_visible {
        Some(Some(true)) => return Ok(()),
        Some(Some(false)) => return Err(Error::NotFound),
        Some(None) => {
            // The job was cached before there were workspaces.
            let workspace = record(traffic, id).await?.0.workspace;
            let is_visible = check_visible(caller, workspace.as_deref());
            if let Some(mut job) = traffic.cache.get_mut(id) {
                job.owner = Owner::Known(workspace);
            }
            return is_visible;
        }
        None => {}
    }
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
    let mut cached = CachedJob::new(total, owner, revision);
    if cached.is_visible(caller) == Some(false) {
        return Err(Error::NotFound);
    }
    for entry in entries {
        cached.add_encoded(&entry.value);
    }
    traffic.cache.insert(id, cached);
    Ok(())
}

/// Waits for the result at a position. If the watch does not deliver it, the chunks are read all the same, as a watch
/// may miss changes.
async fn refresh(
    traffic: &Rc<Traffic>,
    id: &str,
    position: u64,
    wait: Duration,
) -> Result<(), Error> {
    let prefix = job::chunks_prefix(id);
    let (revision, complete) = match traffic.cache.get(id) {
        Some(job) => (job.revision, job.is_complete()),
        None => return Ok(()),
    };
    if complete {
        return Ok(());
    }
    if !wait.is_zero()
        && let WatchResponse::Changes { changes, revision } =
            traffic.store.watch(&prefix, revision, wait).await?
    {
        let entries = changes.into_iter().filter_map(|change| match change {
            Change::Put(entry) => Some(entry),
            Change::Removed { .. } => None,
        });
        if add_chunks(traffic, id, entries, revision) > position {
            return Ok(());
        }
    }
    read_rest(traffic, id).await
}

/// Reads the chunks after the cached ones.
async fn read_rest(traffic: &Rc<Traffic>, id: &str) -> Result<(), Error> {
    let last = match traffic.cache.get(id) {
        Some(job) => job.chunk_count().checked_sub(1).map(|last| job::chunk_key(id, last as u64)),
        None => return Ok(()),
    };
    let store = traffic.store.as_ref();
    let (entries, revision) =
        store::read_after(store, &job::chunks_prefix(id), last.as_deref()).await?;
    add_chunks(traffic, id, entries, revision);
    Ok(())
}

/// Adds chunks to a cached job. Returns the position after its last result.
fn add_chunks(
    traffic: &Traffic,
    id: &str,
    entries: impl IntoIterator<Item = store::Entry>,
    revision: Revision,
) -> u64 {
    let Some(mut job) = traffic.cache.get_mut(id) else {
        return 0;
    };
    for entry in entries {
        job.add_encoded(&entry.value);
    }
    job.revision = job.revision.max(revision);
    job.end()
}

async fn record(traffic: &Traffic, id: &str) -> Result<(Record, Revision), Error> {
    let (entry, _) = traffic.store.get(&job::head_key(id)).await?;
    let entry = entry.ok_or(Error::NotFound)?;
    let record = serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Malformed { reason: error.to_string().into() })?;
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
    load(traffic, (id, caller)).await?;
    let cached = traffic.cache.get(id).and_then(|job| job.spec.clone());
    let spec = match cached {
        Some(spec) => spec,
        None => {
            let record = record(traffic, id).await?.0;
            let spec =
                Arc::new(read_spec(traffic.store.as_ref(), &traffic.dialect, id, &record).await?);
            if let Some(mut job) = traffic.cache.get_mut(id) {
                job.set_spec(&spec);
            }
            traffic.cache.evict();
            spec
        }
    };
    let item = spec.items.iter().find(|it| &*it.id == item);
    item.map(|item| item.body.clone()).ok_or(Error::NotFound)
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
        let (entry, _) = store.get(&job::body_key(id, part)).await?;
        body.extend_from_slice(&entry.ok_or(Error::NotFound)?.value);
    }
    dialect
        .submission(id, &body)
        .map_err(|error| Error::Malformed { reason: error.to_string().into() })
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
            Err(Error::NotFound) => return Err(Error::NotFound),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or(Error::Conflict { attempts: END_ATTEMPTS_MAX }))
}

/// Returns whether the job is marked as ended; `false` if its head changed meanwhile.
async fn try_end(traffic: &Traffic, (id, caller): (&str, &Caller)) -> Result<bool, Error> {
    let (record, revision) = record(traffic, id).await?;
    check_visible(caller, record.workspace.as_deref())?;
    if record.ended {
        return Ok(true);
    }
    let value = serde_json::to_vec(&Record { ended: true, ..record }).unwrap_or_default();
    let put = Put { key: job::head_key(id), value: value.into(), lease: None };
    let txn =
        Txn { expected: vec![(job::head_key(id), revision)], puts: vec![put], removes: vec![] };
    Ok(matches!(traffic.store.commit(&txn).await?, Outcome::Committed(_)))
}
