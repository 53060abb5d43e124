//! Settings of the core.

use crate::prelude::*;

/// Peer listed in the settings, through which a host joins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    pub host: HostId,
    pub zone: ZoneId,
    pub address: Box<str>,
}

/// Settings of one host's core. The daemon converts them from JSON, where the names of times contain the unit.
#[derive(Clone, Debug)]
pub struct Settings {
    pub deployment: Box<str>,
    pub host: HostId,
    pub zone: ZoneId,
    /// Address at which peers reach this host.
    pub peer_address: Box<str>,
    /// Unique id of a process start.
    pub incarnation: Incarnation,
    /// Seed of the random generator.
    pub seed: u64,
    /// Secret of the deployment, which authenticates keys.
    pub secret: Box<str>,
    pub peers: Vec<Seed>,
    /// Interval of gossip exchanges within the zone.
    pub gossip_interval: Duration,
    /// Interval of gossip exchanges with other zones.
    pub zone_interval: Duration,
    /// Time without a heartbeat after which a host of the zone is suspect and loses its roles.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a host of the zone is considered dead.
    pub dead_after: Duration,
    pub poll_interval: Duration,
    pub listing_interval: Duration,
    /// Maximum time for which a starting host holds back a configuration until its peers have answered.
    pub config_wait: Duration,
    pub lease_ttl: Duration,
    /// Margin before the expiry of a lease at which its holder stops relying on it.
    pub lease_margin: Duration,
    pub store_timeout: Duration,
    /// Bytes per second of gossip rows.
    pub gossip_budget_bytes: u32,
    /// Time for which an unused key is valid.
    pub key_validity: Duration,
    /// Time for which the answer of a keyed request is kept.
    pub key_retention: Duration,
    /// Maximum size of the kept answers of keyed requests.
    pub key_answer_bytes: usize,
    /// Maximum number of keys in the table.
    pub key_limit: usize,
    /// Timeout of a sample.
    pub sample_timeout: Duration,
    /// Timeout of a call to a prompt source or judge.
    pub bulk_call_timeout: Duration,
    /// Maximum time for which a graceful stop waits for work in flight.
    pub drain_limit: Duration,
    /// Scheduling policy.
    pub policy: Policy,
}

/// Scheduling policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Full,
    /// Baseline of measurements: round robin, FIFO queues, no duplicates, all engines load new weights at once.
    Baseline,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deployment: "default".into(),
            host: "host".into(),
            zone: "zone".into(),
            peer_address: "127.0.0.1:0".into(),
            incarnation: 1,
            seed: 1,
            secret: "".into(),
            peers: Vec::new(),
            gossip_interval: Duration::from_millis(500),
            zone_interval: Duration::from_secs(2),
            suspect_after: Duration::from_secs(5),
            dead_after: Duration::from_secs(10),
            poll_interval: Duration::from_secs(1),
            listing_interval: Duration::from_secs(2),
            config_wait: Duration::from_secs(2),
            lease_ttl: Duration::from_secs(10),
            lease_margin: Duration::from_secs(2),
            store_timeout: Duration::from_secs(2),
            gossip_budget_bytes: 12_000,
            key_validity: Duration::from_secs(600),
            key_retention: Duration::from_secs(600),
            key_answer_bytes: 16 * 1024 * 1024,
            key_limit: 100_000,
            sample_timeout: Duration::from_secs(420),
            bulk_call_timeout: Duration::from_secs(30),
            drain_limit: Duration::from_secs(600),
            policy: Policy::Full,
        }
    }
}
