//! Question to the leader of an engine service.

use crate::{prelude::*, workspace::Caller};

/// Question to the leader of an engine service.
#[derive(Clone, Debug)]
pub enum Inquiry {
    /// The next waiting item of a job, which must exist for the caller.
    Job { job: JobId, caller: Caller },
    /// The engines of a service.
    Service(ServiceId),
}
