//! Batch jobs: the submission, the state that is persisted in the store, and the choice of the next item to run.

mod checkpoint;
mod engines;
mod keys;
mod open;
mod outcome;
mod queue;
mod record;
mod row;
mod spec;

pub use checkpoint::Checkpoint;
pub use engines::{Engine, Engines, Requirement};
pub use keys::{
    HEADS, HOSTS, Key, LEADERS, body_key, checkpoints_key, chunk_key, chunks_prefix, head_key,
    host_key, leader_key,
};
pub use open::Job;
pub use outcome::{Assignment, End, Outcome};
pub use queue::Queue;
pub use record::Record;
pub use row::{Chunk, Row};
pub use spec::{Item, Judge, Spec};
