//! Planning of sample generation.
//!
//! For each stream that this host owns, `prepare` brings the drafts up to the window of prompts and lists the samples
//! that could be submitted. `share` then submits them as far as engine slots are free, to the trainers of a model in
//! the order of their time until idle and their weight.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    core::{
        World, bulk,
        capacity::Capacity,
        cursor::SKIPPED_MAX,
        delivery,
        group::{Draft, Run, Slot},
        judge,
        pace::Demand,
        prompt, pull,
        settings::Policy,
        stream::{Purpose, Row},
    },
    file,
    file::Trainer,
    prelude::*,
};

/// Time between two updates of the engine capacity, each of which iterates over all targets.
const CAPACITY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two updates of the targets and start times of running samples.
const RUNS_INTERVAL: Duration = Duration::from_millis(50);
/// Trainers whose times until idle differ by less than this share slots by weight alone.
const SLACK_STEP_MS: u128 = 500;

/// A sample that could be submitted.
struct Task {
    index: u64,
    slot: usize,
    /// Oldest version with which the sample will be within the staleness bound at delivery.
    min_version: Version,
}

/// Samples of one trainer that can be submitted, and the trainer's share of the engines.
struct Plan {
    name: TrainerId,
    tasks: VecDeque<Task>,
    in_flight: u64,
    weight: u64,
    /// Expected time until the trainer has used up its complete batches.
    slack: Duration,
    /// Samples that no target has started.
    queued: u64,
    slots: u64,
    free: u64,
    guaranteed: u64,
    queue_requests: u64,
}

impl Plan {
    /// Order of service; the lowest goes first.
    fn rank(&self, policy: Policy) -> (u128, u64) {
        match policy {
            Policy::Full => (
                self.slack.as_millis() / SLACK_STEP_MS,
                self.in_flight.saturating_mul(1024) / self.weight,
            ),
            Policy::Baseline => (0, 0),
        }
    }
}

/// Submits samples for all streams that this host generates.
pub fn run(world: &mut World, snapshot: &file::Snapshot) {
    let mut models: BTreeMap<ModelId, Vec<Plan>> = BTreeMap::new();
    let names: Vec<TrainerId> = world.streams.rows.keys().cloned().collect();
    for name in names {
        let (Some(trainer), Some(mut row)) =
            (snapshot.trainers.get(&name), world.streams.rows.remove(&name))
        else {
            continue;
        };
        judge::submit(world, &name, trainer, &mut row);
        if pull::generates(world, &row) {
            let plan = prepare(world, snapshot, &name, trainer, &mut row);
            models.entry(trainer.model.clone()).or_default().push(plan);
        }
        world.streams.rows.insert(name, row);
    }
    for plans in models.into_values() {
        share(world, snapshot, plans);
    }
}

