//! What to generate next and for whom.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    core::{
        World, bulk,
        cursor::SKIPPED_MAX,
        group::{Draft, Run, Slot},
        judge,
        pace::Need,
        prompt, pull,
        request::{Origin, Submit},
        settings::Policy,
        stream::{Row, Use},
        supply::Supply,
    },
    file,
    file::Trainer,
    prelude::*,
};

/// Difference in time until idle below which trainers share by weight alone.
const SLACK_STEP_MS: u128 = 500;

/// Samples of one trainer that could be submitted now.
struct Ready {
    name: TrainerId,
    work: VecDeque<(u64, usize)>,
    outstanding: u64,
    weight: u64,
    slack: Duration,
    supply: Supply,
    queue_requests: u64,
}

impl Ready {
    /// Trainers with the lowest key are served first.
    fn key(&self, policy: Policy) -> (u128, u64) {
        match policy {
            Policy::Full => (
                self.slack.as_millis() / SLACK_STEP_MS,
                self.outstanding.saturating_mul(1024) / self.weight,
            ),
            Policy::Baseline => (0, 0),
        }
    }
}

/// Starts samples for all streams that this host generates.
pub fn run(world: &mut World, snapshot: &file::Snapshot) {
    let mut models: BTreeMap<ModelId, Vec<Ready>> = BTreeMap::new();
    let names: Vec<TrainerId> = world.streams.rows.keys().cloned().collect();
    for name in names {
        let (Some(trainer), Some(mut row)) = (snapshot.trainers.get(&name), world.streams.rows.remove(&name)) else {
            continue;
        };
        judge::ask(world, &name, trainer, &mut row);
        if pull::generates(world, snapshot, &name, trainer, &row) {
            let ready = prepare(world, snapshot, &name, trainer, &mut row);
            models.entry(trainer.model.clone()).or_default().push(ready);
        }
        world.streams.rows.insert(name, row);
    }
    for ready in models.into_values() {
        share(world, snapshot, ready);
    }
}

/// Submits the work of trainers of one model, as far as the engines' slots go.
fn share(world: &mut World, snapshot: &file::Snapshot, mut ready: Vec<Ready>) {
    let sum = |each: fn(&Ready) -> u64| ready.iter().map(each).sum::<u64>();
    let outstanding = sum(|ready| ready.outstanding);
    let guaranteed = sum(|ready| ready.supply.guaranteed);
    let queued = sum(|ready| ready.supply.queued);
    let free = ready
        .iter()
        .map(|ready| ready.supply.free)
        .max()
        .unwrap_or(0)
        .saturating_sub(queued);
    let queue = ready.iter().map(|ready| ready.queue_requests).min().unwrap_or(0) / 2;
    let budget = guaranteed
        .saturating_sub(outstanding)
        .max(free)
        .min(queue.saturating_sub(queued));
    let policy = world.settings.policy;
    for _ in 0..budget {
        let next = ready
            .iter_mut()
            .filter(|ready| !ready.work.is_empty() && ready.supply.slots > 0)
            .min_by_key(|ready| ready.key(policy));
        let Some(next) = next else {
            return;
        };
        let Some(place) = next.work.pop_front() else {
            return;
        };
        next.outstanding += 1;
        submit(world, snapshot, &next.name, place, next.supply.old.clone());
    }
}

fn submit(world: &mut World, snapshot: &file::Snapshot, name: &TrainerId, place: (u64, usize), avoid: Vec<TargetId>) {
    let Some(trainer) = snapshot.trainers.get(name) else {
        return;
    };
    let Some(mut row) = world.streams.rows.remove(name) else {
        return;
    };
    let samples = u64::from(trainer.group_size) * u64::from(trainer.groups_per_step);
    let percent = snapshot
        .models
        .get(&trainer.model)
        .map_or(0, |model| u64::from(model.limits.duplicate_percent));
    row.duplicate_credit = (row.duplicate_credit + percent).min((samples * percent).max(100));
    let (index, slot) = place;
    if let Some(draft) = row.drafts.get_mut(&index)
        && let Some(Slot::Idle { tries, .. }) = draft.slots.get(slot)
    {
        let tries = *tries;
        let run = start(world, name, trainer, &draft.prompt, avoid);
        row.uses.insert(run.request, Use::Sample { index, slot });
        draft.slots[slot] = Slot::Running {
            run,
            second: None,
            tries,
        };
    }
    world.streams.rows.insert(name.clone(), row);
}

/// Submits one request for a sample.
pub fn start(world: &mut World, name: &TrainerId, trainer: &Trainer, prompt: &Arc<str>, avoid: Vec<TargetId>) -> Run {
    let request = world.requests.submit(Submit {
        origin: Origin::Bulk(name.clone()),
        work: bulk::sample(trainer, prompt),
        deadline: world.now + world.settings.sample_timeout,
        avoid,
    });
    Run::new(request, world.now)
}

