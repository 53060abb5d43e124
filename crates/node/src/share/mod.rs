//! Fair sharing of a plain service among callers while its targets have no room.
//!
//! Load pattern: more requests arrive than the targets take. One workspace may send most of them, requests differ in length and
//! urgency, and refused callers come back.
//!
//! A [`Queue`] holds the requests of one service that found no target with room at this host, and names the request that
//! tries next: the most urgent priority first, within it the workspace that has had the least service for its weight
//! ([`Shares`]), within a workspace a returned caller ([`Returns`]), then the earliest deadline. A less urgent priority gets at
//! least one try in four. Service is the time for which a request holds a target. [`Rate`] tells how often slots became free
//! while requests waited, from which the expected wait follows. Nothing here does input or output, and all state is bounded.

mod queue;
mod rate;
mod refusal;
mod request;
mod returns;
mod shares;

pub use queue::{Granted, Queue, SHARE_LEN_MAX, Ticket};
pub use rate::Rate;
pub use refusal::{Cause, Refusal};
pub use request::Request;
pub use returns::Returns;
pub use shares::{Share, Shares};
