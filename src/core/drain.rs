//! Graceful stop of a host.

use serde_json::json;

use crate::{
    core::{
        Action, World,
        config::{self, Answer},
        host, request, stream,
    },
    prelude::*,
};

/// Progress of a stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    deadline: Time,
    exited: bool,
}

/// Starts the stop: the host refuses new work, gives up its roles at once and finishes work in flight.
pub fn start(world: &mut World, ticket: Option<Ticket>) {
    if world.config.drain.is_none() {
        world.draining = true;
        world.config.drain =
            Some(Drain { deadline: world.now + world.settings.drain_limit, exited: false });
        world.log(log::Level::Info, "draining");
        host::start_leaving(world);
    }
    if let Some(ticket) = ticket {
        config::answer(world, ticket, Answer::Done(json!({"draining": true})));
    }
}

/// Exits once no work is in flight, or after the limit.
pub fn run(world: &mut World) {
    let Some(drain) = world.config.drain.filter(|drain| !drain.exited) else {
        return;
    };
    let idle = request::idle(world) && stream::idle(world) && world.config.applies.is_empty();
    if !idle && world.now < drain.deadline {
        return;
    }
    if !idle {
        world.log(log::Level::Warn, "drain limit has passed with work in flight");
    }
    world.config.drain = Some(Drain { exited: true, ..drain });
    world.emit(Action::Exit);
}
