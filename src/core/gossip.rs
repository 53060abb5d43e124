//! Pull-based gossip exchanges.
//!
//! A host sends a digest of the versions that it holds, and the receiver returns the rows that the sender lacks.
//! Heartbeats are part of the digests. As rows they would exceed the size of an exchange: 93 hosts with one
//! heartbeat per second make about 5.6 KB/s of host rows.

use std::collections::BTreeSet;

use ahash::AHashMap;
use prost::Message;
use rand::{Rng, seq::IteratorRandom};

use crate::{
    core::{
        World,
        bucket::Bucket,
        host::{self, State},
        peer,
        rows::{Key, has_valid_names, host_hash},
        startup,
    },
    prelude::*,
    wire::{self, Body, Item},
};

/// Maximum size of the rows in one message.
const ROWS_MAX_BYTES: usize = 1200;

/// One in this many exchanges goes to a host considered dead, so that a partitioned zone reconnects.
const DEAD_PEER_ONE_IN: u32 = 10;

/// Maximum entries of a digest. A zone has about a hundred hosts and the fleet a few dozen fleet-wide rows.
const DIGEST_ENTRIES_MAX: usize = 16_384;

/// Hash that identifies a host in digests.
pub fn digest_key(id: &str) -> u32 {
    host_hash(id)
}

/// Wire form of a fleet-wide row or of a row that this host owns.
pub fn row(world: &World, key: &Key) -> Option<wire::Row> {
    if key.is_fleet_wide() {
        let held = world.peers.fleet_rows.get(key)?;
        if let Item::Strike(strike) = &held.item {
            let strike = world.strikes.row(strike.content, world.now)?;
            return Some(fleet_row(held.version, Item::Strike(strike)));
        }
        return Some(fleet_row(held.version, held.item.clone()));
    }
    let local_id = &world.hosts.local_id;
    let owner = world.peers.owners.get(local_id)?;
    let held = owner.rows.get(key)?;
    Some(wire::Row {
        owner: local_id.to_string(),
        incarnation: owner.incarnation,
        version: held.version,
        item: Some(with_latest_heartbeat(world, local_id, &held.item)),
    })
}

/// Wire form of a fleet-wide row, which has no owner.
pub fn fleet_row(version: u64, item: Item) -> wire::Row {
    wire::Row { version, item: Some(item), ..wire::Row::default() }
}

/// Sets the highest known heartbeat in a host row, as receivers order incarnations by it.
fn with_latest_heartbeat(world: &World, owner: &HostId, item: &Item) -> Item {
    match (item, world.hosts.rows.get(owner)) {
        (Item::Host(host), Some(row)) => {
            Item::Host(wire::Host { heartbeat: row.heartbeat, ..host.clone() })
        }
        _ => item.clone(),
    }
}

/// Starts the exchanges that are due.
pub fn run(world: &mut World) {
    // A digest contains this host's row, which is published in the first tick.
    if world.hosts.local_row().heartbeat == 0 {
        return;
    }
    let (now, settings) = (world.now, &world.settings);
    let (interval, zone_interval) = (settings.gossip_interval, settings.zone_interval);
    if now >= world.peers.next_exchange {
        world.peers.next_exchange = now + jitter(world, interval);
        if let Some(to) = choose_in_zone(world) {
            let digest = digest(world, Scope::Zone);
            peer::send(world, &to, Body::Digest(digest));
        }
    }
    if now >= world.peers.next_zone_exchange {
        world.peers.next_zone_exchange = now + jitter(world, zone_interval);
        if let Some(to) = choose_in_other_zone(world) {
            let digest = digest(world, Scope::Fleet);
            peer::send(world, &to, Body::Digest(digest));
        }
    }
}

/// Randomises an interval, so that hosts that start together do not exchange in lockstep.
fn jitter(world: &mut World, interval: Duration) -> Duration {
    interval.mul_f64(world.rng.random_range(0.9..1.1))
}

fn choose_in_zone(world: &mut World) -> Option<HostId> {
    let table = &world.hosts;
    let others = || {
        let rows = table.rows.iter();
        rows.filter(|(id, row)| **id != table.local_id && row.zone == table.zone)
    };
    let dead = others().filter(|(_, row)| row.state == State::Dead);
    let dead = dead.map(|(id, _)| id).choose(&mut world.rng);
    let live = others().filter(|(_, row)| row.state != State::Dead);
    let live = live.map(|(id, _)| id).choose(&mut world.rng);
    match (live, dead) {
        (Some(_), Some(dead)) if world.rng.random_ratio(1, DEAD_PEER_ONE_IN) => Some(dead.clone()),
        (Some(id), _) | (None, Some(id)) => Some(id.clone()),
        (None, None) => None,
    }
}

