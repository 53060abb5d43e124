//! Control thread: mirrors of the store, roles, job boards and orders to engines.

mod leader;
mod mirror;
mod orders;
mod role;
mod state;

pub use mirror::{Mirror, Update};
pub use role::{Role, Standing};
pub use state::{Parts, run};
