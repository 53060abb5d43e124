//! What follows from the end of an attempt, and the timers of requests.

use rand::Rng;

use crate::{
    core::{
        World, dispatch, finish, key,
        request::{Answer, Failure, Output, Row, Stage, Text, Work},
        strike, target,
    },
    file::Limits,
    prelude::*,
};

/// First wait before a retry; it doubles with each attempt up to the longest, and jitter takes or adds up to a half.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Longest wait for the poll that tells whether a broken connection was a crash.
const VERDICT_WAIT: Duration = Duration::from_secs(1);
/// Moves of one request to another target after connections that could not be opened.
const MOVES_MAX: u32 = 8;

/// Takes a whole answer.
pub fn done(world: &mut World, id: RequestId, output: Output) {
    if let Output::Text(text) = &output
        && text.finish_reason.is_none()
    {
        // Without a finish reason the text may be cut off, so it is resumed like one that broke off.
        let partial = Some(text.clone());
        return failed(world, id, Failure::Timeout, partial);
    }
    let Some((mut row, snapshot)) =
        world.requests.rows.get(&id).cloned().zip(world.config.snapshot.clone())
    else {
        return;
    };
    let percent = row.lane.limits(&snapshot).map_or(0, |limits| limits.retry_budget_percent);
    let queue = world.queues.of(&row.lane);
    queue.budget.earn(percent);
    if let Some(started) = row.started {
        queue.measured(world.now.saturating_sub(started));
    }
    if let Some(target) = &row.target {
        target::connected(world, target);
    }
    strike::succeeded(world, row.submit.work.content());
    // The target stays on record for the completion.
    let ran_on = row.target.clone();
    finish::end_attempt(world, id, &mut row);
    row.target = ran_on;
    row.attempts += 1;
    world.requests.rows.insert(id, row);
    finish::end(world, id, Ok(output));
}

/// Takes the failure of an attempt.
pub fn failed(world: &mut World, id: RequestId, failure: Failure, partial: Option<Text>) {
    let Some(mut row) = world.requests.rows.remove(&id) else {
        return;
    };
    let sent = row.sent;
    let on = row.target.clone();
    finish::end_attempt(world, id, &mut row);
    row.stage = Stage::Queued;
    let before = row.so_far.as_ref().map_or(0, |text| text.text.len());
    let grown = partial.filter(|text| text.text.len() > before);
    let unsent =
        grown.is_none() && (failure == Failure::Leaving || failure == Failure::Connect && !sent);
    if grown.is_some() {
        row.so_far = grown;
    }
    if unsent {
        row.moves += 1;
    } else {
        row.attempts += 1;
    }
    let content = row.submit.work.content();
    let limit = limit(world, &row, |limits| limits.crash_limit);
    world.requests.rows.insert(id, row);
    if let Some(on) = on {
        match failure {
            Failure::Connect => target::connect_failed(world, &on),
            Failure::Leaving => target::record_leaving(world, &on),
            Failure::Broken => {
                target::request_failed(world, &on);
                strike::broken(world, &on, id, content, limit);
            }
            Failure::Timeout | Failure::Status(_) => target::request_failed(world, &on),
        }
    }
    if unsent {
        move_on(world, id);
    } else {
        try_again(world, id, failure);
    }
}

/// Lets a request that waited for the verdict on its target go on after the usual backoff.
pub fn release(world: &mut World, id: RequestId) {
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    if let Stage::Delayed(_) = row.stage {
        let wait = backoff(world, row.attempts);
        delay(world, id, wait);
    }
}

/// Has a request wait before it is queued again. It keeps its place in the queue's bound.
pub fn delay(world: &mut World, id: RequestId, wait: Duration) {
    let until = world.now + wait;
    let Some(row) = world.requests.rows.get_mut(&id) else {
        return;
    };
    if let Stage::Delayed(old) = row.stage {
        world.requests.timers.remove(&(old, id));
    }
    row.stage = Stage::Delayed(until);
    let queue = world.queues.of(&row.lane);
    queue.remove(id);
    queue.delayed.insert(id);
    world.requests.timers.insert((until, id));
}

