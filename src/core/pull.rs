//! Pulls: the stream's owner by rank, and the way of a pull to it.

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
/// Time beyond a pull's wait in which its forwarded answer may still come.
const FORWARD_MARGIN: Duration = Duration::from_secs(2);
/// Times that one pull is passed on: to the owner as a host of another zone sees it, then to the owner itself.
pub const HOPS_MAX: u32 = 2;
/// How long a host generates for a trainer because a pull ended here, although it is not the owner in its own view.
const ADOPTED: Duration = Duration::from_secs(30);
/// Time between two looks at the rank; failure detection takes seconds.
const RANK_INTERVAL: Duration = Duration::from_millis(250);
/// Pulls of one trainer that may wait at once; trainers repeat a pull, they do not run many.
const WAITING_MAX: usize = 16;

/// First in rank for a trainer's stream: in its own zone, else in the first zone of its yard that has a live host.
pub fn owner(
    world: &World,
    snapshot: &file::Snapshot,
    name: &str,
    trainer: &file::Trainer,
) -> Option<HostId> {
    let purpose = format!("stream/{name}");
    let first = |zone: &ZoneId| {
        let ranked = world.hosts.rank(&purpose, zone);
        // A draining host may still stand as live in its own table.
        ranked.into_iter().find(|host| !world.draining || *host != world.hosts.me)
    };
    let zones = snapshot.models.get(&trainer.model).map_or(&[][..], |model| &model.zones);
    std::iter::once(&trainer.zone).chain(zones).find_map(first)
}

/// Finds the owner of a stream again, at most a few times a second.
pub fn rank(
    world: &World,
    snapshot: &file::Snapshot,
    name: &str,
    trainer: &file::Trainer,
    row: &mut Row,
) {
    if world.draining || world.now >= row.ranked + RANK_INTERVAL {
        row.owner = owner(world, snapshot, name, trainer);
        row.ranked = world.now;
    }
}

/// Whether this host generates for the stream.
pub fn generates(world: &World, row: &Row) -> bool {
    !world.draining && (world.now < row.adopted || row.owner.as_ref() == Some(&world.hosts.me))
}

/// Takes a pull that was passed on `hops` times: answers it from what is held, keeps it waiting, or passes it on.
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
    let cursor = match Cursor::read(&event.cursor, &event.trainer) {
        Ok(cursor) => cursor,
        Err(error) => {
            return stream::refuse(world, event.ticket, Code::CursorInvalid, &error.to_string());
        }
    };
    let name = &event.trainer;
    let wait = event.wait.min(WAIT_MAX);
    let owner = owner(world, &snapshot, name, trainer);
    let next_hop = owner.clone().filter(|owner| *owner != world.hosts.me && hops < HOPS_MAX);
    let known = world.streams.rows.remove(name);
    if let Some(host) = &next_hop
        && known.is_none()
    {
        return pass_on(world, host, &event, wait, hops);
    }
    let mut row = known.unwrap_or_else(|| Row::new(cursor.clone(), event.version, world.now));
    row.moved(world, &cursor, event.version);
    (row.owner, row.ranked) = (owner, world.now);
    row.last_pull = world.now;
    row.idle_since = row.idle_since.or_else(|| row.offered.is_none().then_some(world.now));
    if hops >= HOPS_MAX {
        row.adopted = world.now + ADOPTED;
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
        pass_on(world, host, &event, wait, hops);
    }
    world.streams.rows.insert(event.trainer, row);
    world.streams.dirty = true;
}

fn pass_on(world: &mut World, host: &HostId, event: &Event, wait: Duration, hops: u32) {
    let ask = wire::Ask::Pull(wire::Pull {
        trainer: event.trainer.to_string(),
        cursor: event.cursor.to_string(),
        version: event.version,
        wait_ms: wait.as_millis() as u64,
        hops,
    });
    let deadline = world.now + wait + FORWARD_MARGIN;
    forward::send(world, host, ask, event.ticket, deadline);
}

/// Passes the waiting pulls of a stream that this host does not generate on to the owner.
pub fn hand_over(world: &mut World, name: &TrainerId, row: &mut Row) {
    let host = row.owner.clone().filter(|host| *host != world.hosts.me);
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
                pass_on(world, host, &event, wait, 0);
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
