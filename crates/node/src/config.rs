//! Configuration in force: routes, services and limits.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    job::{Policy, Record},
    prelude::*,
    workspace::Directory,
};

/// Kind of a route's requests, which decides whether they may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the client.
    NonIdempotent,
    /// Answered with a stream of events; runs at most once unless it can be resumed.
    Stream { resumable: bool },
    /// Submission of a batch job.
    Job,
}

impl Kind {
    /// Label in metrics.
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
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Maximum number of targets to which a request is sent.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services with their traffic weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Time from submission until the results of a job are due.
    pub job_deadline: Duration,
    /// Time from submission after which an item expires.
    pub item_ttl: Duration,
    /// Whether a single version must generate each result.
    pub single_version: bool,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Service of a request. A weighted split is decided by the hash of the request id.
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

/// Limits on clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// A service named in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceId,
    /// Whether its targets are model engines.
    pub engines: bool,
    /// Maximum connections that a target accepts from all hosts together.
    pub max_connections: usize,
    /// Tokens that an engine keeps of running requests and cached prompts together.
    pub cache_tokens: Option<u64>,
    /// Bounds on the number of targets, if that may be changed.
    pub scale: Option<Scale>,
}

/// Bounds and prices of the targets of a service whose number may be changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Least targets in each zone, of both kinds together.
    pub min: u32,
    /// Most targets in each zone, of both kinds together.
    pub max: u32,
    /// Time from an order until the new target serves.
    pub boot: Duration,
    /// Price of a reclaimable target as a share of that of another one.
    pub spot_price: f64,
    /// Price of a target's second by zone.
    pub zone_prices: BTreeMap<ZoneId, f64>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// Workspaces, to which callers' keys belong; `None` if callers need no keys.
    pub workspaces: Option<Directory>,
    by_host: HashMap<Box<str>, Vec<Route>>,
}

impl Config {
    /// Sorts the routes of each host name by prefix length, longest first.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, services, limits, workspaces: None, by_host }
    }

    /// The same configuration, with workspaces.
    pub fn with_workspaces(self, workspaces: Option<Directory>) -> Self {
        Self { workspaces, ..self }
    }

    /// Whether callers need keys.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flatten()
    }

    /// Route of a request: the one with the longest matching prefix for its host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Policy for a job; `None` without a route for it. The priority of its workspace goes before that of the route, and a job
    /// whose workspace is gone keeps its own.
    pub fn job_policy(&self, record: &Record) -> Option<Policy> {
        let route = self.route(&record.host, &record.path);
        let route = route.filter(|route| route.kind == Kind::Job)?;
        let policy = Policy::new(self.version, route);
        let Some(name) = &record.workspace else {
            return Some(policy);
        };
        let workspace = self.workspaces.as_ref().and_then(|directory| directory.named(name));
        let priority = match workspace {
            Some(workspace) => workspace.priority,
            None => record.policy.map(|accepted| accepted.priority),
        };
        Some(Policy { priority: priority.unwrap_or(policy.priority), ..policy })
    }

    /// Whether an item for a host name and path needs a workspace.
    pub fn needs_workspace(&self, host: &str, path: &str) -> bool {
        self.has_workspaces() && self.route(host, path).is_none_or(|route| !route.public)
    }
}
