//! What a leader writes to the store: rows of finished items in chunks, and checkpoints of unfinished texts.

use std::collections::HashSet;

use crate::{
    control::leader::Leader,
    job::{Checkpoint, Chunk},
    prelude::*,
};

/// Maximum text bytes of a chunk of rows, and of a job's checkpoints.
const CHUNK_BYTES_MAX: usize = 500 << 10;
/// Maximum chunks in one write; a transaction of the store takes 32 entries, two for each chunk.
const WRITE_CHUNKS_MAX: usize = 15;
/// Minimum interval between writes of rows, so that rows share a write.
const WRITE_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum time for which a row waits for the rest of its group. A trainer uses complete groups; its read blocks while
/// nothing is listed, and so returns the next group at once.
const GROUP_WAIT_MAX: Duration = Duration::from_millis(1500);
/// Maximum jobs in one checkpoint write; a transaction of the store takes 32 entries.
const CHECKPOINT_JOBS_MAX: usize = 30;
/// Interval at which checkpoints are written.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// A chunk to write.
#[derive(Clone, Debug)]
pub struct ChunkWrite {
    pub job: JobId,
    pub fence: Revision,
    pub number: u64,
    pub chunk: Chunk,
}

/// Checkpoints to write.
#[derive(Clone, Debug)]
pub struct CheckpointWrite {
    pub service: ServiceId,
    pub fence: Revision,
    pub jobs: Vec<(JobId, Vec<Checkpoint>)>,
}

impl Leader {
    /// Checkpoints to write if the interval has passed.
    pub fn checkpoints_if_due(&mut self, now: Time) -> Option<CheckpointWrite> {
        (now >= self.checkpointed_at + CHECKPOINT_INTERVAL).then(|| self.checkpoints(now)).flatten()
    }

    /// Checkpoints of all open jobs. Runners keep the texts of their runs for the next leader.
    pub fn checkpoints(&mut self, now: Time) -> Option<CheckpointWrite> {
        let fence = self.fence()?;
        self.checkpointed_at = now;
        let on_runners: HashSet<(&JobId, usize)> = self
            .runs
            .values()
            .filter(|run| run.runner.is_some())
            .map(|run| (&run.job, run.item))
            .collect();
        let of_job = |id: JobId| {
            let has_copy = |item| on_runners.contains(&(&id, item));
            let checkpoints = self.queue.get(&id)?.checkpoints(has_copy, CHUNK_BYTES_MAX);
            (!checkpoints.is_empty()).then_some((id, checkpoints))
        };
        let jobs: Vec<(JobId, Vec<Checkpoint>)> =
            self.queue.ids().into_iter().filter_map(of_job).take(CHECKPOINT_JOBS_MAX).collect();
        let service = self.service.clone();
        (!jobs.is_empty()).then_some(CheckpointWrite { service, fence, jobs })
    }

    /// Chunks to write now, in batches that are written together.
    pub fn writes(&mut self, now: Time) -> Vec<Vec<ChunkWrite>> {
        batches(self.writes_finished_by(now, now.saturating_sub(GROUP_WAIT_MAX)))
    }

    /// Chunks of all finished rows, including those of incomplete groups.
    pub fn final_writes(&mut self, now: Time) -> Vec<Vec<ChunkWrite>> {
        batches(self.writes_finished_by(now, now))
    }

    fn writes_finished_by(&mut self, now: Time, finished_by: Time) -> Vec<ChunkWrite> {
        let Some(fence) = self.fence() else {
            return Vec::new();
        };
        if now < self.written_at + WRITE_INTERVAL {
            return Vec::new();
        }
        let mut writes = Vec::new();
        for id in self.queue.jobs_to_write() {
            let rows = self.queue.take_rows(&id, fence, finished_by, CHUNK_BYTES_MAX);
            let Some(job) = self.queue.get(&id).filter(|_| !rows.is_empty()) else {
                continue;
            };
            let chunk = Chunk {
                total: job.spec.items.len(),
                first: job.listed,
                rows,
                workspace: job.record.workspace.clone(),
            };
            writes.push(ChunkWrite { job: id, fence, number: job.chunks, chunk });
            self.written_at = now;
        }
        writes
    }
}

/// Splits chunks into batches of limited number and size.
fn batches(writes: Vec<ChunkWrite>) -> Vec<Vec<ChunkWrite>> {
    let (mut batches, mut bytes): (Vec<Vec<ChunkWrite>>, usize) = (Vec::new(), 0);
    for write in writes {
        let size: usize = write.chunk.rows.iter().map(|row| row.text.len()).sum();
        match batches.last_mut() {
            Some(batch) if batch.len() < WRITE_CHUNKS_MAX && bytes + size <= CHUNK_BYTES_MAX => {
                batch.push(write);
                bytes += size;
            }
            _ => {
                batches.push(vec![write]);
                bytes = size;
            }
        }
    }
    batches
}
