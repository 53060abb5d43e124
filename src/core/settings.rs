//! What the core is told at start.

use crate::prelude::*;

/// Address of a peer known from settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    pub host: HostId,
    pub zone: ZoneId,
    pub address: Box<str>,
}

/// Settings of one host's core. Times are plain durations; the daemon reads them from JSON with their units.
#[derive(Clone, Debug)]
pub struct Settings {
    pub deployment: Box<str>,
    pub host: HostId,
    pub zone: ZoneId,
    /// Address at which peers reach this host.
    pub peer_address: Box<str>,
    /// Unique per process start.
    pub incarnation: Incarnation,
    /// Seed of every random choice.
    pub seed: u64,
    /// Secret of the deployment, used for the tags of keys.
    pub secret: Box<str>,
    pub peers: Vec<Seed>,
    /// Time between two gossip exchanges inside the zone.
    pub gossip_interval: Duration,
    /// Time between two exchanges with another zone.
    pub zone_interval: Duration,
    pub suspect_after: Duration,
    pub dead_after: Duration,
    pub poll_interval: Duration,
    pub listing_interval: Duration,
    /// Longest time in which a starting host waits for its peers before it puts a configuration in force.
    pub config_wait: Duration,
    pub lease_ttl: Duration,
    /// How long before the end of a lease its holder stops using it.
    pub lease_margin: Duration,
    pub store_timeout: Duration,
    /// Bytes a second for gossip rows.
    pub gossip_budget_bytes: u32,
    /// How long an unused key may be used.
    pub key_validity: Duration,
    /// How long the answer of a keyed request is kept.
    pub key_retention: Duration,
    /// Bytes of answers kept for keyed requests.
    pub key_answer_bytes: usize,
    /// Keys that may stand in the table at once.
    pub key_limit: usize,
    /// Longest time until the end of one sample.
    pub sample_timeout: Duration,
    /// Longest time until the answer of a prompt source or judge.
    pub bulk_call_timeout: Duration,
    /// How long a graceful stop waits for work in flight.
    pub drain_limit: Duration,
    /// Use the plain policy that measurements compare against.
    pub policy: Policy,
}

/// Which scheduling policy is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Full,
    /// Round robin, first come first served, no duplicates, all engines swapped at once.
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
