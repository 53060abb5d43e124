//! Where a request or the next item of a job would go.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    dry_run::{CANDIDATES_MAX, Candidate, millis},
    job::Reason,
    prelude::*,
};

/// Where a request or the next item of a job would go, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Host that explains.
    pub host: HostId,
    pub build: Box<str>,
    pub route: Option<Route>,
    pub workspace: Option<WorkspaceId>,
    pub service: ServiceId,
    /// Leader of an engine service.
    pub leader: Option<Leader>,
    pub job: Option<Job>,
    pub chosen: Option<TargetId>,
    /// Why none is chosen.
    pub wait: Option<Wait>,
    pub ages: Ages,
    /// Those that would be chosen first come first.
    pub candidates: Vec<Candidate>,
    /// Candidates that are not listed.
    pub omitted: usize,
}

impl Plan {
    /// Keeps a bounded number of candidates.
    pub fn truncate(&mut self) {
        self.omitted = self.candidates.len().saturating_sub(CANDIDATES_MAX);
        self.candidates.truncate(CANDIDATES_MAX);
    }
}

/// Route of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: Box<str>,
    pub kind: Box<str>,
    /// Priority of the workspace, or else of the route; 0 is the most urgent.
    pub priority: u32,
}

/// Leader of an engine service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leader {
    pub address: Option<SocketAddr>,
    pub fence: Option<Revision>,
    /// Time until which no other host can lead.
    #[serde(rename = "lease_left_ms", with = "millis")]
    pub lease_left: Duration,
}

/// A job and its next waiting item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    pub id: JobId,
    pub model: ModelId,
    pub min_version: Version,
    pub priority: u32,
    /// It cannot be complete in time and gets what other jobs leave.
    pub deferred: bool,
    /// Items that wait for an engine or for their score.
    pub waiting: usize,
    /// Jobs with waiting items whose items start first.
    pub jobs_ahead: usize,
    pub next_item: Option<ItemId>,
}

/// Why nothing is chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    pub reason: Box<str>,
    pub detail: Box<str>,
}

impl Wait {
    /// A reason that needs no detail.
    pub fn new(reason: &str) -> Self {
        Self { reason: reason.into(), detail: "".into() }
    }
}

impl From<&Reason> for Wait {
    fn from(reason: &Reason) -> Self {
        Self { reason: reason.name().into(), detail: reason.to_string().into() }
    }
}

/// Ages of what the decision is made by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ages {
    pub config_version: u64,
    /// Time since the configuration was certainly the present one.
    #[serde(rename = "config_ms", with = "millis::option")]
    pub config: Option<Duration>,
    /// Time since the registrations were current. A request refreshes old ones before its target is chosen.
    #[serde(rename = "registrations_ms", with = "millis::option")]
    pub registrations: Option<Duration>,
}
