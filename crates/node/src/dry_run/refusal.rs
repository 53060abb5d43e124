//! Why a question has no answer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{logging, prelude::*, workspace};

/// Why a host does not explain a placement.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    #[snafu(display("could not find a route for this host name and path"))]
    UnknownRoute,
    #[snafu(display("could not find the job"))]
    UnknownJob,
    #[snafu(display("could not explain the job: it has ended"))]
    EndedJob,
    #[snafu(display("could not admit the question: it needs an API key"))]
    NoKey,
    #[snafu(display("could not admit the question: its API key is unknown"))]
    UnknownKey,
    #[snafu(display("could not admit the question: the host's configuration is {age_ms} ms old"))]
    Behind { age_ms: u64 },
    #[snafu(display("could not explain: the host has no configuration yet"))]
    NoConfig,
    #[snafu(display("could not explain: the host answers too many such questions"))]
    Busy,
    #[snafu(display("could not explain: the host's control thread does not answer"))]
    NoAnswer,
    #[snafu(display("could not choose a service of route {route}: that needs a request id"))]
    NeedsId { route: Box<str> },
    #[snafu(display("could not find a leader of service {service}"))]
    NoLeader { service: ServiceId },
    /// Only a leader can tell.
    #[snafu(display("could not explain: this host does not lead the service"))]
    Elsewhere { leaders: Vec<SocketAddr> },
}

impl From<workspace::Refusal> for Refusal {
    fn from(refusal: workspace::Refusal) -> Self {
        match refusal {
            workspace::Refusal::NoKey => Self::NoKey,
            workspace::Refusal::UnknownKey => Self::UnknownKey,
            workspace::Refusal::Behind { age } => Self::Behind { age_ms: logging::ms(age) },
        }
    }
}