fn choose_in_other_zone(world: &mut World) -> Option<HostId> {
    let table = &world.hosts;
    let zones: BTreeSet<&ZoneId> = table.rows.values().map(|row| &row.zone).collect();
    let zone = zones.into_iter().filter(|zone| **zone != table.zone).choose(&mut world.rng)?;
    let rows = || table.rows.iter().filter(|(_, row)| row.zone == *zone);
    let live = rows().filter(|(_, row)| row.state != State::Dead);
    let live = live.map(|(id, _)| id).choose(&mut world.rng);
    live.or_else(|| rows().map(|(id, _)| id).choose(&mut world.rng)).cloned()
}

/// Rows that an exchange covers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    Zone,
    Fleet,
}

fn digest(world: &World, scope: Scope) -> wire::Digest {
    let mut known = Vec::new();
    if scope == Scope::Zone {
        for (id, owner) in &world.peers.owners {
            let row = world.hosts.rows.get(id);
            known.extend(row.map(|row| wire::KnownVersion {
                owner: digest_key(id),
                incarnation: owner.incarnation as u32,
                version: owner.known_version,
                heartbeat: row.heartbeat,
            }));
        }
    }
    known.extend(world.peers.fleet_rows.iter().map(|(key, held)| wire::KnownVersion {
        owner: key.hash(),
        incarnation: held.content_hash,
        version: held.version,
        heartbeat: 0,
    }));
    wire::Digest { known, sender: row(world, &Key::Host) }
}

/// Handles a digest and replies with the rows that its sender lacks.
pub fn receive_digest(world: &mut World, from: &HostId, digest: wire::Digest) {
    if digest.known.len() > DIGEST_ENTRIES_MAX {
        return peer::ignore(world, from, "a digest with too many entries");
    }
    let Some((zone, incarnation)) = receive_sender(world, from, digest.sender) else {
        return;
    };
    let same_zone = *zone == *world.hosts.zone;
    for known in &digest.known {
        receive_known(world, known);
    }
    let Some(row) = world.hosts.rows.get(from) else {
        return;
    };
    if row.incarnation != incarnation {
        // The sender is either newer or older than the known incarnation. The reply holds the known heartbeat: a live
        // host that receives a heartbeat above its own continues from a higher one.
        let known = wire::KnownVersion {
            owner: digest_key(from),
            incarnation: row.incarnation as u32,
            version: 0,
            heartbeat: row.heartbeat,
        };
        let delta = wire::Delta { rows: Vec::new(), known: vec![known] };
        return peer::send(world, from, Body::Delta(delta));
    }
    let scope = if same_zone { Scope::Zone } else { Scope::Fleet };
    send_missing(world, from, &digest.known, scope);
}

/// Handles the sender's host row in a message. Returns the zone and incarnation of the sender.
fn receive_sender(
    world: &mut World,
    from: &HostId,
    sender: Option<wire::Row>,
) -> Option<(String, Incarnation)> {
    let Some((item, sender)) = sender.and_then(|mut row| Some((row.item.take()?, row))) else {
        peer::ignore(world, from, "a message without its sender");
        return None;
    };
    let Item::Host(host) = &item else {
        peer::ignore(world, from, "a message whose sender is not a host row");
        return None;
    };
    if sender.owner != **from || *from == world.hosts.local_id || !has_valid_names(&item) {
        peer::ignore(world, from, "a message with a wrong sender");
        return None;
    }
    peer::receive_host_row(
        world,
        from,
        from,
        sender.incarnation,
        sender.version,
        &Key::Host,
        &item,
    );
    Some((host.zone.clone(), sender.incarnation))
}

/// Handles a starting host's request for the newest head.
pub fn receive_head_request(world: &mut World, from: &HostId, sender: Option<wire::Row>) {
    if receive_sender(world, from, sender).is_some() {
        startup::send_head(world, from);
    }
}

/// Records a heartbeat from a digest or a delta.
pub fn receive_known(world: &mut World, known: &wire::KnownVersion) {
    if known.owner == digest_key(&world.hosts.local_id) {
        if known.incarnation != world.settings.incarnation as u32 {
            host::raise_heartbeat(world, known.heartbeat);
        }
        return;
    }
    let Some(id) = world.peers.owners_by_digest_key.get(&known.owner) else {
        return;
    };
    let now = world.now;
    if let Some(row) = world.hosts.rows.get(id)
        && row.incarnation as u32 == known.incarnation
        && row.heartbeat < known.heartbeat
    {
        let id = id.clone();
        host::record_heartbeat(&mut world.hosts, &id, known.heartbeat, now);
    }
}

