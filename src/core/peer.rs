//! State of gossip, publishing of rows, and routing of received messages to the modules that handle them.
//!
//! `rows` defines the rows and their order, `gossip` the exchanges.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IteratorRandom;

use crate::{
    core::{
        Action, World,
        bucket::Bucket,
        config, forward, gossip, host, listing, rollout,
        rows::{FleetRow, Key, Owner, has_valid_names, is_valid_name},
        startup, store, strike, summary, target, unavailable_targets,
    },
    file::Kind,
    prelude::*,
    wire::{self, Body, Item},
};

/// Number of peers that a row is pushed to. Those that had not seen it push it on, so that it reaches a zone within a
/// few hops.
const PUSH_FANOUT: usize = 3;

/// Maximum number of fleet-wide rows. There are a handful per zone and one per model.
const FLEET_ROWS_MAX: usize = 4096;

/// Interval of log lines about ignored messages, as a faulty peer may send many.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Age at which a load row is dropped. Loads are repeated every few seconds, so an older one belongs to a target that
/// another host polls or that was removed.
const LOAD_RETENTION: Duration = Duration::from_secs(60);

const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Event of a peer link.
#[derive(Clone, Debug)]
pub enum Event {
    Message {
        from: HostId,
        message: Box<wire::Message>,
    },
    /// A message could not be sent, or the connection broke.
    LinkLost {
        to: HostId,
    },
}

/// How a row is disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// With the next exchanges.
    Gossip,
    /// Pushed to a few hosts of the zone, then by gossip.
    PushFew,
    /// Pushed to all hosts of the zone.
    PushAll,
    /// Pushed to all hosts of the zone and a few of each other zone.
    PushFleet,
}

/// Rows of all owners, fleet-wide rows, and the schedule and byte budget of exchanges.
#[derive(Debug, Default)]
pub struct Table {
    pub owners: BTreeMap<HostId, Owner>,
    /// Owners by their hash in digests.
    pub owners_by_digest_key: BTreeMap<u32, HostId>,
    pub fleet_rows: BTreeMap<Key, FleetRow>,
    pub budget: Option<Bucket>,
    pub next_exchange: Time,
    pub next_zone_exchange: Time,
    next_sweep: Time,
    next_ignored_log: Time,
    ignored: u64,
}

/// Sends a message to a host, if its address is known.
pub fn send(world: &mut World, to: &HostId, body: Body) {
    let Some(address) = world.hosts.rows.get(to).map(|row| row.address.clone()) else {
        return;
    };
    world.emit(Action::Send {
        to: to.clone(),
        address,
        message: wire::Message { body: Some(body) },
    });
}

/// Publishes a row of this host, or a fleet-wide row if it is newer than the known one.
pub fn publish(world: &mut World, item: Item, spread: Spread) {
    let (now, key) = (world.now, Key::of(&item));
    if key.is_fleet_wide() {
        let held = world.peers.fleet_rows.get(&key);
        let row = FleetRow::new(now, held.map_or(1, |held| held.version + 1), item.clone());
        if held.is_some_and(|held| held.order() >= row.order()) {
            return;
        }
        world.peers.fleet_rows.insert(key.clone(), row);
    } else {
        let (local_id, incarnation) = (world.hosts.local_id.clone(), world.settings.incarnation);
        let owner = world.peers.owners.entry(local_id).or_insert_with(|| Owner::new(incarnation));
        owner.known_version += 1;
        let version = owner.known_version;
        owner.insert(now, version, &key, &item);
    }
    if let Some(row) = gossip::row(world, &key) {
        push(world, &row, spread, None);
    }
}

/// Pushes a row to the live hosts that `spread` selects.
pub fn push(world: &mut World, row: &wire::Row, spread: Spread, except: Option<&HostId>) {
    let (zone, local_id) = (world.hosts.zone.clone(), world.hosts.local_id.clone());
    let live = world.hosts.live_hosts(&zone).into_iter();
    let others = live.filter(|id| **id != local_id && Some(*id) != except).cloned();
    let mut to: Vec<HostId> = match spread {
        Spread::Gossip => return,
        Spread::PushFew => others.choose_multiple(&mut world.rng, PUSH_FANOUT),
        Spread::PushAll | Spread::PushFleet => others.collect(),
    };
    if spread == Spread::PushFleet {
        let zones: BTreeSet<ZoneId> =
            world.hosts.rows.values().map(|row| row.zone.clone()).collect();
        for other in zones.into_iter().filter(|other| *other != zone) {
            let live = world.hosts.live_hosts(&other).into_iter().cloned();
            to.extend(live.choose_multiple(&mut world.rng, PUSH_FANOUT));
        }
    }
    for id in to {
        let delta = wire::Delta { rows: vec![row.clone()], known: Vec::new() };
        send(world, &id, Body::Push(delta));
    }
}

