//! A chunk of results of a cached job, with or without its rows.

use std::{sync::Arc, time::Instant};

use crate::job::Chunk;

/// Positions of a chunk, and its rows unless they were evicted. Chunks never change, so they can be read again.
#[derive(Debug)]
pub struct Part {
    /// Position of the first row.
    first: u64,
    /// Position after the last row.
    end: u64,
    /// Size of its texts.
    size: usize,
    chunk: Option<Arc<Chunk>>,
    last_used: Instant,
}

impl Part {
    pub fn new(chunk: Chunk) -> Self {
        let (first, end) = (chunk.first, chunk.end());
        let size = chunk.rows.iter().map(|row| row.text.len()).sum();
        Self { first, end, size, chunk: Some(Arc::new(chunk)), last_used: Instant::now() }
    }

    pub fn end(&self) -> u64 {
        self.end
    }

    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Size of the texts that are in memory.
    pub fn bytes(&self) -> usize {
        if self.is_evicted() { 0 } else { self.size }
    }

    /// Whether the rows were evicted.
    pub fn is_evicted(&self) -> bool {
        self.chunk.is_none()
    }

    /// Rows, unless they were evicted.
    pub fn use_chunk(&mut self) -> Option<Arc<Chunk>> {
        self.last_used = Instant::now();
        self.chunk.clone()
    }

    /// Puts back the rows of the chunk.
    pub fn restore(&mut self, chunk: Chunk) {
        if (chunk.first, chunk.end()) == (self.first, self.end) {
            self.last_used = Instant::now();
            self.chunk = Some(Arc::new(chunk));
        }
    }

    pub fn evict(&mut self) {
        self.chunk = None;
    }
}
