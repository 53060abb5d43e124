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

pub use board::Board;
pub use engines::{Engine, Engines, Wish};
pub use keys::{HEADS, HOSTS, Key, LEADS, body_part, head, host, lead, rows, rows_prefix, texts};
pub use open::Job;
pub use outcome::{Ended, Outcome, Start};
pub use record::Record;
pub use row::{Chunk, Row};
pub use saved::Saved;
pub use spec::{Item, Judge, Spec};
