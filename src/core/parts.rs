//! Batches in several frames. A batch of the planned size (2,048 samples) is larger than one frame.

use prost::Message;

use crate::wire::{Batch, Group};

/// Content of one part; well below a frame, so that other messages of the link do not wait long.
const PART_MAX_BYTES: usize = 256 * 1024;
/// Largest batch that is put together.
const BATCH_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Assembler of a batch that have come.
#[derive(Debug, Default)]
pub struct Assembler {
    groups: Vec<Group>,
    bytes: usize,
    next: u32,
}

/// State after a part has come.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// More parts are to come.
    Incomplete,
    Complete(Batch),
    /// A part is missing, or the batch is too large.
    Invalid,
}

/// Cuts a batch into parts, between groups where possible and between samples where not.
pub fn split(batch: Batch) -> Vec<Batch> {
    let mut parts: Vec<Vec<Group>> = vec![Vec::new()];
    let mut bytes = 0;
    for group in batch.groups {
        let head = Group { samples: Vec::new(), ..group.clone() };
        let mut open = false;
        for sample in group.samples {
            let size = sample.encoded_len();
            if bytes > 0 && bytes + size > PART_MAX_BYTES {
                parts.push(Vec::new());
                (bytes, open) = (0, false);
            }
            let Some(part) = parts.last_mut() else {
                continue;
            };
            if !open {
                part.push(head.clone());
                bytes += head.encoded_len();
                open = true;
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
    /// Takes the next part.
    pub fn take(&mut self, part: Batch) -> Progress {
        self.bytes += part.encoded_len();
        if part.part != self.next || self.bytes > BATCH_MAX_BYTES {
            return Progress::Invalid;
        }
        self.next += 1;
        for group in part.groups {
            match self.groups.last_mut() {
                Some(last) if last.prompt_index == group.prompt_index => {
                    last.samples.extend(group.samples);
                }
                _ => self.groups.push(group),
            }
        }
        if self.next < part.parts {
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
