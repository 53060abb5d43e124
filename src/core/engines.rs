//! Engines of a model, as input for the weight-load orders of this zone.
//!
//! Each zone orders the loads of its own engines. A model's limit of parallel loads is divided among the zones that
//! have engines of it.

use std::collections::BTreeSet;

use crate::{
    core::{World, lane, last_engine::Position, target},
    file::{Kind, Model, Snapshot},
    prelude::*,
};

/// Engines of one model.
#[derive(Debug)]
pub struct Engines {
    /// Live engines of this zone.
    pub live: Vec<TargetId>,
    /// Weight loads that this zone may run at the same time.
    pub max_loads: usize,
    pub position: Position,
}

impl Engines {
    /// Collects the engines of a model.
    pub fn new(world: &World, snapshot: &Snapshot, name: &ModelId, model: &Model) -> Self {
        let zone = &world.hosts.zone;
        let mut live = Vec::new();
        let mut zones: BTreeSet<&ZoneId> = BTreeSet::from([zone]);
        for (target, row) in &world.targets.rows {
            let pool = snapshot.pools.get(&row.pool);
            let serves = pool
                .is_some_and(|pool| matches!(&pool.kind, Kind::Engine { model } if model == name));
            if !serves || !lane::is_allowed(&model.zones, &row.zone) {
                continue;
            }
            if row.zone == *zone && row.state == target::State::Live {
                live.push(target.clone());
            }
            // Engines of other zones are not polled from here, so their health stays unknown.
            if matches!(row.state, target::State::Live | target::State::Unknown) {
                zones.insert(&row.zone);
            }
        }
        // Zones order independently, so the load on the weight store is divided among them, with one load each at
        // least.
        let index = zones.iter().position(|other| *other == zone).unwrap_or(0);
        let (parallel, count) = (model.parallel_loads as usize, zones.len());
        let share = parallel / count + usize::from(index < parallel % count);
        Self { live, max_loads: share.max(1), position: Position { index, zones: count } }
    }

    /// Live engines of this zone that serve. One whose load failed is out of service until its next poll.
    pub fn serving(&self, world: &World) -> BTreeSet<TargetId> {
        let orders = &world.rollouts.orders;
        let serves = |target: &&TargetId| {
            !orders.busy.contains(*target) && !orders.load_failed(world, target)
        };
        self.live.iter().filter(serves).cloned().collect()
    }
}
