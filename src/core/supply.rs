//! Engines that a trainer's samples may run on.

use crate::{
    core::{World, settings::Policy, target},
    file::{Kind, Snapshot, Trainer},
    prelude::*,
};

/// Targets named as to be avoided in one request.
const OLD_MAX: usize = 64;

/// Slots and versions of a model's engines, as one trainer sees them.
#[derive(Debug, Default)]
pub struct Supply {
    /// Slots of live engines with weights that the trainer may use.
    pub slots: u64,
    /// Slots of them that are not in use.
    pub free: u64,
    /// Slots that the trainer gets by its weight when engines are short.
    pub guaranteed: u64,
    /// Newest version that a live engine reports.
    pub newest: Option<Version>,
    /// Engines whose weights are already too old for the trainer.
    pub old: Vec<TargetId>,
    /// Live engines, those with old weights left out.
    pub engines: u64,
    /// Own samples that no target has begun.
    pub queued: u64,
}

impl Supply {
    /// Counts the engines of a trainer's model.
    pub fn new(world: &World, snapshot: &Snapshot, trainer: &Trainer, version: Version) -> Self {
        let mut supply = Self::default();
        let needed = version.saturating_sub(trainer.staleness_versions);
        let zones = snapshot
            .models
            .get(&trainer.model)
            .map_or(&[][..], |model| &model.zones);
        for (target, row) in &world.targets.rows {
            let Some(pool) = snapshot.pools.get(&row.pool) else {
                continue;
            };
            let serves = matches!(&pool.kind, Kind::Engine { model } if *model == trainer.model);
            if !serves || row.state != target::State::Live || !zones.contains(&row.zone) {
                continue;
            }
            let served = row
                .report
                .as_ref()
                .and_then(|report| report.versions.get(&trainer.model))
                .copied();
            supply.newest = supply.newest.max(served);
            let old = served.is_some_and(|served| served < needed);
            if old && world.settings.policy == Policy::Full {
                if supply.old.len() < OLD_MAX {
                    supply.old.push(target.clone());
                }
                continue;
            }
            supply.engines += 1;
            supply.slots += u64::from(pool.slots);
            supply.free += u64::from(pool.slots.saturating_sub(load(row)));
        }
        let of_model = snapshot.trainers.values().filter(|other| other.model == trainer.model);
        let weights: u64 = of_model.map(|other| u64::from(other.weight)).sum();
        let share = supply.slots * u64::from(trainer.weight.max(1));
        supply.guaranteed = share.div_ceil(weights.max(1)).min(supply.slots);
        supply
    }
}

/// Requests on a target: those reported, less our own of that time, plus our own of now.
fn load(row: &target::Row) -> u32 {
    let reported = row.report.as_ref().map_or(0, |report| report.running + report.waiting);
    reported
        .saturating_sub(row.in_flight_then)
        .saturating_add(row.in_flight)
}
