//! A stream that has begun at a target.

use std::sync::Arc;

use http::response::Parts;
use hyper::body::Incoming;

use crate::{
    dialect::Answer,
    events::Parser,
    fleet::Target,
    traffic::{body::Taken, channel::Channel, exchange::InFlight, visit::Visit},
};

/// A stream at a target, from its first event on.
pub(super) struct Open {
    pub(super) target: Arc<Target>,
    pub(super) head: Parts,
    pub(super) channel: Channel,
    pub(super) body: Incoming,
    pub(super) parser: Parser,
    /// Bytes held for the caller.
    pub(super) held: Taken,
    /// The target has sent everything.
    pub(super) ended: bool,
    pub(super) closes: bool,
    pub(super) answer: Answer,
    /// Until the end of the stream at this target.
    pub(super) visit: Option<Visit>,
    pub(super) _in_flight: InFlight,
}
