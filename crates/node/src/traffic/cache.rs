//! Jobs whose results this host keeps in memory.
//!
//! Chunks of results never change once they are written, so each host keeps those that it has read. The leader of a
//! service holds its jobs completely: it knows of every chunk, because no other host writes any, and so serves results
//! without the store. It stops doing so when its lease ends, and while the outcome of a write is open for too long.

use std::{
    cell::{Ref, RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use bytes::Bytes;
use log::warn;
use tokio::sync::Notify;

use crate::{
    clock,
    dialect::Dialect,
    job::{Chunk, Row, Spec},
    prelude::*,
    workspace::Caller,
};

/// Largest total size of cached results and submissions; the job used last stays even if it is larger.
const CACHE_BYTES_MAX: usize = 24 << 20;
/// Largest total size of the texts in one response, unless it holds a single larger text.
const RESPONSE_TEXT_BYTES_MAX: usize = 600 << 10;
/// Time for which a write may be open before the store may show results that this host does not know of.
const WRITE_OPEN_MAX: Duration = Duration::from_millis(400);

/// What is known of the workspace of a cached job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The workspace, or that the job has none.
    Known(Option<WorkspaceId>),
    /// The chunks name none, and the head was not read, as all callers could see all jobs.
    NotRead,
}

/// A cached job.
#[derive(Debug)]
pub struct CachedJob {
    /// Number of items in the job.
    pub total: usize,
    pub owner: Owner,
    chunks: Vec<Arc<Chunk>>,
    /// Revision of the store up to which the chunks are known.
    pub revision: Revision,
    pub spec: Option<Arc<Spec>>,
    bytes: usize,
    pub last_used: Instant,
    /// Service that this host leads and whose jobs it holds completely.
    service: Option<ServiceId>,
    /// Begin of the oldest write whose outcome is open.
    write_begun: Option<Time>,
    changed: Rc<Notify>,
}

impl CachedJob {
    /// A job of which no chunk is known yet.
    pub fn new(total: usize, owner: Owner, revision: Revision) -> Self {
        Self {
            total,
            owner,
            chunks: Vec::new(),
            revision,
            spec: None,
            bytes: 0,
            last_used: Instant::now(),
            service: None,
            write_begun: None,
            changed: Rc::default(),
        }
    }

    /// Whether the job exists for a caller; `None` if its head has to be read first.
    pub fn is_visible(&self, caller: &Caller) -> Option<bool> {
        match &self.owner {
            Owner::Known(workspace) => Some(caller.sees(workspace.as_deref())),
            Owner::NotRead => (*caller == Caller::Any).then_some(true),
        }
    }

    /// Position after the last cached result.
    pub fn end(&self) -> u64 {
        self.chunks.last().map_or(0, |chunk| chunk.end())
    }

    pub fn chunk_count(&self) -> usize {
        self.chunks.len()
    }

    /// Whether the results of all items are cached.
    pub fn is_complete(&self) -> bool {
        self.end() >= self.total as u64
    }

    /// Adds an encoded chunk if it directly follows the last one.
    pub fn add_encoded(&mut self, value: &[u8]) {
        match serde_json::from_slice::<Chunk>(value) {
            Ok(chunk) => self.add(chunk),
            Err(error) => warn!(reason:% = error; "could not decode a chunk of results"),
        }
    }

    /// Adds a chunk if it directly follows the last one.
    pub fn add(&mut self, chunk: Chunk) {
        if chunk.end() <= self.end() {
            return;
        }
        if chunk.first != self.end() {
            warn!(first = chunk.first, end = self.end(); "chunk of results skipped: it does not follow the one before");
            return;
        }
        self.bytes += chunk.rows.iter().map(|row| row.text.len()).sum::<usize>();
        self.chunks.push(Arc::new(chunk));
        self.changed.notify_waiters();
    }

    pub fn set_spec(&mut self, spec: &Arc<Spec>) {
        self.bytes += spec.items.iter().map(|item| 2 * item.body.len()).sum::<usize>();
        self.spec = Some(Arc::clone(spec));
    }

    /// Encodes the results from position `after` on as the body of a response.
    pub fn page(&self, dialect: &dyn Dialect, after: u64) -> Bytes {
        let rows = self.chunks.iter().filter(|chunk| chunk.end() > after).flat_map(|chunk| {
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
        dialect.results(self.total, after + taken.len() as u64, &taken)
    }
}

/// Recently used jobs.
#[derive(Debug, Default)]
pub struct Cache {
    jobs: RefCell<HashMap<JobId, CachedJob>>,
    /// Services that this host leads, each with the time until which no other host can.
    led: RefCell<HashMap<ServiceId, Time>>,
}

impl Cache {
    pub fn get(&self, id: &str) -> Option<Ref<'_, CachedJob>> {
        Ref::filter_map(self.jobs.borrow(), |jobs| jobs.get(id)).ok()
    }

    pub fn get_mut(&self, id: &str) -> Option<RefMut<'_, CachedJob>> {
        RefMut::filter_map(self.jobs.borrow_mut(), |jobs| jobs.get_mut(id)).ok()
    }

    /// Adds a job unless it is cached already.
    pub fn insert(&self, id: &str, job: CachedJob) {
        self.jobs.borrow_mut().entry(id.into()).or_insert(job);
        self.evict();
    }

    /// Adds a job of a service that this host leads.
    pub fn open(
        &self,
        (service, workspace): (ServiceId, Option<WorkspaceId>),
        spec: &Arc<Spec>,
        chunks: Vec<Chunk>,
    ) {
        let mut job = CachedJob::new(spec.items.len(), Owner::Known(workspace), 0);
        job.service = Some(service);
        job.set_spec(spec);
        for chunk in chunks {
            job.add(chunk);
        }
        self.jobs.borrow_mut().insert(spec.id.clone(), job);
        self.evict();
    }

    /// Removes the jobs of a service that this host has led, as another host may write results from now on.
    pub fn close(&self, service: &str) {
        self.jobs.borrow_mut().retain(|_, job| job.service.as_deref() != Some(service));
    }

    /// Records that this host leads a service and that no other host can until a time.
    pub fn renew(&self, service: ServiceId, until: Time) {
        self.led.borrow_mut().insert(service, until);
    }

    /// Whether this host leads a service, or reads for a zone, and no other host can at this moment.
    pub fn leads(&self, service: &str) -> bool {
        self.led.borrow().get(service).is_some_and(|until| clock::now() < *until)
    }

    /// Records that the write of a chunk has begun.
    pub fn begin_write(&self, id: &str) {
        if let Some(mut job) = self.get_mut(id) {
            job.write_begun.get_or_insert_with(clock::now);
        }
    }

    /// Adds a chunk that is in the store, or records that it certainly is not.
    pub fn finish_write(&self, id: &str, chunk: Option<Chunk>) {
        if let Some(mut job) = self.get_mut(id) {
            job.write_begun = None;
            if let Some(chunk) = chunk {
                job.add(chunk);
            }
        }
        self.evict();
    }

    /// Job that this host leads, if all its results in the store are known at this moment.
    pub fn held(&self, id: &str) -> Option<Ref<'_, CachedJob>> {
        let job = self.get(id)?;
        let now = clock::now();
        let led_until = self.led.borrow().get(job.service.as_deref()?).copied()?;
        let is_open = job.write_begun.is_some_and(|begun| now > begun + WRITE_OPEN_MAX);
        (now < led_until && !is_open).then_some(job)
    }

    /// Handle to wait for further results of a job.
    pub fn changed(&self, id: &str) -> Option<Rc<Notify>> {
        self.get(id).map(|job| Rc::clone(&job.changed))
    }

    /// Evicts the least recently used jobs until the rest fits.
    pub fn evict(&self) {
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
