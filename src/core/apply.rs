//! Applies of configuration files by operators.
//!
//! The body is written if absent, then the head is replaced by compare-and-swap if it has the expected revision. Steps
//! may be repeated, here or through another host, because the history of the head contains the apply id.

use bytes::Bytes;
use serde_json::json;

use crate::{
    core::{
        World,
        config::{self, Answer, Step},
        head::{self, HEAD, Head, body_key},
        startup,
        store::{self, Call, Expect, Failure, Purpose, Reply, Value},
    },
    file,
    prelude::*,
};

/// Maximum applies in progress on one host, for an expected rate of one every few seconds in the whole fleet.
const APPLIES_MAX: usize = 16;

/// Deadline of an apply as a multiple of the store timeout: a read, two writes, and two attempts to resolve a lost
/// reply.
const DEADLINE_TIMEOUTS: u32 = 5;

/// Deadline, in the same unit, of an apply whose read of the head failed. A client with a timeout of 10 s allows one
/// host 5 s, and would otherwise report an unavailable store as an unknown outcome.
const READ_DEADLINE_TIMEOUTS: u32 = 2;

/// Request to apply a file.
#[derive(Clone, Debug)]
pub struct Request {
    pub ticket: Ticket,
    pub apply_id: Box<str>,
    pub expected: Revision,
    pub body: Bytes,
}

/// Current call of an apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Reads the head before anything is written.
    Read,
    /// Writes the body if absent.
    Body,
    /// Replaces the head.
    Swap,
    /// Reads the head after a lost reply to the swap.
    Verify,
}

/// An apply in progress.
#[derive(Clone, Debug)]
pub struct Apply {
    request: Request,
    deadline: Time,
    stage: Stage,
    /// Time of the call, `None` while it is in flight.
    due: Option<Time>,
    /// Head to replace, and the precondition that it is unchanged.
    before: Option<(Option<Head>, Expect)>,
    /// An earlier swap without a reply may still take effect.
    swap_pending: bool,
    failures: u32,
}

/// Answers with the changes that a file would make.
pub fn dry_run(world: &mut World, request: &Request) {
    let ticket = request.ticket;
    let revision = world.config.revision;
    let Some(new) = check(world, request) else {
        return;
    };
    if request.expected != revision {
        return refuse_revision(world, ticket, request.expected, revision);
    }
    let old = world.config.snapshot.clone().unwrap_or_default();
    let changes = file::diff(&old, &new);
    let done = json!({"dry_run": true, "revision": revision, "changes": changes});
    config::answer(world, ticket, Answer::Done(done));
}

/// Starts an apply.
pub fn start(world: &mut World, request: Request) {
    let ticket = request.ticket;
    if world.draining {
        return config::refuse(world, ticket, Code::Draining, Code::Draining.text(), Vec::new());
    }
    if check(world, &request).is_none() {
        return;
    }
    if world.config.applies.len() >= APPLIES_MAX {
        let text = format!("{APPLIES_MAX} applies are in progress on this host, not applied");
        return config::refuse(world, ticket, Code::StoreUnavailable, text, Vec::new());
    }
    let apply = Apply {
        request,
        deadline: world.now + world.settings.store_timeout * DEADLINE_TIMEOUTS,
        stage: Stage::Read,
        due: Some(world.now),
        before: None,
        swap_pending: false,
        failures: 0,
    };
    world.config.applies.insert(ticket, apply);
}

/// Validates the apply id and the file. Answers with all faults and returns `None` if they are invalid.
fn check(world: &mut World, request: &Request) -> Option<file::Snapshot> {
    let id = &request.apply_id;
    let is_valid = (1..=64).contains(&id.len())
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if !is_valid {
        let text = "apply id must have 1 to 64 of the characters a-z A-Z 0-9 - _ .";
        config::refuse(world, request.ticket, Code::RequestMalformed, text, Vec::new());
        return None;
    }
    match file::parse(&request.body, request.expected + 1) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            let code = error.code();
            config::refuse(world, request.ticket, code, code.text(), error.faults());
            None
        }
    }
}

fn refuse_revision(world: &mut World, ticket: Ticket, expected: Revision, found: Revision) {
    let text = format!("expected revision {expected}, found revision {found}");
    config::refuse(world, ticket, Code::RevisionConflict, text, Vec::new());
}

