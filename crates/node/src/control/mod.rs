//! Control thread: mirrors of the store, roles, job boards and orders to engines.

mod known;
mod lead;
mod leader;
mod mirror;
mod orders;
mod role;
mod rollout;
mod state;
mod tasks;

pub use known::{Effect, Known};
pub use mirror::{Mirror, Pace, Update};
pub use role::{Role, Standing};
pub use state::{Parts, run};
