//! The traffic thread: serves callers and trainers, and sends their requests and the items of jobs to targets.
//!
//! `entry` handles requests at the entry address if their keys allow it (`access`): `dispatch` forwards them to plain
//! services over targets that `pool` chooses, in turn (`turns`) while these have no room and callers have workspaces, `permit` asks for requests to targets with a limit, `submit` and `jobs` write
//! and read batch jobs, through their leader (`peers`) or in the store. `run` executes job items on engines as the control
//! thread commands. `connect` opens the connections to targets, through another host (`tunnel`) while the links of this one
//! are lost. `suspects` keeps requests from targets under which others ended (`ended`) or fell silent (`silence`), also
//! after a start (`held`). `dry_run` explains to an operator where a request would go.

mod absence;
mod accept;
mod access;
mod announce;
mod body;
mod cache;
mod callers;
mod channel;
mod connect;
mod dispatch;
mod dry_run;
mod ended;
mod endpoint;
mod entry;
mod event_body;
mod exchange;
mod forward;
mod head_limit;
mod held;
mod jobs;
mod judge;
mod open;
mod origins;
mod peers;
mod permit;
mod pool;
mod report;
mod run;
mod run_log;
mod run_report;
mod runner;
mod select;
mod serve;
mod silence;
mod stop;
mod stream;
mod submit;
mod suspects;
mod tunnel;
mod turn;
mod turns;
mod visit;

pub use accept::accept;
pub use body::{Budget, Buffer, Error as BodyError, read as read_body};
pub use channel::{
    Channel, Channels, Demand, Error as ChannelError, Liveness, set_ack_timeout, set_keepalive,
};
pub use connect::CONNECT_TIMEOUT;
pub use endpoint::Endpoint;
pub use jobs::{Error as JobError, read_spec};
pub use pool::{Connection, Pool, Score};
pub use report::{Command, Report, Source, Submission};
pub use run::Run;
pub use run_report::RunReport;
pub use serve::{Parts, run};