/// Sends the calls that are due and fails applies past their deadline.
pub fn run(world: &mut World) {
    let now = world.now;
    let shortened_by = world.settings.store_timeout * (DEADLINE_TIMEOUTS - READ_DEADLINE_TIMEOUTS);
    // Until its peers have answered, this host cannot detect a store that was restored to an older state.
    let is_waiting = startup::is_waiting(world);
    let tickets: Vec<Ticket> = world.config.applies.keys().copied().collect();
    for ticket in tickets {
        let Some(apply) = world.config.applies.get_mut(&ticket) else {
            continue;
        };
        let deadline = match apply.stage {
            Stage::Read if !apply.swap_pending && apply.failures > 0 => {
                apply.deadline.saturating_sub(shortened_by)
            }
            _ => apply.deadline,
        };
        if deadline <= now {
            let in_flight = apply.stage == Stage::Swap && apply.due.is_none();
            let code = if apply.swap_pending || in_flight {
                Code::ApplyUnknown
            } else {
                Code::StoreUnavailable
            };
            fail(world, ticket, code, code.text());
        } else if apply.due.is_some_and(|due| due <= now) && !is_waiting {
            apply.due = None;
            let call = stage_call(apply);
            store::call(world, Purpose::Config(Step::Apply(ticket)), call);
        }
    }
}

fn stage_call(apply: &Apply) -> Call {
    let request = &apply.request;
    match (apply.stage, &apply.before) {
        (Stage::Body, _) => Call::Swap {
            key: body_key(&request.apply_id),
            expect: Expect::Absent,
            value: request.body.clone(),
            lease: None,
        },
        (Stage::Swap, Some((before, expect))) => Call::Swap {
            key: HEAD.into(),
            expect: *expect,
            value: Head::next(before.as_ref(), &request.apply_id, file::digest(&request.body))
                .0
                .encode(),
            lease: None,
        },
        (Stage::Read | Stage::Verify | Stage::Swap, _) => Call::Get { key: HEAD.into() },
    }
}

/// Handles the reply to the current call of an apply.
pub fn store_reply(world: &mut World, ticket: Ticket, result: Result<Reply, Failure>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let stage = apply.stage;
    match (stage, result) {
        (Stage::Read, Ok(Reply::Value(found))) => check_head(world, ticket, found),
        (Stage::Body, Ok(Reply::Swapped { .. })) => advance(world, ticket, Stage::Swap),
        (Stage::Body, Ok(Reply::Conflict(Some(found)))) if found.bytes == apply.request.body => {
            advance(world, ticket, Stage::Swap);
        }
        (Stage::Body, Ok(Reply::Conflict(Some(_)))) => fail_id_reused(world, ticket),
        (Stage::Swap, Ok(Reply::Swapped { .. })) => {
            let revision = apply.request.expected + 1;
            succeed(world, ticket, revision, true);
        }
        (Stage::Swap, Ok(Reply::Conflict(found))) | (Stage::Verify, Ok(Reply::Value(found))) => {
            resolve_swap(world, ticket, found);
        }
        (Stage::Swap, Err(Failure::Unknown)) => {
            apply.swap_pending = true;
            advance(world, ticket, Stage::Verify);
        }
        (stage, _) => {
            apply.failures += 1;
            let failures = apply.failures;
            let pause = store::backoff(world, failures);
            schedule(world, ticket, stage, pause);
        }
    }
}

fn advance(world: &mut World, ticket: Ticket, stage: Stage) {
    schedule(world, ticket, stage, Duration::ZERO);
}

fn schedule(world: &mut World, ticket: Ticket, stage: Stage, pause: Duration) {
    let due = world.now + pause;
    if let Some(apply) = world.config.applies.get_mut(&ticket) {
        apply.stage = stage;
        apply.due = Some(due);
    }
}

/// Checks the head that was read before any write.
fn check_head(world: &mut World, ticket: Ticket, found: Option<Value>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let (id, expected) = (apply.request.apply_id.clone(), apply.request.expected);
    let digest = file::digest(&apply.request.body);
    let head = match &found {
        Some(value) => match Head::parse(value) {
            Some(head) => Some(head),
            None => {
                return fail(
                    world,
                    ticket,
                    Code::StoreBehind,
                    "head in the store is not readable, not applied",
                );
            }
        },
        None => None,
    };
    let revision = head.as_ref().map_or(0, |head| head.revision);
    if let Some(created) = head.as_ref().and_then(|head| head.revision_of(&id)) {
        // The id was accepted before. The head contains only the digest of the newest file.
        let newest = head.as_ref().filter(|head| head.revision == created);
        return match newest {
            Some(head) if head.digest != digest => fail_id_reused(world, ticket),
            newest => succeed(world, ticket, created, newest.is_some()),
        };
    }
    let behind = match &head {
        Some(head) => head::behind(head, world.config.revision, world.config.digest),
        None => (world.config.revision > 0).then(|| "store has no configuration, hosts do".into()),
    };
    if let Some(text) = behind {
        return fail(world, ticket, Code::StoreBehind, &format!("{text}, not applied"));
    }
    if revision != expected {
        return fail_conflict(world, ticket, head.as_ref());
    }
    let expect = found.map_or(Expect::Absent, |value| Expect::Revision(value.mod_revision));
    apply.before = Some((head, expect));
    advance(world, ticket, Stage::Body);
}

