//! Tasks of the control thread that call the store, and their results.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use futures::future::join_all;
use log::{info, warn};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    contact::Outage,
    control::{
        orders::LoadResult,
        store_state::Head,
        stored::StoredJob,
        writes::{CheckpointWrite, ChunkWrite},
    },
    dialect,
    fleet::Departure,
    job::{self, Checkpoint, Chunk, Record},
    prelude::*,
    scale,
    store::{self, Change, Entry, Error, Outcome, Put, Txn},
    traffic,
};

/// Maximum keys removed by one transaction.
const REMOVES_MAX: usize = 30;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Result of a task.
pub enum Completion {
    JobRead {
        service: ServiceId,
        id: JobId,
        job: Option<Box<StoredJob>>,
    },
    ChunkWritten {
        service: ServiceId,
        id: JobId,
        fence: Revision,
        number: u64,
        chunk: Chunk,
        result: WriteResult,
    },
    LoadEnded {
        service: ServiceId,
        target: TargetId,
        result: LoadResult,
    },
    /// The store has answered other hosts in an outage.
    OutageRefuted {
        outage: Outage,
    },
    /// An engine has said that it leaves.
    Departure(Departure),
    /// A call that orders a number of targets has ended.
    Scaled {
        service: ServiceId,
        fence: Revision,
        order: scale::Order,
        result: scale::CallResult,
    },
    /// The other hosts have said which failed items they know, or did not answer in time.
    FailuresRead {
        service: ServiceId,
        fence: Revision,
    },
}

/// Result of writing a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The chunk is in the store.
    Kept,
    /// Certainly not written.
    Refused,
    /// The store holds another chunk under this number, so this leader's view of the job is outdated.
    Differs,
}

/// Removes all keys of expired jobs. Each job's head goes last, so that a partly removed job is found again.
pub async fn remove_jobs(
    store: store::Handle,
    service: ServiceId,
    fence: Revision,
    jobs: Vec<(JobId, usize)>,
) {
    for (id, parts) in jobs {
        if let Err(error) = remove_job(store.as_ref(), &service, fence, &id, parts).await {
            info!(job = &*id, reason:% = error; "could not remove an expired job");
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
    keys.push(job::checkpoints_key(id));
    keys.push(job::head_key(id));
    for batch in keys.chunks(REMOVES_MAX) {
        let txn = Txn {
            expected: vec![(job::leader_key(service), fence)],
            puts: Vec::new(),
            removes: batch.to_vec(),
        };
        if let Outcome::Conflict(_) | Outcome::NoLease = store.commit(&txn).await? {
            // Another host leads and removes the job.
            return Ok(());
        }
    }
    Ok(())
}

pub fn send_completion(completions: &mpsc::UnboundedSender<Completion>, completion: Completion) {
    if completions.send(completion).is_err() {
        log::debug!("control loop has ended");
    }
}

/// Reads a job's submission, rows and checkpoints.
pub async fn read_job(
    store: store::Handle,
    dialect: dialect::Handle,
    service: ServiceId,
    id: JobId,
    record: Record,
    completions: mpsc::UnboundedSender<Completion>,
) {
    let read = async {
        let spec = traffic::read_spec(store.as_ref(), &dialect, &id, &record).await?;
        let (entries, _) = store::read_all(store.as_ref(), &job::chunks_prefix(&id)).await?;
        let (checkpoints, _) = store.get(&job::checkpoints_key(&id)).await?;
        Ok::<_, traffic::JobError>((spec, entries, checkpoints))
    };
    let job = match read.await {
        Ok((spec, entries, checkpoints)) => decode_chunks(&entries).map(|chunks| {
            let checkpoints =
                checkpoints.map(|entry| decode_checkpoints(&entry)).unwrap_or_default();
            Box::new(StoredJob { spec: Arc::new(spec), record, chunks, checkpoints })
        }),
        Err(error) => {
            info!(job = &*id, reason:% = error; "could not read a job");
            None
        }
    };
    if job.is_none() {
        sleep(RETRY_DELAY).await;
    }
    send_completion(&completions, Completion::JobRead { service, id, job });
}

/// Decodes checkpoints. If that fails, the items merely run from their beginning.
fn decode_checkpoints(entry: &Entry) -> Vec<Checkpoint> {
    serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        warn!(key = &*entry.key, reason:% = error; "checkpoints ignored");
        Vec::new()
    })
}

/// Writes checkpoints. A failed write is not retried, as the next one replaces it.
pub async fn write_checkpoints(store: store::Handle, write: CheckpointWrite) {
    let put = |(id, checkpoints): &(JobId, Vec<Checkpoint>)| {
        let value = serde_json::to_vec(checkpoints).unwrap_or_default().into();
        Put { key: job::checkpoints_key(id), value, lease: None }
    };
    let txn = Txn {
        expected: vec![(job::leader_key(&write.service), write.fence)],
        puts: write.jobs.iter().map(put).collect(),
        removes: Vec::new(),
    };
    if let Err(error) = store.commit(&txn).await {
        info!(service = &*write.service, jobs = write.jobs.len(), reason:% = error; "could not write checkpoints");
    }
}

