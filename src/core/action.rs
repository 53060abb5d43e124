//! What goes out of the core.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    core::{config, request, rollout, store, stream},
    file,
    prelude::*,
    wire,
};

/// One thing to be done outside the core.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt on a target.
    Dispatch(request::Attempt),
    /// Stop an attempt; its later news is not needed.
    Cancel(AttemptId),
    /// Answer a caller's request.
    Answer { ticket: Ticket, answer: request::Answer },
    /// Hand out keys.
    Keys { ticket: Ticket, keys: Vec<Box<str>> },
    /// Answer a trainer's pull.
    Batch { ticket: Ticket, answer: stream::Answer },
    /// Answer an announcement or an operator.
    Admin { ticket: Ticket, answer: config::Answer },
    /// Call the key-value service.
    Store { id: CallId, call: store::Call },
    /// Read the host list of a zone.
    ReadListing { zone: ZoneId },
    /// Poll a target for health and load.
    Poll { target: TargetId, address: Box<str> },
    /// Send an order to a target.
    Order(rollout::Order),
    /// Send a message to a peer.
    Send { to: HostId, address: Box<str>, message: wire::Message },
    /// A new configuration is in force. `body` is an encoded `wire::Config`; a host with a data folder keeps it and gives
    /// it back as `Event::CachedConfig` after a restart.
    ConfigInForce { snapshot: Arc<file::Snapshot>, body: Bytes },
    /// Something an operator should know.
    Log { level: log::Level, text: Box<str> },
    /// The host has drained; the process may exit.
    Exit,
}
