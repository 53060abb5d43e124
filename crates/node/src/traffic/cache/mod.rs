//! Jobs whose results this host keeps in memory.
//!
//! Chunks of results never change once they are written, so each host keeps those that it has read. The leader of a
//! service knows its jobs completely, because no other host writes any chunk, and so serves results
//! without a look at what is new in the store. It stops doing so when its lease ends, and while the outcome of a write is open
//! for too long.
//!
//! Texts are many times larger than the positions of chunks. So a job stays known while the rows that were not used for the
//! longest time are evicted, and are read again, a chunk at a time, when they are asked for.

mod job;
mod part;

use std::{cell::RefCell, cmp::Reverse, collections::HashMap, rc::Rc, sync::Arc, time::Instant};

pub use job::{Job, Owner};

use crate::{
    clock,
    job::{Chunk, Spec},
    prelude::*,
};

/// Largest total size of the results and submissions in memory; what was used last stays even if it is larger.
const BYTES_MAX: usize = 24 << 20;
/// Largest number of jobs that are known.
const JOBS_MAX: usize = 1024;

/// Handle of a cached job. It stays valid for who holds it if the job is evicted meanwhile.
pub type Handle = Rc<RefCell<Job>>;

/// Recently used jobs.
#[derive(Debug, Default)]
pub struct Cache {
    jobs: RefCell<HashMap<JobId, Handle>>,
    /// Services that this host leads, each with the time until which no other host can.
    led: RefCell<HashMap<ServiceId, Time>>,
}

impl Cache {
    pub fn get(&self, id: &str) -> Option<Handle> {
        let job = self.jobs.borrow().get(id).cloned()?;
        job.borrow_mut().touch();
        Some(job)
    }

    /// Adds a job unless it is cached already. Returns the cached one.
    pub fn insert(&self, id: &str, job: Job) -> Handle {
        let added = Rc::new(RefCell::new(job));
        let job = Rc::clone(self.jobs.borrow_mut().entry(id.into()).or_insert(added));
        self.evict();
        job
    }

    /// Adds a job of a service that this host leads.
    pub fn open(
        &self,
        (service, workspace): (ServiceId, Option<WorkspaceId>),
        spec: &Arc<Spec>,
        chunks: Vec<Chunk>,
    ) {
        let mut job = Job::led(service, workspace, spec);
        chunks.into_iter().for_each(|chunk| job.add(chunk));
        self.jobs.borrow_mut().insert(spec.id.clone(), Rc::new(RefCell::new(job)));
        self.evict();
    }

    /// Removes the jobs of a service that this host has led, as another host may write results from now on.
    pub fn close(&self, service: &str) {
        self.jobs.borrow_mut().retain(|_, job| job.borrow().service() != Some(service));
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
        if let Some(job) = self.get(id) {
            job.borrow_mut().begin_write();
        }
    }

    /// Adds a chunk that is in the store, or records that it certainly is not.
    pub fn finish_write(&self, id: &str, chunk: Option<Chunk>) {
        if let Some(job) = self.get(id) {
            job.borrow_mut().finish_write(chunk);
        }
        self.evict();
    }

    /// Job that this host leads, if all its results in the store are known at this moment.
    pub fn held(&self, id: &str) -> Option<Handle> {
        let job = self.get(id)?;
        let is_held = {
            let job = job.borrow();
            job.service().is_some_and(|service| self.leads(service)) && job.is_settled()
        };
        is_held.then_some(job)
    }

    /// Evicts the results and submissions that were not used for the longest time until the rest fits, and the least recently used
    /// jobs beyond the largest number.
    pub fn evict(&self) {
        let mut jobs = self.jobs.borrow_mut();
        let bytes: usize = jobs.values().map(|job| job.borrow().bytes()).sum();
        if bytes > BYTES_MAX
            && let Some(time) = eviction_time(&jobs)
        {
            jobs.values().for_each(|job| job.borrow_mut().evict_until(time));
        }
        while jobs.len() > JOBS_MAX {
            let oldest = jobs.iter().min_by_key(|(_, job)| job.borrow().last_used());
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| jobs.remove(&id));
        }
    }
}

/// Time of the newest use that does not fit any more. What was used last stays.
fn eviction_time(jobs: &HashMap<JobId, Handle>) -> Option<Instant> {
    let mut uses: Vec<(Instant, usize)> = Vec::new();
    for job in jobs.values() {
        uses.extend(job.borrow().uses());
    }
    uses.sort_by_key(|(last_used, _)| Reverse(*last_used));
    let mut kept = 0;
    let mut fits = |(_, bytes): &(Instant, usize)| {
        kept += bytes;
        kept <= BYTES_MAX
    };
    let beyond = uses.iter().position(|used| !fits(used))?;
    uses.get(beyond.max(1)).map(|(last_used, _)| *last_used)
}
