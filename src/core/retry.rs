//! Ends of attempts, retries and deadlines of requests.
//!
//! A request whose attempt certainly did not run moves to another target. One that may have run is retried, with
//! backoff, only if it is idempotent and within the attempt limit and the retry budget of its lane.

use rand::Rng;

use crate::{
    core::{
        World, dispatch, finish, health, key,
        queue::Class,
        request::{Answer, Failure, Output, Row, Stage, Text, Work},
        strike, target,
    },
    file::Limits,
    prelude::*,
};

/// Backoff before a retry. It doubles with each attempt up to the maximum; jitter changes it by up to half.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Longest wait for the poll that shows whether a broken connection was a crash.
const CRASH_CHECK_WAIT: Duration = Duration::from_secs(1);
/// Attempts of one request that may end without having run.
const NOT_RUN_MAX: u32 = 8;

/// Handles the complete answer of an attempt.
pub fn attempt_done(world: &mut World, id: RequestId, output: Output) {
    if let Output::Text(text) = &output
        && text.finish_reason.is_none()
    {
        // A text without a finish reason may be truncated, so the generation is resumed like a failed one.
        let partial = Some(text.clone());
        return attempt_failed(world, id, Failure::Timeout, partial);
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
        queue.record_service_time(world.now.saturating_sub(started));
    }
    if let Some(target) = &row.target {
        target::connected(world, target);
    }
    strike::request_succeeded(world, row.submission.work.content());
    // `end_attempt` clears the target, which the completion still has to name.
    let ran_on = row.target.clone();
    finish::end_attempt(world, id, &mut row);
    row.target = ran_on;
    row.attempts += 1;
    world.requests.rows.insert(id, row);
    finish::end(world, id, Ok(output));
}

/// Handles the failure of an attempt.
pub fn attempt_failed(world: &mut World, id: RequestId, failure: Failure, partial: Option<Text>) {
    let Some(mut row) = world.requests.rows.remove(&id) else {
        return;
    };
    let sent = row.sent;
    let target = row.target.clone();
    finish::end_attempt(world, id, &mut row);
    row.stage = Stage::Queued;
    let previous_len = row.so_far.as_ref().map_or(0, |text| text.text.len());
    let grown = partial.filter(|text| text.text.len() > previous_len);
    let not_run =
        grown.is_none() && (failure == Failure::Leaving || failure == Failure::Connect && !sent);
    if grown.is_some() {
        row.so_far = grown;
    }
    if not_run {
        row.attempts_not_run += 1;
    } else {
        row.attempts += 1;
    }
    let content = row.submission.work.content();
    let limit = limit(world, &row, |limits| limits.crash_limit);
    let class = row.class();
    world.requests.rows.insert(id, row);
    if let Some(target) = target {
        match failure {
            Failure::Connect => target::connect_failed(world, &target),
            Failure::Leaving => target::record_leaving(world, &target),
            Failure::Broken => {
                target::request_failed(world, &target);
                match class {
                    Class::Caller => strike::connection_broken(world, &target, id, content, limit),
                    // A sample is no suspect: it is owed whatever crashed under it.
                    Class::Bulk => health::probe(world, &target),
                }
            }
            Failure::Timeout | Failure::Status(_) => target::request_failed(world, &target),
        }
    }
    if not_run {
        retry_not_run(world, id);
    } else {
        retry_may_have_run(world, id, failure);
    }
}

/// Schedules the retry of a request that waited for a crash to be confirmed or ruled out.
pub fn resume(world: &mut World, id: RequestId) {
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    if let Stage::Delayed(_) = row.stage {
        let wait = backoff(world, row.attempts);
        delay(world, id, wait);
    }
}

/// Delays a request before it is queued again. It still counts towards the bound of the queue.
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

/// Handles deadlines and delays that have expired.
pub fn run(world: &mut World) {
    let now = world.now;
    while let Some(&(time, id)) = world.requests.timers.first()
        && time <= now
    {
        world.requests.timers.pop_first();
        let Some(row) = world.requests.rows.get_mut(&id) else {
            continue;
        };
        if row.submission.deadline <= now {
            expire(world, id);
        } else if row.stage == Stage::Delayed(time) {
            row.stage = Stage::Queued;
            let (lane, class) = (row.lane.clone(), row.class());
            world.queues.of(&lane).push(class, id);
            world.queues.touch(&lane);
        }
    }
}

/// Ends a request at its deadline. A keyed call that is not idempotent and may be running continues until its route's
/// timeout, so that its answer can be fetched under the key; its callers get `OutcomeUnknown` now.
fn expire(world: &mut World, id: RequestId) {
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
        row.submission.deadline = run_end;
        world.requests.timers.insert((run_end, id));
        key::answer_waiters(world, sequence, &Answer::error(Code::OutcomeUnknown));
        return;
    }
    let lane = row.lane.clone();
    let live = world
        .config
        .snapshot
        .clone()
        .is_none_or(|snapshot| dispatch::has_usable_target(world, &snapshot, &lane));
    finish::end_unserved(world, id, if live { Code::Deadline } else { Code::NoTarget });
}

/// Retries a request after an attempt that certainly did not run.
fn retry_not_run(world: &mut World, id: RequestId) {
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    let not_run = row.attempts_not_run;
    if let Some(sequence) = row.key
        && !world.keys.has_waiters(sequence)
    {
        world.requests.cancel(id);
        return key::reset(world, sequence);
    }
    if not_run > NOT_RUN_MAX {
        return finish::end_unserved(world, id, Code::NoTarget);
    }
    let wait = if not_run == 1 { Duration::ZERO } else { backoff(world, not_run - 1) };
    delay(world, id, wait);
}

/// Retries a request that may have run, if that is allowed.
fn retry_may_have_run(world: &mut World, id: RequestId, failure: Failure) {
    let now = world.now;
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    if !row.idempotent {
        // A second run of a call that is not idempotent could do damage.
        return finish::end(world, id, Err(Code::OutcomeUnknown));
    }
    let generation = matches!(row.submission.work, Work::Generate(_));
    if let Failure::Status(status) = failure
        && generation
        && row.so_far.is_none()
        && is_request_fault(status)
    {
        return finish::end(world, id, Err(Code::RequestMalformed));
    }
    let content = row.submission.work.content();
    if row.class() == Class::Caller
        && world.strikes.count(content) >= limit(world, row, |limits| limits.crash_limit)
    {
        return finish::end(world, id, Err(Code::CrashesTargets));
    }
    let percent = limit(world, row, |limits| limits.retry_budget_percent);
    let left = row.submission.deadline.saturating_sub(now);
    let wait = match failure {
        Failure::Broken => CRASH_CHECK_WAIT.min(left / 2),
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

/// Whether a status says that the request itself is at fault.
fn is_request_fault(status: u16) -> bool {
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
