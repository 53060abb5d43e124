//! What a host keeps of a job.

use std::{rc::Rc, sync::Arc, time::Instant};

use bytes::Bytes;
use log::warn;
use tokio::sync::Notify;

use super::part::Part;
use crate::{
    clock,
    dialect::Dialect,
    job::{Chunk, Row, Spec},
    prelude::*,
    workspace::Caller,
};

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

/// A cached job. It knows the positions of all chunks that were read, and keeps the rows of some.
#[derive(Debug)]
pub struct Job {
    /// Number of items in the job.
    pub total: usize,
    pub owner: Owner,
    parts: Vec<Part>,
    /// Revision of the store up to which the chunks are known.
    pub revision: Revision,
    spec: Option<(Arc<Spec>, Instant)>,
    /// Size of what is in memory.
    bytes: usize,
    last_used: Instant,
    /// Service that this host leads and whose jobs it knows completely.
    service: Option<ServiceId>,
    /// Begin of the oldest write whose outcome is open.
    write_begun: Option<Time>,
    changed: Rc<Notify>,
}

impl Job {
    /// A job of which no chunk is known yet.
    pub fn new(total: usize, owner: Owner, revision: Revision) -> Self {
        Self {
            total,
            owner,
            parts: Vec::new(),
            revision,
            spec: None,
            bytes: 0,
            last_used: Instant::now(),
            service: None,
            write_begun: None,
            changed: Rc::default(),
        }
    }

    /// A job of a service that this host leads.
    pub fn led(service: ServiceId, workspace: Option<WorkspaceId>, spec: &Arc<Spec>) -> Self {
        let owner = Owner::Known(workspace);
        let mut job = Self { service: Some(service), ..Self::new(spec.items.len(), owner, 0) };
        job.set_spec(spec);
        job
    }

    /// Whether the job exists for a caller; `None` if its head has to be read first.
    pub fn is_visible(&self, caller: &Caller) -> Option<bool> {
        match &self.owner {
            Owner::Known(workspace) => Some(caller.sees(workspace.as_deref())),
            Owner::NotRead => (*caller == Caller::Any).then_some(true),
        }
    }

    /// Service that this host leads and of which this is a job.
    pub fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Position after the last known result.
    pub fn end(&self) -> u64 {
        self.parts.last().map_or(0, Part::end)
    }

    pub fn chunk_count(&self) -> usize {
        self.parts.len()
    }

    /// Whether the results of all items are known.
    pub fn is_complete(&self) -> bool {
        self.end() >= self.total as u64
    }

    /// Whether all its results in the store are known at this moment, if this host leads.
    pub fn is_settled(&self) -> bool {
        self.write_begun.is_none_or(|begun| clock::now() <= begun + WRITE_OPEN_MAX)
    }

    /// Records that the write of a chunk has begun.
    pub fn begin_write(&mut self) {
        self.write_begun.get_or_insert_with(clock::now);
    }

    /// Adds a chunk that is in the store, or records that it certainly is not.
    pub fn finish_write(&mut self, chunk: Option<Chunk>) {
        self.write_begun = None;
        if let Some(chunk) = chunk {
            self.add(chunk);
        }
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
        let part = Part::new(chunk);
        self.bytes += part.bytes();
        self.parts.push(part);
        self.changed.notify_waiters();
    }

    /// Number of the chunk with the result at a position, if its rows were evicted.
    pub fn evicted_chunk(&self, position: u64) -> Option<u64> {
        let number = self.part_at(position);
        self.parts.get(number).filter(|part| part.is_evicted()).map(|_| number as u64)
    }

    /// Puts back the rows of a chunk.
    pub fn restore(&mut self, number: u64, chunk: Chunk) {
        let part = usize::try_from(number).ok().and_then(|number| self.parts.get_mut(number));
        if let Some(part) = part {
            part.restore(chunk);
        }
        self.count_bytes();
    }

    /// Number of the chunk with the result at a position, or of the next one.
    fn part_at(&self, position: u64) -> usize {
        self.parts.partition_point(|part| part.end() <= position)
    }

    /// Encodes the results from position `after` on, up to the first that is not in memory, as the body of a response.
    pub fn page(&mut self, dialect: &dyn Dialect, after: u64) -> Bytes {
        let first = self.part_at(after);
        let mut bytes = 0;
        let parts = self.parts.iter_mut().skip(first);
        // The last one may exceed the limit; its rows are cut off below.
        let needed = parts.take_while(|part| {
            let is_needed = bytes <= RESPONSE_TEXT_BYTES_MAX;
            bytes += part.bytes();
            is_needed
        });
        let chunks: Vec<Arc<Chunk>> = needed.map_while(Part::use_chunk).collect();
        let rows = chunks.iter().flat_map(|chunk| {
            let skipped = usize::try_from(after.saturating_sub(chunk.first)).unwrap_or(usize::MAX);
            chunk.rows.iter().skip(skipped)
        });
        let (mut taken, mut bytes): (Vec<&Row>, usize) = (Vec::new(), 0);
        for row in rows {
            bytes += row.text.len();
            if bytes > RESPONSE_TEXT_BYTES_MAX && !taken.is_empty() {
                break;
            }
            taken.push(row);
        }
        dialect.results(self.total, after + taken.len() as u64, &taken)
    }

    pub fn set_spec(&mut self, spec: &Arc<Spec>) {
        self.spec = Some((Arc::clone(spec), Instant::now()));
        self.count_bytes();
    }

    /// Submission, unless it was evicted.
    pub fn use_spec(&mut self) -> Option<Arc<Spec>> {
        let (spec, last_used) = self.spec.as_mut()?;
        *last_used = Instant::now();
        Some(Arc::clone(spec))
    }

    /// Records that the job is asked for.
    pub fn touch(&mut self) {
        self.last_used = Instant::now();
    }

    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Handle to wait for further results.
    pub fn changed(&self) -> Rc<Notify> {
        Rc::clone(&self.changed)
    }

    /// Times of the last use of what is in memory, with its size.
    pub fn uses(&self) -> impl Iterator<Item = (Instant, usize)> {
        let parts = self.parts.iter().filter(|part| !part.is_evicted());
        let spec = self.spec.iter().map(|(spec, last_used)| (*last_used, spec_bytes(spec)));
        parts.map(|part| (part.last_used(), part.bytes())).chain(spec)
    }

    /// Evicts what was not used after a time.
    pub fn evict_until(&mut self, time: Instant) {
        let parts = self.parts.iter_mut().filter(|part| part.last_used() <= time);
        parts.for_each(Part::evict);
        self.spec.take_if(|(_, last_used)| *last_used <= time);
        self.count_bytes();
    }

    /// Size of the texts and the submission that are in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn count_bytes(&mut self) {
        self.bytes = self.uses().map(|(_, bytes)| bytes).sum();
    }
}

/// Size of a submission: the bodies of its items, as received and decoded.
fn spec_bytes(spec: &Spec) -> usize {
    spec.items.iter().map(|item| 2 * item.body.len()).sum()
}
