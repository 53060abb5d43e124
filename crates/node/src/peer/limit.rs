//! Messages about limits that targets name.

use crate::{
    clock,
    peer::{departure::Departure, duration, millis, suspect::Suspect},
    prelude::*,
    rate,
};

/// What a host knows of the limit of a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limit {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests a second; absent if the target names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub per_second: Option<f64>,
    /// Time since the target's answer.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// What a host has heard of targets: limits that have changed, targets that leave, and contents under which targets end.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Notice {
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<Limit>,
    /// The receiver tells all other hosts.
    #[prost(bool, tag = "2")]
    pub forward: bool,
    #[prost(message, repeated, tag = "3")]
    pub departures: Vec<Departure>,
    /// Contents under which targets ended, or that were cleared.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<Suspect>,
}

/// Asks for the permit to send one request to a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Permit {
    #[prost(message, optional, tag = "1")]
    pub limit: Option<Limit>,
    /// Leadership whose holder has the quota of the target.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// The holder is unknown or does not answer.
    #[prost(bool, tag = "4")]
    pub stand_in: bool,
}

/// Answer to a request for a permit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitReply {
    /// Time after which to ask again; absent if the permit is granted.
    #[prost(uint64, optional, tag = "1")]
    pub retry_after_ms: Option<u64>,
    /// What the answering host knows of the limit.
    #[prost(message, optional, tag = "2")]
    pub limit: Option<Limit>,
}

impl Limit {
    pub fn new(target: &str, news: rate::News) -> Self {
        Self {
            target: target.to_owned(),
            per_second: news.limit.map(rate::Limit::per_second),
            age_ms: millis(clock::now().saturating_sub(news.heard_at)),
        }
    }
}

impl From<Limit> for (TargetId, rate::News) {
    fn from(limit: Limit) -> Self {
        let heard_at = clock::now().saturating_sub(Duration::from_millis(limit.age_ms));
        let news = rate::News { limit: limit.per_second.and_then(rate::Limit::new), heard_at };
        (limit.target.into(), news)
    }
}

impl PermitReply {
    pub fn new(granted: Result<(), Duration>, limit: Option<Limit>) -> Self {
        Self { retry_after_ms: granted.err().map(millis), limit }
    }

    /// Whether the permit is granted, or the time after which to ask again.
    pub fn granted(&self) -> Result<(), Duration> {
        self.retry_after_ms.map_or(Ok(()), |ms| Err(duration(ms)))
    }
}