fn send_missing(world: &mut World, to: &HostId, theirs: &[wire::KnownVersion], scope: Scope) {
    let theirs: AHashMap<u32, &wire::KnownVersion> =
        theirs.iter().map(|known| (known.owner, known)).collect();
    let now = world.now;
    let rate = world.settings.gossip_budget_bytes;
    let mut budget = world.peers.budget.take().unwrap_or_else(|| Bucket::new(rate, rate, now));
    let (mut messages, mut delta, mut bytes) = (Vec::new(), wire::Delta::default(), 0);
    let mut append = |delta: &mut wire::Delta, rows: Vec<wire::Row>, cost: usize| {
        if bytes > 0 && bytes + cost > ROWS_MAX_BYTES {
            messages.push(std::mem::take(delta));
            bytes = 0;
        }
        bytes += cost;
        delta.rows.extend(rows);
    };
    for (key, held) in &world.peers.fleet_rows {
        let known =
            theirs.get(&key.hash()).map_or((0, 0), |known| (known.version, known.incarnation));
        if known >= held.order() || !budget.has_tokens(now) {
            continue;
        }
        if let Some(row) = row(world, key) {
            let cost = row.encoded_len();
            budget.take(cost);
            append(&mut delta, vec![row], cost);
        }
    }
    if scope == Scope::Zone {
        let count = world.peers.owners.len();
        // The random start prevents a tight budget from always covering the same owners.
        let start = if count == 0 { 0 } else { world.rng.random_range(0..count) };
        let owners = world.peers.owners.iter();
        for (id, owner) in owners.clone().skip(start).chain(owners.take(start)) {
            // Rows of dead hosts are not sent. Hosts drop them at different times and would otherwise restore them at
            // each other.
            let Some(host) = world.hosts.rows.get(id).filter(|row| row.state != State::Dead) else {
                continue;
            };
            let known = theirs.get(&digest_key(id));
            let same = known.filter(|known| known.incarnation == owner.incarnation as u32);
            if same.is_none() && known.is_some_and(|known| known.heartbeat >= host.heartbeat) {
                continue;
            }
            let version = same.map_or(0, |known| known.version);
            let mut sent_version = version;
            if owner.known_version > version && budget.has_tokens(now) {
                let (rows, complete, cost) = rows_above(world, id, version, same.is_none());
                sent_version = match rows.as_slice() {
                    _ if complete => owner.known_version,
                    // Only the host row was sent, ahead of older rows.
                    [] | [_] if same.is_none() => version,
                    rows => rows.last().map_or(version, |row| row.version.min(owner.known_version)),
                };
                budget.take(cost);
                append(&mut delta, rows, cost);
            }
            if sent_version > version || same.is_none_or(|known| known.heartbeat < host.heartbeat) {
                delta.known.push(wire::KnownVersion {
                    owner: digest_key(id),
                    incarnation: owner.incarnation as u32,
                    version: sent_version,
                    heartbeat: host.heartbeat,
                });
            }
        }
    }
    messages.push(delta);
    world.peers.budget = Some(budget);
    for delta in messages {
        if !delta.rows.is_empty() || !delta.known.is_empty() {
            peer::send(world, to, Body::Delta(delta));
        }
    }
}

/// Rows of one owner that fit into one message, whether these are all of them, and their size. They are never split
/// over two messages: if only the second arrived, its versions would hide the missing rows of the first.
fn rows_above(
    world: &World,
    id: &HostId,
    version: u64,
    with_host: bool,
) -> (Vec<wire::Row>, bool, usize) {
    let owner = &world.peers.owners[id];
    let mut above = owner.above(version);
    if with_host {
        // The host row comes first, as it introduces the incarnation of the other rows.
        above.sort_by_key(|row| (!matches!(row.item, Item::Host(_)), row.version));
    }
    let (mut rows, mut bytes) = (Vec::new(), 0);
    for held in &above {
        let mut row = wire::Row {
            version: held.version,
            item: Some(with_latest_heartbeat(world, id, &held.item)),
            ..wire::Row::default()
        };
        if rows.is_empty() {
            row.owner = id.to_string();
            row.incarnation = owner.incarnation;
        }
        bytes += row.encoded_len();
        if bytes > ROWS_MAX_BYTES && !rows.is_empty() {
            return (rows, false, bytes - row.encoded_len());
        }
        rows.push(row);
    }
    (rows, true, bytes)
}
