//! Requests of callers and of bulk generation, and their attempts on targets.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;

use crate::{core::World, prelude::*};

/// What a request asks to be run.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    Generate(Generate),
    Call(Call),
}

/// A completion by a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    pub model: ModelId,
    pub prompt: Arc<str>,
    pub max_tokens: u32,
    /// Further sampling parameters, passed on as they came (a JSON object in text form, or empty).
    pub params: Arc<str>,
    /// Hash of model, prompt and parameters.
    pub content: ContentHash,
    /// Hash of the prompt's start, for prefix affinity.
    pub prefix: u64,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub service: ServiceId,
    pub method: Box<str>,
    /// Path and query behind the service's name.
    pub path: Box<str>,
    pub content_type: Box<str>,
    pub body: Bytes,
    /// Hash of service, method, path and body.
    pub content: ContentHash,
}

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
    Gone {
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

/// News of an attempt.
#[derive(Clone, Debug)]
pub struct Progress {
    pub attempt: AttemptId,
    pub news: News,
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum News {
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

/// End of a bulk request.
#[derive(Clone, Debug)]
pub struct Completion {
    pub request: RequestId,
    pub trainer: TrainerId,
    pub target: Option<TargetId>,
    pub result: Result<Output, Code>,
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
}

/// Requests that have not ended.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<RequestId, Row>,
    last: RequestId,
}

impl Table {
    /// Takes a request into the queue; it is dispatched in the next run of the system.
    pub fn submit(&mut self, submit: Submit) -> RequestId {
        self.last += 1;
        let row = Row {
            submit,
            arrived: Duration::ZERO,
            attempt: None,
            target: None,
            started: None,
            tokens: 0,
        };
        self.rows.insert(self.last, row);
        self.last
    }

    /// Drops a request; an attempt that runs is cancelled.
    pub fn cancel(&mut self, id: RequestId) {
        self.rows.remove(&id);
    }
}

/// Takes a caller's request.
pub fn input(world: &mut World, event: Event) {
    let _ = (world, event);
}

/// Takes news of an attempt.
pub fn attempt(world: &mut World, progress: Progress) {
    let _ = (world, progress);
}

/// Answers a waiting caller, on this host or on the peer that forwarded the request.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    world.emit(crate::core::Action::Answer { ticket, answer });
}

/// Admission, dispatch, deadlines and retries.
pub fn run(world: &mut World) {
    let _ = world;
}

/// Whether no request waits or runs.
pub fn idle(world: &World) -> bool {
    world.requests.rows.is_empty()
}
