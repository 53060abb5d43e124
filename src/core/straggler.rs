//! Hedging of slow samples: a duplicate runs on another engine, and the first result wins.

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

/// Credit that one duplicate costs. Each first run earns `duplicate_percent` of credit.
const CREDIT_PER_DUPLICATE: u64 = 100;

/// Starts duplicates of samples that run longer than the 95th percentile of their trainer.
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
        if pull::generates(world, &row) && row.duplicate_credit >= CREDIT_PER_DUPLICATE {
            duplicate(world, &name, trainer, &mut row);
        }
        world.streams.rows.insert(name, row);
    }
}

fn duplicate(world: &mut World, name: &TrainerId, trainer: &file::Trainer, row: &mut Row) {
    let Some(limit) = row.pace.p95() else {
        return;
    };
    // Long before the next pull, a straggler will finish in time without a duplicate.
    if !row.lacks_batch() && row.pace.until_pull(world.now) > limit * 2 {
        return;
    }
    let mut slow: Vec<(Duration, u64, usize, TargetId)> = Vec::new();
    for (&index, draft) in &row.drafts {
        for (slot, state) in draft.slots.iter().enumerate() {
            let Slot::Running { run, duplicate: None, .. } = state else {
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
        if row.duplicate_credit < CREDIT_PER_DUPLICATE {
            return;
        }
        let Some(draft) = row.drafts.get_mut(&index) else {
            continue;
        };
        let avoid =
            std::iter::once(target).chain(row.capacity.older(row.capacity.min_version)).collect();
        let run = Run::new(bulk::sample(world, name, trainer, &draft.prompt, avoid), world.now);
        row.requests.insert(run.request, Purpose::Sample { index, slot });
        if let Slot::Running { duplicate, .. } = &mut draft.slots[slot] {
            *duplicate = Some(run);
        }
        row.duplicate_credit -= CREDIT_PER_DUPLICATE;
    }
}
