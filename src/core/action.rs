//! Outputs of the core.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    core::{config, request, rollout, store, stream},
    file,
    prelude::*,
    wire,
};

/// An effect to perform outside the core.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt on a target.
    Dispatch(request::Attempt),
    /// Stop an attempt; its later events are ignored.
    Cancel(AttemptId),
    /// Answer a caller's request.
    Answer { ticket: Ticket, answer: request::Answer },
    /// Return keys to a caller.
    Keys { ticket: Ticket, keys: Vec<Box<str>> },
    /// Answer a trainer's pull.
    Batch { ticket: Ticket, answer: stream::Answer },
    /// Answer an announcement or an operator.
    Admin { ticket: Ticket, answer: config::Answer },
    /// Call the key-value store.
    Store { id: CallId, call: store::Call },
    /// Read the host list of a zone.
    ReadListing { zone: ZoneId },
    /// Poll the health and load of a target.
    Poll { target: TargetId, address: Box<str> },
    /// Send an order to a target.
    Order(rollout::Order),
    /// Send a message to a peer.
    Send { to: HostId, address: Box<str>, message: wire::Message },
    /// A new configuration is in force. `body` is an encoded `wire::Config`. A host with a data folder stores it and
    /// passes it as `Event::CachedConfig` after a restart.
    ConfigInForce { snapshot: Arc<file::Snapshot>, body: Bytes },
    /// Write a line to the log.
    Log { level: log::Level, text: Box<str> },
    /// Exit the process; the host has drained.
    Exit,
}
