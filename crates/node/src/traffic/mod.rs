//! Traffic thread: serves callers and trainers, and carries requests and items to targets.

mod accept;
mod channel;
mod dispatch;
mod entry;
mod jobs;
mod pool;
mod run;
mod serve;
mod submit;

pub use accept::accept;
pub use channel::{Channel, Channels, Liveness, set_keepalive};
pub use jobs::{Error as JobError, read_spec};
pub use pool::Pool;
pub use run::{Command, Report, Run};
pub use serve::{Parts, run};
