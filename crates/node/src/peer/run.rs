//! Messages between the leader of a service and the hosts that run items for it.
//!
//! A connection begins with a request of kind `Lead`. From then on the leader sends `ToRunner` and the runner sends
//! `FromRunner` messages, without waiting for each other. A text is transferred once: each message carries the part that
//! follows what was sent before.

use bytes::Bytes;

use crate::{
    events::Progress,
    job::{Assignment, End, Item, Judge, Outcome},
    peer::{departure::Departure, limit::Limit, text::TextPart},
    prefix::Prompt,
    prelude::*,
    traffic::{Endpoint, Run, RunReport},
};

/// Opens a connection on which the leader of a service has items run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lead {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Fencing token of the leadership.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Message to a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToRunner {
    #[prost(oneof = "Order", tags = "1, 2, 3")]
    pub order: Option<Order>,
}

/// Content of a message to a runner.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Order {
    #[prost(message, tag = "1")]
    Run(Box<RunItem>),
    /// Stops a run, by its id.
    #[prost(uint64, tag = "2")]
    Stop(u64),
    /// Heartbeat with its number; the runner returns it.
    #[prost(uint64, tag = "3")]
    Ping(u64),
}

/// Message from a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromRunner {
    #[prost(oneof = "News", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub news: Option<News>,
}

/// Content of a message from a runner.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum News {
    #[prost(message, tag = "1")]
    Progress(TextPart),
    #[prost(message, tag = "2")]
    Generated(Generated),
    #[prost(message, tag = "3")]
    Ended(Box<Ended>),
    #[prost(uint64, tag = "4")]
    Pong(u64),
    /// The runner stops and takes no more items.
    #[prost(bool, tag = "5")]
    Leaving(bool),
    /// Text of a run that an earlier leader had started.
    #[prost(message, tag = "6")]
    Retained(Retained),
    /// Limit of a target.
    #[prost(message, tag = "7")]
    Limit(Limit),
    /// A target leaves.
    #[prost(message, tag = "8")]
    Departure(Departure),
    /// The leader's term is over; with the earliest fencing token that a leader may still have. The connection ends.
    #[prost(uint64, tag = "9")]
    Superseded(u64),
}

/// A header.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// Request to the judge of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JudgeCall {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub host: String,
    #[prost(string, tag = "3")]
    pub path: String,
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// An item to run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunItem {
    #[prost(uint64, tag = "1")]
    pub run: u64,
    #[prost(string, tag = "2")]
    pub job: String,
    #[prost(uint64, tag = "3")]
    pub index: u64,
    #[prost(string, tag = "4")]
    pub item: String,
    #[prost(string, tag = "5")]
    pub host: String,
    #[prost(string, tag = "6")]
    pub path: String,
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
    #[prost(message, optional, tag = "9")]
    pub judge: Option<JudgeCall>,
    #[prost(uint64, tag = "10")]
    pub min_version: u64,
    #[prost(bool, tag = "11")]
    pub single_version: bool,
    /// Engine and its address; empty if only the score is missing.
    #[prost(string, tag = "12")]
    pub target: String,
    #[prost(string, tag = "13")]
    pub address: String,
    #[prost(uint64, tag = "14")]
    pub pace_max_us: u64,
    #[prost(uint64, tag = "15")]
    pub pace_window: u64,
    #[prost(uint32, tag = "16")]
    pub judge_failures: u32,
    #[prost(string, tag = "17")]
    pub text: String,
    #[prost(uint64, tag = "18")]
    pub last_event: u64,
    #[prost(uint64, repeated, tag = "19")]
    pub versions: Vec<u64>,
    #[prost(bool, tag = "20")]
    pub last_resort: bool,
    /// Version of the engine's software.
    #[prost(string, tag = "21")]
    pub software: String,
    /// Software version of the text so far, if it is known.
    #[prost(string, optional, tag = "22")]
    pub text_software: Option<String>,
    /// Start time of the engine in Unix milliseconds.
    #[prost(uint64, tag = "23")]
    pub started_ms: u64,
    /// Status 500 responses of engines in earlier runs.
    #[prost(uint32, tag = "24")]
    pub failures: u32,
    /// Failed attempts that the policy of the job allows; 0 from leaders that do not say so.
    #[prost(uint32, tag = "25")]
    pub max_attempts: u32,
    /// Workspace of the job; absent from leaders of earlier builds, which send the headers of the trainer as they are.
    #[prost(string, optional, tag = "26")]
    pub workspace: Option<String>,
}

