//! Batch jobs: what is submitted, what is kept in the store, and which item runs next.

mod board;
mod engines;
mod keys;
mod open;
mod outcome;
mod record;
mod row;
mod saved;
mod spec;

pub use board::Queue;
pub use engines::{Engine, Engines, Requirement};
pub use keys::{
    HEADS, HOSTS, Key, LEADS, body_key, chunk_key, chunks_prefix, head_key, host_key, leader_key,
    texts_key,
};
pub use open::Job;
pub use outcome::{Assignment, End, Outcome};
pub use record::Record;
pub use row::{Chunk, Row};
pub use saved::Checkpoint;
pub use spec::{Item, Judge, Spec};