/// Handles an event of a peer link.
pub fn input(world: &mut World, event: Event) {
    let (from, message) = match event {
        Event::LinkLost { to } => {
            startup::peer_unreachable(world, &to);
            return forward::link_lost(world, &to);
        }
        Event::Message { from, message } => (from, message),
    };
    let Some(body) = message.body else {
        return ignore(world, &from, "an empty message");
    };
    if let Body::Digest(digest) = body {
        return gossip::receive_digest(world, &from, digest);
    }
    if let Body::HeadRequest(request) = body {
        return gossip::receive_head_request(world, &from, request.sender);
    }
    if !world.hosts.rows.contains_key(&from) {
        return ignore(world, &from, "a message from an unknown host");
    }
    match body {
        Body::Hello(_) => ignore(world, &from, "a second hello"),
        Body::Digest(_) | Body::HeadRequest(_) => {}
        Body::Delta(delta) | Body::Push(delta) => receive_delta(world, &from, delta),
        Body::ConfigRequest(request) => config::send_body(world, &from, request.revision),
        Body::Config(body) => config::receive_body(world, &from, body),
        Body::Forward(forward) => forward::input(world, &from, forward),
        Body::Reply(reply) => forward::reply(world, &from, reply),
    }
}

/// Logs that a message or row of a peer is ignored, at a limited rate.
pub fn ignore(world: &mut World, from: &str, what: &str) {
    world.peers.ignored += 1;
    if world.now < world.peers.next_ignored_log {
        return;
    }
    let count = std::mem::take(&mut world.peers.ignored);
    world.peers.next_ignored_log = world.now + IGNORED_LOG_INTERVAL;
    world.log(
        log::Level::Warn,
        format!("ignored {what} from peer \"{from}\" ({count} ignored since the last such line)"),
    );
}

fn receive_delta(world: &mut World, from: &HostId, delta: wire::Delta) {
    let mut owner = (HostId::default(), 0);
    for row in delta.rows {
        let Some(item) = row.item.filter(has_valid_names) else {
            ignore(world, from, "a row without usable content");
            continue;
        };
        if !row.owner.is_empty() {
            owner = (row.owner.into(), row.incarnation);
        }
        let key = Key::of(&item);
        if key.is_fleet_wide() {
            receive_fleet_row(world, from, row.version, key, item);
        } else {
            receive_host_row(world, from, &owner.0, owner.1, row.version, &key, &item);
        }
    }
    for known in delta.known {
        gossip::receive_known(world, &known);
        let Some(id) = world.peers.owners_by_digest_key.get(&known.owner) else {
            continue;
        };
        if let Some(owner) = world.peers.owners.get_mut(id)
            && *id != world.hosts.local_id
            && owner.incarnation as u32 == known.incarnation
        {
            owner.known_version = owner.known_version.max(known.version);
        }
    }
}

/// Handles a row that is owned by a host. Only host rows are used from other zones.
pub fn receive_host_row(
    world: &mut World,
    from: &HostId,
    owner: &HostId,
    incarnation: Incarnation,
    version: u64,
    key: &Key,
    item: &Item,
) {
    if !is_valid_name(owner) {
        return ignore(world, from, "a row without an owner");
    }
    if let Item::Host(host) = item {
        let held = world.peers.owners.get(owner).filter(|held| held.incarnation == incarnation);
        if held.and_then(|held| held.rows.get(key)).is_some_and(|row| row.version >= version) {
            return host::record_heartbeat(&mut world.hosts, owner, host.heartbeat, world.now);
        }
        if !host::receive(world, from, owner, incarnation, host) {
            return;
        }
    }
    let own_zone = world.hosts.rows.get(owner).is_some_and(|row| row.zone == world.hosts.zone);
    if *owner == world.hosts.local_id || !own_zone {
        return;
    }
    let now = world.now;
    let joined = world.peers.owners.get(owner).is_none_or(|held| held.incarnation != incarnation);
    let held = world.peers.owners.entry(owner.clone()).or_insert_with(|| Owner::new(incarnation));
    if held.incarnation != incarnation {
        // Only a host row introduces a new incarnation, which replaces the rows of the old one.
        if *key != Key::Host {
            return;
        }
        *held = Owner::new(incarnation);
    }
    world.peers.owners_by_digest_key.insert(gossip::digest_key(owner), owner.clone());
    if !held.insert(now, version, key, item) {
        return;
    }
    match item {
        Item::Load(load) => receive_load(world, load),
        // Exchanges only pull, so a host that just joined would otherwise be known to few.
        Item::Host(_) if joined => {
            let row = wire::Row {
                owner: owner.to_string(),
                incarnation,
                version,
                item: Some(item.clone()),
            };
            push(world, &row, Spread::PushFew, Some(from));
        }
        _ => {}
    }
}

