//! Declarative file.
//!
//! `raw` mirrors the JSON text, `Snapshot` is the checked form that the rest of the library uses. The way from one to
//! the other is `Snapshot::try_from`, which lists every fault with its JSON path.

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
