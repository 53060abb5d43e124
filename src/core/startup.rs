//! Query of peers by a starting host before it puts a configuration in force.
//!
//! The store may have been restored to an older state, and a single peer may lag. A host that relied on either could go
//! back to a revision below the one that it had in force before its restart.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    core::{World, config, gossip, peer, rows::Key},
    prelude::*,
    wire::{self, Body},
};

/// Maximum number of queried peers, those of the own zone first. Settings list a few hosts per zone; more only cost
/// messages.
const QUERIED_MAX: usize = 64;

/// State of the query to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Pending,
    Unreachable,
    Received,
}

/// State of the wait for the answers of peers.
#[derive(Debug, Default)]
pub struct Startup {
    done: bool,
    deadline: Option<Time>,
    next_query: Time,
    answers: BTreeMap<HostId, Answer>,
    /// Highest head reported by a peer, and the peer.
    newest: Option<(HostId, wire::Head)>,
    /// File with the highest revision received so far.
    held: Option<(wire::Head, Bytes)>,
}

impl Startup {
    fn newest_revision(&self) -> Revision {
        self.newest.as_ref().map_or(0, |(_, head)| head.revision)
    }

    /// Revision of the file that is held back.
    pub fn held_revision(&self) -> Revision {
        self.held.as_ref().map_or(0, |(head, _)| head.revision)
    }
}

/// Whether this host still waits for answers of its peers.
pub fn is_waiting(world: &World) -> bool {
    !world.config.startup.done && world.config.snapshot.is_none()
}

/// Holds back a file until the peers have answered.
pub fn hold_back(world: &mut World, head: &wire::Head, body: Bytes) {
    let startup = &mut world.config.startup;
    if startup.held_revision() < head.revision {
        startup.held = Some((head.clone(), body));
    }
}

/// Records a head that a peer has in force.
pub fn observe_head(world: &mut World, from: &HostId, head: &wire::Head) {
    let startup = &mut world.config.startup;
    if startup.newest_revision() < head.revision {
        startup.newest = Some((from.clone(), head.clone()));
    }
}

/// Handles a peer's answer. The head is absent if the peer has no configuration.
pub fn receive_answer(world: &mut World, from: &HostId, head: Option<&wire::Head>) {
    if !is_waiting(world) {
        return;
    }
    if let Some(answer) = world.config.startup.answers.get_mut(from) {
        *answer = Answer::Received;
    }
    if let Some(head) = head {
        config::receive_head(world, from, head);
    }
}

/// Records that a peer could not be reached.
pub fn peer_unreachable(world: &mut World, to: &HostId) {
    if let Some(answer) = world.config.startup.answers.get_mut(to)
        && *answer == Answer::Pending
    {
        *answer = Answer::Unreachable;
    }
}

/// Queries peers until enough have answered or the deadline passes, then puts the newest file in force.
pub fn run(world: &mut World) {
    // The query contains this host's row, which is published in the first tick.
    if !is_waiting(world)
        || (world.hosts.local_row().heartbeat == 0 && !world.settings.peers.is_empty())
    {
        return;
    }
    let now = world.now;
    let applies = !world.config.applies.is_empty();
    let startup = &mut world.config.startup;
    if startup.deadline.is_none() && (startup.held.is_some() || applies) {
        // The wait starts with the first file or apply, so that a zone that was partitioned since the start can still
        // answer after it recovers.
        startup.deadline = Some(now + world.settings.config_wait);
    }
    if startup.deadline.is_none_or(|deadline| now < deadline) {
        query_peers(world);
        if !has_enough_answers(world) {
            return;
        }
        let startup = &world.config.startup;
        if startup.held_revision() < startup.newest_revision() {
            if let Some((from, head)) = startup.newest.clone() {
                config::receive_head(world, &from, &head);
            }
            return;
        }
    }
    finish(world);
    if let Some((head, body)) = world.config.startup.held.take() {
        config::install(world, &head, body);
    }
}

/// Ends the wait and drops the answers.
pub fn finish(world: &mut World) {
    world.config.startup.done = true;
    world.config.startup.answers.clear();
}

fn query_peers(world: &mut World) {
    if world.now < world.config.startup.next_query {
        return;
    }
    world.config.startup.next_query = world.now + world.settings.gossip_interval;
    let zone = &world.hosts.zone;
    let seeds = || world.settings.peers.iter().filter(|seed| seed.host != world.hosts.local_id);
    let own = seeds().filter(|seed| seed.zone == *zone);
    let others = seeds().filter(|seed| seed.zone != *zone);
    let ids: Vec<HostId> =
        own.chain(others).take(QUERIED_MAX).map(|seed| seed.host.clone()).collect();
    let Some(sender) = gossip::row(world, &Key::Host) else {
        return;
    };
    for id in ids {
        let answer = world.config.startup.answers.entry(id.clone()).or_insert(Answer::Pending);
        if *answer != Answer::Received {
            let sender = Some(sender.clone());
            peer::send(world, &id, Body::HeadRequest(wire::HeadRequest { sender }));
        }
    }
}

/// Whether every queried peer has answered or is unreachable, and at least one peer each of the own zone and of other
/// zones has answered, where there are such peers.
fn has_enough_answers(world: &World) -> bool {
    let (mut own, mut others) = (Vec::new(), Vec::new());
    for seed in &world.settings.peers {
        if let Some(answer) = world.config.startup.answers.get(&seed.host) {
            let answers = if seed.zone == world.hosts.zone { &mut own } else { &mut others };
            answers.push(*answer);
        }
    }
    let answered = |answers: &[Answer]| answers.is_empty() || answers.contains(&Answer::Received);
    answered(&own)
        && answered(&others)
        && !own.iter().chain(&others).any(|answer| *answer == Answer::Pending)
}

/// Sends the head in force to a starting host.
pub fn send_head(world: &mut World, from: &HostId) {
    let head = world.config.head();
    peer::send(world, from, Body::Config(wire::Config { head, body: Bytes::new() }));
}
