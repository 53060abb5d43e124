//! Bounded prefix cache of an engine.
//!
//! A prompt is split into blocks of fixed size. Each block is identified by the hash of the prompt up to its end, so
//! prompts with a common prefix share the blocks of that prefix.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

const BLOCK_BYTES: usize = 64;

/// Least-recently-used cache; maps the hash of each block to the time of its last use.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    /// Logical time, advanced at each block.
    clock: u64,
    blocks: BTreeMap<u64, u64>,
}

impl Cache {
    pub fn new(limit: usize) -> Self {
        Self { limit, clock: 0, blocks: BTreeMap::new() }
    }

    /// Inserts the blocks of a prompt and returns the share of them that was not cached before.
    pub fn insert(&mut self, prompt: &str) -> f64 {
        let mut hash = Xxh3::new();
        let (mut hits, mut total) = (0, 0);
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            hash.update(block);
            self.clock += 1;
            total += 1;
            if self.blocks.insert(hash.digest(), self.clock).is_some() {
                hits += 1;
            }
        }
        while self.blocks.len() > self.limit {
            let Some(oldest) =
                self.blocks.iter().min_by_key(|(_, last_used)| **last_used).map(|(hash, _)| *hash)
            else {
                break;
            };
            self.blocks.remove(&oldest);
        }
        1.0 - f64::from(hits) / f64::from(total.max(1))
    }

    pub fn used_percent(&self) -> usize {
        100 * self.blocks.len() / self.limit.max(1)
    }
}
