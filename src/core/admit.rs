//! Admission of requests into the queues.
//!
//! A request is rejected before anything runs if its lane is unknown, draining, full or without targets, if it cannot
//! start before its deadline, or if it needs an idempotency key and has none.

use crate::{
    core::{
        World, dispatch, finish, forward,
        key::{self, Arrival, Key},
        lane::Lane,
        queue::Class,
        request::{Answer, Call, Incoming, Origin, Stage, Submission, Work, answer},
    },
    file::{Limits, Route, Snapshot},
    prelude::*,
    wire,
};

/// Longest deadline that a caller may set.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 3600);

/// Execution rules of a request.
struct Rules {
    idempotent: bool,
    /// Time limit of one attempt, if the route sets one.
    run_limit: Option<Duration>,
}

/// Handles a caller's request. A copy of a keyed request joins the first one, a request whose key another host issued
/// is forwarded there, and any other is queued or rejected.
pub fn caller(world: &mut World, ticket: Ticket, incoming: Incoming) {
    let Incoming { work, key, deadline } = incoming;
    let wait = deadline.unwrap_or_else(|| default_deadline(world, &work));
    let deadline = world.now + wait.min(DEADLINE_MAX);
    let mut sequence = None;
    if let Some(text) = key {
        let Some(key) = Key::parse(&text) else {
            return answer(world, ticket, Answer::error(Code::KeyInvalid));
        };
        if key.host != world.settings.host {
            return forward_to_issuer(world, ticket, &key, text, work, deadline);
        }
        match key::check(world, &key, &work, ticket, deadline) {
            Arrival::Start => sequence = Some(key.sequence),
            Arrival::Joined => return,
            Arrival::Answer(done) => return answer(world, ticket, done),
        }
    }
    let submission =
        Submission { origin: Origin::Caller(ticket), work, deadline, avoid: Vec::new() };
    let id = world.requests.insert(submission);
    match queue(world, id, sequence) {
        Ok(()) => match sequence {
            Some(sequence) => key::start(world, sequence, id, ticket),
            None => {
                world.requests.tickets.insert(ticket, id);
            }
        },
        Err(code) => {
            if let Some(sequence) = sequence {
                key::refuse(world, sequence, code);
            }
            finish::end(world, id, Err(code));
        }
    }
}

/// Admits a request from inside the core.
pub fn bulk(world: &mut World, id: RequestId) {
    if !world.requests.rows.contains_key(&id) {
        return;
    }
    if let Err(code) = queue(world, id, None) {
        finish::end(world, id, Err(code));
    }
}

/// Queues a request or returns the code of its rejection. Nothing has run at this point.
fn queue(world: &mut World, id: RequestId, key: Option<key::Sequence>) -> Result<(), Code> {
    let now = world.now;
    let snapshot = world.config.snapshot.clone().ok_or(Code::NotReady)?;
    let row = world.requests.rows.get_mut(&id).ok_or(Code::Internal)?;
    row.arrived = now;
    let (class, lane, deadline) = (row.class(), row.lane.clone(), row.submission.deadline);
    let content = row.submission.work.content();
    let rules = rules(&snapshot, &row.submission.work)?;
    row.idempotent = rules.idempotent;
    row.run_limit = rules.run_limit;
    row.key = key;
    if world.draining {
        return Err(Code::Draining);
    }
    if class == Class::Caller && !rules.idempotent && key.is_none() {
        return Err(Code::KeyRequired);
    }
    let limits = lane.limits(&snapshot).ok_or(Code::UnknownName)?;
    if class == Class::Caller && world.strikes.count(content) >= limits.crash_limit {
        return Err(Code::CrashesTargets);
    }
    if !dispatch::has_usable_target(world, &snapshot, &lane) {
        return Err(Code::NoTarget);
    }
    let is_late = |world: &mut World, free| {
        now + world.queues.of(&lane).expected_wait(class, limits, free) >= deadline
    };
    // Counting the free slots reads every target of the lane, so it is done only when it can change the result.
    if is_late(world, 0) {
        let free = dispatch::free_slots(world, &snapshot, &lane);
        if is_late(world, free) {
            return Err(Code::Deadline);
        }
    }
    let queue = world.queues.of(&lane);
    let mut displaced = None;
    if queue.len() >= limits.queue_requests as usize {
        // A caller displaces the newest bulk request while bulk holds more than its share of the queue.
        let bulk_share =
            limits.queue_requests.saturating_mul(limits.bulk_share_percent).div_ceil(100) as usize;
        displaced = queue
            .bulk
            .last()
            .copied()
            .filter(|_| class == Class::Caller && queue.bulk.len() > bulk_share);
        if displaced.is_none() {
            return Err(Code::QueueFull);
        }
    }
    queue.push(class, id);
    if let Some(row) = world.requests.rows.get_mut(&id) {
        row.stage = Stage::Queued;
    }
    world.requests.timers.insert((deadline, id));
    world.queues.touch(&lane);
    if let Some(displaced) = displaced {
        finish::end_unserved(world, displaced, Code::QueueFull);
    }
    Ok(())
}

