//! Graceful stop.

use serde_json::json;

use crate::{
    core::{
        Action, World,
        config::{self, Answer},
        host, request, stream,
    },
    prelude::*,
};

/// A stop that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    deadline: Time,
    exited: bool,
}

/// Begins the stop: new work is refused, roles move at once, work in flight ends.
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

/// Ends the process once nothing is in flight, or after the limit.
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