/// Determines the outcome of a swap that did not report success.
fn resolve_swap(world: &mut World, ticket: Ticket, found: Option<Value>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let head = found.as_ref().and_then(Head::parse);
    let expect =
        found.as_ref().map_or(Expect::Absent, |value| Expect::Revision(value.mod_revision));
    if let Some(created) = head.as_ref().and_then(|head| head.revision_of(&apply.request.apply_id))
    {
        let newest = head.is_some_and(|head| head.revision == created);
        return succeed(world, ticket, created, newest);
    }
    if apply.before.as_ref().is_some_and(|(_, before)| *before == expect) {
        // The write without a reply may still take effect. It is repeated; at most one of the two can succeed.
        let pause = store::backoff(world, 0);
        return schedule(world, ticket, Stage::Swap, pause);
    }
    // The head has changed, so the precondition of the write without a reply no longer holds.
    if head.as_ref().is_some_and(|head| head.revision > apply.request.expected) {
        return fail_conflict(world, ticket, head.as_ref());
    }
    apply.swap_pending = false;
    advance(world, ticket, Stage::Read);
}

/// Fails an apply whose expected revision is not the one in the store. The outcome is unknown if the history no longer
/// covers the revision that the apply would have created.
fn fail_conflict(world: &mut World, ticket: Ticket, head: Option<&Head>) {
    let Some(apply) = world.config.applies.get(&ticket) else {
        return;
    };
    let (id, expected) = (apply.request.apply_id.clone(), apply.request.expected);
    if let Some(head) =
        head.filter(|head| head.revision > expected && !head.has_revision(expected + 1))
    {
        let text = format!(
            "revision {} is too old for the history of revision {}",
            expected + 1,
            head.revision
        );
        return fail(world, ticket, Code::ApplyUnknown, &text);
    }
    world.config.applies.remove(&ticket);
    refuse_revision(world, ticket, expected, head.map_or(0, |head| head.revision));
    // The file can no longer be accepted with this id and revision, so its body is deleted.
    clean_up(world, Call::Delete { key: body_key(&id) });
}

fn fail_id_reused(world: &mut World, ticket: Ticket) {
    fail(world, ticket, Code::FileInvalid, "apply id belongs to another file, not applied");
}

fn fail(world: &mut World, ticket: Ticket, code: Code, text: &str) {
    world.config.applies.remove(&ticket);
    config::refuse(world, ticket, code, text, Vec::new());
}

fn clean_up(world: &mut World, call: Call) {
    store::call(world, Purpose::Config(Step::Cleanup), call);
}

/// Answers an apply that created a revision, and puts the file in force here if it is the newest.
fn succeed(world: &mut World, ticket: Ticket, revision: Revision, newest: bool) {
    let Some(apply) = world.config.applies.remove(&ticket) else {
        return;
    };
    let Request { apply_id, body, .. } = apply.request;
    let done = json!({"revision": revision, "apply_id": apply_id});
    config::answer(world, ticket, Answer::Done(done));
    if !newest {
        return;
    }
    // If the id was used twice, the apply that lost the race may have deleted the body.
    let restore = Call::Swap {
        key: body_key(&apply_id),
        expect: Expect::Absent,
        value: body.clone(),
        lease: None,
    };
    clean_up(world, restore);
    let digest = file::digest(&body);
    if let Some((before, _)) = &apply.before {
        let (_, evicted) = Head::next(before.as_ref(), &apply_id, digest);
        if let Some(id) = evicted {
            clean_up(world, Call::Delete { key: body_key(&id) });
        }
    }
    let head = crate::wire::Head { revision, digest, apply_id: apply_id.to_string() };
    config::install(world, &head, body);
}
