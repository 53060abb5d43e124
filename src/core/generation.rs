//! What to generate next and for whom.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    core::{
        World, bulk,
        capacity::Capacity,
        cursor::SKIPPED_MAX,
        delivery,
        group::{Draft, Run, Slot},
        judge,
        pace::Need,
        prompt, pull,
        settings::Policy,
        stream::{Purpose, Row},
    },
    file,
    file::Trainer,
    prelude::*,
};

/// Time between two counts of the engines, which walk all targets.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks at where samples run.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Difference in time until idle below which trainers share by weight alone.
const SLACK_STEP_MS: u128 = 500;

/// A sample that could be submitted.
struct Task {
    index: u64,
    slot: usize,
    /// Oldest version with which it is not too old when it is delivered.
    needed: Version,
}

/// Samples of one trainer that could be submitted now.
struct Ready {
    name: TrainerId,
    work: VecDeque<Task>,
    outstanding: u64,
    weight: u64,
    slack: Duration,
    queued: u64,
    slots: u64,
    free: u64,
    guaranteed: u64,
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
        let (Some(trainer), Some(mut row)) =
            (snapshot.trainers.get(&name), world.streams.rows.remove(&name))
        else {
            continue;
        };
        judge::ask(world, &name, trainer, &mut row);
        if pull::generates(world, &row) {
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
    let guaranteed = sum(|ready| ready.guaranteed);
    let queued = sum(|ready| ready.queued);
    let free = ready.iter().map(|ready| ready.free).min().unwrap_or(0);
    let queue = ready.iter().map(|ready| ready.queue_requests).min().unwrap_or(0) / 2;
    let budget = guaranteed.saturating_sub(outstanding).max(free).min(queue.saturating_sub(queued));
    let policy = world.settings.policy;
    for _ in 0..budget {
        let next = ready
            .iter_mut()
            .filter(|ready| !ready.work.is_empty() && ready.slots > 0)
            .min_by_key(|ready| ready.key(policy));
        let Some(next) = next else {
            return;
        };
        let Some(task) = next.work.pop_front() else {
            return;
        };
        next.outstanding += 1;
        submit(world, snapshot, &next.name, &task);
    }
}

fn submit(world: &mut World, snapshot: &file::Snapshot, name: &TrainerId, task: &Task) {
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
    let &Task { index, slot, needed } = task;
    if let Some(draft) = row.drafts.get_mut(&index)
        && let Some(Slot::Idle { tries, .. }) = draft.slots.get(slot)
    {
        let tries = *tries;
        let avoid = row.capacity.older(needed).collect();
        let request = bulk::sample(world, name, trainer, &draft.prompt, avoid);
        let run = Run::new(request, world.now);
        row.capacity.free = row.capacity.free.saturating_sub(1);
        row.requests.insert(run.request, Purpose::Sample { index, slot });
        draft.slots[slot] = Slot::Running { run, second: None, tries };
    }
    world.streams.rows.insert(name.clone(), row);
}

/// Brings a stream's drafts to its window and lists what could be submitted.
fn prepare(
    world: &mut World,
    snapshot: &file::Snapshot,
    name: &TrainerId,
    trainer: &Trainer,
    row: &mut Row,
) -> Ready {
    let now = world.now;
    if now >= row.watched + WATCH_INTERVAL {
        row.watched = now;
        watch(world, row);
    }
    let queued = queued(row);
    // The next batch to be filled is delivered now, or after the step that the trainer is at.
    let first = u64::from(!row.awaited());
    let desired = world.rollouts.desired.get(&trainer.model).map_or(0, |desired| desired.version);
    row.releases.observe(now, desired);
    let bound = trainer.staleness_versions;
    let needed = |row: &Row, steps| row.version_after(now, steps).saturating_sub(bound);
    let least = needed(row, first);
    // While there is time, engines that have not loaded the newest version are left out, so that samples stay recent.
    let early = world.settings.policy == Policy::Full && row.has_time(now);
    let current = row.version_after(now, 0);
    let preferred = if early { least.max(current) } else { least };
    if now >= row.capacity.counted + CAPACITY_INTERVAL || row.capacity.needed != preferred {
        row.capacity = Capacity::new(world, snapshot, trainer, current, preferred);
        // These are in no engine's load yet.
        row.capacity.free = row.capacity.free.saturating_sub(queued);
    }
    if row.capacity.newest >= Some(least) && world.settings.policy == Policy::Full {
        // What will be too old when it is delivered is made again in time.
        let version = row.version_after(now, first);
        delivery::drop_old(world, name, trainer, row, version);
    }
    row.parked.retain(|_, until| *until > now);
    let per_step = u64::from(trainer.groups_per_step.max(1));
    let window = match world.settings.policy {
        Policy::Baseline => per_step,
        Policy::Full => row.pace.window(Need {
            now,
            objective: trainer.objective,
            groups_per_step: per_step,
            samples_per_step: per_step * u64::from(trainer.group_size),
            allowed: row.allowed(now, bound),
            awaited: row.awaited(),
            slots: row.capacity.guaranteed,
        }),
    };
    let window = (window as usize).min(per_step as usize + SKIPPED_MAX);
    let open: Vec<u64> = row
        .base()
        .undelivered()
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
    let inside = open.into_iter().take(window).enumerate();
    let inside = inside
        .map(|(place, index)| (index, preferred.max(needed(row, first + place as u64 / per_step))));
    let inside: BTreeMap<u64, Version> = inside.collect();
    let whole = row.drafts.values().filter(|draft| draft.finished.is_some()).count() as u64;
    let held = u32::try_from(whole / per_step).unwrap_or(u32::MAX);
    Ready {
        name: name.clone(),
        work: idle_slots(row, &inside, now),
        outstanding: row
            .requests
            .values()
            .filter(|purpose| matches!(purpose, Purpose::Sample { .. }))
            .count() as u64,
        weight: u64::from(trainer.weight.max(1)),
        slack: row.pace.until_pull(now) + row.pace.step.unwrap_or_default().saturating_mul(held),
        queued,
        slots: row.capacity.slots,
        free: row.capacity.free,
        guaranteed: row.capacity.guaranteed,
        queue_requests: snapshot
            .models
            .get(&trainer.model)
            .map_or(0, |model| u64::from(model.limits.queue_requests)),
    }
}

fn idle_slots(row: &Row, inside: &BTreeMap<u64, Version>, now: Time) -> VecDeque<Task> {
    let mut tasks = VecDeque::new();
    for (index, draft) in &row.drafts {
        let Some(&needed) = inside.get(index) else {
            continue;
        };
        for (slot, state) in draft.slots.iter().enumerate() {
            if matches!(state, Slot::Idle { not_before, .. } if *not_before <= now) {
                let index = *index;
                tasks.push_back(Task { index, slot, needed });
            }
        }
    }
    tasks
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
    row.drafts.values().flat_map(Draft::runs).filter(|run| run.target.is_none()).count() as u64
}

/// Takes back the samples and prompts that no target has begun.
pub fn cancel_queued(world: &mut World, row: &mut Row) {
    watch(world, row);
    let mut cancelled = Vec::new();
    for slot in row.drafts.values_mut().flat_map(|draft| &mut draft.slots) {
        if slot.runs().count() > 0 && slot.runs().all(|run| run.target.is_none()) {
            cancelled.extend(slot.runs().map(|run| run.request));
            *slot = Slot::Idle { not_before: Duration::ZERO, tries: 0 };
        }
    }
    let prompts =
        row.requests.iter().filter(|(_, purpose)| matches!(purpose, Purpose::Prompts { .. }));
    cancelled.extend(prompts.map(|(&request, _)| request));
    for request in cancelled {
        row.requests.remove(&request);
        world.requests.cancel(request);
    }
}
