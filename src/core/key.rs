//! Idempotency keys issued by this process.
//!
//! A key is `<host>.<incarnation>.<sequence>.<tag>`. A request runs under a key only while the table lists the key as
//! issued, so a removed record never permits a second run. Further requests with the same key and payload wait for the
//! first one or get its stored answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    code::Kind,
    core::{
        Action, World,
        request::{self, Answer, Output, Work},
    },
    prelude::*,
};

/// Most keys issued by one call.
const ISSUE_MAX: u32 = 1000;

/// A caller's call for keys.
#[derive(Clone, Debug)]
pub struct Issue {
    pub ticket: Ticket,
    pub count: u32,
}

/// Number of a key within its incarnation.
pub type Sequence = u64;

/// A parsed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub sequence: Sequence,
    tag: u128,
}

impl Key {
    /// Parses a key. Host names may contain dots.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let tag = u128::from_str_radix(parts.next()?, 16).ok()?;
        let sequence = parts.next()?.parse().ok()?;
        let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
        let host = parts.next()?.into();
        Some(Self { host, incarnation, sequence, tag })
    }
}

#[derive(Debug)]
enum State {
    /// Not in use. The first request with the key binds it to its payload.
    Issued,
    /// A request is queued or runs.
    Active(RequestId),
    Done(Output),
    /// The call was dispatched, and its outcome is unknown.
    Unknown,
    Refused(Code),
}

#[derive(Debug)]
struct Record {
    state: State,
    payload: Option<u128>,
    waiters: Vec<Ticket>,
    expires: Time,
}

/// Decision for a request with a key of this process.
#[derive(Debug)]
pub enum Arrival {
    /// The key is unused, so the request may run.
    Start,
    /// A copy of the request runs. The ticket waits for its answer.
    Joined,
    /// The answer is already known.
    Answer(Answer),
}

/// Keys of this process.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<Sequence, Record>,
    expiry: BTreeSet<(Time, Sequence)>,
    /// Deadlines of the waiting copies, which may be earlier than that of the request.
    waiter_deadlines: BTreeSet<(Time, Sequence, Ticket)>,
    tickets: BTreeMap<Ticket, Sequence>,
    /// Keys with stored answers, oldest first.
    done: VecDeque<Sequence>,
    answer_bytes: usize,
    last: Sequence,
}

impl Table {
    /// Key under which a ticket waits.
    pub fn of_ticket(&self, ticket: Ticket) -> Option<Sequence> {
        self.tickets.get(&ticket).copied()
    }

    /// Whether a caller waits under a key.
    pub fn has_waiters(&self, sequence: Sequence) -> bool {
        self.records.get(&sequence).is_some_and(|record| !record.waiters.is_empty())
    }

    /// Earliest deadline of a waiting copy.
    pub fn wake(&self) -> Option<Time> {
        self.waiter_deadlines.first().map(|(time, ..)| *time)
    }

    fn remove(&mut self, sequence: Sequence) {
        if let Some(record) = self.records.remove(&sequence) {
            self.expiry.remove(&(record.expires, sequence));
            if let State::Done(output) = &record.state {
                self.answer_bytes -= size(output);
            }
        }
    }

    fn expire_at(&mut self, sequence: Sequence, time: Time) {
        if let Some(record) = self.records.get_mut(&sequence) {
            self.expiry.remove(&(record.expires, sequence));
            record.expires = time;
            self.expiry.insert((time, sequence));
        }
    }
}

/// Issues as many keys as the table has room for. A draining host issues none, since it rejects their requests.
pub fn input(world: &mut World, issue: Issue) {
    let Issue { ticket, count } = issue;
    let room = world.settings.key_limit.saturating_sub(world.keys.records.len());
    if world.draining || room == 0 {
        let code = if world.draining { Code::Draining } else { Code::QueueFull };
        return request::answer(world, ticket, Answer::error(code));
    }
    let count = room.min(count.min(ISSUE_MAX) as usize);
    let expires = world.now + world.settings.key_validity;
    let mut keys = Vec::with_capacity(count);
    for _ in 0..count {
        world.keys.last += 1;
        let sequence = world.keys.last;
        let record = Record { state: State::Issued, payload: None, waiters: Vec::new(), expires };
        world.keys.records.insert(sequence, record);
        world.keys.expiry.insert((expires, sequence));
        let (host, incarnation) = (&world.settings.host, world.settings.incarnation);
        let tag = tag(world, sequence);
        keys.push(format!("{host}.{incarnation:x}.{sequence}.{tag:032x}").into());
    }
    world.emit(Action::Keys { ticket, keys });
}

/// Checks a request with a key of this host against the table.
pub fn check(world: &mut World, key: &Key, work: &Work, ticket: Ticket, deadline: Time) -> Arrival {
    let sequence = key.sequence;
    let genuine = key.incarnation == world.settings.incarnation && key.tag == tag(world, sequence);
    let record = world.keys.records.get_mut(&sequence).filter(|_| genuine);
    let Some(record) = record else {
        return Arrival::Answer(Answer::error(Code::KeyInvalid));
    };
    let payload = payload(work);
    if *record.payload.get_or_insert(payload) != payload {
        return Arrival::Answer(Answer::error(Code::KeyReused));
    }
    match &record.state {
        State::Issued => Arrival::Start,
        State::Active(_) => {
            record.waiters.push(ticket);
            world.keys.waiter_deadlines.insert((deadline, sequence, ticket));
            world.keys.tickets.insert(ticket, sequence);
            Arrival::Joined
        }
        State::Done(output) => Arrival::Answer(Answer::Done(output.clone())),
        State::Unknown => Arrival::Answer(Answer::error(Code::OutcomeUnknown)),
        State::Refused(code) => Arrival::Answer(Answer::error(*code)),
    }
}

