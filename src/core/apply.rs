//! Applies of operators.
//!
//! The body is written if absent, then the head is moved by compare-and-swap from the value that holds the expected
//! revision. Every step may be repeated, here or through another host, as the apply id stands in the head's history.

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

/// Applies in progress on one host. Operators make one every few seconds in the whole fleet.
const APPLIES_MAX: usize = 16;

/// Store timeouts that fit into one apply: reading, two writes, and two tries to resolve a lost answer.
const TIMEOUTS: u32 = 5;

/// Store timeouts after which an apply that could not even read the head is refused. A client with a timeout of 10 s
/// gives one host 5 s, and would otherwise report a refusing store as an unknown outcome.
const READ_TIMEOUTS: u32 = 2;

/// An operator's file.
#[derive(Clone, Debug)]
pub struct Request {
    pub ticket: Ticket,
    pub apply_id: Box<str>,
    pub expected: Revision,
    pub body: Bytes,
}

/// Call that an apply makes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Reads the head before anything is written.
    Read,
    /// Writes the body if absent.
    Body,
    /// Moves the head.
    Swap,
    /// Reads the head after a lost answer to the swap.
    Settle,
}

/// An apply in progress.
#[derive(Clone, Debug)]
pub struct Apply {
    asked: Request,
    deadline: Time,
    stage: Stage,
    /// When to make the call, or none while one is in flight.
    due: Option<Time>,
    /// Head to move from, and the condition that it still stands.
    before: Option<(Option<Head>, Expect)>,
    /// An earlier swap may still take effect.
    risked: bool,
    failures: u32,
}

/// Answers what a file would change.
pub fn dry_run(world: &mut World, asked: &Request) {
    let ticket = asked.ticket;
    let revision = world.config.revision;
    let Some(new) = check(world, asked) else {
        return;
    };
    if asked.expected != revision {
        return conflict(world, ticket, asked.expected, revision);
    }
    let old = world.config.snapshot.clone().unwrap_or_default();
    let changes = file::diff(&old, &new);
    let done = json!({"dry_run": true, "revision": revision, "changes": changes});
    config::answer(world, ticket, Answer::Done(done));
}

/// Starts an apply.
pub fn start(world: &mut World, asked: Request) {
    let ticket = asked.ticket;
    if world.draining {
        return config::refuse(world, ticket, Code::Draining, Code::Draining.text(), Vec::new());
    }
    if check(world, &asked).is_none() {
        return;
    }
    if world.config.applies.len() >= APPLIES_MAX {
        let text = format!("{APPLIES_MAX} applies are in progress on this host, not applied");
        return config::refuse(world, ticket, Code::StoreUnavailable, text, Vec::new());
    }
    let apply = Apply {
        asked,
        deadline: world.now + world.settings.store_timeout * TIMEOUTS,
        stage: Stage::Read,
        due: Some(world.now),
        before: None,
        risked: false,
        failures: 0,
    };
    world.config.applies.insert(ticket, apply);
}

/// Checks id and file, and refuses them with all faults.
fn check(world: &mut World, asked: &Request) -> Option<file::Snapshot> {
    let id = &asked.apply_id;
    let fits = (1..=64).contains(&id.len())
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if !fits {
        let text = "apply id must have 1 to 64 of the characters a-z A-Z 0-9 - _ .";
        config::refuse(world, asked.ticket, Code::RequestMalformed, text, Vec::new());
        return None;
    }
    match file::parse(&asked.body, asked.expected + 1) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            let code = error.code();
            config::refuse(world, asked.ticket, code, code.text(), error.faults());
            None
        }
    }
}

fn conflict(world: &mut World, ticket: Ticket, expected: Revision, found: Revision) {
    let text = format!("expected revision {expected}, found revision {found}");
    config::refuse(world, ticket, Code::RevisionConflict, text, Vec::new());
}

