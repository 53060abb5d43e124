//! Which hosts run the items of which engines.
//!
//! Load pattern: the streams of a large service are more than one host can carry, and the hosts differ in size. Each
//! engine has one host that carries its streams, so that connections are reused. Hosts get engines in proportion to
//! their share of a core, those in the engine's zone first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::prelude::*;

/// A host in another zone counts as loaded by this factor, because the streams then cross zones.
const OTHER_ZONE_FACTOR: f64 = 4.0;
/// An engine moves if its host is loaded by more than this factor of the best one.
const MOVE_FACTOR: f64 = 2.0;
/// Load of leading a service, as a share of the service's slots.
const LEADER_SHARE: f64 = 0.25;

/// A host that runs items.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    pub address: SocketAddr,
    pub zone: ZoneId,
    /// Share of a CPU core.
    pub cpu_share: f64,
    /// The host leads the service.
    pub leads: bool,
}

/// An engine to be assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Streams {
    pub engine: TargetId,
    pub zone: ZoneId,
    pub slots: u32,
}

/// Host of each engine.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    by_engine: BTreeMap<TargetId, SocketAddr>,
}

impl Homes {
    /// Host of an engine.
    pub fn of(&self, engine: &str) -> Option<SocketAddr> {
        self.by_engine.get(engine).copied()
    }

    /// Hosts that have an engine.
    pub fn hosts(&self) -> BTreeSet<SocketAddr> {
        self.by_engine.values().copied().collect()
    }

    /// Adapts the homes to the engines and hosts at hand.
    pub fn update(&mut self, engines: &[Streams], runners: &[Runner]) {
        let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
        let mut loads: BTreeMap<SocketAddr, f64> = BTreeMap::new();
        for runner in runners {
            let load = if runner.leads { slots * LEADER_SHARE } else { 0.0 };
            loads.insert(runner.address, load);
        }
        let known: BTreeMap<&TargetId, &Streams> =
            engines.iter().map(|engine| (&engine.engine, engine)).collect();
        self.by_engine.retain(|id, host| known.contains_key(id) && loads.contains_key(host));
        for (id, host) in &self.by_engine {
            *loads.entry(*host).or_default() += f64::from(known[id].slots);
        }
        for engine in engines {
            let current = self.by_engine.get(&engine.engine).copied();
            if let Some(load) = current.and_then(|host| loads.get_mut(&host)) {
                *load -= f64::from(engine.slots);
            }
            if let Some(host) = choose(engine, runners, &loads, current) {
                *loads.entry(host).or_default() += f64::from(engine.slots);
                self.by_engine.insert(engine.engine.clone(), host);
            }
        }
    }
}

/// Host with the lowest load for its size, unless the current one is not much worse. The leader keeps no engine that
/// another host would carry better.
fn choose(
    engine: &Streams,
    runners: &[Runner],
    loads: &BTreeMap<SocketAddr, f64>,
    current: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let cost = |runner: &Runner| {
        let load = loads.get(&runner.address).copied().unwrap_or_default();
        let zone = if runner.zone == engine.zone { 1.0 } else { OTHER_ZONE_FACTOR };
        (load + f64::from(engine.slots)) / runner.cpu_share.max(f64::MIN_POSITIVE) * zone
    };
    let best = runners.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let kept = runners.iter().find(|runner| Some(runner.address) == current);
    match kept {
        Some(kept) if !kept.leads && cost(kept) <= cost(best) * MOVE_FACTOR => Some(kept.address),
        _ => Some(best.address),
    }
}
