//! Requests under which targets end, by what they ask.
//!
//! A request that ends the target which runs it comes again with another id, at any host. Its content names it: a hash of what
//! a target is asked to do. Each instance of a target that ends under a content gives it a strike. A success clears it.
//!
//! A request is refused as not run from three strikes on; a few ends of runs that had got further than any before give none.
//! Items have no strikes: they have to be done, whatever ends their engines (`job::Doubt`).
//!
//! A held content has trials, one at a time. Hosts tell each other of strikes and successes. The store keeps held contents,
//! for hosts that are all started anew.

mod content;
mod record;
mod stored;
mod table;

pub use content::Content;
pub use record::{Record, Strike, Verdict};
pub use stored::Stored;
pub use table::{Effect, Run, Table};
