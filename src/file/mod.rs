//! Declarative file: the yards with their models, pools, services and trainers.
//!
//! `raw` mirrors the JSON text, `Snapshot` is the validated form that the rest of the library uses.
//! `Snapshot::try_from` converts one into the other and lists every fault with its JSON path.

mod check;
mod diff;
mod error;
mod parse;
pub mod raw;
pub mod snapshot;

pub use self::snapshot::{Kind, Limits, Model, Objective, Pool, Route, Service, Snapshot, Trainer};
pub use self::{
    diff::diff,
    error::Error,
    parse::{FILE_MAX_BYTES, digest, parse},
};
