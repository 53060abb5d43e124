//! What an operator asks.

use crate::{prelude::*, workspace::Credential};

/// Request or job whose placement is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request, by the host name and the path that select its route, and its id, which may be empty.
    Request {
        host: Box<str>,
        path: Box<str>,
        id: Box<str>,
    },
    Job(JobId),
}

/// Question to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    pub subject: Subject,
    pub credential: Credential,
}