fn receive_load(world: &mut World, load: &wire::Load) {
    let id: TargetId = load.target.as_str().into();
    let outcome = match load.outcome {
        0 => target::Outcome::Report(target::Report {
            running: load.running,
            waiting: load.waiting,
            kv_used_percent: load.kv_used_percent,
            versions: model_of(world, &id).map(|model| (model, load.version)).into_iter().collect(),
        }),
        1 => target::Outcome::Leaving,
        3 => target::Outcome::Healthy,
        _ => target::Outcome::Unreachable,
    };
    target::apply_peer_report(world, &id, outcome);
}

fn model_of(world: &World, target: &TargetId) -> Option<ModelId> {
    let pool = &world.targets.rows.get(target)?.pool;
    match &world.config.snapshot.as_ref()?.pools.get(pool)?.kind {
        Kind::Engine { model } => Some(model.clone()),
        Kind::Service { .. } => None,
    }
}

/// Handles a fleet-wide row.
fn receive_fleet_row(world: &mut World, from: &HostId, version: u64, key: Key, item: Item) {
    if let Item::Head(head) = &item {
        // A head is passed on only by hosts that hold its body, so that receivers can request the body from the sender.
        return config::receive_head(world, from, head);
    }
    if let Item::Strike(strike) = &item {
        // Strikes on the same content are merged instead of replaced.
        return strike::merge(world, from, strike);
    }
    let row = FleetRow::new(world.now, version, item);
    match world.peers.fleet_rows.get(&key) {
        Some(held) if held.order() >= row.order() => return,
        None if world.peers.fleet_rows.len() >= FLEET_ROWS_MAX => {
            return ignore(world, from, "a fleet-wide row above the limit");
        }
        _ => {}
    }
    let item = row.item.clone();
    world.peers.fleet_rows.insert(key.clone(), row);
    match item {
        Item::Desired(desired) => {
            if let Some(row) = gossip::row(world, &key) {
                push(world, &row, Spread::PushFew, Some(from));
            }
            let wanted =
                rollout::Desired { version: desired.version, weights: desired.weights.into() };
            rollout::receive(world, desired.model.into(), wanted);
        }
        Item::Listing(list) => listing::receive(world, &list),
        Item::UnavailableTargets(targets) => {
            if let Some(row) = gossip::row(world, &key) {
                push(world, &row, Spread::PushFew, Some(from));
            }
            unavailable_targets::receive(world, &targets);
        }
        Item::Zone(zone) => summary::receive(world, &zone),
        Item::Members(members) => summary::receive_members(world, &members),
        Item::Fence(fence) => store::receive_fence(world, &fence.lease, fence.fence),
        Item::Host(_) | Item::Load(_) | Item::Strike(_) | Item::Head(_) => {}
    }
}

/// Removes outdated rows and starts exchanges.
pub fn run(world: &mut World) {
    if world.now >= world.peers.next_sweep {
        world.peers.next_sweep = world.now + SWEEP_INTERVAL;
        sweep(world);
    }
    gossip::run(world);
}

/// Drops loads that are no longer repeated, and rows of removed hosts.
fn sweep(world: &mut World) {
    let (now, local_id) = (world.now, &world.hosts.local_id);
    let (hosts, table) = (&world.hosts.rows, &mut world.peers);
    table.owners.retain(|id, _| id == local_id || hosts.contains_key(id));
    table.owners_by_digest_key.retain(|_, id| id == local_id || hosts.contains_key(id));
    let strikes = &world.strikes;
    table
        .fleet_rows
        .retain(|key, _| !matches!(key, Key::Strike(content) if !strikes.contains(*content)));
    for (id, owner) in &mut table.owners {
        let dead = hosts.get(id).is_some_and(|row| row.state == host::State::Dead);
        owner.rows.retain(|key, row| match key {
            Key::Load(_) => !dead && now.saturating_sub(row.received_at) < LOAD_RETENTION,
            _ => true,
        });
    }
}
