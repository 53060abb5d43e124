//! A job as a leader gets it from the store.

use std::sync::Arc;

use crate::job::{Checkpoint, Chunk, Record, Spec};

/// A job as read from the store.
#[derive(Debug)]
pub struct StoredJob {
    pub spec: Arc<Spec>,
    pub record: Record,
    pub chunks: Vec<Chunk>,
    pub checkpoints: Vec<Checkpoint>,
}
