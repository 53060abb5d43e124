//! Inputs of the core.

use std::sync::Arc;

use crate::core::{config, key, listing, peer, request, rollout, store, stream, target};

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived, or its caller disconnected.
    Request(request::Event),
    /// An attempt on a target made progress or ended.
    Attempt(request::Progress),
    /// A caller requested keys.
    Key(key::Issue),
    /// Event of a trainer's pull.
    Stream(stream::Event),
    /// A trainer announced new weights.
    Announce(rollout::Announcement),
    /// A target replied to an order, or failed to.
    OrderReply(rollout::OrderReply),
    /// A target answered a poll, or failed to.
    Polled(target::Polled),
    /// A call to the key-value store ended.
    Store(store::Answer),
    /// The host list was read.
    Listing(listing::ReadResult),
    /// A peer sent a message, or its link broke.
    Peer(peer::Event),
    /// An operator made a call.
    Admin(config::Admin),
    /// The data folder contained a configuration at start.
    CachedConfig(Arc<[u8]>),
}
