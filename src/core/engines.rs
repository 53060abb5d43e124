//! Engines of a model as the order system of a zone sees them.

use std::collections::BTreeSet;

use crate::{
    core::{World, last_engine::Position, target},
    file::{Kind, Model, Snapshot},
    prelude::*,
};

/// Engines of one model.
#[derive(Debug)]
pub struct Engines {
    /// Live engines of this zone.
    pub live: Vec<TargetId>,
    /// Loads that this zone may run at once.
    pub max_loads: usize,
    pub position: Position,
}

impl Engines {
    /// Finds the engines of a model.
    pub fn new(world: &World, snapshot: &Snapshot, name: &ModelId, model: &Model) -> Self {
        let zone = &world.hosts.zone;
        let mut live = Vec::new();
        let mut zones: BTreeSet<&ZoneId> = BTreeSet::from([zone]);
        for (target, row) in &world.targets.rows {
            let pool = snapshot.pools.get(&row.pool);
            let serves = pool
                .is_some_and(|pool| matches!(&pool.kind, Kind::Engine { model } if model == name));
            if !serves || !model.zones.contains(&row.zone) {
                continue;
            }
            if row.zone == *zone && row.state == target::State::Live {
                live.push(target.clone());
            }
            // Engines of other zones are not polled from here and stay new.
            if matches!(row.state, target::State::Live | target::State::Unknown) {
                zones.insert(&row.zone);
            }
        }
        // Zones order independently, so the weight store's rate is divided among them. Each has at least one load.
        let index = zones.iter().position(|other| *other == zone).unwrap_or(0);
        let (parallel, count) = (model.parallel_loads as usize, zones.len());
        let share = parallel / count + usize::from(index < parallel % count);
        Self { live, max_loads: share.max(1), position: Position { index, zones: count } }
    }

    /// Engines of this zone that serve now. One whose load failed counts as out of service until it was polled again.
    pub fn serving(&self, world: &World) -> BTreeSet<TargetId> {
        let orders = &world.rollouts.orders;
        let serves = |target: &&TargetId| {
            !orders.busy.contains(*target) && !orders.load_failed(world, target)
        };
        self.live.iter().filter(serves).cloned().collect()
    }
}
