//! Expected lengths of texts.
//!
//! Trainers give hints of the lengths, which may be far off or missing. Each trainer's hints are measured by its own
//! finished texts, so that they say little of the texts of others:
//!
//! - A hint that no text can have counts as none ([`Hint`]).
//! - The ratio of events to hints is that of one trainer's recent texts, of which no single one weighs much
//!   ([`History`]).
//! - A text is expected to be at most twice as long as the longest recent one ([`Estimate`]).

mod estimate;
mod hint;
mod history;
mod table;

pub use estimate::Estimate;
pub use hint::{Error, Hint};
pub use history::History;
pub use table::{Table, Trainer};
