//! Validated settings of a node.

use std::net::SocketAddr;

use crate::{cloud, prefix, prelude::*, workspace::Bounds};

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    pub host: HostId,
    pub zone: ZoneId,
    /// Address for callers and trainers.
    pub entry: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// Address at which metrics are served, if a port is configured.
    pub metrics: Option<SocketAddr>,
    /// Address at which store calls of other hosts are relayed, if a port is configured.
    pub relay: Option<SocketAddr>,
    /// Address for requests of other hosts about jobs, if a port is configured.
    pub peer: Option<SocketAddr>,
    /// Time between the stop signal and the kill.
    pub stop_grace: Duration,
    /// Time within which a new configuration must be in force.
    pub config_deadline: Duration,
    /// Time after the removal of a key from which no request with it may run, also on a host that is cut off; `None` if
    /// revocation is not strict.
    pub strict_revocation: Option<Duration>,
    /// Time after which a draining target must receive no new work.
    pub drain_deadline: Duration,
    /// Share of a CPU core available to the host.
    pub cpu_share: f64,
    /// Maximum size of a value in the store, in bytes.
    pub value_bytes: usize,
    /// Minimum lease that the store grants.
    pub lease_min: Duration,
    /// Time after submission for which a finished job must remain readable.
    pub job_retention: Duration,
    /// API of the platform, if this deployment has duties there.
    pub cloud: Option<cloud::Settings>,
    /// Placement of items by the prompts that engines hold, if it is on.
    pub prefix: Option<prefix::Settings>,
}

impl Settings {
    /// Bounds on the age of a configuration by which callers' keys are judged.
    pub fn key_bounds(&self) -> Bounds {
        Bounds { apply: self.config_deadline, strict: self.strict_revocation }
    }
}
