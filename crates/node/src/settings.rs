//! Checked settings of a node.

use std::net::SocketAddr;

use crate::prelude::*;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    pub host: HostId,
    pub zone: ZoneId,
    /// Address for callers and trainers.
    pub entry: SocketAddr,
    /// Address at which readiness is asked for.
    pub ready: SocketAddr,
    /// Address at which metrics are served, if there is a port for it.
    pub metrics: Option<SocketAddr>,
    /// Address for calls of other hosts, if there is a port for it.
    pub relay: Option<SocketAddr>,
    /// Time between the signal to stop and the kill.
    pub stop_grace: Duration,
    /// Time within which a configuration must be in force.
    pub config_deadline: Duration,
    /// Time within which a leaving target must get no more work.
    pub drain_deadline: Duration,
    /// Share of a core that the host has.
    pub cpu_share: f64,
    /// Largest value of the store in bytes.
    pub value_bytes: usize,
    /// Shortest lease that the store grants.
    pub lease_min: Duration,
    /// Time for which a finished job must stay readable after its submission.
    pub job_retention: Duration,
}