/// Brings a stream's drafts to its window and lists what could be submitted.
fn prepare(world: &mut World, snapshot: &file::Snapshot, name: &TrainerId, trainer: &Trainer, row: &mut Row) -> Ready {
    watch(world, row);
    let mut supply = Supply::new(world, snapshot, trainer, row.version);
    supply.queued = queued(row);
    let now = world.now;
    row.parked.retain(|_, until| *until > now);
    let per_step = u64::from(trainer.groups_per_step.max(1));
    let window = match world.settings.policy {
        Policy::Baseline => per_step,
        Policy::Full => row.pace.window(Need {
            now,
            objective: trainer.objective,
            groups_per_step: per_step,
            samples_per_step: per_step * u64::from(trainer.group_size),
            bound: trainer.staleness_versions,
            lag: supply.newest.map_or(0, |newest| row.version.saturating_sub(newest)),
            waiting: !row.waiting.is_empty(),
            slots: supply.guaranteed,
        }),
    };
    let window = (window as usize).min(per_step as usize + SKIPPED_MAX);
    let open: Vec<u64> = row
        .base()
        .open()
        .filter(|index| !row.abandoned.contains(index) && !row.parked.contains_key(index))
        .take(window + per_step as usize)
        .collect();
    // Prompts are fetched a step ahead of their generation.
    let mut missing: Vec<u64> = Vec::new();
    for (place, &index) in open.iter().enumerate() {
        if row.drafts.contains_key(&index) {
            continue;
        }
        match row.prompts.take(index) {
            Some(prompt) if place < window => {
                row.drafts.insert(index, Draft::new(prompt, trainer.group_size));
            }
            Some(prompt) => row.prompts.put(index, prompt),
            None => missing.push(index),
        }
    }
    while row.drafts.len() > per_step as usize + SKIPPED_MAX {
        let Some((&last, _)) = row.drafts.last_key_value() else {
            break;
        };
        row.drop_draft(world, last);
    }
    prompt::fetch(world, name, trainer, row, &missing);
    let inside: BTreeSet<u64> = open.into_iter().take(window).collect();
    let whole = row.drafts.values().filter(|draft| draft.finished.is_some()).count() as u64;
    let held = u32::try_from(whole / per_step).unwrap_or(u32::MAX);
    Ready {
        name: name.clone(),
        work: idle_slots(row, &inside, now),
        outstanding: row
            .uses
            .values()
            .filter(|purpose| matches!(purpose, Use::Sample { .. }))
            .count() as u64,
        weight: u64::from(trainer.weight.max(1)),
        slack: row.pace.until_pull(now) + row.pace.step.unwrap_or_default().saturating_mul(held),
        supply,
        queue_requests: snapshot
            .models
            .get(&trainer.model)
            .map_or(0, |model| u64::from(model.limits.queue_requests)),
    }
}

fn idle_slots(row: &Row, inside: &BTreeSet<u64>, now: Time) -> VecDeque<(u64, usize)> {
    let drafts = row.drafts.iter().filter(|(index, _)| inside.contains(index));
    drafts
        .flat_map(|(&index, draft)| {
            draft
                .slots
                .iter()
                .enumerate()
                .map(move |(slot, state)| (index, slot, state))
        })
        .filter(|(_, _, state)| matches!(state, Slot::Idle { not_before, .. } if *not_before <= now))
        .map(|(index, slot, _)| (index, slot))
        .collect()
}

/// Notes where the samples run.
fn watch(world: &World, row: &mut Row) {
    for slot in row.drafts.values_mut().flat_map(|draft| &mut draft.slots) {
        if let Slot::Running { run, second, .. } = slot {
            run.watch(world);
            if let Some(second) = second {
                second.watch(world);
            }
        }
    }
}

/// Samples of a stream that no target has begun.
fn queued(row: &Row) -> u64 {
    row.drafts
        .values()
        .flat_map(Draft::runs)
        .filter(|run| run.target.is_none())
        .count() as u64
}

/// Takes back the samples and prompts that no target has begun.
pub fn cancel_queued(world: &mut World, row: &mut Row) {
    watch(world, row);
    let mut cancelled = Vec::new();
    for slot in row.drafts.values_mut().flat_map(|draft| &mut draft.slots) {
        if slot.runs().count() > 0 && slot.runs().all(|run| run.target.is_none()) {
            cancelled.extend(slot.runs().map(|run| run.request));
            *slot = Slot::Idle {
                not_before: Duration::ZERO,
                tries: 0,
            };
        }
    }
    let prompts = row
        .uses
        .iter()
        .filter(|(_, purpose)| matches!(purpose, Use::Prompts { .. }));
    cancelled.extend(prompts.map(|(&request, _)| request));
    for request in cancelled {
        row.uses.remove(&request);
        world.requests.cancel(request);
    }
}
