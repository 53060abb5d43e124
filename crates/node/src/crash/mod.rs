//! Requests under which targets end, by what they ask.
//!
//! A request that ends the target which runs it comes again with another id, at any host. Its content names it: a hash of what
//! a target is asked to do. Each target that ends under a content gives it a strike, but for a few whose run had got further
//! than any before it, or that ended together with others. At three strikes the content is held: it is refused as not run, or
//! an item waits. A success clears it.
//!
//! Other requests that a target had in progress get a strike with the one that ended it, so a held content has trials, one at
//! a time: the first two after a second, one more once another target has ended without it, later ones after an hour each. Hosts tell each other of strikes and successes. The store
//! keeps held contents, for hosts that are all started anew.

mod content;
mod record;
mod stored;
mod table;

pub use content::Content;
pub use record::{Record, Strike, Verdict};
pub use stored::Stored;
pub use table::{Effect, Run, Table};