/// Records that the request of a key was queued. Until it ends, the record does not expire.
pub fn start(world: &mut World, sequence: Sequence, id: RequestId, ticket: Ticket) {
    let keys = &mut world.keys;
    let Some(record) = keys.records.get_mut(&sequence) else {
        return;
    };
    record.state = State::Active(id);
    record.waiters.push(ticket);
    keys.expiry.remove(&(record.expires, sequence));
    keys.tickets.insert(ticket, sequence);
}

/// Records that the request of a key was rejected before it was queued.
pub fn refuse(world: &mut World, sequence: Sequence, code: Code) {
    if let Some(record) = world.keys.records.get_mut(&sequence) {
        record.state = State::Refused(code);
        let time = world.now + world.settings.key_retention;
        world.keys.expire_at(sequence, time);
    }
}

/// Stores the result of a key's request and answers its waiters. If the outcome of idempotent work is unknown, its key
/// stays usable.
pub fn complete(world: &mut World, sequence: Sequence, answer: &Answer, idempotent: bool) {
    answer_waiters(world, sequence, answer);
    let (now, settings) = (world.now, &world.settings);
    let keys = &mut world.keys;
    let Some(record) = keys.records.get_mut(&sequence) else {
        return;
    };
    record.state = match answer {
        Answer::Done(output) => {
            keys.answer_bytes += size(output);
            keys.done.push_back(sequence);
            State::Done(output.clone())
        }
        Answer::Error { code, .. } => match code.kind() {
            Kind::NotRun | Kind::Refused => State::Refused(*code),
            _ if idempotent => State::Issued,
            _ => State::Unknown,
        },
    };
    keys.expire_at(sequence, now + settings.key_retention);
    evict_answers(world);
}

/// Returns a key to the issued state, after its request was cancelled because all its callers disconnected. It can be
/// used again for the same payload.
pub fn reset(world: &mut World, sequence: Sequence) {
    if let Some(record) = world.keys.records.get_mut(&sequence) {
        record.state = State::Issued;
        let time = world.now + world.settings.key_retention;
        world.keys.expire_at(sequence, time);
    }
}

/// Answers all waiters of a key. Its request continues.
pub fn answer_waiters(world: &mut World, sequence: Sequence, answer: &Answer) {
    let Some(record) = world.keys.records.get_mut(&sequence) else {
        return;
    };
    for ticket in std::mem::take(&mut record.waiters) {
        world.keys.tickets.remove(&ticket);
        request::answer(world, ticket, answer.clone());
    }
}

/// Removes a waiting ticket. Returns the key's request if it was the last waiter.
pub fn remove_waiter(world: &mut World, ticket: Ticket) -> Option<RequestId> {
    let sequence = world.keys.tickets.remove(&ticket)?;
    let record = world.keys.records.get_mut(&sequence)?;
    record.waiters.retain(|it| *it != ticket);
    match record.state {
        State::Active(id) if record.waiters.is_empty() => Some(id),
        _ => None,
    }
}

/// Removes expired keys and answers copies whose own deadline has passed.
pub fn run(world: &mut World) {
    let now = world.now;
    while let Some(&(time, sequence, ticket)) = world.keys.waiter_deadlines.first()
        && time <= now
    {
        world.keys.waiter_deadlines.pop_first();
        if world.keys.tickets.get(&ticket) == Some(&sequence) {
            remove_waiter(world, ticket);
            request::answer(world, ticket, Answer::error(Code::OutcomeUnknown));
        }
    }
    while let Some(&(time, sequence)) = world.keys.expiry.first()
        && time <= now
    {
        world.keys.remove(sequence);
    }
}

/// Evicts the oldest stored answers while their size exceeds the limit. Their keys are removed and never run again.
fn evict_answers(world: &mut World) {
    let (keys, limit) = (&mut world.keys, world.settings.key_answer_bytes);
    while keys.answer_bytes > limit
        && let Some(sequence) = keys.done.pop_front()
    {
        if matches!(keys.records.get(&sequence).map(|it| &it.state), Some(State::Done(_))) {
            keys.remove(sequence);
        }
    }
}

/// Keyed hash of a key's other parts, against guessed keys. Whether a key was issued is decided by the table.
fn tag(world: &World, sequence: Sequence) -> u128 {
    let settings = &world.settings;
    let mut hash = Xxh3::with_seed(xxh3_64(settings.secret.as_bytes()));
    for part in [settings.secret.as_bytes(), settings.host.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(&settings.incarnation.to_le_bytes());
    hash.update(&sequence.to_le_bytes());
    hash.update(settings.secret.as_bytes());
    hash.digest128()
}

/// Hash of the work of a request. It is computed on the issuing host, so that forwarded copies have the same one.
fn payload(work: &Work) -> u128 {
    let mut hash = Xxh3::new();
    let mut part = |bytes: &[u8]| {
        hash.update(&(bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    match work {
        Work::Generate(it) => {
            part(b"generate");
            part(it.model.as_bytes());
            part(it.prompt.as_bytes());
            part(&it.max_tokens.to_le_bytes());
            part(it.params.as_bytes());
        }
        Work::Call(it) => {
            part(b"call");
            part(it.service.as_bytes());
            part(it.method.as_bytes());
            part(it.path.as_bytes());
            part(it.content_type.as_bytes());
            part(&it.body);
        }
    }
    hash.digest128()
}

fn size(output: &Output) -> usize {
    match output {
        Output::Text(text) => text.text.len() + text.segments.len() * size_of::<request::Segment>(),
        Output::Response(response) => response.body.len() + response.content_type.len(),
    }
}
