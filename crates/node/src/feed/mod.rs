//! What one host of an availability zone reads from the store for the other hosts of the zone.
//!
//! The reader of a zone holds a leased key, like the leader of a service. It keeps copies of the prefixes that every
//! host follows and answers the others with the changes after a revision, with the age of what it knows. A host that
//! gets no answer, or an outdated one, reads from the store itself; a reader that loses the store says so at once.
//! Revisions are those of the store, so a host can change between a reader and the store at any time.
//!
//! An answer of the store that is lost leaves a watch waiting without an error, and the reader with all hosts of its zone
//! behind. So the age of each prefix is bounded ([`MaxAge`]). One reader, the primary one, follows the prefixes by watches
//! that are short enough for that. The others wait longer, and check with the primary reader meanwhile whether they have
//! missed a change: messages between hosts cost the store nothing. Without its answer they watch as shortly as it does.

mod client;
mod max_age;
mod page;
mod replica;
mod source;

pub use client::{Client, Readers};
pub use max_age::MaxAge;
pub use page::{ChangesRequest, Page};
pub use replica::Feed;
pub use source::{Checked, Direct, Handle, Renewed, Snapshot, Source, Wait, Watched};

use crate::{job, prelude::*};

/// Name under which hosts compete to read for a zone.
pub fn reader_name(zone: &str) -> ServiceId {
    format!("{}{zone}", job::READERS).into()
}