/// Decodes the chunks of a job. Each must begin where the previous one ends.
fn decode_chunks(entries: &[Entry]) -> Option<Vec<Chunk>> {
    let mut chunks: Vec<Chunk> = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_slice::<Chunk>(&entry.value) {
            Ok(chunk) if chunk.first == chunks.last().map_or(0, Chunk::end) => chunks.push(chunk),
            Ok(chunk) => {
                warn!(key = &*entry.key, first = chunk.first; "could not use a chunk of results: it does not follow the previous one");
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

/// Writes a chunk and retries until the outcome is known. The transaction expects the leader's key and the absence of
/// the chunk, so only the present leader's write takes effect, and only once.
pub async fn write_chunk(
    store: store::Handle,
    service: ServiceId,
    write: ChunkWrite,
    completions: mpsc::UnboundedSender<Completion>,
) {
    let value: Bytes = serde_json::to_vec(&write.chunk).unwrap_or_default().into();
    let key = job::chunk_key(&write.job, write.number);
    let txn = Txn {
        expected: vec![(job::leader_key(&service), write.fence), (key.clone(), 0)],
        puts: vec![Put { key: key.clone(), value: value.clone(), lease: None }],
        removes: Vec::new(),
    };
    let result = loop {
        match store.commit(&txn).await {
            Ok(Outcome::Committed(_)) => break WriteResult::Kept,
            Ok(Outcome::Conflict(found)) => match found.iter().find(|entry| entry.key == key) {
                Some(entry) if entry.value == value => break WriteResult::Kept,
                Some(_) => break WriteResult::Differs,
                None => break WriteResult::Refused,
            },
            Ok(Outcome::NoLease) => break WriteResult::Refused,
            Err(Error::Refused { .. }) => sleep(RETRY_DELAY).await,
            Err(error) => {
                info!(job = &*write.job, reason:% = error; "write of results has no answer");
                sleep(RETRY_DELAY).await;
            }
        }
    };
    log::debug!(job = &*write.job, chunk = write.number, first = write.chunk.first, rows = write.chunk.rows.len(), outcome:? = result; "results written");
    send_written(&completions, &service, write, result);
}

fn send_written(
    completions: &mpsc::UnboundedSender<Completion>,
    service: &ServiceId,
    write: ChunkWrite,
    result: WriteResult,
) {
    let ChunkWrite { job: id, fence, number, chunk } = write;
    let service = service.clone();
    send_completion(
        completions,
        Completion::ChunkWritten { service, id, fence, number, chunk, result },
    );
}

/// Writes chunks of several jobs in one transaction. If it fails or its outcome is unknown, each chunk is written by
/// itself.
pub async fn write_chunks(
    store: store::Handle,
    service: ServiceId,
    writes: Vec<ChunkWrite>,
    completions: mpsc::UnboundedSender<Completion>,
) {
    if let [_] = writes.as_slice() {
        for write in writes {
            write_chunk(Rc::clone(&store), service.clone(), write, completions.clone()).await;
        }
        return;
    }
    let Some(fence) = writes.first().map(|write| write.fence) else {
        return;
    };
    let mut txn = Txn { expected: vec![(job::leader_key(&service), fence)], ..Txn::default() };
    for write in &writes {
        let key = job::chunk_key(&write.job, write.number);
        let value = serde_json::to_vec(&write.chunk).unwrap_or_default().into();
        txn.expected.push((key.clone(), 0));
        txn.puts.push(Put { key, value, lease: None });
    }
    match store.commit(&txn).await {
        Ok(Outcome::Committed(_)) => {
            for write in writes {
                send_written(&completions, &service, write, WriteResult::Kept);
            }
        }
        result => {
            log::debug!(service = &*service, chunks = writes.len(), outcome:? = result; "results not written together");
            let single =
                |write| write_chunk(Rc::clone(&store), service.clone(), write, completions.clone());
            join_all(writes.into_iter().map(single)).await;
        }
    }
}

/// Marks a job as ended in the store. Returns the change of its head if that took effect.
pub async fn end_job(store: store::Handle, id: JobId, head: Head) -> Option<Change> {
    let key = job::head_key(&id);
    let record = Record { ended: true, ..head.record };
    let value: Bytes = serde_json::to_vec(&record).unwrap_or_default().into();
    let txn = Txn {
        expected: vec![(key.clone(), head.revision)],
        puts: vec![Put { key: key.clone(), value: value.clone(), lease: None }],
        removes: Vec::new(),
    };
    match store.commit(&txn).await {
        Ok(Outcome::Committed(revision)) => {
            info!(job = &*id; "job ended by its trainer");
            Some(Change::Put(Entry { key, value, revision }))
        }
        Ok(outcome) => {
            log::debug!(job = &*id, outcome:? = outcome; "head of a job changed before its end was written");
            None
        }
        Err(error) => {
            info!(job = &*id, reason:% = error; "could not write the end of a job");
            None
        }
    }
}

/// Reports that a host is retired.
pub async fn report_retired(store: store::Handle, host: HostId, txn: Txn) {
    while let Err(error) = store.commit(&txn).await {
        info!(retired = &*host, reason:% = error; "could not report a host as retired");
        sleep(RETRY_DELAY).await;
    }
    info!(retired = &*host; "host reported as retired");
}
