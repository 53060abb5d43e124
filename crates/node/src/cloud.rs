//! Interface to the platform's API. Only the holder of a duty calls it.
//!
//! Nothing can be read back from that API, and a call without a response may be carried out seconds later, after newer
//! ones. Callers therefore send only calls that are harmless when they are late or repeated.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use snafu::Snafu;

use crate::prelude::*;

/// A duty that one host at a time performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Reports how many requests of each workspace targets have run.
    UsageReport,
    /// Orders the number of targets of services.
    Autoscale,
}

/// Where the API is and what it asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub address: SocketAddr,
    pub duties: Vec<Duty>,
    /// Calls a second of all hosts together; the API refuses more.
    pub calls_per_s: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window within which its usage is due.
    pub usage_deadline: Duration,
    /// Time within which holders must not take turns.
    pub turn_interval: Duration,
}

impl Settings {
    /// Whether this deployment has a duty.
    pub fn has(&self, duty: Duty) -> bool {
        self.duties.contains(&duty)
    }
}

/// Right to make a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Host that holds the duty.
    pub holder: HostId,
    /// Fencing token, which grows with each holder.
    pub fence: Revision,
    /// Time until which no other host can hold the duty. Nothing is sent later, even if the call began before.
    pub until: Time,
}

/// Requests of each workspace that targets began to run in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window; window `n` begins `n` window lengths after the start of 1970.
    pub window: u64,
    pub counts: BTreeMap<WorkspaceId, u64>,
}

/// Order for a number of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    pub service: ServiceId,
    pub zone: ZoneId,
    pub count: u32,
    /// Orders targets of the reclaimable kind, which is counted separately.
    pub spot: bool,
}

/// A call of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Usage(UsageReport),
    Scale(ScaleOrder),
}

/// Response of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// The call had no effect: a higher fencing token was seen, or no targets can be had.
    Conflict,
    /// The call had no effect: all hosts together make too many.
    RateLimited,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The call had no effect.
    #[snafu(display("could not call the platform: {reason}"))]
    Refused { reason: Box<str> },
    /// The call may have taken effect or may still do so.
    #[snafu(display("could not get a response from the platform: {reason}"))]
    NoResponse { reason: Box<str> },
}

/// The platform's API.
#[async_trait(?Send)]
pub trait Cloud {
    /// Makes a call. Nothing is sent after the authority has ended.
    async fn call(&self, authority: &Authority, call: &Call) -> Result<Outcome, Error>;
}

/// Handle of the API, for the control thread.
pub type Handle = Rc<dyn Cloud>;
