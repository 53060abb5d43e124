//! What a starting host asks its peers before it puts a configuration in force.
//!
//! The store may have come back older, and a single peer may lag. A host that obeyed either could go back to a revision
//! below the one that it had in force before its restart.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    core::{World, config, gossip, peer, rows::Key},
    prelude::*,
    wire::{self, Body},
};

/// Peers that are asked, those of the own zone first. Settings name a few hosts a zone; more only cost messages.
const ASKED_MAX: usize = 64;

/// What came of asking a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Pending,
    Unreachable,
    Heard,
}

/// Answers so far.
#[derive(Debug, Default)]
pub struct Startup {
    done: bool,
    until: Option<Time>,
    next_ask: Time,
    answers: BTreeMap<HostId, Answer>,
    /// Highest head that a peer has in force, and that peer.
    newest: Option<(HostId, wire::Head)>,
    /// File with the highest revision that came in meanwhile.
    held: Option<(wire::Head, Bytes)>,
}

impl Startup {
    fn newest(&self) -> Revision {
        self.newest.as_ref().map_or(0, |(_, head)| head.revision)
    }

    /// Revision of the file that is held back.
    pub fn held(&self) -> Revision {
        self.held.as_ref().map_or(0, |(head, _)| head.revision)
    }
}

/// Whether this host still waits for its peers' answers.
pub fn is_waiting(world: &World) -> bool {
    !world.config.startup.done && world.config.snapshot.is_none()
}

/// Keeps a file until the peers have answered.
pub fn hold_back(world: &mut World, head: &wire::Head, body: Bytes) {
    let startup = &mut world.config.startup;
    if startup.held() < head.revision {
        startup.held = Some((head.clone(), body));
    }
}

/// Takes a head that a peer has in force.
pub fn observe_head(world: &mut World, from: &HostId, head: &wire::Head) {
    let startup = &mut world.config.startup;
    if startup.newest() < head.revision {
        startup.newest = Some((from.clone(), head.clone()));
    }
}

/// Takes a peer's answer; a peer without a configuration names no head.
pub fn receive_answer(world: &mut World, from: &HostId, head: Option<&wire::Head>) {
    if !is_waiting(world) {
        return;
    }
    if let Some(answer) = world.config.startup.answers.get_mut(from) {
        *answer = Answer::Heard;
    }
    if let Some(head) = head {
        config::receive_head(world, from, head);
    }
}

/// Takes note that a peer could not be reached.
pub fn peer_unreachable(world: &mut World, to: &HostId) {
    if let Some(answer) = world.config.startup.answers.get_mut(to)
        && *answer == Answer::Pending
    {
        *answer = Answer::Unreachable;
    }
}

/// Asks peers again until enough have answered, then puts the newest file in force.
pub fn run(world: &mut World) {
    // The question carries this host's row, which is published in the first tick.
    if !is_waiting(world) || (world.hosts.own().beat == 0 && !world.settings.peers.is_empty()) {
        return;
    }
    let now = world.now;
    let applies = !world.config.applies.is_empty();
    let startup = &mut world.config.startup;
    if startup.until.is_none() && (startup.held.is_some() || applies) {
        // Counted from the first file or apply, so that a zone that was cut off since the start is heard once it is back.
        startup.until = Some(now + world.settings.config_wait);
    }
    if startup.until.is_none_or(|until| now < until) {
        ask(world);
        if !enough(world) {
            return;
        }
        let startup = &world.config.startup;
        if startup.held() < startup.newest() {
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

/// Ends the wait.
pub fn finish(world: &mut World) {
    world.config.startup.done = true;
    world.config.startup.answers.clear();
}

fn ask(world: &mut World) {
    if world.now < world.config.startup.next_ask {
        return;
    }
    world.config.startup.next_ask = world.now + world.settings.gossip_interval;
    let zone = &world.hosts.zone;
    let seeds = || world.settings.peers.iter().filter(|seed| seed.host != world.hosts.me);
    let own = seeds().filter(|seed| seed.zone == *zone);
    let others = seeds().filter(|seed| seed.zone != *zone);
    let ids: Vec<HostId> =
        own.chain(others).take(ASKED_MAX).map(|seed| seed.host.clone()).collect();
    let Some(sender) = gossip::row(world, &Key::Host) else {
        return;
    };
    for id in ids {
        let answer = world.config.startup.answers.entry(id.clone()).or_insert(Answer::Pending);
        if *answer != Answer::Heard {
            let sender = Some(sender.clone());
            peer::send(world, &id, Body::HeadAsk(wire::HeadAsk { sender }));
        }
    }
}

/// Whether every peer that was asked has answered or cannot be reached, and the own zone and another one are heard, as
/// far as there are peers in them.
fn enough(world: &World) -> bool {
    let (mut own, mut others) = (Vec::new(), Vec::new());
    for seed in &world.settings.peers {
        if let Some(answer) = world.config.startup.answers.get(&seed.host) {
            let place = if seed.zone == world.hosts.zone { &mut own } else { &mut others };
            place.push(*answer);
        }
    }
    let heard = |answers: &[Answer]| answers.is_empty() || answers.contains(&Answer::Heard);
    heard(&own)
        && heard(&others)
        && !own.iter().chain(&others).any(|answer| *answer == Answer::Pending)
}

/// Answers a starting host.
pub fn send_head(world: &mut World, from: &HostId) {
    let head = world.config.head();
    peer::send(world, from, Body::Config(wire::Config { head, body: Bytes::new() }));
}
