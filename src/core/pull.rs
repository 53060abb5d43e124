//! Ownership of streams and routing of pulls to the owner.
//!
//! The owner of a stream is the first live host by rendezvous rank. Hosts may disagree on it while membership changes,
//! so a pull is forwarded at most `HOPS_MAX` times and the last host generates for it.

use crate::{
    core::{
        World,
        cursor::Cursor,
        delivery, forward,
        stream::{self, Event, PendingPull, Row},
    },
    file,
    prelude::*,
    wire,
};

/// Longest wait of one pull, whatever the trainer asks for.
const WAIT_MAX: Duration = Duration::from_secs(300);
/// Time beyond the wait of a forwarded pull for its answer to arrive.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// Most times that a pull is forwarded: to the owner in the view of a host of another zone, then to the actual owner.
pub const HOPS_MAX: u32 = 2;
/// Time for which a host that does not consider itself the owner generates after a pull reached its last hop there.
const ADOPTION_TIME: Duration = Duration::from_secs(30);
/// Time between two updates of the owner. Failure detection takes seconds.
const OWNER_INTERVAL: Duration = Duration::from_millis(250);
/// Pulls of one trainer that may wait at the same time. Trainers repeat pulls, but run one at a time.
const WAITING_MAX: usize = 16;

/// Owner of a trainer's stream: the first host by rank in the trainer's zone, or else in the first zone of its model
/// that has a live host.
pub fn owner(
    world: &World,
    snapshot: &file::Snapshot,
    name: &str,
    trainer: &file::Trainer,
) -> Option<HostId> {
    let purpose = format!("stream/{name}");
    let first = |zone: &ZoneId| {
        let ranked = world.hosts.rank(&purpose, zone);
        // A draining host may still be live in its own table.
        ranked.into_iter().find(|host| !world.draining || *host != world.hosts.local_id)
    };
    let zones = snapshot.models.get(&trainer.model).map_or(&[][..], |model| &model.zones);
    std::iter::once(&trainer.zone).chain(zones).find_map(first)
}

/// Updates the owner of a stream, at most once per `OWNER_INTERVAL`.
pub fn refresh_owner(
    world: &World,
    snapshot: &file::Snapshot,
    name: &str,
    trainer: &file::Trainer,
    row: &mut Row,
) {
    if world.draining || world.now >= row.owner_checked + OWNER_INTERVAL {
        row.owner = owner(world, snapshot, name, trainer);
        row.owner_checked = world.now;
    }
}

/// Whether this host generates for the stream.
pub fn generates(world: &World, row: &Row) -> bool {
    !world.draining
        && (world.now < row.adopted_until || row.owner.as_ref() == Some(&world.hosts.local_id))
}

/// Handles a pull that was forwarded `hops` times: answers it from the groups held, lets it wait, or forwards it.
pub fn input(world: &mut World, event: Event, hops: u32) {
    let Some(snapshot) = world.config.snapshot.clone() else {
        return stream::refuse(
            world,
            event.ticket,
            Code::NotReady,
            "no configuration in force yet",
        );
    };
    let Some(trainer) = snapshot.trainers.get(&event.trainer) else {
        return stream::refuse(world, event.ticket, Code::UnknownTrainer, "unknown trainer");
    };
    let cursor = match Cursor::parse(&event.cursor, &event.trainer) {
        Ok(cursor) => cursor,
        Err(error) => {
            return stream::refuse(world, event.ticket, Code::CursorInvalid, &error.to_string());
        }
    };
    let name = &event.trainer;
    let wait = event.wait.min(WAIT_MAX);
    let owner = owner(world, &snapshot, name, trainer);
    let next_hop = owner.clone().filter(|owner| *owner != world.hosts.local_id && hops < HOPS_MAX);
    let known = world.streams.rows.remove(name);
    if let Some(host) = &next_hop
        && known.is_none()
    {
        return forward_pull(world, host, &event, wait, hops);
    }
    let mut row = known.unwrap_or_else(|| Row::new(cursor.clone(), event.version, world.now));
    row.advance(world, &cursor, event.version);
    (row.owner, row.owner_checked) = (owner, world.now);
    row.last_pull = world.now;
    row.idle_since = row.idle_since.or_else(|| row.offered.is_none().then_some(world.now));
    if hops >= HOPS_MAX {
        row.adopted_until = world.now + ADOPTION_TIME;
    }
    row.waiting.push(PendingPull {
        ticket: event.ticket,
        cursor,
        version: event.version,
        until: world.now + wait,
    });
    if row.waiting.len() > WAITING_MAX {
        let oldest = row.waiting.remove(0);
        stream::refuse(world, oldest.ticket, Code::NoBatch, "too many pulls wait");
    }
    delivery::serve(world, name, trainer, &mut row);
    if let Some(host) = &next_hop
        && let Some(place) = row.waiting.iter().position(|waiting| waiting.ticket == event.ticket)
    {
        row.waiting.remove(place);
        forward_pull(world, host, &event, wait, hops);
    }
    world.streams.rows.insert(event.trainer, row);
    world.streams.dirty = true;
}

fn forward_pull(world: &mut World, host: &HostId, event: &Event, wait: Duration, hops: u32) {
    let pull = wire::Request::Pull(wire::Pull {
        trainer: event.trainer.to_string(),
        cursor: event.cursor.to_string(),
        version: event.version,
        wait_ms: wait.as_millis() as u64,
        hops,
    });
    let deadline = world.now + wait + FORWARD_MARGIN;
    forward::send(world, host, pull, event.ticket, deadline);
}

/// Forwards the waiting pulls of a stream that this host does not generate to its owner.
pub fn hand_over(world: &mut World, name: &TrainerId, row: &mut Row) {
    let host = row.owner.clone().filter(|host| *host != world.hosts.local_id);
    for waiting in std::mem::take(&mut row.waiting) {
        match &host {
            Some(host) if waiting.ticket & forward::FROM_PEER == 0 => {
                let wait = waiting.until.saturating_sub(world.now);
                let event = Event {
                    ticket: waiting.ticket,
                    trainer: name.clone(),
                    cursor: (&waiting.cursor).into(),
                    version: waiting.version,
                    wait,
                };
                forward_pull(world, host, &event, wait, 0);
            }
            _ => stream::refuse(
                world,
                waiting.ticket,
                Code::NoBatch,
                "the stream moves to another host",
            ),
        }
    }
}
