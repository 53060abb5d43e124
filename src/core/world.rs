//! All tables of the core.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    core::{
        Action, Settings, burn, config, forward, host, key, listing, peer, queue, request, rollout,
        store, stream, strike, target,
    },
    prelude::*,
};

/// Every table of one host's core. A system takes it whole and changes the table of its own module.
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
    /// Bulk requests that ended; `stream` drains them in the same tick.
    pub completions: Vec<request::Completion>,
    /// Set once the first stop signal came.
    pub draining: bool,
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

    /// Adds a line for the operator's log.
    pub fn log(&mut self, level: log::Level, text: impl Into<Box<str>>) {
        self.actions.push(Action::Log { level, text: text.into() });
    }
}
