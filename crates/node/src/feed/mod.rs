//! What one host of an availability zone reads from the store for the other hosts of the zone.
//!
//! The reader of a zone holds a leased key, like the leader of a service. It keeps copies of the prefixes that every
//! host follows and answers the others with the changes after a revision, with the age of what it knows. A host that
//! gets no answer, or an outdated one, reads from the store itself; a reader that loses the store says so at once.
//! Revisions are those of the store, so a host can change between a reader and the store at any time.

mod client;
mod page;
mod replica;
mod source;

pub use client::Client;
pub use page::{ChangesRequest, Page};
pub use replica::Feed;
pub use source::{Direct, Handle, Renewed, Snapshot, Source, Watched};

use crate::{job, prelude::*};

/// Name under which hosts compete to read for a zone.
pub fn reader_name(zone: &str) -> ServiceId {
    format!("{}{zone}", job::READERS).into()
}
