//! Interface to the wire formats: HTTP headers and bodies of callers, trainers and targets, and the platform's keys.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use snafu::Snafu;

use crate::{
    config::Config,
    fleet::Target,
    job::{Row, Spec},
    prelude::*,
    rate::Limit,
    store::{Change, Entry},
    workspace::Credential,
};

/// Operation that a request at the entry address selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Results of a job from position `after` on; waits up to `wait` for a new one.
    Results { job: JobId, after: u64, wait: Duration },
    /// Request body of an item.
    Body { job: JobId, item: ItemId },
    /// Ends a job.
    End { job: JobId },
    /// Any other request; handled by its route.
    Routed,
}

/// Headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    pub id: Box<str>,
    pub host: Box<str>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Last event of a stream that the caller has already.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of that stream.
    pub resumes: Option<Box<str>>,
    /// API key of the caller.
    pub credential: Credential,
}

/// Headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Receipt of the target; a response without one was not made by the target.
    pub receipt: Option<Box<str>>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// Id of the request to which it responds.
    pub id: Option<Box<str>>,
    /// Version of the weights at the start of a stream.
    pub version: Option<Version>,
    /// Time after which the target closes an idle connection.
    pub idle: Option<Duration>,
    /// Requests that the target takes from all hosts together.
    pub limit: Option<Limit>,
    /// The target leaves, and takes no new requests for long.
    pub leaving: bool,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// An order is in progress.
    pub busy: bool,
    /// Number of orders accepted since the start of the engine.
    pub accepted_orders: u64,
    pub versions: Vec<(ModelId, Version)>,
    pub running: u32,
    pub waiting: u32,
}

/// How an engine treats its runs when it changes the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The engine waits until its runs have finished.
    Wait,
    /// Runs continue under the new version.
    Keep,
}

/// Order to an engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub model: ModelId,
    pub version: Version,
    pub strategy: Strategy,
    /// Host that leads the service.
    pub leader: HostId,
    /// Fencing token of its leadership.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one. A delayed copy no longer matches it.
    pub expected_orders: u64,
}

/// Decoded change of a key that the platform, a trainer or an operator writes.
#[derive(Clone, Debug)]
pub enum PlatformChange {
    Config(Arc<Config>),
    Target(Target),
    TargetRemoved(TargetId),
    /// A registration that names no target to use.
    TargetUnusable {
        id: TargetId,
        reason: DecodeError,
    },
    /// A trainer requested a version.
    Version {
        model: ModelId,
        version: Version,
    },
    /// An operator retires a host.
    Retire {
        host: HostId,
    },
    /// No effect on this program.
    Ignored,
}

/// Subject of the keys under a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Config,
    /// Requested versions, which only a leader acts on.
    Versions,
    /// Hosts that an operator retires, which only a leader acts on.
    Retirements,
    /// Registrations of targets.
    Targets,
}

/// Reason why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("could not decode {what}: {reason}"))]
pub struct DecodeError {
    pub what: &'static str,
    pub reason: Box<str>,
}

/// Wire formats of a platform.
pub trait Dialect: Send + Sync {
    /// Selects the operation of a request at the entry address.
    fn operation(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Operation;
    fn head(&self, headers: &HeaderMap) -> Head;
    /// Sets the headers of an attempt on a target. `remaining` is the time left to the caller's deadline.
    fn set_attempt_headers(
        &self,
        headers: &mut HeaderMap,
        id: &str,
        target: &TargetId,
        remaining: Option<Duration>,
    );
    /// Sets the header that resumes a stream after an event.
    fn set_resume_header(&self, headers: &mut HeaderMap, event: u64);
    /// Sets the header with the priority of a request among those of other callers; 0 is the most urgent.
    fn set_priority_header(&self, headers: &mut HeaderMap, priority: u32);
    /// Removes the headers that callers may send about workspaces, and sets the one with the workspace's name.
    fn set_workspace_header(&self, headers: &mut HeaderMap, workspace: Option<&str>);
    /// The same for the headers of an item.
    fn set_item_workspace(&self, headers: &mut Vec<(Box<str>, Box<str>)>, workspace: Option<&str>);
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;
    /// Name of the event field that announces a change of version.
    fn version_field(&self) -> &str;
    fn submission(&self, id: &str, body: &[u8]) -> Result<Spec, DecodeError>;
    /// The same submission without the API keys in the headers of its items.
    fn without_keys(&self, body: &Bytes) -> Result<Bytes, DecodeError>;
    fn results(&self, total: usize, next: u64, rows: &[&Row]) -> Bytes;
    /// Path and body of an order.
    fn order(&self, order: &Order) -> (&'static str, Bytes);
    fn report_path(&self) -> &'static str;
    fn report(&self, body: &[u8]) -> Result<Report, DecodeError>;
    /// Prefixes of the platform's keys, with their subjects.
    fn prefixes(&self) -> &[(&'static str, Subject)];
    fn decode_change(&self, change: &Change) -> Result<PlatformChange, DecodeError>;
    /// Entry that reports a host as retired.
    fn retired_entry(&self, host: &str) -> Entry;
}

/// Handle of the dialect, shared by both threads.
pub type Handle = Arc<dyn Dialect>;
