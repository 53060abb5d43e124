//! Rollout of weight versions: `desired` keeps the desired version of each model, `order` sends the orders that make
//! engines load it.

use std::collections::BTreeMap;

use crate::{
    core::{World, desired, order, store},
    prelude::*,
};

/// Announcement of new weights by a trainer.
#[derive(Clone, Debug)]
pub struct Announcement {
    pub ticket: Ticket,
    pub trainer: TrainerId,
    pub version: Version,
    /// Reference into the weight store.
    pub weights: Box<str>,
}

/// Desired weights of a model; the higher version wins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    pub version: Version,
    pub weights: Box<str>,
}

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Load a version and serve it.
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
    /// Deadline for sending, after which the lease may have expired.
    pub send_by: Time,
}

/// Reply to an order.
#[derive(Clone, Debug)]
pub struct OrderReply {
    pub id: u64,
    pub target: TargetId,
    pub result: Result<(), Failure>,
}

/// Reason why an order failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target has seen a higher fencing token.
    StaleFence,
    /// The target answered with an error, or the connection broke or timed out.
    Failed,
    /// The order was not sent, or its reply is overdue.
    Unreachable,
}

/// Desired versions and orders.
#[derive(Debug, Default)]
pub struct Table {
    pub desired: BTreeMap<ModelId, Desired>,
    pub store_copies: BTreeMap<ModelId, desired::StoreCopy>,
    pub orders: order::Table,
    /// This host is the first in rank for orders in its zone.
    pub is_leader: bool,
    /// Time of the last check of the rank.
    pub ranked_at: Option<Time>,
    /// Time since which the store has not answered calls about versions.
    pub store_failing_since: Option<Time>,
}

impl Table {
    /// Whether the store has failed for so long that the leader continues without it.
    pub fn outage(&self, now: Time) -> bool {
        self.store_failing_since.is_some_and(|failing| now >= failing + OUTAGE_AFTER)
    }
}

/// Handles an announcement.
pub fn announce(world: &mut World, announcement: Announcement) {
    desired::announce(world, announcement);
}

/// Handles the reply to an order.
pub fn receive_reply(world: &mut World, reply: OrderReply) {
    order::receive_reply(world, reply);
}

/// Handles a desired version that a peer or the store reported.
pub fn receive(world: &mut World, model: ModelId, desired: Desired) {
    desired::receive(world, model, desired);
}

/// Handles the store's reply about the version of a model.
pub fn store_reply(
    world: &mut World,
    model: ModelId,
    result: Result<store::Reply, store::Failure>,
) {
    desired::store_reply(world, model, result);
}

/// Whether all announcements made through this host are stored, so that a draining host may exit.
pub fn idle(world: &World) -> bool {
    desired::idle(world)
}

/// Outage of the store after which the leader continues with the last known fencing token.
const OUTAGE_AFTER: Duration = Duration::from_secs(5);
/// Interval of checking the rank; failure detection takes seconds.
const RANK_INTERVAL: Duration = Duration::from_millis(250);

/// Updates the leader role, synchronises versions with the store, and sends orders.
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
