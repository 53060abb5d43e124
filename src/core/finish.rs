//! Ends of requests: answers, release of resources, cancellation by callers.

use crate::{
    code::Kind,
    core::{
        Action, World, key,
        request::{Answer, Completion, Origin, Output, Row, Stage, Work, answer},
    },
    prelude::*,
};

/// Ends a request, answers its caller or stream, and cancels an attempt in flight.
pub fn end(world: &mut World, id: RequestId, result: Result<Output, Code>) {
    let Some(row) = world.requests.rows.remove(&id) else {
        return;
    };
    let (origin, target) = (row.submission.origin.clone(), row.target.clone());
    let (key, idempotent, admitted) = (row.key, row.idempotent, row.stage != Stage::Submitted);
    if matches!(origin, Origin::Caller(_)) {
        count_answer(world, &row, result.as_ref().err().copied());
    }
    release(world, id, row);
    match origin {
        Origin::Bulk(trainer) => {
            world.completions.push(Completion { request: id, trainer, target, result });
        }
        Origin::Caller(ticket) => {
            let done = match result {
                Ok(output) => Answer::Done(output),
                Err(code) => Answer::error(code),
            };
            match key {
                Some(sequence) if admitted => key::complete(world, sequence, &done, idempotent),
                _ => {
                    let waiting = world.requests.tickets.remove(&ticket).is_some();
                    if waiting || !admitted {
                        answer(world, ticket, done);
                    }
                }
            }
        }
    }
}

/// Ends a request that gets no further attempt. The given code says that nothing ran, so it is replaced if an attempt
/// may have reached a target.
pub fn end_unserved(world: &mut World, id: RequestId, not_run: Code) {
    let Some(row) = world.requests.rows.get(&id) else {
        return;
    };
    let code = match (&row.submission.work, not_run.kind()) {
        (_, Kind::NotRun) if !row.may_have_run() => not_run,
        (Work::Generate(_), Kind::NotRun) => Code::Incomplete,
        (Work::Call(_), Kind::NotRun) => Code::OutcomeUnknown,
        _ => not_run,
    };
    end(world, id, Err(code));
}

/// Handles a caller that closed its connection. Its request is cancelled, except for a keyed call that is not
/// idempotent and may have reached a target: it continues, so that its answer can be fetched with the key.
pub fn disconnected(world: &mut World, ticket: Ticket) {
    if world.forwards.abandon(ticket) {
        return;
    }
    if let Some(id) = world.requests.tickets.remove(&ticket) {
        world.requests.cancel(id);
        return;
    }
    let sequence = world.keys.of_ticket(ticket);
    let Some((id, sequence)) = key::remove_waiter(world, ticket).zip(sequence) else {
        return;
    };
    let continues =
        world.requests.rows.get(&id).is_some_and(|row| !row.idempotent && row.may_have_run());
    if !continues {
        world.requests.cancel(id);
        key::reset(world, sequence);
    }
}

/// Releases everything that a request holds.
pub fn release(world: &mut World, id: RequestId, mut row: Row) {
    world.requests.timers.remove(&(row.submission.deadline, id));
    if let Stage::Delayed(until) = row.stage {
        world.requests.timers.remove(&(until, id));
    }
    if let Some(queue) = world.queues.queues.get_mut(&row.lane) {
        queue.remove(id);
    }
    if let Some(attempt) = end_attempt(world, id, &mut row) {
        world.emit(Action::Cancel(attempt));
    }
    world.strikes.release(id);
}

/// Ends the current attempt of a request. Later updates of the attempt are dropped.
pub fn end_attempt(world: &mut World, id: RequestId, row: &mut Row) -> Option<AttemptId> {
    let attempt = row.attempt.take()?;
    row.sent = false;
    world.requests.attempts.remove(&attempt);
    world.strikes.release(id);
    world.queues.of(&row.lane).running -= 1;
    world.queues.touch(&row.lane);
    let target = row.target.take()?;
    if let Some(ids) = world.requests.by_target.get_mut(&target) {
        ids.remove(&id);
        if ids.is_empty() {
            world.requests.by_target.remove(&target);
        }
    }
    if let Some(target) = world.targets.rows.get_mut(&target) {
        target.in_flight = target.in_flight.saturating_sub(1);
    }
    row.tried.push(target);
    Some(attempt)
}

fn count_answer(world: &mut World, row: &Row, code: Option<Code>) {
    let snapshot = world.config.snapshot.clone();
    if let Some(yard) = snapshot.as_deref().and_then(|snapshot| row.lane.yard(snapshot)) {
        world.burn.record_answer(world.now, yard, code);
    }
}
