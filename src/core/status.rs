//! Answers to operators: the configuration in force and the fleet as seen by this host.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::{
    core::{
        World,
        host::{State, WATCHERS},
        target,
    },
    prelude::*,
};

/// Maximum number of targets without work listed in a status; the counts include all.
const TARGETS_MAX: usize = 100;

/// The file in force.
pub fn show(world: &World) -> Value {
    let table = &world.config;
    let file: Value = serde_json::from_slice(&table.body).unwrap_or(Value::Null);
    json!({
        "revision": table.revision,
        "digest": format!("{:016x}", table.digest),
        "apply_id": table.apply_id,
        "file": file,
    })
}

/// Status of hosts, zones, revisions, roles and targets.
pub fn status(world: &World) -> Value {
    let table = &world.config;
    let failing_ms =
        world.store.failing_since.map(|since| (world.now.saturating_sub(since)).as_millis() as u64);
    json!({
        "host": world.hosts.local_id,
        "zone": world.hosts.zone,
        "ready": table.snapshot.is_some() && !world.draining,
        "draining": world.draining,
        "revision": table.revision,
        "digest": format!("{:016x}", table.digest),
        "faults": table.faults,
        "store_failing_ms": failing_ms,
        "hosts": hosts(world),
        "zones": zones(world),
        "roles": roles(world),
        "targets": targets(world),
    })
}

fn hosts(world: &World) -> Value {
    let own = world.hosts.rows.iter().filter(|(_, row)| row.zone == world.hosts.zone);
    let rows = own.map(|(id, row)| {
        let state = match row.state {
            State::Live => "live",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Dead => "dead",
        };
        json!({"host": id, "address": row.address, "state": state, "revision": row.revision})
    });
    rows.collect()
}

/// Summaries of the other zones, and one of this zone computed from its hosts.
fn zones(world: &World) -> Value {
    let table = &world.hosts;
    let own: Vec<(&HostId, Revision)> =
        table.live_hosts(&table.zone).into_iter().map(|id| (id, table.rows[id].revision)).collect();
    let lagging: Vec<&HostId> = own
        .iter()
        .filter(|(_, revision)| *revision < world.config.revision)
        .map(|(id, _)| *id)
        .collect();
    let mut zones: BTreeMap<&ZoneId, Value> = BTreeMap::new();
    for (zone, summary) in &table.zones {
        let age = world.now.saturating_sub(summary.received_at).as_millis() as u64;
        let value = json!({
            "hosts": summary.hosts,
            "lowest_revision": summary.lowest_revision,
            "lagging": summary.lagging,
            "heard_ms_ago": age,
        });
        zones.insert(zone, value);
    }
    let lowest = own.iter().map(|(_, revision)| *revision).min();
    let value = json!({
        "hosts": own.len(),
        "lowest_revision": lowest,
        "lagging": lagging,
        "heard_ms_ago": 0,
    });
    zones.insert(&table.zone, value);
    json!(zones)
}

fn roles(world: &World) -> Value {
    json!({
        "config_watcher": world.hosts.ranks_within("config", WATCHERS),
        "leases": world.store.held_names(world.now),
    })
}

fn targets(world: &World) -> Value {
    let mut pools: BTreeMap<&PoolId, BTreeMap<&str, u32>> = BTreeMap::new();
    let mut without_work = Vec::new();
    for (id, row) in &world.targets.rows {
        let state = match row.state {
            target::State::Unknown => "new",
            target::State::Live => "live",
            target::State::Quarantined => "quarantined",
            target::State::Leaving => "leaving",
        };
        *pools.entry(&row.pool).or_default().entry(state).or_default() += 1;
        if row.state != target::State::Live && without_work.len() < TARGETS_MAX {
            without_work.push(json!({"target": id, "zone": row.zone, "state": state}));
        }
    }
    json!({"pools": pools, "without_work": without_work})
}
