//! Counts of usage that hosts send to the holder of the duty, with their clocks.

use std::collections::BTreeMap;

use crate::{
    peer::{duration, millis},
    usage::Reading,
};

/// What a host has counted, and its clock.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageCounts {
    #[prost(string, tag = "1")]
    pub host: String,
    /// Address at which the host serves requests of other hosts.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Differs between processes of one host.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the last change that the counts contain.
    #[prost(uint64, tag = "4")]
    pub change: u64,
    /// The host counts nothing more in the windows before this one.
    #[prost(uint64, tag = "5")]
    pub closed_before: u64,
    /// Time of day of the host.
    #[prost(uint64, tag = "6")]
    pub unix_ms: u64,
    #[prost(message, repeated, tag = "7")]
    pub windows: Vec<UsageWindow>,
}

/// All that the process has counted in a window.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageWindow {
    #[prost(uint64, tag = "1")]
    pub window: u64,
    #[prost(btree_map = "string, uint64", tag = "2")]
    pub counts: BTreeMap<String, u64>,
}

/// Answer to counts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageReply {
    /// The windows before this one are settled; absent if the host does not hold the duty.
    #[prost(uint64, optional, tag = "1")]
    pub settled_before: Option<u64>,
    #[prost(message, repeated, tag = "2")]
    pub clocks: Vec<HostClock>,
    /// Windows whose counts the holder has not taken and that are to be sent again. A host of an earlier build does not; it
    /// counts them as acknowledged.
    #[prost(uint64, repeated, tag = "3")]
    pub refused: Vec<u64>,
}

/// Clock of a host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HostClock {
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its time of day at the moment of the answer.
    #[prost(uint64, tag = "2")]
    pub unix_ms: u64,
    /// Time since it was read.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl From<&HostClock> for Reading {
    fn from(clock: &HostClock) -> Self {
        let (host, age) = (clock.host.as_str().into(), duration(clock.age_ms));
        Self { host, unix_ms: clock.unix_ms, age }
    }
}

impl From<Reading> for HostClock {
    fn from(reading: Reading) -> Self {
        let (unix_ms, age_ms) = (reading.unix_ms, millis(reading.age));
        Self { host: reading.host.into(), unix_ms, age_ms }
    }
}
