//! Target to which requests and items are sent.

use std::net::SocketAddr;

use crate::{fleet::Target, prelude::*};

/// Id and address of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub id: TargetId,
    pub address: SocketAddr,
    pub software: Software,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
}

impl From<&Target> for Endpoint {
    fn from(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            address: target.address,
            software: target.software.clone(),
            started_ms: target.started_ms,
        }
    }
}
