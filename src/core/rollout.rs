//! Weight versions and the orders that bring engines to them.

use std::collections::BTreeMap;

use crate::{
    core::{World, desired, order, store},
    prelude::*,
};

/// A trainer announces new weights.
#[derive(Clone, Debug)]
pub struct Announcement {
    pub ticket: Ticket,
    pub trainer: TrainerId,
    pub version: Version,
    /// Reference into the weight store.
    pub weights: Box<str>,
}

/// Wanted weights of a model; the higher version wins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    pub version: Version,
    pub weights: Box<str>,
}

/// What a target is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Load the version and serve it.
    LoadVersion,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub id: u64,
    pub target: TargetId,
    pub address: Box<str>,
    pub fence: Fence,
    pub op: Op,
    pub model: ModelId,
    pub desired: Desired,
    pub timeout: Duration,
    /// Not to be sent after this time, because the lease behind it may have ended.
    pub send_by: Time,
}

/// Answer to an order.
#[derive(Clone, Debug)]
pub struct OrderReply {
    pub id: u64,
    pub target: TargetId,
    pub result: Result<(), Failure>,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target knows a higher fencing number.
    StaleFence,
    Failed,
    Unreachable,
}

/// Wanted versions and orders in flight.
#[derive(Debug, Default)]
pub struct Table {
    pub desired: BTreeMap<ModelId, Desired>,
    pub store_copies: BTreeMap<ModelId, desired::StoreCopy>,
    pub orders: order::Table,
    /// Whether this host is the first in rank for orders in its zone, and when that was found.
    pub is_leader: bool,
    pub ranked_at: Option<Time>,
    /// Since when the store has not answered about versions.
    pub store_failing_since: Option<Time>,
}

impl Table {
    /// Whether the store has not answered for so long that the first in rank goes on without it.
    pub fn outage(&self, now: Time) -> bool {
        self.store_failing_since.is_some_and(|failing| now >= failing + OUTAGE_AFTER)
    }
}

/// Takes an announcement.
pub fn announce(world: &mut World, announce: Announcement) {
    desired::announce(world, announce);
}

/// Takes the answer to an order.
pub fn receive_reply(world: &mut World, reply: OrderReply) {
    order::receive_reply(world, reply);
}

/// Takes a wanted version that a peer or the store reported.
pub fn receive(world: &mut World, model: ModelId, desired: Desired) {
    desired::receive(world, model, desired);
}

/// Takes the store's answer about a model's version.
pub fn store_reply(
    world: &mut World,
    model: ModelId,
    result: Result<store::Reply, store::Failure>,
) {
    desired::store_reply(world, model, result);
}

/// Whether no announcement of this host waits for the store, so that a draining host may exit.
pub fn idle(world: &World) -> bool {
    desired::idle(world)
}

/// Time without an answer from the store after which the first in rank goes on under the last known fencing number.
const OUTAGE_AFTER: Duration = Duration::from_secs(5);
/// Time between two looks at the rank; failure detection takes seconds.
const RANK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps the store in step, paces and sends orders.
pub fn run(world: &mut World) {
    if world.draining
        || world.rollouts.ranked_at.is_none_or(|ranked| world.now >= ranked + RANK_INTERVAL)
    {
        world.rollouts.is_leader =
            !world.draining && world.hosts.ranks_first(&order::lease(&world.hosts.zone));
        world.rollouts.ranked_at = Some(world.now);
    }
    desired::run(world);
    order::run(world);
}
