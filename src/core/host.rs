//! Membership: the hosts that run this program, failure detection, and roles by rank.
//!
//! A host counts its heartbeats; news of a host is a count higher than the one known. The count also orders the
//! incarnations of a host, as those are random: a restarted host that hears of a higher count under its name, or that it
//! was declared dead, goes on from above it. Hosts of other zones are known from the member rows of their zone.

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

/// Watchers in each zone: one may be lost without a gap, and two readings a zone keep the store's load small.
pub const WATCHERS: usize = 2;

/// How long a dead host is remembered; longer than regions usually lose contact with each other.
pub const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// Hosts kept. More than planned by a factor of four; beyond it a peer is at fault.
pub const HOSTS_MAX: usize = 4096;

const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Hosts of a zone that has been silent this long take no roles. Its summaries cross zones every few seconds.
const ZONE_SILENT_AFTER: Duration = Duration::from_secs(30);

/// How a host is seen from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Live,
    Suspect,
    Leaving,
    Dead,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub zone: ZoneId,
    pub address: Box<str>,
    pub incarnation: Incarnation,
    /// Heartbeat counter of the host itself.
    pub beat: u64,
    pub state: State,
    pub revision: Revision,
    /// When the beat last rose.
    pub heard: Time,
}

/// All hosts known, this one included.
#[derive(Debug, Default)]
pub struct Table {
    pub me: HostId,
    pub zone: ZoneId,
    pub rows: BTreeMap<HostId, Row>,
    pub zones: BTreeMap<ZoneId, Summary>,
    /// Rises with every change of membership, so that others may keep what they derived from it.
    pub epoch: u64,
    ran: Time,
    next_beat: Time,
}

impl Table {
    /// A table that holds this host, and the peers of the settings as hosts not heard of yet.
    pub fn new(settings: &Settings, now: Time) -> Self {
        let row = |zone: &ZoneId, address: &str, state| Row {
            zone: zone.clone(),
            address: address.into(),
            incarnation: 0,
            beat: 0,
            state,
            revision: 0,
            heard: now,
        };
        let peers = settings.peers.iter();
        let mut rows: BTreeMap<HostId, Row> = peers
            .map(|seed| (seed.host.clone(), row(&seed.zone, &seed.address, State::Dead)))
            .collect();
        let me = Row {
            incarnation: settings.incarnation,
            ..row(&settings.zone, &settings.peer_address, State::Live)
        };
        rows.insert(settings.host.clone(), me);
        Self {
            me: settings.host.clone(),
            zone: settings.zone.clone(),
            rows,
            zones: BTreeMap::new(),
            epoch: 0,
            ran: now,
            next_beat: now,
        }
    }

