//! Head of a job as kept in the store.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Head of a job. The submission itself stands beside it in parts.
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
    /// Parts of the submission.
    pub parts: usize,
    /// The trainer ended the job.
    pub ended: bool,
}
