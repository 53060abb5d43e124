//! Requests of callers and of bulk generation, and their attempts on targets.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::{
    core::{
        Action, World, admit, dispatch, finish, forward, key::Sequence, lane::Lane, queue::Class,
        retry, target,
    },
    prelude::*,
};

pub use crate::core::work::{Call, Generate, Work};

/// Tokens in a row that one weight version produced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// `None` when the engine did not name its version.
    pub version: Option<Version>,
    pub tokens: u32,
}

/// Generated text, whole or partial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    pub text: Box<str>,
    pub segments: Vec<Segment>,
    /// Present only when the text is whole.
    pub finish_reason: Option<Box<str>>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    pub status: u16,
    pub content_type: Box<str>,
    pub body: Bytes,
}

/// What a finished request produced.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Text(Text),
    Response(Response),
}

/// A request as it comes from a caller.
#[derive(Clone, Debug)]
pub struct Incoming {
    pub work: Work,
    pub key: Option<Box<str>>,
    /// Longest time until the answer; the yard's deadline if absent.
    pub deadline: Option<Duration>,
}

/// Input from callers.
#[derive(Clone, Debug)]
pub enum Event {
    Submit {
        ticket: Ticket,
        incoming: Incoming,
    },
    /// The caller closed its connection.
    Disconnected {
        ticket: Ticket,
    },
}

/// Who waits for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller(Ticket),
    Bulk(TrainerId),
}

/// A request from inside the core.
#[derive(Clone, Debug)]
pub struct Submit {
    pub origin: Origin,
    pub work: Work,
    pub deadline: Time,
    /// Targets that must not run it, such as the one that runs its duplicate.
    pub avoid: Vec<TargetId>,
}

/// One run of a request on one target.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: AttemptId,
    pub request: RequestId,
    pub target: TargetId,
    pub address: Box<str>,
    pub work: Work,
    /// Text of earlier attempts, to be continued.
    pub so_far: Option<Text>,
    /// Caller that gets chunks as they come.
    pub ticket: Option<Ticket>,
    /// Engine priority, lower runs first.
    pub priority: i32,
    pub timeout: Duration,
}

/// Update of an attempt.
#[derive(Clone, Debug)]
pub struct Progress {
    pub attempt: AttemptId,
    pub update: Update,
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum Update {
    /// The first byte of the request is about to be sent.
    Sent,
    /// Tokens of this attempt so far; sent at most ten times a second.
    Tokens(u32),
    /// Whole answer. For text it includes the text of earlier attempts.
    Done(Output),
    /// No whole answer; `partial` includes the text of earlier attempts.
    Failed { failure: Failure, partial: Option<Text> },
}

/// Why an attempt gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened, so nothing was sent.
    Connect,
    /// The connection broke after the first byte was sent.
    Broken,
    /// Nothing came in time.
    Timeout,
    /// The target refused with this HTTP status.
    Status(u16),
    /// The target says that it leaves and did not run the request.
    Leaving,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(Output),
    Error { code: Code, message: Box<str> },
}

impl Answer {
    /// An error with the usual text of its code.
    pub fn error(code: Code) -> Self {
        Self::Error { code, message: code.text().into() }
    }
}

/// End of a bulk request.
#[derive(Clone, Debug)]
pub struct Completion {
    pub request: RequestId,
    pub trainer: TrainerId,
    pub target: Option<TargetId>,
    pub result: Result<Output, Code>,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Submitted, not yet admitted.
    Fresh,
    Queued,
    /// Waits until this time before it is queued again.
    Delayed(Time),
    Running,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub struct Row {
    pub submit: Submit,
    pub arrived: Time,
    /// Attempt that runs now.
    pub attempt: Option<AttemptId>,
    pub target: Option<TargetId>,
    pub started: Option<Time>,
    pub tokens: u32,
    pub stage: Stage,
    pub lane: Lane,
    pub key: Option<Sequence>,
    pub idempotent: bool,
    /// Longest run of one attempt, where the route sets one.
    pub run_limit: Option<Duration>,
    /// Targets of earlier attempts.
    pub tried: Vec<TargetId>,
    /// Attempts that may have reached a target.
    pub attempts: u32,
    /// Attempts that certainly did not.
    pub moves: u32,
    /// The first byte of the running attempt was sent.
    pub sent: bool,
    /// Text of earlier attempts.
    pub so_far: Option<Text>,
}

impl Row {
    /// Class in the queue.
    pub fn class(&self) -> Class {
        match self.submit.origin {
            Origin::Caller(_) => Class::Caller,
            Origin::Bulk(_) => Class::Bulk,
        }
    }

