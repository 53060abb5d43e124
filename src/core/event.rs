//! What comes into the core.

use std::sync::Arc;

use crate::{
    core::{config, key, listing, peer, request, rollout, store, stream, target},
    prelude::*,
};

/// One input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived, or its caller went away.
    Request(request::Event),
    /// News of an attempt that runs on a target.
    Attempt(request::Progress),
    /// A caller asks for keys.
    Key(key::Issue),
    /// A trainer pulls.
    Stream(stream::Event),
    /// A trainer announces new weights.
    Announce(rollout::Announcement),
    /// A target answered an order.
    OrderReply(rollout::OrderReply),
    /// A target answered a poll, or failed to.
    Polled(target::Polled),
    /// The key-value service answered.
    Store(store::Answer),
    /// The host list was read.
    Listing(listing::ReadResult),
    /// A peer's message, or the loss of its link.
    Peer(peer::Event),
    /// An operator's call.
    Admin(config::Admin),
    /// A configuration body that the data folder held at start.
    CachedConfig(Arc<[u8]>),
}

/// Ticket that names whom to answer.
pub type Waiter = Ticket;
