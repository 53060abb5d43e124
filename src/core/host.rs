//! Membership of the fleet, failure detection, and assignment of roles by rank.
//!
//! Each host increments a heartbeat counter, and a host is live while its counter rises. As incarnations are random,
//! the counter also orders them: a restarted host that receives a higher counter under its name continues above it.
//! Hosts of other zones are learned from the member rows of their zone.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    core::{
        Settings, World,
        peer::{self, Spread},
        probe,
        summary::{self, Summary},
        unavailable_targets,
    },
    prelude::*,
    wire::{self, Item},
};

/// Watchers per zone. Two tolerate the loss of one without a gap and keep the load on the store low.
pub const WATCHERS: usize = 2;

/// Retention of dead hosts, longer than usual partitions between regions.
pub const DEAD_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of hosts, four times the planned size of the fleet. A peer that reports more is faulty.
pub const HOSTS_MAX: usize = 4096;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of a zone's last summary at which its hosts become suspect and lose their roles. Summaries arrive every few
/// seconds.
const ZONE_SUSPECT_AFTER: Duration = Duration::from_secs(30);

/// State of a host as seen by this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Live,
    /// Its heartbeats, or the summaries of its zone, are late, so it holds no roles.
    Suspect,
    /// Drains: it gets no new roles but still answers for its keys.
    Leaving,
    /// Considered failed until its next heartbeat.
    Dead,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub zone: ZoneId,
    pub address: Box<str>,
    pub incarnation: Incarnation,
    /// Heartbeat counter.
    pub heartbeat: u64,
    pub state: State,
    pub revision: Revision,
    /// Time of the last increase of the counter; for a host of another zone also of the last member list.
    pub heartbeat_at: Time,
}

/// All known hosts, including this one.
#[derive(Debug, Default)]
pub struct Table {
    pub local_id: HostId,
    pub zone: ZoneId,
    pub rows: BTreeMap<HostId, Row>,
    pub zones: BTreeMap<ZoneId, Summary>,
    /// Incremented with each change of membership, so that derived state can be cached.
    pub epoch: u64,
    last_run: Time,
    next_heartbeat: Time,
}

impl Table {
    /// A table with this host as live and the peers of the settings as dead, until their first heartbeat.
    pub fn new(settings: &Settings, now: Time) -> Self {
        let row = |zone: &ZoneId, address: &str, state| Row {
            zone: zone.clone(),
            address: address.into(),
            incarnation: 0,
            heartbeat: 0,
            state,
            revision: 0,
            heartbeat_at: now,
        };
        let peers = settings.peers.iter();
        let mut rows: BTreeMap<HostId, Row> = peers
            .map(|seed| (seed.host.clone(), row(&seed.zone, &seed.address, State::Dead)))
            .collect();
        let local = Row {
            incarnation: settings.incarnation,
            ..row(&settings.zone, &settings.peer_address, State::Live)
        };
        rows.insert(settings.host.clone(), local);
        Self {
            local_id: settings.host.clone(),
            zone: settings.zone.clone(),
            rows,
            zones: BTreeMap::new(),
            epoch: 0,
            last_run: now,
            next_heartbeat: now,
        }
    }

    /// Live hosts of a zone.
    pub fn live_hosts(&self, zone: &str) -> Vec<&HostId> {
        self.rows
            .iter()
            .filter(|(_, row)| &*row.zone == zone && row.state == State::Live)
            .map(|(id, _)| id)
            .collect()
    }

    fn live<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a HostId> {
        let rows = self.rows.iter();
        let live = rows.filter(move |(_, row)| &*row.zone == zone && row.state == State::Live);
        live.map(|(id, _)| id)
    }

    /// Live hosts of a zone in rank order: by rendezvous hash for a purpose, highest first.
    pub fn rank(&self, purpose: &str, zone: &str) -> Vec<HostId> {
        let seed = xxh3_64(purpose.as_bytes());
        let mut ids: Vec<&HostId> = self.live(zone).collect();
        ids.sort_by_cached_key(|id| std::cmp::Reverse(weight(id, seed)));
        ids.into_iter().cloned().collect()
    }

    /// Whether this host is the first in rank for a purpose in its own zone.
    pub fn ranks_first(&self, purpose: &str) -> bool {
        self.ranks_within(purpose, 1)
    }

    /// Whether this host is among the first `count` in rank for a purpose in its own zone.
    pub fn ranks_within(&self, purpose: &str, count: usize) -> bool {
        let seed = xxh3_64(purpose.as_bytes());
        let own_weight = weight(&self.local_id, seed);
        let above = self.live(&self.zone).filter(|id| weight(id, seed) > own_weight).count();
        self.rows[&self.local_id].state == State::Live && above < count
    }

    /// This host's own row.
    pub fn local_row(&self) -> &Row {
        &self.rows[&self.local_id]
    }
}

