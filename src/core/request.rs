//! Requests of callers and of bulk generation, and their attempts on targets.
//!
//! A request is submitted, admitted to the queue of its lane, dispatched to a target as an attempt, and possibly
//! retried until it ends with an output or a code. The modules `admit`, `dispatch`, `retry` and `finish` handle these
//! steps; this one holds the table and the types.

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

/// Consecutive tokens produced by one weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// `None` when the engine did not name its version.
    pub version: Option<Version>,
    pub tokens: u32,
}

/// Generated text, complete or partial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    pub text: Box<str>,
    pub segments: Vec<Segment>,
    /// Present only when the text is complete.
    pub finish_reason: Option<Box<str>>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    pub status: u16,
    pub content_type: Box<str>,
    pub body: Bytes,
}

/// Output of a successful request.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Text(Text),
    Response(Response),
}

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub struct Incoming {
    pub work: Work,
    pub key: Option<Box<str>>,
    /// Time limit for the answer; that of the configuration if absent.
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

/// Where the result of a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller(Ticket),
    Bulk(TrainerId),
}

/// A request before admission.
#[derive(Clone, Debug)]
pub struct Submission {
    pub origin: Origin,
    pub work: Work,
    pub deadline: Time,
    /// Targets that must not run the request, such as the one that runs its duplicate.
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
    /// Text of earlier attempts that this one continues.
    pub so_far: Option<Text>,
    /// Caller that receives the chunks as they are generated.
    pub ticket: Option<Ticket>,
    /// Engine priority, lower runs first.
    pub priority: i32,
    pub timeout: Duration,
}

/// Progress of an attempt.
#[derive(Clone, Debug)]
pub struct Progress {
    pub attempt: AttemptId,
    pub update: Update,
}

/// Change in the state of an attempt.
#[derive(Clone, Debug)]
pub enum Update {
    /// The first byte of the request is about to be sent.
    Sent,
    /// Tokens of this attempt so far, reported at most ten times a second.
    Tokens(u32),
    /// Complete answer. A text includes that of earlier attempts.
    Done(Output),
    /// No complete answer; `partial` includes the text of earlier attempts.
    Failed { failure: Failure, partial: Option<Text> },
}

/// Why an attempt gave no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened, so nothing was sent.
    Connect,
    /// The connection broke after the first byte was sent.
    Broken,
    /// Timed out.
    Timeout,
    /// The target answered with this HTTP status.
    Status(u16),
    /// The target is leaving and did not run the request.
    Leaving,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(Output),
    Error { code: Code, message: Box<str> },
}

impl Answer {
    /// An error with the default message of its code.
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

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet admitted.
    Submitted,
    Queued,
    /// Waits until this time before it is queued again.
    Delayed(Time),
    Running,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub struct Row {
    pub submission: Submission,
    pub arrived: Time,
    /// Current attempt.
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
    /// Attempts that certainly did not run.
    pub attempts_not_run: u32,
    /// The first byte of the current attempt was sent.
    pub sent: bool,
    /// Text of earlier attempts.
    pub so_far: Option<Text>,
}

impl Row {
    /// Class in the queue.
    pub fn class(&self) -> Class {
        match self.submission.origin {
            Origin::Caller(_) => Class::Caller,
            Origin::Bulk(_) => Class::Bulk,
        }
    }

    /// Whether some attempt may have reached a target.
    pub fn may_have_run(&self) -> bool {
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
    submitted: Vec<RequestId>,
    cancelled: Vec<(RequestId, Row)>,
}

impl Table {
    /// Submits a request from inside the core; it is admitted in the next tick.
    pub fn submit(&mut self, submission: Submission) -> RequestId {
        let id = self.insert(submission);
        self.submitted.push(id);
        id
    }

    /// Cancels a request and its current attempt.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(row) = self.rows.remove(&id) {
            self.cancelled.push((id, row));
        }
    }

    /// This host's requests in flight on a target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.by_target.get(target).map_or(0, |ids| ids.len() as u32)
    }

    /// Contents in flight on a target.
    pub fn contents_on(&self, target: &str) -> impl Iterator<Item = ContentHash> {
        let ids = self.by_target.get(target).into_iter().flatten();
        ids.filter_map(|id| self.rows.get(id)).map(|row| row.submission.work.content())
    }

    /// Adds a request that is not admitted yet.
    pub(super) fn insert(&mut self, submission: Submission) -> RequestId {
        self.last += 1;
        let row = Row {
            arrived: Duration::ZERO,
            attempt: None,
            target: None,
            started: None,
            tokens: 0,
            stage: Stage::Submitted,
            lane: Lane::of(&submission.work),
            key: None,
            idempotent: false,
            run_limit: None,
            tried: Vec::new(),
            attempts: 0,
            attempts_not_run: 0,
            sent: false,
            so_far: None,
            submission,
        };
        self.rows.insert(self.last, row);
        self.last
    }
}

/// Handles an event of a caller.
pub fn input(world: &mut World, event: Event) {
    match event {
        Event::Submit { ticket, incoming } => admit::caller(world, ticket, incoming),
        Event::Disconnected { ticket } => finish::disconnected(world, ticket),
    }
}

/// Handles an update of an attempt. An update of an attempt that is not the current one of its request is dropped.
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
        Update::Done(output) => retry::attempt_done(world, id, output),
        Update::Failed { failure, partial } => retry::attempt_failed(world, id, failure, partial),
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

/// Whether no request is left that a graceful stop has to wait for.
pub fn idle(world: &World) -> bool {
    world.requests.rows.is_empty()
        && world.requests.cancelled.is_empty()
        && world.forwards.is_idle()
}

/// Time at which requests need the next tick; now if a request or a queue has changed since the last one.
pub fn wake(world: &World) -> Option<Time> {
    let requests = &world.requests;
    if !requests.submitted.is_empty()
        || !requests.cancelled.is_empty()
        || !world.queues.dirty.is_empty()
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
    for (id, row) in std::mem::take(&mut world.requests.cancelled) {
        finish::release(world, id, row);
    }
    for id in std::mem::take(&mut world.requests.submitted) {
        admit::bulk(world, id);
    }
    retry::run(world);
    dispatch::run(world);
}