/// Moves applies on and ends those past their deadline.
pub fn run(world: &mut World) {
    let now = world.now;
    let early = world.settings.store_timeout * (TIMEOUTS - READ_TIMEOUTS);
    // Before its peers have answered, this host cannot tell a store that came back older.
    let waits = startup::is_waiting(world);
    let tickets: Vec<Ticket> = world.config.applies.keys().copied().collect();
    for ticket in tickets {
        let Some(apply) = world.config.applies.get_mut(&ticket) else {
            continue;
        };
        let deadline = match apply.stage {
            Stage::Read if !apply.risked && apply.failures > 0 => {
                apply.deadline.saturating_sub(early)
            }
            _ => apply.deadline,
        };
        if deadline <= now {
            let in_flight = apply.stage == Stage::Swap && apply.due.is_none();
            let code =
                if apply.risked || in_flight { Code::ApplyUnknown } else { Code::StoreUnavailable };
            fail(world, ticket, code, code.text());
        } else if apply.due.is_some_and(|due| due <= now) && !waits {
            apply.due = None;
            let call = call_of(apply);
            store::call(world, Purpose::Config(Step::Apply(ticket)), call);
        }
    }
}

fn call_of(apply: &Apply) -> Call {
    let asked = &apply.asked;
    match (apply.stage, &apply.before) {
        (Stage::Body, _) => Call::Swap {
            key: body_key(&asked.apply_id),
            expect: Expect::Absent,
            value: asked.body.clone(),
            lease: None,
        },
        (Stage::Swap, Some((before, expect))) => Call::Swap {
            key: HEAD.into(),
            expect: *expect,
            value: Head::next(before.as_ref(), &asked.apply_id, file::digest(&asked.body))
                .0
                .encode(),
            lease: None,
        },
        (Stage::Read | Stage::Settle | Stage::Swap, _) => Call::Get { key: HEAD.into() },
    }
}

/// Takes the answer to an apply's call.
pub fn store_reply(world: &mut World, ticket: Ticket, result: Result<Reply, Failure>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let stage = apply.stage;
    match (stage, result) {
        (Stage::Read, Ok(Reply::Value(found))) => first(world, ticket, found),
        (Stage::Body, Ok(Reply::Swapped { .. })) => go(world, ticket, Stage::Swap),
        (Stage::Body, Ok(Reply::Conflict(Some(found)))) if found.bytes == apply.asked.body => {
            go(world, ticket, Stage::Swap);
        }
        (Stage::Body, Ok(Reply::Conflict(Some(_)))) => other_file(world, ticket),
        (Stage::Swap, Ok(Reply::Swapped { .. })) => {
            let revision = apply.asked.expected + 1;
            accepted(world, ticket, revision, true);
        }
        (Stage::Swap, Ok(Reply::Conflict(found))) | (Stage::Settle, Ok(Reply::Value(found))) => {
            judge(world, ticket, found);
        }
        (Stage::Swap, Err(Failure::Unknown)) => {
            apply.risked = true;
            go(world, ticket, Stage::Settle);
        }
        (stage, _) => {
            apply.failures += 1;
            let failures = apply.failures;
            let pause = store::backoff(world, failures);
            wait(world, ticket, stage, pause);
        }
    }
}

fn go(world: &mut World, ticket: Ticket, stage: Stage) {
    wait(world, ticket, stage, Duration::ZERO);
}

fn wait(world: &mut World, ticket: Ticket, stage: Stage, pause: Duration) {
    let due = world.now + pause;
    if let Some(apply) = world.config.applies.get_mut(&ticket) {
        apply.stage = stage;
        apply.due = Some(due);
    }
}

