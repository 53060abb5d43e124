//! Splitting of batches over several frames. A batch of 2,048 samples exceeds the frame limit.

use prost::Message;

use crate::wire::{Batch, Group};

/// Maximum size of a part. It is well below the frame limit, so that other messages of the link are not delayed.
const PART_MAX_BYTES: usize = 256 * 1024;
/// Maximum size of an assembled batch.
const BATCH_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Reassembles a batch from its parts, which arrive in order.
#[derive(Debug, Default)]
pub struct Assembler {
    groups: Vec<Group>,
    bytes: usize,
    next_part: u32,
}

/// State after a part was added.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More parts are missing.
    Incomplete,
    Complete(Batch),
    /// A part was skipped, or the batch is too large.
    Invalid,
}

/// Splits a batch into parts, between groups where possible and between samples otherwise.
pub fn split(batch: Batch) -> Vec<Batch> {
    let mut parts: Vec<Vec<Group>> = vec![Vec::new()];
    let mut bytes = 0;
    for group in batch.groups {
        let header = Group { samples: Vec::new(), ..group.clone() };
        let mut group_started = false;
        for sample in group.samples {
            let size = sample.encoded_len();
            if bytes > 0 && bytes + size > PART_MAX_BYTES {
                parts.push(Vec::new());
                (bytes, group_started) = (0, false);
            }
            let Some(part) = parts.last_mut() else {
                continue;
            };
            if !group_started {
                part.push(header.clone());
                bytes += header.encoded_len();
                group_started = true;
            }
            bytes += size;
            if let Some(group) = part.last_mut() {
                group.samples.push(sample);
            }
        }
    }
    let count = parts.len() as u32;
    let numbered = parts.into_iter().zip(0..).map(|(groups, part)| Batch {
        cursor: batch.cursor.clone(),
        version: batch.version,
        groups,
        part,
        parts: count,
    });
    numbered.collect()
}

impl Assembler {
    /// Adds the next part.
    pub fn add(&mut self, part: Batch) -> Progress {
        self.bytes += part.encoded_len();
        if part.part != self.next_part || self.bytes > BATCH_MAX_BYTES {
            return Progress::Invalid;
        }
        self.next_part += 1;
        for group in part.groups {
            match self.groups.last_mut() {
                Some(last) if last.prompt_index == group.prompt_index => {
                    last.samples.extend(group.samples);
                }
                _ => self.groups.push(group),
            }
        }
        if self.next_part < part.parts {
            return Progress::Incomplete;
        }
        Progress::Complete(Batch {
            cursor: part.cursor,
            version: part.version,
            groups: std::mem::take(&mut self.groups),
            part: 0,
            parts: 0,
        })
    }
}
