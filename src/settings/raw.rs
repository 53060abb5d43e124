//! JSON form of a host's settings, as serde reads it.

use std::path::PathBuf;

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub deployment: String,
    pub host: String,
    pub zone: String,
    pub entry_address: String,
    pub admin_address: String,
    pub peer_address: String,
    pub peer_token: Option<String>,
    pub peer_token_file: Option<PathBuf>,
    pub admin_token: Option<String>,
    pub admin_token_file: Option<PathBuf>,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub store: Store,
    pub directory: Directory,
    pub data_dir: Option<PathBuf>,
    #[serde(default)]
    pub log: Log,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub timings: Timings,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    pub host: String,
    pub zone: String,
    pub address: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    pub urls: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directory {
    pub url: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    pub level: Option<String>,
    pub file: Option<PathBuf>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    pub max_body_bytes: Option<u64>,
    pub max_bodies_bytes: Option<u64>,
    pub max_answer_bytes: Option<u64>,
    pub max_connections: Option<u64>,
    pub max_events: Option<u64>,
    pub header_timeout_ms: Option<u64>,
    pub body_timeout_ms: Option<u64>,
    pub write_timeout_ms: Option<u64>,
    pub admin_timeout_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timings {
    pub gossip_interval_ms: Option<u64>,
    pub zone_interval_ms: Option<u64>,
    pub suspect_after_ms: Option<u64>,
    pub dead_after_ms: Option<u64>,
    pub poll_interval_ms: Option<u64>,
    pub listing_interval_ms: Option<u64>,
    pub config_wait_ms: Option<u64>,
    pub lease_ttl_ms: Option<u64>,
    pub lease_margin_ms: Option<u64>,
    pub store_timeout_ms: Option<u64>,
    pub gossip_budget_bytes: Option<u64>,
    pub key_validity_ms: Option<u64>,
    pub key_retention_ms: Option<u64>,
    pub key_answer_bytes: Option<u64>,
    pub key_limit: Option<u64>,
    pub sample_timeout_ms: Option<u64>,
    pub bulk_call_timeout_ms: Option<u64>,
    pub drain_limit_ms: Option<u64>,
    pub flush_limit_ms: Option<u64>,
    pub connect_timeout_ms: Option<u64>,
    pub chunk_timeout_ms: Option<u64>,
    pub poll_timeout_ms: Option<u64>,
    pub directory_timeout_ms: Option<u64>,
    pub peer_hello_timeout_ms: Option<u64>,
    pub peer_write_timeout_ms: Option<u64>,
    pub peer_idle_ms: Option<u64>,
}
