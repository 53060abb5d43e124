//! Requests passed on to the host that must decide them.

use crate::{
    core::{World, stream},
    prelude::*,
    wire,
};

/// Bit that marks the ticket of a request that came from a peer.
pub const FROM_PEER: Ticket = 1 << 63;

/// Requests passed on and taken.
#[derive(Debug, Default)]
pub struct Table {}

/// Passes a request on; the ticket is answered by the reply, or with `OutcomeUnknown` when none comes by the deadline.
pub fn send(world: &mut World, to: &HostId, ask: wire::Ask, ticket: Ticket, deadline: Time) {
    let _ = (world, to, ask, ticket, deadline);
}

/// Takes a request that a peer passed on.
pub fn input(world: &mut World, from: &HostId, forward: wire::Forward) {
    let _ = (world, from, forward);
}

/// Takes the reply to a request passed on.
pub fn reply(world: &mut World, from: &HostId, reply: wire::Reply) {
    let _ = (world, from, reply);
}

/// Settles what was passed on to a host whose link broke.
pub fn lost(world: &mut World, to: &HostId) {
    let _ = (world, to);
}

/// Sends the answer of a pull that came from a peer.
pub fn answer_pull(world: &mut World, ticket: Ticket, answer: &stream::Answer) {
    let _ = (world, ticket, answer);
}

/// Answers what has waited past its deadline.
pub fn run(world: &mut World) {
    let _ = world;
}
