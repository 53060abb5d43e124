//! Configuration in force: routes, services and limits.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the client.
    NonIdempotent,
    /// Answered with a series of events; runs at most once unless it can be resumed.
    Stream { resumable: bool },
    /// Submission of a batch job.
    Job,
}

impl Kind {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Stream { .. } => "stream",
            Self::Job => "job",
        }
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Box<str>,
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    pub kind: Kind,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub objective: Duration,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Time from submission until the results of a job are due.
    pub job_deadline: Duration,
    /// Time from submission after which an item may be given up.
    pub item_ttl: Duration,
    /// Whether one version must generate a whole result.
    pub single_version: bool,
}

impl Route {
    /// Service that takes a request; a weighted split goes by the hash of the request's id.
    pub fn service(&self, request: &str) -> Option<&ServiceId> {
        if let [(service, _)] = self.services.as_slice() {
            return Some(service);
        }
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = xxh3_64(request.as_bytes()).checked_rem(total)?;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Longest time between two requests on a kept connection.
    pub idle: Duration,
}

/// A service named in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: ServiceId,
    /// Whether its targets are model engines.
    pub engines: bool,
    /// Connections that a target accepts from all hosts together.
    pub max_connections: usize,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub services: Vec<Service>,
    pub limits: Limits,
    by_host: HashMap<Box<str>, Vec<Route>>,
}

impl Config {
    /// Routes of a host are kept with the longest prefix first.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, services, limits, by_host }
    }

    /// Route of a request: the longest prefix of its host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
