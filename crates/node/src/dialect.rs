//! Border to the wire: HTTP names and bodies towards callers, trainers and targets, and the platform's own keys.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use snafu::Snafu;

use crate::{
    config::Config,
    fleet::Target,
    job::{Row, Spec},
    prelude::*,
    store::{Change, Entry},
};

/// What a request at the entry address asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Results of a job from a position on; waits for a new one if a wait is given.
    Results { job: JobId, after: u64, wait: Duration },
    /// Body of an item that is not listed yet.
    Body { job: JobId, item: ItemId },
    /// End of a job.
    End { job: JobId },
    /// Anything else goes by the routes.
    Routed,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    pub id: Box<str>,
    pub host: Box<str>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
}

/// What the headers of a target's answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Receipt of the target; an answer without it is not the target's.
    pub receipt: Option<Box<str>>,
    /// The target states that it did not run the request.
    pub not_run: bool,
    /// Id of the request that is answered.
    pub id: Option<Box<str>>,
    /// Version of the weights with which a stream begins.
    pub version: Option<Version>,
    /// Time for which the target keeps the connection idle.
    pub idle: Option<Duration>,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// An order is in progress.
    pub busy: bool,
    /// Orders accepted since the start of the engine.
    pub accepted_orders: u64,
    pub versions: Vec<(ModelId, Version)>,
    pub running: u32,
    pub waiting: u32,
}

/// What an engine does with its runs when it changes the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Runs finish first.
    Wait,
    /// Runs go on under the new version.
    Keep,
}

/// Order to an engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub model: ModelId,
    pub version: Version,
    pub strategy: Strategy,
    pub holder: HostId,
    pub fence: u64,
    /// Orders that the engine must have accepted before; a late copy then finds another number.
    pub expected_orders: u64,
}

/// A fact that the platform or its operator wrote.
#[derive(Clone, Debug)]
pub enum PlatformChange {
    Config(Arc<Config>),
    Target(Target),
    TargetRemoved(TargetId),
    /// A trainer named a version.
    Version {
        model: ModelId,
        version: Version,
    },
    /// A host is to be emptied.
    Retire {
        host: HostId,
    },
    /// Nothing that this program acts on.
    Ignored,
}

/// What the facts under a prefix are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Configuration.
    Config,
    /// Versions and hosts to be emptied, which only a leader acts on.
    Operations,
    /// Registrations of targets.
    Targets,
}

/// Why bytes could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("could not decode {what}: {reason}"))]
pub struct DecodeError {
    pub what: &'static str,
    pub reason: Box<str>,
}

/// Names and formats on the wire.
pub trait Dialect: Send + Sync {
    fn operation(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Operation;
    fn head(&self, headers: &HeaderMap) -> Head;
    /// Sets the headers of an attempt on a target.
    fn set_attempt_headers(
        &self,
        headers: &mut HeaderMap,
        id: &str,
        target: &TargetId,
        remaining: Option<Duration>,
    );
    /// Asks a stream to go on after an event.
    fn set_resume_header(&self, headers: &mut HeaderMap, event: u64);
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> Answer;
    /// Name that begins the line of an event at which the version changes.
    fn version_field(&self) -> &str;
    fn submission(&self, id: &str, body: &[u8]) -> Result<Spec, DecodeError>;
    fn results(&self, total: usize, next: u64, rows: &[&Row]) -> Bytes;
    fn order(&self, order: &Order) -> (&'static str, Bytes);
    fn report_path(&self) -> &'static str;
    fn report(&self, body: &[u8]) -> Result<Report, DecodeError>;
    /// Prefixes whose keys hold facts, and what these are about.
    fn prefixes(&self) -> &[(&'static str, Subject)];
    fn decode_change(&self, change: &Change) -> Result<PlatformChange, DecodeError>;
    /// Key and value that state that a host has been emptied.
    fn retired_entry(&self, host: &str) -> Entry;
}

/// Dialect shared by both threads.
pub type Handle = Arc<dyn Dialect>;
