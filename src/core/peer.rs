//! Gossip with peers.

use crate::{
    core::{Action, World},
    prelude::*,
    wire,
};

/// News from a peer link.
#[derive(Clone, Debug)]
pub enum Event {
    Message {
        from: HostId,
        message: Box<wire::Message>,
    },
    /// A message could not be sent, or the link broke.
    Lost {
        to: HostId,
    },
}

/// How fast a row goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// With the next exchanges.
    Gossip,
    /// To a few hosts of the zone at once, then by gossip.
    PushFew,
    /// To all hosts of the zone at once.
    PushAll,
}

/// Digests, row versions and the byte budget.
#[derive(Debug, Default)]
pub struct Table {}

/// Sends one message to a host whose address is known.
pub fn send(world: &mut World, to: &HostId, body: wire::Body) {
    let Some(address) = world.hosts.rows.get(to).map(|row| row.address.clone()) else {
        return;
    };
    world.emit(Action::Send {
        to: to.clone(),
        address,
        message: wire::Message { body: Some(body) },
    });
}

/// Publishes a row of this host.
pub fn publish(world: &mut World, item: wire::Item, spread: Spread) {
    let _ = (world, item, spread);
}

/// Takes a message.
pub fn input(world: &mut World, event: Event) {
    let _ = (world, event);
}

/// Starts exchanges.
pub fn run(world: &mut World) {
    let _ = world;
}
