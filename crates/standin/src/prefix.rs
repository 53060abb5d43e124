//! Bounded cache of prompt prefixes, in blocks.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

/// Bytes of a prompt that one block covers.
const BLOCK_BYTES: usize = 64;

/// Blocks by the hash of the prompt up to their end; the one unused for longest is dropped first.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    clock: u64,
    blocks: BTreeMap<u64, u64>,
}

impl Cache {
    pub fn new(limit: usize) -> Self {
        Self { limit, clock: 0, blocks: BTreeMap::new() }
    }

    /// Share of the prompt that was not in the cache; the whole prompt is in it afterwards.
    pub fn touch(&mut self, prompt: &str) -> f64 {
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
                self.blocks.iter().min_by_key(|(_, used)| **used).map(|(hash, _)| *hash)
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