/// The text of a run is complete.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Generated {
    #[prost(uint64, tag = "1")]
    pub run: u64,
    #[prost(uint64, optional, tag = "2")]
    pub pace_us: Option<u64>,
}

/// A run has ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ended {
    #[prost(message, optional, tag = "1")]
    pub part: Option<TextPart>,
    #[prost(enumeration = "EndKind", tag = "2")]
    pub end: i32,
    #[prost(string, optional, tag = "3")]
    pub score: Option<String>,
    #[prost(bool, tag = "4")]
    pub text_complete: bool,
    #[prost(uint64, optional, tag = "5")]
    pub pace_us: Option<u64>,
    #[prost(uint32, tag = "6")]
    pub judge_failures: u32,
    #[prost(bool, tag = "7")]
    pub holds_slot: bool,
    // Tags 8 and 9 are reserved: earlier builds tell whether the engine has ended, and how long it had run the item.
    /// The engine closed the connection or reset it; false from hosts that do not say so.
    #[prost(bool, tag = "10")]
    pub connection_broke: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum EndKind {
    Stopped = 0,
    Scored = 1,
    Unjudged = 2,
    JudgeFailed = 3,
    NotRun = 4,
    Broken = 5,
    Slow = 6,
    Failed = 7,
    Rejected = 8,
}

/// Text of an item that is not finished.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Retained {
    #[prost(string, tag = "1")]
    pub item: String,
    #[prost(message, optional, tag = "2")]
    pub part: Option<TextPart>,
    #[prost(bool, tag = "3")]
    pub text_complete: bool,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl From<&Run> for RunItem {
    fn from(run: &Run) -> Self {
        let (item, assignment) = (&run.item, &run.assignment);
        let header = |(name, value): &(Box<str>, Box<str>)| Header {
            name: name.to_string(),
            value: value.to_string(),
        };
        let judge = item.judge.as_ref().map(|judge| JudgeCall {
            id: judge.id.to_string(),
            host: judge.host.to_string(),
            path: judge.path.to_string(),
            body: judge.body.clone(),
        });
        Self {
            run: run.id,
            job: assignment.job.to_string(),
            index: assignment.item as u64,
            item: item.id.to_string(),
            host: run.host.to_string(),
            path: item.path.to_string(),
            headers: item.headers.iter().map(header).collect(),
            body: item.body.clone(),
            judge,
            min_version: run.min_version,
            single_version: run.single_version,
            target: run.target.as_ref().map(|target| target.id.to_string()).unwrap_or_default(),
            address: run
                .target
                .as_ref()
                .map(|target| target.address.to_string())
                .unwrap_or_default(),
            pace_max_us: micros(run.pace_max),
            pace_window: run.pace_window,
            judge_failures: assignment.judge_failures,
            text: assignment.progress.text.clone(),
            last_event: assignment.progress.last_event,
            versions: assignment.progress.versions.iter().copied().collect(),
            last_resort: assignment.last_resort,
            software: run
                .target
                .as_ref()
                .map(|target| target.software.to_string())
                .unwrap_or_default(),
            text_software: assignment.progress.software.as_deref().map(str::to_owned),
            started_ms: run.target.as_ref().map(|target| target.started_ms).unwrap_or_default(),
            failures: run.failures,
            max_attempts: run.max_attempts,
            workspace: run.workspace.as_deref().map(str::to_owned),
        }
    }
}

impl TryFrom<RunItem> for Run {
    type Error = std::net::AddrParseError;

