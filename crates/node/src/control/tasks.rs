//! Tasks of the control thread that wait for the store, and what they bring back.

use bytes::Bytes;
use log::{info, warn};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    control::{
        leader::{Read, Save, Write},
        orders::Loaded,
    },
    dialect,
    job::{self, Checkpoint, Chunk, Record},
    prelude::*,
    store::{self, Error, Outcome, Put, Txn},
    traffic,
};

/// Keys removed by one transaction.
const REMOVES_MAX: usize = 30;
/// Pause before a write without an answer is sent again.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// What a task of the control thread brings back.
pub enum Done {
    Read {
        service: ServiceId,
        id: JobId,
        job: Option<Box<Read>>,
    },
    Wrote {
        service: ServiceId,
        id: JobId,
        fence: Revision,
        number: u64,
        rows: usize,
        written: Written,
    },
    Loaded {
        service: ServiceId,
        target: TargetId,
        loaded: Loaded,
    },
}

/// How a chunk was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Kept,
    /// Certainly not written.
    Refused,
    /// The job's chunks in the store are others than known here.
    Differs,
}

/// Removes all keys of jobs, each job's head last, so that a job that is removed in part is found again.
pub async fn remove_jobs(
    store: store::Handle,
    service: ServiceId,
    fence: Revision,
    jobs: Vec<(JobId, usize)>,
) {
    for (id, parts) in jobs {
        if let Err(error) = remove_job(store.as_ref(), &service, fence, &id, parts).await {
            info!(job = &*id, reason:% = error; "could not remove an old job");
        }
    }
}

async fn remove_job(
    store: &dyn store::Store,
    service: &str,
    fence: Revision,
    id: &str,
    parts: usize,
) -> Result<(), Error> {
    let (rows, _) = store::read_all(store, &job::chunks_prefix(id)).await?;
    let mut keys: Vec<Box<str>> = rows.into_iter().map(|entry| entry.key).collect();
    keys.extend((0..parts).map(|part| job::body_key(id, part)));
    keys.push(job::texts_key(id));
    keys.push(job::head_key(id));
    for some in keys.chunks(REMOVES_MAX) {
        let txn = Txn {
            expected: vec![(job::leader_key(service), fence)],
            puts: Vec::new(),
            removes: some.to_vec(),
        };
        if let Outcome::Conflict(_) | Outcome::NoLease = store.commit(&txn).await? {
            // Another host leads and cleans up.
            return Ok(());
        }
    }
    Ok(())
}

pub fn tell(done: &mpsc::UnboundedSender<Done>, what: Done) {
    if done.send(what).is_err() {
        log::debug!("control loop has ended");
    }
}

/// Reads a job's submission, rows and saved texts.
pub async fn read_job(
    store: store::Handle,
    dialect: dialect::Handle,
    service: ServiceId,
    id: JobId,
    record: Record,
    done: mpsc::UnboundedSender<Done>,
) {
    let read = async {
        let spec = traffic::read_spec(store.as_ref(), &dialect, &id, &record).await?;
        let (entries, _) = store::read_all(store.as_ref(), &job::chunks_prefix(&id)).await?;
        let (saved, _) = store.get(&job::texts_key(&id)).await?;
        Ok::<_, traffic::JobError>((spec, entries, saved))
    };
    let job = match read.await {
        Ok((spec, entries, saved)) => chunks(&entries).map(|chunks| {
            let saved = saved.map(|entry| texts(&entry)).unwrap_or_default();
            Box::new(Read { spec, record, chunks, saved })
        }),
        Err(error) => {
            info!(job = &*id, reason:% = error; "could not read a job");
            None
        }
    };
    if job.is_none() {
        sleep(WRITE_PAUSE).await;
    }
    tell(&done, Done::Read { service, id, job });
}

/// Checkpoints in an entry. Without them the items only run again.
fn texts(entry: &store::Entry) -> Vec<Checkpoint> {
    serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        warn!(key = &*entry.key, reason:% = error; "saved texts skipped");
        Vec::new()
    })
}

/// Saves unfinished texts. They are replaced soon, so a failed write is not repeated.
pub async fn save_texts(store: store::Handle, save: Save) {
    let put = |(id, saved): &(JobId, Vec<Checkpoint>)| {
        let value = serde_json::to_vec(saved).unwrap_or_default().into();
        Put { key: job::texts_key(id), value, lease: None }
    };
    let txn = Txn {
        expected: vec![(job::leader_key(&save.service), save.fence)],
        puts: save.texts.iter().map(put).collect(),
        removes: Vec::new(),
    };
    if let Err(error) = store.commit(&txn).await {
        info!(service = &*save.service, jobs = save.texts.len(), reason:% = error; "could not save unfinished texts");
    }
}

/// Decodes the chunks of a job; each must begin where the one before ends.
fn chunks(entries: &[store::Entry]) -> Option<Vec<Chunk>> {
    let mut chunks: Vec<Chunk> = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_slice::<Chunk>(&entry.value) {
            Ok(chunk) if chunk.first == chunks.last().map_or(0, Chunk::end) => chunks.push(chunk),
            Ok(chunk) => {
                warn!(key = &*entry.key, first = chunk.first; "chunk does not follow the one before");
                return None;
            }
            Err(error) => {
                warn!(key = &*entry.key, reason:% = error; "could not decode a chunk of results");
                return None;
            }
        }
    }
    Some(chunks)
}

/// Writes a chunk until its outcome is known. Only the present leader's write takes effect, and only once.
pub async fn write_chunk(
    store: store::Handle,
    service: ServiceId,
    write: Write,
    done: mpsc::UnboundedSender<Done>,
) {
    let value: Bytes = serde_json::to_vec(&write.chunk).unwrap_or_default().into();
    let key = job::chunk_key(&write.job, write.number);
    let txn = Txn {
        expected: vec![(job::leader_key(&service), write.fence), (key.clone(), 0)],
        puts: vec![Put { key: key.clone(), value: value.clone(), lease: None }],
        removes: Vec::new(),
    };
    let written = loop {
        match store.commit(&txn).await {
            Ok(Outcome::Committed(_)) => break Written::Kept,
            Ok(Outcome::Conflict(found)) => match found.iter().find(|entry| entry.key == key) {
                Some(entry) if entry.value == value => break Written::Kept,
                Some(_) => break Written::Differs,
                None => break Written::Refused,
            },
            Ok(Outcome::NoLease) => break Written::Refused,
            Err(Error::Refused { .. }) => sleep(WRITE_PAUSE).await,
            Err(error) => {
                info!(job = &*write.job, reason:% = error; "write of results has no answer");
                sleep(WRITE_PAUSE).await;
            }
        }
    };
    log::debug!(job = &*write.job, chunk = write.number, first = write.chunk.first, rows = write.chunk.rows.len(), outcome:? = written; "results written");
    let Write { job: id, fence, number, chunk } = write;
    let rows = chunk.rows.len();
    tell(&done, Done::Wrote { service, id, fence, number, rows, written });
}

/// Reports that a host has been emptied.
pub async fn report_emptied(store: store::Handle, host: HostId, txn: Txn) {
    while let Err(error) = store.commit(&txn).await {
        info!(retired = &*host, reason:% = error; "could not report an emptied host");
        sleep(WRITE_PAUSE).await;
    }
    info!(retired = &*host; "host reported as emptied");
}
