//! Requests of trainers about existing jobs: results, bodies of items and the end of a job.
//!
//! Any host serves them, as it reads the jobs from the store. Chunks of results never change once they are written, so
//! each host caches those that it has read.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Instant};

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use snafu::Snafu;

use crate::{
    job::{self, Chunk, Record, Row, Spec},
    prelude::*,
    store::{self, Change, Outcome, Put, Txn, WatchResponse},
    traffic::serve::Traffic,
};

/// Largest total size of cached results and submissions; the job used last stays even if it is larger.
const CACHE_BYTES_MAX: usize = 12 << 20;
/// Largest total size of the texts in one response, unless it holds a single larger text.
const RESPONSE_TEXT_BYTES_MAX: usize = 600 << 10;
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
}

#[derive(Debug)]
struct CachedJob {
    /// Number of items in the job.
    total: usize,
    chunks: Vec<Arc<Chunk>>,
    /// Revision of the store up to which the chunks are known.
    revision: Revision,
    spec: Option<Arc<Spec>>,
    bytes: usize,
    last_used: Instant,
}

impl CachedJob {
    /// Position after the last cached result.
    fn end(&self) -> u64 {
        self.chunks.last().map_or(0, |chunk| chunk.end())
    }

    /// Adds a chunk if it directly follows the last one.
    fn add(&mut self, value: &[u8]) {
        match serde_json::from_slice::<Chunk>(value) {
            Ok(chunk) if chunk.first == self.end() => {
                self.bytes += value.len();
                self.chunks.push(Arc::new(chunk));
            }
            Ok(chunk) if chunk.end() <= self.end() => {}
            Ok(chunk) => {
                warn!(first = chunk.first, end = self.end(); "chunk of results skipped: it does not follow the one before");
            }
            Err(error) => warn!(reason:% = error; "could not decode a chunk of results"),
        }
    }
}

/// Recently used jobs.
#[derive(Debug, Default)]
pub struct Cache {
    jobs: RefCell<HashMap<JobId, CachedJob>>,
}

impl Cache {
    /// Evicts the least recently used jobs until the rest fits.
    fn evict(&self) {
        let mut jobs = self.jobs.borrow_mut();
        while jobs.len() > 1 && jobs.values().map(|job| job.bytes).sum::<usize>() > CACHE_BYTES_MAX
        {
            let oldest = jobs.iter().min_by_key(|(_, job)| job.last_used).map(|(id, _)| id.clone());
            if let Some(oldest) = oldest {
                jobs.remove(&oldest);
            }
        }
    }
}

/// Returns the results of a job from position `after` on, encoded as the body of a response. If there are none yet,
/// waits up to `wait` for new ones.
pub async fn results(
    traffic: &Rc<Traffic>,
    id: &str,
    after: u64,
    wait: Duration,
) -> Result<Bytes, Error> {
    load(traffic, id).await?;
    if traffic.cache.jobs.borrow().get(id).is_none_or(|job| job.end() <= after) {
        refresh(traffic, id, after, wait).await?;
    }
    let jobs = traffic.cache.jobs.borrow();
    let job = jobs.get(id).ok_or(Error::NotFound)?;
    let rows = job.chunks.iter().flat_map(|chunk| {
        chunk.rows.iter().enumerate().map(|(at, row)| (chunk.first + at as u64, row))
    });
    let (mut taken, mut bytes): (Vec<&Row>, usize) = (Vec::new(), 0);
    for (_, row) in rows.filter(|(position, _)| *position >= after) {
        bytes += row.text.len();
        if bytes > RESPONSE_TEXT_BYTES_MAX && !taken.is_empty() {
            break;
        }
        taken.push(row);
    }
    Ok(traffic.dialect.results(job.total, after + taken.len() as u64, &taken))
}

/// Reads the results of a job into the cache, and its head if needed, unless the job is cached.
async fn load(traffic: &Rc<Traffic>, id: &str) -> Result<(), Error> {
    if let Some(job) = traffic.cache.jobs.borrow_mut().get_mut(id) {
        job.last_used = Instant::now();
        return Ok(());
    }
    let (entries, revision) =
        store::read_all(traffic.store.as_ref(), &job::chunks_prefix(id)).await?;
    // Each chunk states the number of items, so the head of a job with results is not read.
    let first =
        entries.first().and_then(|entry| serde_json::from_slice::<Chunk>(&entry.value).ok());
    let total = match first {
        Some(chunk) => chunk.total,
        None => record(traffic, id).await?.0.total,
    };
    let mut cached = CachedJob {
        total,
        chunks: Vec::new(),
        revision,
        spec: None,
        bytes: 0,
        last_used: Instant::now(),
    };
    for entry in entries {
        cached.add(&entry.value);
    }
    traffic.cache.jobs.borrow_mut().entry(id.into()).or_insert(cached);
    traffic.cache.evict();
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
    let (revision, complete) = match traffic.cache.jobs.borrow().get(id) {
        Some(job) => (job.revision, job.end() >= job.total as u64),
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
    let last = match traffic.cache.jobs.borrow().get(id) {
        Some(job) if job.chunks.is_empty() => None,
        Some(job) => Some(job::chunk_key(id, job.chunks.len() as u64 - 1)),
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
    let mut jobs = traffic.cache.jobs.borrow_mut();
    let Some(job) = jobs.get_mut(id) else {
        return 0;
    };
    for entry in entries {
        job.add(&entry.value);
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
pub async fn body(traffic: &Rc<Traffic>, id: &str, item: &str) -> Result<Bytes, Error> {
    load(traffic, id).await?;
    let cached = traffic.cache.jobs.borrow().get(id).and_then(|job| job.spec.clone());
    let spec = match cached {
        Some(spec) => spec,
        None => {
            let record = record(traffic, id).await?.0;
            let spec =
                Arc::new(read_spec(traffic.store.as_ref(), &traffic.dialect, id, &record).await?);
            if let Some(job) = traffic.cache.jobs.borrow_mut().get_mut(id) {
                job.bytes += spec.items.iter().map(|item| 2 * item.body.len()).sum::<usize>();
                job.spec = Some(Arc::clone(&spec));
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
pub async fn end(traffic: &Rc<Traffic>, id: &str) -> Result<(), Error> {
    let mut last_error = None;
    for _ in 0..END_ATTEMPTS_MAX {
        match try_end(traffic, id).await {
            Ok(true) => {
                info!(job = id; "job ended by its trainer");
                return Ok(());
            }
            Ok(false) => {}
            Err(Error::NotFound) => return Err(Error::NotFound),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or(Error::Malformed { reason: "its head keeps changing".into() }))
}

/// Returns whether the job is marked as ended; `false` if its head changed meanwhile.
async fn try_end(traffic: &Traffic, id: &str) -> Result<bool, Error> {
    let (record, revision) = record(traffic, id).await?;
    if record.ended {
        return Ok(true);
    }
    let value = serde_json::to_vec(&Record { ended: true, ..record }).unwrap_or_default();
    let put = Put { key: job::head_key(id), value: value.into(), lease: None };
    let txn =
        Txn { expected: vec![(job::head_key(id), revision)], puts: vec![put], removes: vec![] };
    Ok(matches!(traffic.store.commit(&txn).await?, Outcome::Committed(_)))
}