    /// Whether some attempt may have reached a target.
    pub fn touched(&self) -> bool {
        self.attempts > 0 || self.attempt.is_some()
    }
}

/// Requests that have not ended.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<RequestId, Row>,
    last: RequestId,
    pub(super) last_attempt: AttemptId,
    pub(super) attempts: BTreeMap<AttemptId, RequestId>,
    pub(super) by_target: BTreeMap<TargetId, BTreeSet<RequestId>>,
    /// Callers without a key.
    pub(super) tickets: BTreeMap<Ticket, RequestId>,
    /// Deadlines and ends of delays.
    pub(super) timers: BTreeSet<(Time, RequestId)>,
    fresh: Vec<RequestId>,
    dropped: Vec<(RequestId, Row)>,
}

impl Table {
    /// Takes a request into the queue; it is dispatched in the next run of the system.
    pub fn submit(&mut self, submit: Submit) -> RequestId {
        let id = self.insert(submit);
        self.fresh.push(id);
        id
    }

    /// Drops a request; an attempt that runs is cancelled.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(row) = self.rows.remove(&id) {
            self.dropped.push((id, row));
        }
    }

    /// Own requests in flight on a target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.by_target.get(target).map_or(0, |ids| ids.len() as u32)
    }

    /// Contents in flight on a target.
    pub fn contents_on(&self, target: &str) -> impl Iterator<Item = ContentHash> {
        let ids = self.by_target.get(target).into_iter().flatten();
        ids.filter_map(|id| self.rows.get(id)).map(|row| row.submit.work.content())
    }

    /// Adds a row that is not admitted yet.
    pub(super) fn insert(&mut self, submit: Submit) -> RequestId {
        self.last += 1;
        let row = Row {
            arrived: Duration::ZERO,
            attempt: None,
            target: None,
            started: None,
            tokens: 0,
            stage: Stage::Fresh,
            lane: Lane::of(&submit.work),
            key: None,
            idempotent: false,
            run_limit: None,
            tried: Vec::new(),
            attempts: 0,
            moves: 0,
            sent: false,
            so_far: None,
            submit,
        };
        self.rows.insert(self.last, row);
        self.last
    }
}

/// Takes a caller's request.
pub fn input(world: &mut World, event: Event) {
    match event {
        Event::Submit { ticket, incoming } => admit::caller(world, ticket, incoming),
        Event::Disconnected { ticket } => finish::gone(world, ticket),
    }
}

/// Takes news of an attempt. Update of an attempt that is not the current one of its request is dropped.
pub fn attempt(world: &mut World, progress: Progress) {
    let Progress { attempt, update } = progress;
    let Some(&id) = world.requests.attempts.get(&attempt) else {
        return;
    };
    let Some(row) = world.requests.rows.get_mut(&id) else {
        return;
    };
    match update {
        Update::Sent => {
            row.sent = true;
            if let Some(target) = row.target.clone() {
                target::connected(world, &target);
            }
        }
        Update::Tokens(tokens) => row.tokens = tokens,
        Update::Done(output) => retry::done(world, id, output),
        Update::Failed { failure, partial } => retry::failed(world, id, failure, partial),
    }
}

/// Answers a waiting caller, on this host or on the peer that forwarded the request.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    if ticket & forward::FROM_PEER != 0 {
        forward::answer(world, ticket, &answer);
        return;
    }
    world.emit(Action::Answer { ticket, answer });
}

/// Whether nothing is left that a graceful stop has to wait for.
pub fn idle(world: &World) -> bool {
    world.requests.rows.is_empty() && world.requests.dropped.is_empty() && world.forwards.is_idle()
}

/// Time at which requests need the next tick; now if something was submitted since the last one.
pub fn wake(world: &World) -> Option<Time> {
    let requests = &world.requests;
    if !requests.fresh.is_empty() || !requests.dropped.is_empty() || !world.queues.dirty.is_empty()
    {
        return Some(world.now);
    }
    let timer = requests.timers.first().map(|(time, _)| *time);
    [timer, world.keys.wake(), world.forwards.wake(), world.targets.schedule.wake()]
        .into_iter()
        .flatten()
        .min()
}

/// Admission, dispatch, deadlines and retries.
pub fn run(world: &mut World) {
    for (id, row) in std::mem::take(&mut world.requests.dropped) {
        finish::release(world, id, row);
    }
    for id in std::mem::take(&mut world.requests.fresh) {
        admit::bulk(world, id);
    }
    retry::run(world);
    dispatch::run(world);
}