fn weight(id: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Publishes the row of this host after it changed.
pub fn publish_own(world: &mut World, spread: Spread) {
    let row = world.hosts.local_row();
    let host = wire::Host {
        zone: row.zone.to_string(),
        address: row.address.to_string(),
        heartbeat: row.heartbeat,
        leaving: row.state == State::Leaving,
        revision: row.revision,
    };
    peer::publish(world, Item::Host(host), spread);
}

/// Marks this host as leaving and pushes this to its zone.
pub fn start_leaving(world: &mut World) {
    let local_id = world.hosts.local_id.clone();
    if let Some(row) = world.hosts.rows.get_mut(&local_id) {
        row.state = State::Leaving;
    }
    world.hosts.epoch += 1;
    publish_own(world, Spread::PushAll);
}

/// Records a heartbeat. An increase makes a suspect or dead host live again, but not a leaving one.
pub fn record_heartbeat(hosts: &mut Table, id: &HostId, heartbeat: u64, now: Time) {
    let Some(row) = hosts.rows.get_mut(id).filter(|row| row.heartbeat < heartbeat) else {
        return;
    };
    row.heartbeat = heartbeat;
    row.heartbeat_at = now;
    if matches!(row.state, State::Suspect | State::Dead) && *id != hosts.local_id {
        row.state = State::Live;
        hosts.epoch += 1;
    }
}

/// Raises the counter of this host above that of another incarnation with its id.
pub fn raise_heartbeat(world: &mut World, heartbeat: u64) {
    let local_id = world.hosts.local_id.clone();
    let Some(row) = world.hosts.rows.get_mut(&local_id).filter(|row| row.heartbeat <= heartbeat)
    else {
        return;
    };
    row.heartbeat = heartbeat + 1;
    world.log(log::Level::Info, format!("replacing another incarnation of host \"{local_id}\""));
    publish_own(world, Spread::PushFew);
}

/// Handles a host row that is newer than the stored row of the same incarnation. Returns `false` if the row is ignored,
/// for example because its incarnation is older.
pub fn receive(
    world: &mut World,
    from: &str,
    id: &HostId,
    incarnation: Incarnation,
    host: &wire::Host,
) -> bool {
    if *id == world.hosts.local_id {
        if incarnation != world.settings.incarnation {
            raise_heartbeat(world, host.heartbeat);
        }
        return false;
    }
    let now = world.now;
    let table = &mut world.hosts;
    match table.rows.get(id) {
        Some(row)
            if row.incarnation != incarnation
                && row.incarnation != 0
                && row.heartbeat >= host.heartbeat =>
        {
            return false;
        }
        None if table.rows.len() >= HOSTS_MAX => {
            peer::ignore(world, from, "a host row above the limit");
            return false;
        }
        _ => {}
    }
    let known = table.rows.get(id).filter(|row| row.incarnation == incarnation);
    let increased = known.is_none_or(|row| row.heartbeat < host.heartbeat);
    let state = match known {
        _ if host.leaving => State::Leaving,
        Some(row) if !increased => row.state,
        _ => State::Live,
    };
    let row = Row {
        zone: host.zone.as_str().into(),
        address: host.address.as_str().into(),
        incarnation,
        heartbeat: known.map_or(host.heartbeat, |row| row.heartbeat.max(host.heartbeat)),
        state,
        revision: host.revision,
        heartbeat_at: known.filter(|_| !increased).map_or(now, |row| row.heartbeat_at),
    };
    let unchanged = known.is_some_and(|known| known.state == row.state && known.zone == row.zone);
    if !unchanged {
        table.epoch += 1;
    }
    table.rows.insert(id.clone(), row);
    true
}

/// Sends this host's heartbeat, detects failures and publishes the state of the zone.
pub fn run(world: &mut World) {
    let now = world.now;
    if world.hosts.local_row().heartbeat == 0 {
        let local_id = world.hosts.local_id.clone();
        record_heartbeat(&mut world.hosts, &local_id, 1, now);
        publish_own(world, Spread::Gossip);
    }
    if now < world.hosts.next_heartbeat {
        return;
    }
    // Time in which this host was suspended does not count towards the age of the other heartbeats.
    let paused = now.saturating_sub(world.hosts.last_run).saturating_sub(2 * HEARTBEAT_INTERVAL);
    world.hosts.last_run = now;
    world.hosts.next_heartbeat = now + HEARTBEAT_INTERVAL;
    let (local_id, next) = (world.hosts.local_id.clone(), world.hosts.local_row().heartbeat + 1);
    record_heartbeat(&mut world.hosts, &local_id, next, now);
    if !paused.is_zero() {
        probe::mark_all_unknown(world);
    }
    detect(world, paused);
    if world.hosts.ranks_within("config", WATCHERS) {
        summary::publish(world);
        unavailable_targets::publish(world);
    }
}

fn detect(world: &mut World, paused: Duration) {
    let (now, settings) = (world.now, &world.settings);
    let seeds = &settings.peers;
    let table = &mut world.hosts;
    let mut changes = Vec::new();
    let is_silent = |zone: &ZoneId| {
        table
            .zones
            .get(zone)
            .is_some_and(|zone| now.saturating_sub(zone.received_at) > ZONE_SUSPECT_AFTER)
    };
    for (id, row) in table.rows.iter_mut().filter(|(id, _)| **id != table.local_id) {
        row.heartbeat_at = now.min(row.heartbeat_at + paused);
        let age = now.saturating_sub(row.heartbeat_at);
        let own_zone = row.zone == table.zone;
        let state = match row.state {
            State::Dead => State::Dead,
            _ if own_zone && age > settings.dead_after => State::Dead,
            State::Live if own_zone && age > settings.suspect_after => State::Suspect,
            State::Live if !own_zone && is_silent(&row.zone) => State::Suspect,
            state => state,
        };
        if state != row.state {
            row.state = state;
            changes.push((id.clone(), state));
        }
    }
    table.rows.retain(|id, row| {
        let kept =
            row.state != State::Dead || now.saturating_sub(row.heartbeat_at) < DEAD_RETENTION;
        kept || seeds.iter().any(|seed| seed.host == *id)
    });
    table.epoch += changes.len() as u64;
    for (id, state) in changes {
        if state == State::Dead {
            world.log(log::Level::Warn, format!("host \"{id}\" is dead"));
        }
    }
}
