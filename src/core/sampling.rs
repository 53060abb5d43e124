//! Completions of bulk requests.
//!
//! The first usable text of a sample wins and its duplicate is cancelled. Failed samples are retried with backoff, and
//! a prompt that keeps failing is parked for a while.

use crate::{
    code::Kind,
    core::{
        World, backoff, burn,
        group::{Run, Slot},
        judge, prompt,
        request::{Completion, Output},
        stream::{Purpose, Row, Sample},
    },
    file,
    file::Trainer,
    prelude::*,
};

/// Failed attempts of one sample after which its prompt is parked.
const FAILURES_MAX: u32 = 8;
/// Time before a parked prompt is generated again. It limits the load of faults that retries cannot fix, such as an
/// engine that never reports its version.
const PARK_TIME: Duration = Duration::from_secs(60);
/// Parked prompts kept. Beyond this, the lowest index is generated again early.
const PARKED_MAX: usize = 1024;

/// Handles the completion of a bulk request.
pub fn completed(world: &mut World, snapshot: &file::Snapshot, completion: Completion) {
    let name = completion.trainer.clone();
    let Some(mut row) = world.streams.rows.remove(&name) else {
        return;
    };
    // A request without a purpose was superseded by its duplicate, or its group was dropped.
    if let Some(trainer) = snapshot.trainers.get(&name)
        && let Some(purpose) = row.requests.remove(&completion.request)
    {
        match purpose {
            Purpose::Prompts { from, count } => {
                prompt::handle_answer(world, &mut row, from, count, &completion);
            }
            Purpose::Sample { index, slot } => {
                sample_ended(world, trainer, &mut row, (index, slot), completion);
            }
            Purpose::Judge { index, slot } => {
                judge::handle_answer(world, &mut row, (index, slot), &completion);
            }
        }
    }
    world.streams.rows.insert(name, row);
}

fn sample_ended(
    world: &mut World,
    trainer: &Trainer,
    row: &mut Row,
    place: (u64, usize),
    completion: Completion,
) {
    let (index, slot) = place;
    let now = world.now;
    let running = row.drafts.get_mut(&index).and_then(|draft| draft.slots.get_mut(slot));
    let Some(Slot::Running { run, duplicate, failures }) = running else {
        return;
    };
    let failures = *failures;
    let runs = [Some(run.clone()), duplicate.clone()];
    let (ended, others): (Vec<Run>, Vec<Run>) =
        runs.into_iter().flatten().partition(|run| run.request == completion.request);
    let code = completion.result.as_ref().err().copied();
    let sample = match completion.result {
        Ok(Output::Text(text)) => {
            let id = format!(
                "{}-{:x}-{:x}",
                completion.trainer, world.settings.incarnation, completion.request
            );
            Sample::new(id.into(), text)
        }
        _ => None,
    };
    let Some(sample) = sample else {
        if matches!(code, Some(Code::CrashesTargets | Code::TooLarge | Code::RequestMalformed)) {
            return abandon(world, row, index, &completion.trainer);
        }
        if let Some(run) = others.into_iter().next() {
            return set(row, place, Slot::Running { run, duplicate: None, failures });
        }
        // A request that never ran says nothing about the prompt, so it does not count towards parking it.
        let not_run = code.is_some_and(|code| code.kind() == Kind::NotRun);
        let failures = if not_run { failures.min(FAILURES_MAX - 2) } else { failures };
        return retry(world, row, place, failures, &completion.trainer);
    };
    for loser in others {
        row.requests.remove(&loser.request);
        world.requests.cancel(loser.request);
    }
    if let Some(run) = ended.first() {
        row.pace.record_sample(now.saturating_sub(run.start()));
    }
    let staleness = sample.staleness(row.version);
    if staleness > trainer.staleness_versions {
        let yard = &trainer.yard;
        world.burn.record_sample(now, yard, &completion.trainer, staleness, burn::Delivery::TooOld);
        // The sample did not fail: it is generated again at once, and the attempt is not counted.
        return set(row, place, Slot::Idle { not_before: now, failures });
    }
    let next = match trainer.judge {
        Some(_) => Slot::Judging { sample, not_before: now, failures: 0, call_in_flight: false },
        None => Slot::Done(sample),
    };
    set(row, place, next);
    finish_if_complete(row, index, now);
}

/// Sets the completion time of a group once its last sample is done.
pub fn finish_if_complete(row: &mut Row, index: u64, now: Time) {
    if let Some(draft) = row.drafts.get_mut(&index)
        && draft.is_complete()
    {
        draft.finished = Some(now);
    }
}

/// Sets the state of a sample.
pub fn set(row: &mut Row, (index, slot): (u64, usize), state: Slot) {
    if let Some(place) = row.drafts.get_mut(&index).and_then(|draft| draft.slots.get_mut(slot)) {
        *place = state;
    }
}

/// Retries a sample with backoff, or parks its prompt after too many attempts.
pub fn retry(world: &mut World, row: &mut Row, place: (u64, usize), failures: u32, name: &str) {
    let failures = failures + 1;
    if failures < FAILURES_MAX {
        let not_before = world.now + backoff::delay(&mut world.rng, failures - 1);
        return set(row, place, Slot::Idle { not_before, failures });
    }
    let index = place.0;
    let Some(draft) = row.drop_draft(world, index) else {
        return;
    };
    row.prompts.put(index, draft.prompt);
    row.parked.insert(index, world.now + PARK_TIME);
    if row.parked.len() > PARKED_MAX {
        row.parked.pop_first();
    }
    let text = format!(
        "could not generate prompt {index} of trainer {name} in {failures} attempts; pausing it"
    );
    world.log(log::Level::Warn, text);
}

/// Drops a prompt for good. The next cursor counts it as delivered.
fn abandon(world: &mut World, row: &mut Row, index: u64, name: &str) {
    row.drop_draft(world, index);
    row.abandoned.insert(index);
    world.log(
        log::Level::Warn,
        format!("could not generate prompt {index} of trainer {name}: rejected; skipping it"),
    );
}
