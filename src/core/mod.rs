//! Deterministic control core.
//!
//! Entities are rows of tables, and systems process the tables in each tick. Time and messages are passed in, messages
//! and orders are returned as actions, and randomness comes from a seeded generator. The core reads no clock, opens no
//! socket and starts no thread, so the daemon, the simulation and benchmarks drive the same code.

pub mod action;
pub mod admit;
pub mod apply;
pub mod backoff;
pub mod bucket;
pub mod budget;
pub mod bulk;
pub mod burn;
pub mod capacity;
pub mod config;
pub mod cursor;
pub mod delivery;
pub mod desired;
pub mod dispatch;
pub mod drain;
pub mod engines;
pub mod event;
pub mod finish;
pub mod forecast;
pub mod forward;
pub mod generation;
pub mod gossip;
pub mod group;
pub mod head;
pub mod health;
pub mod host;
pub mod judge;
pub mod key;
pub mod lane;
pub mod last_engine;
pub mod lease;
pub mod listing;
pub mod order;
pub mod pace;
pub mod pack;
pub mod parts;
pub mod peer;
pub mod probe;
pub mod prompt;
pub mod pull;
pub mod queue;
pub mod release;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod rows;
pub mod sampling;
pub mod settings;
pub mod startup;
pub mod status;
pub mod store;
pub mod straggler;
pub mod stream;
pub mod strike;
pub mod summary;
pub mod target;
pub mod unavailable_targets;
pub mod work;
pub mod world;

pub use self::{action::Action, event::Event, settings::Settings, world::World};

use std::sync::Arc;

use crate::{file::Snapshot, prelude::*};

/// Maximum interval between ticks.
pub const TICK_MAX: Duration = Duration::from_millis(50);

/// The control core of one host.
pub struct Core {
    world: World,
}

impl Core {
    /// A core with empty tables.
    pub fn new(settings: Settings, now: Time) -> Self {
        Self { world: World::new(settings, now) }
    }

    /// A core with a configuration in force and targets, for tests and benchmarks.
    pub fn with_snapshot(
        settings: Settings,
        now: Time,
        snapshot: Snapshot,
        entries: &[listing::Entry],
    ) -> Self {
        let mut core = Self::new(settings, now);
        core.world.config.revision = snapshot.revision;
        core.world.config.snapshot = Some(Arc::new(snapshot));
        for entry in entries {
            target::upsert(&mut core.world, entry);
        }
        core
    }

    /// Applies an event to the tables. The next tick acts on it.
    pub fn input(&mut self, now: Time, event: Event) {
        let world = &mut self.world;
        world.now = now;
        match event {
            Event::Request(event) => request::input(world, event),
            Event::Attempt(event) => request::attempt(world, event),
            Event::Key(event) => key::input(world, event),
            Event::Stream(event) => stream::input(world, event),
            Event::Announce(event) => rollout::announce(world, event),
            Event::OrderReply(event) => rollout::receive_reply(world, event),
            Event::Polled(event) => target::polled(world, event),
            Event::Store(event) => store::input(world, event),
            Event::Listing(event) => listing::input(world, event),
            Event::Peer(event) => peer::input(world, event),
            Event::Admin(event) => config::input(world, event),
            Event::CachedConfig(body) => config::load_cached(world, &body),
        }
    }

    /// Runs each system once and returns the actions to perform.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let world = &mut self.world;
        world.now = now;
        store::run(world);
        config::run(world);
        peer::run(world);
        host::run(world);
        listing::run(world);
        target::run(world);
        forward::run(world);
        key::run(world);
        strike::run(world);
        request::run(world);
        stream::run(world);
        rollout::run(world);
        burn::run(world);
        std::mem::take(&mut world.actions)
    }

    /// Time by which the next tick is due.
    pub fn wake(&self) -> Time {
        let latest = self.world.now + TICK_MAX;
        request::wake(&self.world).map_or(latest, |time| time.clamp(self.world.now, latest))
    }

    /// The tables, for status pages and checks.
    pub fn world(&self) -> &World {
        &self.world
    }

    /// The tables, for tests that set up a state that takes long to reach by events.
    pub fn world_mut(&mut self) -> &mut World {
        &mut self.world
    }
}