/// Submits samples of the trainers of one model as far as the engines' slots allow.
fn share(world: &mut World, snapshot: &file::Snapshot, mut plans: Vec<Plan>) {
    let sum = |each: fn(&Plan) -> u64| plans.iter().map(each).sum::<u64>();
    let in_flight = sum(|plan| plan.in_flight);
    let guaranteed = sum(|plan| plan.guaranteed);
    let queued = sum(|plan| plan.queued);
    let free = plans.iter().map(|plan| plan.free).min().unwrap_or(0);
    let queue_limit = plans.iter().map(|plan| plan.queue_requests).min().unwrap_or(0) / 2;
    let budget =
        guaranteed.saturating_sub(in_flight).max(free).min(queue_limit.saturating_sub(queued));
    let policy = world.settings.policy;
    for _ in 0..budget {
        let next = plans
            .iter_mut()
            .filter(|plan| !plan.tasks.is_empty() && plan.slots > 0)
            .min_by_key(|plan| plan.rank(policy));
        let Some(next) = next else {
            return;
        };
        let Some(task) = next.tasks.pop_front() else {
            return;
        };
        next.in_flight += 1;
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
    let &Task { index, slot, min_version } = task;
    if let Some(draft) = row.drafts.get_mut(&index)
        && let Some(Slot::Idle { failures, .. }) = draft.slots.get(slot)
    {
        let failures = *failures;
        let avoid = row.capacity.older(min_version).collect();
        let request = bulk::sample(world, name, trainer, &draft.prompt, avoid);
        let run = Run::new(request, world.now);
        row.capacity.free = row.capacity.free.saturating_sub(1);
        row.requests.insert(run.request, Purpose::Sample { index, slot });
        draft.slots[slot] = Slot::Running { run, duplicate: None, failures };
    }
    world.streams.rows.insert(name.clone(), row);
}

/// Brings a stream's drafts up to its window and lists the samples that could be submitted.
fn prepare(
    world: &mut World,
    snapshot: &file::Snapshot,
    name: &TrainerId,
    trainer: &Trainer,
    row: &mut Row,
) -> Plan {
    let now = world.now;
    if now >= row.runs_updated + RUNS_INTERVAL {
        row.runs_updated = now;
        update_runs(world, row);
    }
    let queued = queued(row);
    // The next batch to be filled is delivered now, or after the trainer's current step.
    let first = u64::from(!row.lacks_batch());
    let desired = world.rollouts.desired.get(&trainer.model).map_or(0, |desired| desired.version);
    row.releases.observe(now, desired);
    let bound = trainer.staleness_versions;
    let min_version = |row: &Row, steps| row.version_after(now, steps).saturating_sub(bound);
    let oldest_usable = min_version(row, first);
    // While there is time, engines without the trainer's current version are left out, so that samples stay recent.
    let early = world.settings.policy == Policy::Full && row.has_time(now);
    let current = row.version_after(now, 0);
    let preferred = if early { oldest_usable.max(current) } else { oldest_usable };
    if now >= row.capacity.computed_at + CAPACITY_INTERVAL || row.capacity.min_version != preferred
    {
        row.capacity = Capacity::new(world, snapshot, trainer, current, preferred);
        // Queued samples are not in the load of any engine yet.
        row.capacity.free = row.capacity.free.saturating_sub(queued);
    }
    if row.capacity.newest >= Some(oldest_usable) && world.settings.policy == Policy::Full {
        // Samples that will be too old at delivery are generated again in time.
        let version = row.version_after(now, first);
        delivery::drop_stale(world, name, trainer, row, version);
    }
    row.parked.retain(|_, until| *until > now);
    let per_step = u64::from(trainer.groups_per_step.max(1));
    let window = match world.settings.policy {
        Policy::Baseline => per_step,
        Policy::Full => row.pace.window(Demand {
            now,
            objective: trainer.objective,
            groups_per_step: per_step,
            samples_per_step: per_step * u64::from(trainer.group_size),
            max_steps: row.steps_within_bound(now, bound),
            lacks_batch: row.lacks_batch(),
            slots: row.capacity.guaranteed,
        }),
    };
    let window = (window as usize).min(per_step as usize + SKIPPED_MAX);
    let undelivered: Vec<u64> = row
        .base()
        .undelivered()
        .filter(|index| !row.abandoned.contains(index) && !row.parked.contains_key(index))
        .take(window + per_step as usize)
        .collect();
    // Prompts are fetched one step before their generation.
    let mut missing: Vec<u64> = Vec::new();
    for (place, &index) in undelivered.iter().enumerate() {
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
    let in_window = undelivered.into_iter().take(window).enumerate();
    let in_window = in_window.map(|(place, index)| {
        (index, preferred.max(min_version(row, first + place as u64 / per_step)))
    });
    let in_window: BTreeMap<u64, Version> = in_window.collect();
    let complete = row.drafts.values().filter(|draft| draft.finished.is_some()).count() as u64;
    let batches = u32::try_from(complete / per_step).unwrap_or(u32::MAX);
    Plan {
        name: name.clone(),
        tasks: idle_tasks(row, &in_window, now),
        in_flight: row
            .requests
            .values()
            .filter(|purpose| matches!(purpose, Purpose::Sample { .. }))
            .count() as u64,
        weight: u64::from(trainer.weight.max(1)),
        slack: row.pace.until_pull(now) + row.pace.step.unwrap_or_default().saturating_mul(batches),
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

fn idle_tasks(row: &Row, in_window: &BTreeMap<u64, Version>, now: Time) -> VecDeque<Task> {
    let mut tasks = VecDeque::new();
    for (index, draft) in &row.drafts {
        let Some(&min_version) = in_window.get(index) else {
            continue;
        };
        for (slot, state) in draft.slots.iter().enumerate() {
            if matches!(state, Slot::Idle { not_before, .. } if *not_before <= now) {
                let index = *index;
                tasks.push_back(Task { index, slot, min_version });
            }
        }
    }
    tasks
}

/// Updates the targets and start times of the running samples.
fn update_runs(world: &World, row: &mut Row) {
    for slot in row.drafts.values_mut().flat_map(|draft| &mut draft.slots) {
        if let Slot::Running { run, duplicate, .. } = slot {
            run.update(world);
            if let Some(duplicate) = duplicate {
                duplicate.update(world);
            }
        }
    }
}

/// Counts the samples of a stream that no target has started.
fn queued(row: &Row) -> u64 {
    row.drafts.values().flat_map(Draft::runs).filter(|run| run.target.is_none()).count() as u64
}

/// Cancels the prompt requests, and the samples that no target has started.
pub fn cancel_queued(world: &mut World, row: &mut Row) {
    update_runs(world, row);
    let mut cancelled = Vec::new();
    for slot in row.drafts.values_mut().flat_map(|draft| &mut draft.slots) {
        if slot.runs().count() > 0 && slot.runs().all(|run| run.target.is_none()) {
            cancelled.extend(slot.runs().map(|run| run.request));
            *slot = Slot::Idle { not_before: Duration::ZERO, failures: 0 };
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
