//! A job as a leader gets it from the store, and what its route says of it.

use std::sync::Arc;

use crate::{
    job::{Checkpoint, Chunk, Record, Spec},
    prelude::*,
};

/// A job as read from the store.
#[derive(Debug)]
pub struct StoredJob {
    pub spec: Arc<Spec>,
    pub record: Record,
    pub chunks: Vec<Chunk>,
    pub checkpoints: Vec<Checkpoint>,
}

/// Deadlines and limits of a job, from its route.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    pub due: Time,
    pub expires: Time,
    pub max_attempts: u32,
    pub priority: u32,
    pub single_version: bool,
}
