//! Message about a target that leaves.

use crate::{fleet, prelude::*};

/// A target's word that it leaves.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Departure {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start time of the instance that leaves, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

impl Departure {
    pub fn new(target: &TargetId, started_ms: u64) -> Self {
        Self { target: target.to_string(), started_ms }
    }
}

impl From<Departure> for fleet::Departure {
    fn from(departure: Departure) -> Self {
        Self { target: departure.target.into(), started_ms: departure.started_ms }
    }
}
