//! Ends of sample requests: the first usable text wins, everything else is tried again.

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

/// Failed tries of one sample before its prompt is parked.
const TRIES_MAX: u32 = 8;
/// Pause before a parked prompt is generated again. It limits the load of a fault that no retry cures, such as an engine
/// that never names its version.
const PARKED: Duration = Duration::from_secs(60);
/// Parked prompts remembered; older ones are tried again earlier.
const PARKED_MAX: usize = 1024;

/// Takes the end of a bulk request.
pub fn completed(world: &mut World, snapshot: &file::Snapshot, completion: Completion) {
    let name = completion.trainer.clone();
    let Some(mut row) = world.streams.rows.remove(&name) else {
        return;
    };
    // A request without a use was the loser of two runs, or its group is gone.
    if let Some(trainer) = snapshot.trainers.get(&name)
        && let Some(purpose) = row.requests.remove(&completion.request)
    {
        match purpose {
            Purpose::Prompts { from, count } => {
                prompt::fetched(world, &mut row, from, count, &completion);
            }
            Purpose::Sample { index, slot } => {
                sampled(world, trainer, &mut row, (index, slot), completion);
            }
            Purpose::Judge { index, slot } => {
                judge::judged(world, &mut row, (index, slot), &completion);
            }
        }
    }
    world.streams.rows.insert(name, row);
}

fn sampled(
    world: &mut World,
    trainer: &Trainer,
    row: &mut Row,
    place: (u64, usize),
    completion: Completion,
) {
    let (index, slot) = place;
    let now = world.now;
    let running = row.drafts.get_mut(&index).and_then(|draft| draft.slots.get_mut(slot));
    let Some(Slot::Running { run, second, tries }) = running else {
        return;
    };
    let tries = *tries;
    let runs = [Some(run.clone()), second.clone()];
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
            return set(row, place, Slot::Running { run, second: None, tries });
        }
        // A request that never ran says nothing about the prompt, so it does not bring it closer to its pause.
        let not_run = code.is_some_and(|code| code.kind() == Kind::NotRun);
        let tries = if not_run { tries.min(TRIES_MAX - 2) } else { tries };
        return retry(world, row, place, tries, &completion.trainer);
    };
    for loser in others {
        row.requests.remove(&loser.request);
        world.requests.cancel(loser.request);
    }
    if let Some(run) = ended.first() {
        row.pace.sampled(now.saturating_sub(run.since()));
    }
    let staleness = sample.staleness(row.version);
    if staleness > trainer.staleness_versions {
        let yard = &trainer.yard;
        world.burn.sample(now, yard, &completion.trainer, staleness, burn::Delivery::TooOld);
        // Not a fault of the sample: it is generated again at once and no try is counted.
        return set(row, place, Slot::Idle { not_before: now, tries });
    }
    let next = match trainer.judge {
        Some(_) => Slot::Judging { sample, not_before: now, tries: 0, asked: false },
        None => Slot::Done(sample),
    };
    set(row, place, next);
    finish(row, index, now);
}

/// Notes the time when the last sample of a group is done.
pub fn finish(row: &mut Row, index: u64, now: Time) {
    if let Some(draft) = row.drafts.get_mut(&index)
        && draft.whole()
    {
        draft.finished = Some(now);
    }
}

/// Puts a sample into another state.
pub fn set(row: &mut Row, (index, slot): (u64, usize), state: Slot) {
    if let Some(place) = row.drafts.get_mut(&index).and_then(|draft| draft.slots.get_mut(slot)) {
        *place = state;
    }
}

/// Generates a sample again after a pause, or parks its prompt after too many tries.
pub fn retry(world: &mut World, row: &mut Row, place: (u64, usize), tries: u32, name: &str) {
    let tries = tries + 1;
    if tries < TRIES_MAX {
        let not_before = world.now + backoff::delay(&mut world.rng, tries - 1);
        return set(row, place, Slot::Idle { not_before, tries });
    }
    let index = place.0;
    let Some(draft) = row.drop_draft(world, index) else {
        return;
    };
    row.prompts.put(index, draft.prompt);
    row.parked.insert(index, world.now + PARKED);
    if row.parked.len() > PARKED_MAX {
        row.parked.pop_first();
    }
    let text =
        format!("could not generate prompt {index} of trainer {name} in {tries} tries, pausing it");
    world.log(log::Level::Warn, text);
}

/// Gives a prompt up for good; the next cursor counts it as delivered.
fn abandon(world: &mut World, row: &mut Row, index: u64, name: &str) {
    row.drop_draft(world, index);
    row.abandoned.insert(index);
    world
        .log(log::Level::Warn, format!("prompt {index} of trainer {name} is refused and left out"));
}
