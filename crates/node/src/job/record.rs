//! Metadata of a job as stored.

use serde::{Deserialize, Deserializer, Serialize, de::Error};

use crate::{job::Policy, prelude::*};

/// Most parts of a submitted body. All are written in one transaction, which takes far fewer.
const PARTS_MAX: usize = 1024;

/// Metadata of a job. The submitted body is stored separately, in parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Host name and path that select the route.
    pub host: Box<str>,
    pub path: Box<str>,
    /// Service whose leader runs the job.
    pub service: ServiceId,
    /// Unix milliseconds of the first submission.
    pub submitted_ms: u64,
    /// Number of items.
    pub total: usize,
    /// Number of parts of the submitted body.
    #[serde(deserialize_with = "parts")]
    pub parts: usize,
    /// The trainer ended the job.
    pub ended: bool,
    /// Policy under which the job was accepted. Earlier builds store none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// Workspace that submitted the job. None for a job accepted by an earlier build, or while there were no workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
}

impl Record {
    /// Time since the first submission, at a Unix time in milliseconds.
    pub fn age(&self, unix_ms: u64) -> Duration {
        Duration::from_millis(unix_ms.saturating_sub(self.submitted_ms))
    }
}

/// Checks a number of parts, by which a leader removes the job.
fn parts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    let parts = usize::deserialize(deserializer)?;
    if parts > PARTS_MAX {
        return Err(D::Error::custom("more parts than a job can have"));
    }
    Ok(parts)
}
