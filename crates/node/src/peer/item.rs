//! An item that a leader has another host run.

use bytes::Bytes;

use crate::{
    crash::Content,
    events::Progress,
    job::{Assignment, Item, Judge, Origin},
    peer::micros,
    prefix::Prompt,
    prelude::*,
    traffic::{Endpoint, Run},
};

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
    /// Content of the text's origin. Leaders of earlier builds send none.
    #[prost(bytes = "vec", tag = "27")]
    pub origin: Vec<u8>,
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
            origin: assignment.origin.content.to_bytes().to_vec(),
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
        let origin = Content::try_from(&*raw.origin).map_or_else(
            |_| Origin::unknown(&raw.job, &raw.item),
            |content| Origin { item: raw.item.as_str().into(), content },
        );
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
                origin,
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
