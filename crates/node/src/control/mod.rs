//! Control thread: mirrors the store, leads services, schedules job items and orders engines to load weights.
//!
//! [`Mirror`] copies prefixes of the store into [`StoreState`]. For each service with engines, [`Election`] competes
//! for the leadership; while this host holds it, a `Leader` decides what runs and loads where, and `actions` executes
//! that.

mod actions;
mod dry_run;
mod election;
mod failures;
mod leader;
mod mirror;
mod moves;
mod news;
mod orders;
mod outages;
mod parts;
mod prompts;
mod roles;
mod rollout;
mod scale;
mod schedule;
mod sessions;
mod software;
mod starts;
mod state;
mod stop;
mod store_state;
mod stored;
mod tasks;
mod update;
mod updates;
mod usage;
pub mod waits;
mod writes;

pub use election::{Election, LeaderKey, Leadership};
pub use mirror::Mirror;
pub use parts::Parts;
pub use schedule::Schedule;
pub use state::run;
pub use store_state::{Effect, StoreState};
pub use update::Update;
pub use usage::settle;