    /// Hosts of a zone that are live and not leaving.
    pub fn alive_in(&self, zone: &str) -> Vec<&HostId> {
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

    /// Live hosts of a zone by rendezvous hash for a purpose, the first in rank first.
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

    /// Whether this host is among the first few in rank for a purpose in its own zone.
    pub fn ranks_within(&self, purpose: &str, count: usize) -> bool {
        let seed = xxh3_64(purpose.as_bytes());
        let mine = weight(&self.me, seed);
        let above = self.live(&self.zone).filter(|id| weight(id, seed) > mine).count();
        self.rows[&self.me].state == State::Live && above < count
    }

    /// This host's own row.
    pub fn own(&self) -> &Row {
        &self.rows[&self.me]
    }
}

fn weight(id: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}

/// Publishes the row of this host after it changed.
pub fn publish_own(world: &mut World, spread: Spread) {
    let row = world.hosts.own();
    let host = wire::Host {
        zone: row.zone.to_string(),
        address: row.address.to_string(),
        beat: row.beat,
        leaving: row.state == State::Leaving,
        revision: row.revision,
    };
    peer::publish(world, Item::Host(host), spread);
}

/// Marks this host as leaving and tells its zone at once.
pub fn start_leaving(world: &mut World) {
    let me = world.hosts.me.clone();
    if let Some(row) = world.hosts.rows.get_mut(&me) {
        row.state = State::Leaving;
    }
    world.hosts.epoch += 1;
    publish_own(world, Spread::PushAll);
}

/// Takes a heartbeat. A higher one revives a host, except one that said that it leaves.
pub fn record_heartbeat(hosts: &mut Table, id: &HostId, beat: u64, now: Time) {
    let Some(row) = hosts.rows.get_mut(id).filter(|row| row.beat < beat) else {
        return;
    };
    row.beat = beat;
    row.heard = now;
    if matches!(row.state, State::Suspect | State::Dead) && *id != hosts.me {
        row.state = State::Live;
        hosts.epoch += 1;
    }
}

/// Goes on counting above a heartbeat that somebody else has under this host's name.
pub fn raise_heartbeat(world: &mut World, beat: u64) {
    let me = world.hosts.me.clone();
    let Some(row) = world.hosts.rows.get_mut(&me).filter(|row| row.beat <= beat) else {
        return;
    };
    row.beat = beat + 1;
    world.log(
        log::Level::Info,
        format!("another incarnation of host \"{me}\" is known, taking its place"),
    );
    publish_own(world, Spread::PushFew);
}

/// Takes a host row that is newer than the one held of its incarnation; `false` when an older incarnation wrote it.
pub fn receive(
    world: &mut World,
    from: &str,
    id: &HostId,
    incarnation: Incarnation,
    host: &wire::Host,
) -> bool {
    if *id == world.hosts.me {
        if incarnation != world.settings.incarnation {
            raise_heartbeat(world, host.beat);
        }
        return false;
    }
    let now = world.now;
    let table = &mut world.hosts;
    match table.rows.get(id) {
        Some(row)
            if row.incarnation != incarnation && row.incarnation != 0 && row.beat >= host.beat =>
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
    let rose = known.is_none_or(|row| row.beat < host.beat);
    let state = match known {
        _ if host.leaving => State::Leaving,
        Some(row) if !rose => row.state,
        _ => State::Live,
    };
    let row = Row {
        zone: host.zone.as_str().into(),
        address: host.address.as_str().into(),
        incarnation,
        beat: known.map_or(host.beat, |row| row.beat.max(host.beat)),
        state,
        revision: host.revision,
        heard: known.filter(|_| !rose).map_or(now, |row| row.heard),
    };
    let same = known.is_some_and(|known| known.state == row.state && known.zone == row.zone);
    if !same {
        table.epoch += 1;
    }
    table.rows.insert(id.clone(), row);
    true
}

/// Failure detection.
pub fn run(world: &mut World) {
    let now = world.now;
    if world.hosts.own().beat == 0 {
        let me = world.hosts.me.clone();
        record_heartbeat(&mut world.hosts, &me, 1, now);
        publish_own(world, Spread::Gossip);
    }
    if now < world.hosts.next_beat {
        return;
    }
    // Time in which this host itself stood still says nothing about the others.
    let paused = now.saturating_sub(world.hosts.ran).saturating_sub(2 * BEAT_INTERVAL);
    world.hosts.ran = now;
    world.hosts.next_beat = now + BEAT_INTERVAL;
    let (me, next) = (world.hosts.me.clone(), world.hosts.own().beat + 1);
    record_heartbeat(&mut world.hosts, &me, next, now);
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
    let silent = |zone: &ZoneId| {
        table.zones.get(zone).is_some_and(|zone| now.saturating_sub(zone.heard) > ZONE_SILENT_AFTER)
    };
    for (id, row) in table.rows.iter_mut().filter(|(id, _)| **id != table.me) {
        row.heard = now.min(row.heard + paused);
        let age = now.saturating_sub(row.heard);
        let own_zone = row.zone == table.zone;
        let state = match row.state {
            State::Dead => State::Dead,
            _ if own_zone && age > settings.dead_after => State::Dead,
            State::Live if own_zone && age > settings.suspect_after => State::Suspect,
            State::Live if !own_zone && silent(&row.zone) => State::Suspect,
            state => state,
        };
        if state != row.state {
            row.state = state;
            changes.push((id.clone(), state));
        }
    }
    table.rows.retain(|id, row| {
        let kept = row.state != State::Dead || now.saturating_sub(row.heard) < FORGET_AFTER;
        kept || seeds.iter().any(|seed| seed.host == *id)
    });
    table.epoch += changes.len() as u64;
    for (id, state) in changes {
        if state == State::Dead {
            world.log(log::Level::Warn, format!("host \"{id}\" is dead"));
        }
    }
}
