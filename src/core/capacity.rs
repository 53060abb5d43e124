//! Engine capacity that a trainer can use for its samples.

use crate::{
    core::{World, lane, settings::Policy, target},
    file::{Kind, Snapshot, Trainer},
    prelude::*,
};

/// Engines with old weights listed per trainer, and so the most that one request avoids.
const OUTDATED_MAX: usize = 64;

/// Age from which the version in a report is ignored. Engines are polled every second, and gossip takes up to 5 s.
const REPORT_MAX_AGE: Duration = Duration::from_secs(15);

/// Slots and versions of a model's engines for one trainer.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Slots of live engines with weights that the trainer may use.
    pub slots: u64,
    /// Free slots of these engines.
    pub free: u64,
    /// Share of the slots that the trainer has by its weight among the trainers of the model.
    pub guaranteed: u64,
    /// Newest version reported by a live engine.
    pub newest: Option<Version>,
    /// Engines with older weights than the trainer's.
    pub outdated: Vec<(TargetId, Version)>,
    /// Live engines with weights that the trainer may use.
    pub engines: u64,
    pub computed_at: Time,
    /// Oldest version that the trainer may use.
    pub min_version: Version,
}

impl Capacity {
    /// Counts the engines of a trainer's model. `version` is the trainer's current one, `min_version` the oldest that
    /// its samples may be made with.
    pub fn new(
        world: &World,
        snapshot: &Snapshot,
        trainer: &Trainer,
        version: Version,
        min_version: Version,
    ) -> Self {
        let mut capacity = Self { computed_at: world.now, min_version, ..Self::default() };
        let of_model = snapshot.trainers.values().filter(|other| other.model == trainer.model);
        let weights: u64 = of_model.map(|other| u64::from(other.weight)).sum();
        let weight = u64::from(trainer.weight.max(1));
        let share = |slots: u64| (slots * weight).div_ceil(weights.max(1)).min(slots);
        let Some(model) = snapshot.models.get(&trainer.model) else {
            return capacity;
        };
        for (target, row) in &world.targets.rows {
            let Some(pool) = snapshot.pools.get(&row.pool) else {
                continue;
            };
            let serves = matches!(&pool.kind, Kind::Engine { model } if *model == trainer.model);
            if !serves || !lane::is_allowed(&model.zones, &row.zone) {
                continue;
            }
            // Engines of other zones are polled by hosts of their zone and have no report here.
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
                if capacity.outdated.len() < OUTDATED_MAX {
                    capacity.outdated.push((target.clone(), served));
                }
                if served < min_version {
                    continue;
                }
            }
            capacity.engines += 1;
            capacity.slots += u64::from(pool.slots);
            let slots = u64::from(pool.slots);
            // Without a report, the other trainers of the model are assumed to use their share.
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
        let older = self.outdated.iter().filter(move |(_, served)| *served < version);
        older.map(|(target, _)| target.clone())
    }
}

/// Requests on a target: the reported ones, with this host's share at the time of the report replaced by its current
/// requests.
fn load(row: &target::Row) -> u32 {
    let reported = row.report.as_ref().map_or(0, |report| report.running + report.waiting);
    reported.saturating_sub(row.in_flight_at_report).saturating_add(row.in_flight)
}
