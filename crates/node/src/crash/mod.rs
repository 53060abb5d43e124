//! Requests under which targets end, by what they ask.
//!
//! A request that ends the target which runs it comes again with another id, at any host. Its content names it: a hash of what
//! a target is asked to do. Each instance of a target that ends under a content gives it a strike. A success clears it.
//!
//! A request is refused as not run from three strikes on; a few ends of runs that had got further than any before give none.
//! An item has to be done, and what ends its engines mostly is something else. It waits from three strikes on only if chance
//! does not explain them: a content that ends its targets does so with each of them, soon after it began, while targets
//! without it stay up. `Evidence` compares the ends in the time that it ran with those of other targets. A few ends together
//! with others give an item no strike.
//!
//! A held content has trials, one at a time. Hosts tell each other of strikes and successes. The store keeps held contents,
//! for hosts that are all started anew.

mod content;
mod ends;
mod evidence;
mod record;
mod stored;
mod table;

pub use content::Content;
pub use evidence::Evidence;
pub use record::{Record, Strike, Verdict};
pub use stored::Stored;
pub use table::{Effect, Run, Table};