    fn try_from(raw: RunItem) -> Result<Self, Self::Error> {
        let target = match raw.target.as_str() {
            "" => None,
            id => Some(Endpoint {
                id: id.into(),
                address: raw.address.parse()?,
                software: raw.software.into(),
                started_ms: raw.started_ms,
            }),
        };
        let headers = raw.headers.into_iter();
        let judge = raw.judge.map(|judge| Judge {
            id: judge.id.into(),
            host: judge.host.into(),
            path: judge.path.into(),
            body: judge.body,
        });
        let item = Item {
            id: raw.item.into(),
            path: raw.path.into(),
            headers: headers.map(|it| (it.name.into(), it.value.into())).collect(),
            body: raw.body,
            max_total_tokens: 0,
            length_hint: None,
            // Only the leader places items.
            prompt: Prompt::default(),
            group: Box::default(),
            judge,
        };
        let progress = Progress {
            text: raw.text,
            last_event: raw.last_event,
            versions: raw.versions.into_iter().collect(),
            software: raw.text_software.map(Into::into),
        };
        Ok(Self {
            id: raw.run,
            item: item.into(),
            host: raw.host.into(),
            min_version: raw.min_version,
            single_version: raw.single_version,
            pace_max: Duration::from_micros(raw.pace_max_us),
            pace_window: raw.pace_window,
            failures: raw.failures,
            max_attempts: raw.max_attempts,
            workspace: raw.workspace.map(Into::into),
            runner: None,
            assignment: Assignment {
                job: raw.job.into(),
                item: usize::try_from(raw.index).unwrap_or(usize::MAX),
                target: target.as_ref().map(|target| target.id.clone()),
                progress,
                judge_failures: raw.judge_failures,
                last_resort: raw.last_resort,
                sent: None,
            },
            target,
        })
    }
}

impl Ended {
    pub fn new(run: u64, outcome: &Outcome, after: usize) -> Self {
        let (end, score) = match &outcome.end {
            End::Scored(score) => (EndKind::Scored, score.as_deref().map(str::to_owned)),
            End::Unjudged => (EndKind::Unjudged, None),
            End::JudgeFailed => (EndKind::JudgeFailed, None),
            End::NotRun => (EndKind::NotRun, None),
            End::Broken => (EndKind::Broken, None),
            End::Slow => (EndKind::Slow, None),
            End::Failed => (EndKind::Failed, None),
            End::Rejected => (EndKind::Rejected, None),
            End::Stopped => (EndKind::Stopped, None),
        };
        Self {
            part: Some(TextPart::new(run, &outcome.progress, after)),
            end: end.into(),
            score,
            text_complete: outcome.text_complete,
            pace_us: outcome.pace.map(micros),
            judge_failures: outcome.judge_failures,
            holds_slot: outcome.holds_slot,
            connection_broke: outcome.connection_broke,
        }
    }

    /// End of a run that was not started, so that its text is the one that came with the order.
    pub fn unstarted(item: &RunItem) -> Self {
        let part = TextPart {
            run: item.run,
            after: item.text.len() as u64,
            text: String::new(),
            last_event: item.last_event,
            versions: item.versions.clone(),
            software: item.text_software.clone(),
        };
        Self {
            part: Some(part),
            end: EndKind::NotRun.into(),
            score: None,
            text_complete: false,
            pace_us: None,
            judge_failures: 0,
            holds_slot: !item.target.is_empty(),
            connection_broke: false,
        }
    }

    /// Decodes the end.
    pub fn decoded_end(&self) -> End {
        match self.end() {
            EndKind::Scored => End::Scored(self.score.as_deref().map(Into::into)),
            EndKind::Unjudged => End::Unjudged,
            EndKind::JudgeFailed => End::JudgeFailed,
            EndKind::NotRun => End::NotRun,
            EndKind::Broken => End::Broken,
            EndKind::Slow => End::Slow,
            EndKind::Failed => End::Failed,
            EndKind::Rejected => End::Rejected,
            EndKind::Stopped => End::Stopped,
        }
    }
}

impl Generated {
    pub fn new(run: u64, pace: Option<Duration>) -> Self {
        Self { run, pace_us: pace.map(micros) }
    }
}

impl From<Generated> for RunReport {
    fn from(generated: Generated) -> Self {
        let pace = generated.pace_us.map(Duration::from_micros);
        Self::Generated { run: generated.run, pace }
    }
}
