//! State of the core: the tables of all modules.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    core::{
        Action, Settings, burn, config, forward, host, key, listing, peer, queue, request, rollout,
        store, stream, strike, target,
    },
    prelude::*,
};

/// State of one host's core. Each system receives all of it and changes the table of its own module.
pub struct World {
    pub now: Time,
    pub settings: Settings,
    pub rng: ChaCha8Rng,
    pub hosts: host::Table,
    pub peers: peer::Table,
    pub listing: listing::Table,
    pub targets: target::Table,
    pub store: store::Table,
    pub config: config::Table,
    pub forwards: forward::Table,
    pub keys: key::Table,
    pub requests: request::Table,
    pub queues: queue::Table,
    pub strikes: strike::Table,
    pub streams: stream::Table,
    pub rollouts: rollout::Table,
    pub burn: burn::Table,
    /// Bulk requests that ended in this tick, consumed by `stream`.
    pub completions: Vec<request::Completion>,
    /// The host drains: a stop signal or a drain call was received.
    pub draining: bool,
    /// Output of the current tick.
    pub actions: Vec<Action>,
}

impl World {
    /// Empty tables.
    pub fn new(settings: Settings, now: Time) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            now,
            rng,
            hosts: host::Table::new(&settings, now),
            peers: peer::Table::default(),
            listing: listing::Table::default(),
            targets: target::Table::default(),
            store: store::Table::default(),
            config: config::Table::default(),
            forwards: forward::Table::default(),
            keys: key::Table::default(),
            requests: request::Table::default(),
            queues: queue::Table::default(),
            strikes: strike::Table::default(),
            streams: stream::Table::default(),
            rollouts: rollout::Table::default(),
            burn: burn::Table::default(),
            completions: Vec::new(),
            draining: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Adds an action to the tick's output.
    pub fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a log line to the tick's output.
    pub fn log(&mut self, level: log::Level, text: impl Into<Box<str>>) {
        self.actions.push(Action::Log { level, text: text.into() });
    }
}
