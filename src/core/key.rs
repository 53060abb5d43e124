//! Idempotency keys that this process issued.
//!
//! A key is `<host>.<incarnation>.<sequence>.<tag>`. A request runs under a key only if this table lists the key as
//! issued, so forgetting a record never permits a second run.

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

/// Keys handed out for one call at most.
const ISSUE_MAX: u32 = 1000;

/// A caller asks for keys.
#[derive(Clone, Debug)]
pub struct Issue {
    pub ticket: Ticket,
    pub count: u32,
}

/// Number of a key within its incarnation.
pub type Sequence = u64;

/// A key taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub sequence: Sequence,
    tag: u128,
}

impl Key {
    /// Reads a key; host names may hold dots.
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
    /// Not in use; bound to a payload once a request came with it.
    Issued,
    /// A request is queued or runs.
    Active(RequestId),
    Done(Output),
    /// The call was dispatched and its outcome is not known.
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

/// What happens to a request that arrives with a key of this process.
#[derive(Debug)]
pub enum Arrival {
    /// The key is unused, the request may run.
    Start,
    /// Another copy runs; the ticket waits for its answer.
    Joined,
    /// The answer stands already.
    Answer(Answer),
}

/// Keys of this process.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<Sequence, Record>,
    expiry: BTreeSet<(Time, Sequence)>,
    /// Copies that wait for a request with a deadline of their own.
    waits: BTreeSet<(Time, Sequence, Ticket)>,
    tickets: BTreeMap<Ticket, Sequence>,
    /// Keys with kept answers, oldest first.
    done: VecDeque<Sequence>,
    answer_bytes: usize,
    last: Sequence,
}

impl Table {
    /// Key that a ticket waits under.
    pub fn of_ticket(&self, ticket: Ticket) -> Option<Sequence> {
        self.tickets.get(&ticket).copied()
    }

    /// Whether some caller waits under a key.
    pub fn awaited(&self, sequence: Sequence) -> bool {
        self.records.get(&sequence).is_some_and(|record| !record.waiters.is_empty())
    }

    /// Earliest time at which a waiting copy is answered.
    pub fn wake(&self) -> Option<Time> {
        self.waits.first().map(|(time, ..)| *time)
    }

    fn forget(&mut self, sequence: Sequence) {
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

/// Issues keys, as many as the table has room for. A draining host issues none, since their requests would be refused.
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

/// Takes a request that names a key of this host.
pub fn arrive(
    world: &mut World,
    key: &Key,
    work: &Work,
    ticket: Ticket,
    deadline: Time,
) -> Arrival {
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
            world.keys.waits.insert((deadline, sequence, ticket));
            world.keys.tickets.insert(ticket, sequence);
            Arrival::Joined
        }
        State::Done(output) => Arrival::Answer(Answer::Done(output.clone())),
        State::Unknown => Arrival::Answer(Answer::error(Code::OutcomeUnknown)),
        State::Refused(code) => Arrival::Answer(Answer::error(*code)),
    }
}

/// Takes note that the request of a key was queued. While it is, the record does not expire.
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

/// Takes note that the request of a key was refused before it was queued.
pub fn refuse(world: &mut World, sequence: Sequence, code: Code) {
    if let Some(record) = world.keys.records.get_mut(&sequence) {
        record.state = State::Refused(code);
        let time = world.now + world.settings.key_retention;
        world.keys.expire_at(sequence, time);
    }
}

/// Takes the end of a key's request and answers all that wait. Work that may be repeated keeps its key usable when its
/// outcome is unknown.
pub fn settle(world: &mut World, sequence: Sequence, answer: &Answer, idempotent: bool) {
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
    drop_answers(world);
}

/// Takes back the request of a key whose callers are all gone; the key may be used again for the same payload.
pub fn withdraw(world: &mut World, sequence: Sequence) {
    if let Some(record) = world.keys.records.get_mut(&sequence) {
        record.state = State::Issued;
        let time = world.now + world.settings.key_retention;
        world.keys.expire_at(sequence, time);
    }
}

/// Answers all that wait under a key; its request goes on.
pub fn answer_waiters(world: &mut World, sequence: Sequence, answer: &Answer) {
    let Some(record) = world.keys.records.get_mut(&sequence) else {
        return;
    };
    for ticket in std::mem::take(&mut record.waiters) {
        world.keys.tickets.remove(&ticket);
        request::answer(world, ticket, answer.clone());
    }
}

/// Drops a waiting ticket; returns the key's request if nobody waits for it any more.
pub fn leave(world: &mut World, ticket: Ticket) -> Option<RequestId> {
    let sequence = world.keys.tickets.remove(&ticket)?;
    let record = world.keys.records.get_mut(&sequence)?;
    record.waiters.retain(|it| *it != ticket);
    match record.state {
        State::Active(id) if record.waiters.is_empty() => Some(id),
        _ => None,
    }
}

/// Drops expired keys and answers copies whose own deadline has come.
pub fn run(world: &mut World) {
    let now = world.now;
    while let Some(&(time, sequence, ticket)) = world.keys.waits.first()
        && time <= now
    {
        world.keys.waits.pop_first();
        if world.keys.tickets.get(&ticket) == Some(&sequence) {
            leave(world, ticket);
            request::answer(world, ticket, Answer::error(Code::OutcomeUnknown));
        }
    }
    while let Some(&(time, sequence)) = world.keys.expiry.first()
        && time <= now
    {
        world.keys.forget(sequence);
    }
}

/// Drops the oldest kept answers while they exceed their bound; their keys are then unknown and never run again.
fn drop_answers(world: &mut World) {
    let (keys, limit) = (&mut world.keys, world.settings.key_answer_bytes);
    while keys.answer_bytes > limit
        && let Some(sequence) = keys.done.pop_front()
    {
        if matches!(keys.records.get(&sequence).map(|it| &it.state), Some(State::Done(_))) {
            keys.forget(sequence);
        }
    }
}

/// Keyed hash of a key's other parts. It keeps guessed keys out; the table remains the authority on what was issued.
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

/// Hash of all that a request asks for, computed here so that a copy passed on by a peer has the same one.
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