fn rules(snapshot: &Snapshot, work: &Work) -> Result<Rules, Code> {
    match work {
        Work::Generate(generate) if snapshot.models.contains_key(&generate.model) => {
            Ok(Rules { idempotent: true, run_limit: None })
        }
        Work::Generate(_) => Err(Code::UnknownName),
        Work::Call(call) => {
            let service = snapshot.services.get(&call.service).ok_or(Code::UnknownName)?;
            let route = route(&service.routes, call)?;
            Ok(Rules { idempotent: route.idempotent, run_limit: Some(route.timeout) })
        }
    }
}

/// Route of a call: the longest prefix that ends at a path segment; a specific method goes before `*`.
fn route<'a>(routes: &'a [Route], call: &Call) -> Result<&'a Route, Code> {
    let path = call.path.split(['?', '#']).next().unwrap_or_default();
    let path = decode(path).ok_or(Code::RequestMalformed)?;
    let inner = path.trim_start_matches('/').trim_end_matches('/');
    // A target could resolve such a path to one of another route, which may not be idempotent.
    let ambiguous = path.starts_with("//") || path.ends_with("//") || path.contains('\\');
    if ambiguous
        || !inner.is_empty() && inner.split('/').any(|segment| matches!(segment, "" | "." | ".."))
    {
        return Err(Code::RequestMalformed);
    }
    let matches = |route: &&Route| {
        let rest = path.strip_prefix(&*route.prefix);
        let whole = rest.is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/')
        });
        whole && (&*route.method == "*" || route.method == call.method)
    };
    let found = routes
        .iter()
        .filter(matches)
        .max_by_key(|route| (route.prefix.len(), &*route.method != "*"));
    found.ok_or(Code::UnknownName)
}

/// Decodes percent escapes as a target would.
fn decode(path: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        if first != b'%' {
            bytes.push(first);
            continue;
        }
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok())?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok()
}

fn default_deadline(world: &World, work: &Work) -> Duration {
    let snapshot = world.config.snapshot.as_deref();
    let limits = snapshot.and_then(|snapshot| Lane::of(work).limits(snapshot));
    limits.map_or(Limits::default().deadline, |limits| limits.deadline)
}

/// Forwards a request to the host that issued its key.
fn forward_to_issuer(
    world: &mut World,
    ticket: Ticket,
    key: &Key,
    text: Box<str>,
    work: Work,
    deadline: Time,
) {
    // A forwarded request is not forwarded again: the peer already regards this host as the issuer.
    let known = world.hosts.rows.get(&key.host).map(|row| row.incarnation);
    if ticket & forward::FROM_PEER != 0
        || known.is_some_and(|incarnation| incarnation != key.incarnation)
    {
        return answer(world, ticket, Answer::error(Code::KeyInvalid));
    }
    let wait = deadline.saturating_sub(world.now);
    let mut call = wire::Call {
        key: text.into(),
        deadline_ms: wait.as_millis() as u64,
        ..wire::Call::default()
    };
    match work {
        Work::Generate(it) => {
            call.model = it.model.into();
            call.prompt = it.prompt.to_string();
            call.max_tokens = it.max_tokens;
            call.params = it.params.to_string();
        }
        Work::Call(it) => {
            call.service = it.service.into();
            call.method = it.method.into();
            call.path = it.path.into();
            call.content_type = it.content_type.into();
            call.body = it.body;
        }
    }
    forward::send(
        world,
        &key.host,
        wire::Request::Call(call),
        ticket,
        deadline + forward::REPLY_GRACE,
    );
}