/// Judges the head that stands before anything was written.
fn first(world: &mut World, ticket: Ticket, found: Option<Value>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let (id, expected) = (apply.asked.apply_id.clone(), apply.asked.expected);
    let digest = file::digest(&apply.asked.body);
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
    if let Some(made) = head.as_ref().and_then(|head| head.revision_of(&id)) {
        // The id was accepted before; only the newest head tells the digest of its file.
        let newest = head.as_ref().filter(|head| head.revision == made);
        return match newest {
            Some(head) if head.digest != digest => other_file(world, ticket),
            newest => accepted(world, ticket, made, newest.is_some()),
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
        return lost(world, ticket, head.as_ref());
    }
    let expect = found.map_or(Expect::Absent, |value| Expect::At(value.changed));
    apply.before = Some((head, expect));
    go(world, ticket, Stage::Body);
}

/// Judges the head after a swap that did not report success.
fn judge(world: &mut World, ticket: Ticket, found: Option<Value>) {
    let Some(apply) = world.config.applies.get_mut(&ticket) else {
        return;
    };
    let head = found.as_ref().and_then(Head::parse);
    let expect = found.as_ref().map_or(Expect::Absent, |value| Expect::At(value.changed));
    if let Some(made) = head.as_ref().and_then(|head| head.revision_of(&apply.asked.apply_id)) {
        let newest = head.is_some_and(|head| head.revision == made);
        return accepted(world, ticket, made, newest);
    }
    if apply.before.as_ref().is_some_and(|(_, before)| *before == expect) {
        // The lost write may still land. The same one is sent again; at most one of the two can succeed.
        let pause = store::backoff(world, 0);
        return wait(world, ticket, Stage::Swap, pause);
    }
    // The value was changed, so the condition of the lost write no longer holds.
    if head.as_ref().is_some_and(|head| head.revision > apply.asked.expected) {
        return lost(world, ticket, head.as_ref());
    }
    apply.risked = false;
    go(world, ticket, Stage::Read);
}

/// Ends an apply whose expected revision is not the one in the store.
fn lost(world: &mut World, ticket: Ticket, head: Option<&Head>) {
    let Some(apply) = world.config.applies.get(&ticket) else {
        return;
    };
    let (id, expected) = (apply.asked.apply_id.clone(), apply.asked.expected);
    if let Some(head) =
        head.filter(|head| head.revision > expected && !head.remembers(expected + 1))
    {
        let text = format!(
            "revision {} is too old for the history of revision {}",
            expected + 1,
            head.revision
        );
        return fail(world, ticket, Code::ApplyUnknown, &text);
    }
    world.config.applies.remove(&ticket);
    conflict(world, ticket, expected, head.map_or(0, |head| head.revision));
    // The file can no longer be accepted under this id and revision, so its body may go.
    tidy(world, Call::Delete { key: body_key(&id) });
}

fn other_file(world: &mut World, ticket: Ticket) {
    fail(world, ticket, Code::FileInvalid, "apply id belongs to another file, not applied");
}

fn fail(world: &mut World, ticket: Ticket, code: Code, text: &str) {
    world.config.applies.remove(&ticket);
    config::refuse(world, ticket, code, text, Vec::new());
}

fn tidy(world: &mut World, call: Call) {
    store::call(world, Purpose::Config(Step::Cleanup), call);
}

/// Ends an apply that made a revision; puts it in force here if it is the newest.
fn accepted(world: &mut World, ticket: Ticket, revision: Revision, newest: bool) {
    let Some(apply) = world.config.applies.remove(&ticket) else {
        return;
    };
    let Request { apply_id, body, .. } = apply.asked;
    let done = json!({"revision": revision, "apply_id": apply_id});
    config::answer(world, ticket, Answer::Done(done));
    if !newest {
        return;
    }
    // The loser of a race may have removed the body of an id that was used twice.
    let keep = Call::Swap {
        key: body_key(&apply_id),
        expect: Expect::Absent,
        value: body.clone(),
        lease: None,
    };
    tidy(world, keep);
    let digest = file::digest(&body);
    if let Some((before, _)) = &apply.before {
        let (_, evicted) = Head::next(before.as_ref(), &apply_id, digest);
        if let Some(id) = evicted {
            tidy(world, Call::Delete { key: body_key(&id) });
        }
    }
    let head = crate::wire::Head { revision, digest, apply_id: apply_id.to_string() };
    config::install(world, &head, body);
}
