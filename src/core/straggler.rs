//! Second runs of slow samples.

use std::cmp::Reverse;

use crate::{
    core::{
        World, bulk,
        group::{Run, Slot},
        pull,
        settings::Policy,
        stream::{Purpose, Row},
    },
    file,
    prelude::*,
};

/// Price of one duplicate in `Row::duplicate_credit`; each first run earns `duplicate_percent`.
const PRICE: u64 = 100;

/// Starts a second run, on another engine, of samples slower than the 95th percentile of their trainer.
pub fn run(world: &mut World, snapshot: &file::Snapshot) {
    if world.settings.policy == Policy::Baseline {
        return;
    }
    let names: Vec<TrainerId> = world.streams.rows.keys().cloned().collect();
    for name in names {
        let (Some(trainer), Some(mut row)) =
            (snapshot.trainers.get(&name), world.streams.rows.remove(&name))
        else {
            continue;
        };
        if pull::generates(world, &row) && row.duplicate_credit >= PRICE {
            duplicate(world, &name, trainer, &mut row);
        }
        world.streams.rows.insert(name, row);
    }
}

fn duplicate(world: &mut World, name: &TrainerId, trainer: &file::Trainer, row: &mut Row) {
    let Some(limit) = row.pace.p95() else {
        return;
    };
    // While the trainer is far from its next pull, a straggler ends in time by itself.
    if !row.awaited() && row.pace.until_pull(world.now) > limit * 2 {
        return;
    }
    let mut slow: Vec<(Duration, u64, usize, TargetId)> = Vec::new();
    for (&index, draft) in &row.drafts {
        for (slot, state) in draft.slots.iter().enumerate() {
            let Slot::Running { run, second: None, .. } = state else {
                continue;
            };
            let (Some(started), Some(target)) = (run.started, run.target.clone()) else {
                continue;
            };
            let time = world.now.saturating_sub(started);
            if time > limit {
                slow.push((time, index, slot, target));
            }
        }
    }
    if row.capacity.engines < 2 {
        return;
    }
    slow.sort_unstable_by_key(|(time, index, slot, _)| (Reverse(*time), *index, *slot));
    for (_, index, slot, target) in slow {
        if row.duplicate_credit < PRICE {
            return;
        }
        let Some(draft) = row.drafts.get_mut(&index) else {
            continue;
        };
        let avoid =
            std::iter::once(target).chain(row.capacity.older(row.capacity.needed)).collect();
        let run = Run::new(bulk::sample(world, name, trainer, &draft.prompt, avoid), world.now);
        row.requests.insert(run.request, Purpose::Sample { index, slot });
        if let Slot::Running { second, .. } = &mut draft.slots[slot] {
            *second = Some(run);
        }
        row.duplicate_credit -= PRICE;
    }
}
