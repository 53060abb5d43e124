//! Prompts that engines probably still hold in their caches, and whether that lets an item end sooner there.
//!
//! Load pattern: items name the parts of their prompts. The members of a group share a prompt and start together, all
//! items of a trainer may begin with the same part, and an item that continues goes to an engine again. An engine prefills a
//! prompt only from the first part that it lacks.
//!
//! `table` estimates what each engine of a service holds from what the service's leader sent there. `weigh` compares
//! engines for one item by the expected time until its text is complete: tokens to prefill at the engine's rate (`rate`), a
//! wait for room in its cache, and the rest of the text at its pace. The estimate is never needed for a correct answer: it is
//! kept in memory, bounded, and dropped as soon as it is in doubt.

mod cache;
mod prompt;
mod rate;
mod sent;
mod settings;
mod table;
mod weigh;

pub use prompt::{Part, Prompt};
pub use rate::Rate;
pub use sent::Sent;
pub use settings::Settings;
pub use table::Table;
pub use weigh::{Candidate, Work, weigh};