/// Handles deadlines and ended delays.
pub fn run(world: &mut World) {
    let now = world.now;
    while let Some(&(time, id)) = world.requests.timers.first()
        && time <= now
    {
        world.requests.timers.pop_first();
        let Some(row) = world.requests.rows.get_mut(&id) else {
            continue;
        };
        if row.submit.deadline <= now {
            late(world, id);
        } else if row.stage == Stage::Delayed(time) {
            row.stage = Stage::Queued;
            let (lane, class) = (row.lane.clone(), row.class());
            world.queues.of(&lane).push(class, id);
            world.queues.touch(&lane);
        }
    }
}

/// Ends a request at its deadline. A keyed call that must not run twice and may be running goes on to the end of its
/// route's time, so that its answer can be fetched under the key; the callers are told that the outcome is unknown.
fn late(world: &mut World, id: RequestId) {
    let now = world.now;
    let Some(row) = world.requests.rows.get_mut(&id) else {
        return;
    };
    let run_end = row.started.unwrap_or(now) + row.run_limit.unwrap_or_default();
    if let Some(sequence) = row.key
        && !row.idempotent
        && row.attempt.is_some()
        && run_end > now
    {
        row.submit.deadline = run_end;
        world.requests.timers.insert((run_end, id));
        key::answer_waiters(world, sequence, &Answer::error(Code::OutcomeUnknown));
        return;
    }
    let lane = row.lane.clone();
    let live = world
        .config
        .snapshot
        .clone()
        .is_none_or(|snapshot| dispatch::any_target(world, &snapshot, &lane));
    finish::end_unserved(world, id, if live { Code::Deadline } else { Code::NoTarget });
}

/// Moves a request to another target after an attempt of which no byte was taken.
fn move_on(world: &mut World, id: RequestId) {
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    let moves = row.moves;
    if let Some(sequence) = row.key
        && !world.keys.awaited(sequence)
    {
        world.requests.cancel(id);
        return key::withdraw(world, sequence);
    }
    if moves > MOVES_MAX {
        return finish::end_unserved(world, id, Code::NoTarget);
    }
    let wait = if moves == 1 { Duration::ZERO } else { backoff(world, moves - 1) };
    delay(world, id, wait);
}

/// Repeats a request that may have run, if that is allowed.
fn try_again(world: &mut World, id: RequestId, failure: Failure) {
    let now = world.now;
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    if !row.idempotent {
        // A second run could do real damage, so what may have run once is never sent again.
        return finish::end(world, id, Err(Code::OutcomeUnknown));
    }
    let generation = matches!(row.submit.work, Work::Generate(_));
    if let Failure::Status(status) = failure
        && generation
        && row.so_far.is_none()
        && refuses(status)
    {
        return finish::end(world, id, Err(Code::RequestMalformed));
    }
    let content = row.submit.work.content();
    if world.strikes.count(content) >= limit(world, row, |limits| limits.crash_limit) {
        return finish::end(world, id, Err(Code::CrashesTargets));
    }
    let percent = limit(world, row, |limits| limits.retry_budget_percent);
    let left = row.submit.deadline.saturating_sub(now);
    let wait = match failure {
        Failure::Broken => VERDICT_WAIT.min(left / 2),
        _ => backoff(world, row.attempts),
    };
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    let allowed = row.attempts < limit(world, row, |limits| limits.attempts);
    let lane = row.lane.clone();
    if !allowed || wait >= left || !world.queues.of(&lane).budget.spend(percent) {
        return finish::end_unserved(world, id, Code::Deadline);
    }
    delay(world, id, wait);
}

/// Statuses that say that the request itself is at fault.
fn refuses(status: u16) -> bool {
    matches!(status, 400 | 404 | 413 | 422)
}

fn limit(world: &World, row: &Row, field: impl Fn(&Limits) -> u32) -> u32 {
    let snapshot = world.config.snapshot.as_deref();
    snapshot.and_then(|snapshot| row.lane.limits(snapshot)).map_or(u32::MAX, field)
}

fn backoff(world: &mut World, attempts: u32) -> Duration {
    let full = BACKOFF_MIN.saturating_mul(1 << attempts.saturating_sub(1).min(10)).min(BACKOFF_MAX);
    full.mul_f64(world.rng.random_range(0.5..1.5))
}
