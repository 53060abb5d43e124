//! Engines that a trainer's samples may run on.

use crate::{
    core::{World, settings::Policy, target},
    file::{Kind, Snapshot, Trainer},
    prelude::*,
};

/// Engines with old weights that are remembered, and so named as to be avoided in one request.
const BEHIND_MAX: usize = 64;

/// Age at which a report says nothing about the version any more; engines are polled each second, and gossip takes 5 s.
const REPORT_MAX_AGE: Duration = Duration::from_secs(15);

/// Slots and versions of a model's engines, as one trainer sees them.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Slots of live engines with weights that the trainer may use.
    pub slots: u64,
    /// Slots of them that are not in use.
    pub free: u64,
    /// Slots that the trainer gets by its weight when engines are short.
    pub guaranteed: u64,
    /// Newest version that a live engine reports.
    pub newest: Option<Version>,
    /// Engines with older weights than the trainer's.
    pub behind: Vec<(TargetId, Version)>,
    /// Live engines, those with old weights left out.
    pub engines: u64,
    /// When and for which oldest version this was counted.
    pub counted: Time,
    pub needed: Version,
}

impl Capacity {
    /// Counts the engines of a trainer's model for samples that need at least a version.
    pub fn new(
        world: &World,
        snapshot: &Snapshot,
        trainer: &Trainer,
        version: Version,
        needed: Version,
    ) -> Self {
        let mut capacity = Self { counted: world.now, needed, ..Self::default() };
        let of_model = snapshot.trainers.values().filter(|other| other.model == trainer.model);
        let weights: u64 = of_model.map(|other| u64::from(other.weight)).sum();
        let weight = u64::from(trainer.weight.max(1));
        let share = |slots: u64| (slots * weight).div_ceil(weights.max(1)).min(slots);
        let zones = snapshot.models.get(&trainer.model).map_or(&[][..], |model| &model.zones);
        for (target, row) in &world.targets.rows {
            let Some(pool) = snapshot.pools.get(&row.pool) else {
                continue;
            };
            let serves = matches!(&pool.kind, Kind::Engine { model } if *model == trainer.model);
            if !serves || !zones.contains(&row.zone) {
                continue;
            }
            // Engines of other zones are polled by their own zone's hosts and stay without a report here.
            let remote = row.state == target::State::Unknown && row.zone != world.hosts.zone;
            if row.state != target::State::Live && !remote {
                continue;
            }
            let known = world.now < row.reported_at + REPORT_MAX_AGE;
            let served = row
                .report
                .as_ref()
                .filter(|_| known)
                .and_then(|report| report.versions.get(&trainer.model))
                .copied();
            capacity.newest = capacity.newest.max(served);
            if world.settings.policy == Policy::Full
                && let Some(served) = served.filter(|&served| served < version)
            {
                if capacity.behind.len() < BEHIND_MAX {
                    capacity.behind.push((target.clone(), served));
                }
                if served < needed {
                    continue;
                }
            }
            capacity.engines += 1;
            capacity.slots += u64::from(pool.slots);
            let slots = u64::from(pool.slots);
            // Without a report, the other trainers of the model are taken to use their share.
            capacity.free += match remote {
                true => share(slots).saturating_sub(u64::from(row.in_flight)),
                false => slots.saturating_sub(u64::from(load(row))),
            };
        }
        capacity.guaranteed = share(capacity.slots);
        capacity
    }

    /// Engines with weights older than a version.
    pub fn older(&self, version: Version) -> impl Iterator<Item = TargetId> {
        let older = self.behind.iter().filter(move |(_, served)| *served < version);
        older.map(|(target, _)| target.clone())
    }
}

/// Requests on a target: those reported, less our own of that time, plus our own of now.
fn load(row: &target::Row) -> u32 {
    let reported = row.report.as_ref().map_or(0, |report| report.running + report.waiting);
    reported.saturating_sub(row.in_flight_at_report).saturating_add(row.in_flight)
}
