//! The platform's host list, zone by zone.
//!
//! Two hosts of a zone read its list and publish it when it changed. What is published is already merged: an entry goes
//! only after it was absent twice in a row, and not while the list is suddenly short. All hosts then follow the
//! published lists of all zones.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        Action, World,
        host::WATCHERS,
        pack,
        peer::{self, Spread},
        rows::named,
        target,
    },
    prelude::*,
    wire::{self, Item},
};

/// A list that lost more than this share of its entries at once is taken for wrong.
const SHORT_PERCENT: usize = 20;

/// Readings in a row that an entry must be absent from.
const ABSENT_READS: u32 = 2;

/// Readings in a row in which the second watcher must see a difference before it publishes in place of the first. Two
/// readers of a lagging list would otherwise undo each other.
const SECOND_AFTER: u32 = 3;

/// Entries of one zone; planned are 650.
const ENTRIES_MAX: usize = 20_000;

const LIST_MAX_BYTES: usize = 4 * 1024 * 1024;

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub target: TargetId,
    pub zone: ZoneId,
    pub address: Box<str>,
    pub pool: PoolId,
    pub leaving: bool,
}

/// Answer to a reading of the list; `None` when it could not be read.
#[derive(Clone, Debug)]
pub struct ReadResult {
    pub zone: ZoneId,
    pub entries: Option<Vec<Entry>>,
}

/// Accepted list of a zone.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub revision: u64,
    pub entries: BTreeMap<TargetId, Entry>,
}

/// Lists by zone.
#[derive(Debug, Default)]
pub struct Table {
    pub lists: BTreeMap<ZoneId, List>,
    /// Readings in a row that lacked an entry.
    absent: BTreeMap<TargetId, u32>,
    /// Readings in a row whose merge differed from the published list.
    differs: u32,
    /// The last reading was short.
    pub short: bool,
    /// Readings in a row that failed.
    pub failures: u32,
    next: Time,
}

/// Reads the list when it is this host's turn.
pub fn run(world: &mut World) {
    if world.now < world.listing.next || !world.hosts.ranks_within("config", WATCHERS) {
        return;
    }
    world.listing.next = world.now + world.settings.listing_interval;
    let zone = world.hosts.zone.clone();
    world.emit(Action::ReadListing { zone });
}

/// Takes a reading.
pub fn input(world: &mut World, read: ReadResult) {
    if read.zone != world.hosts.zone {
        return;
    }
    let Some(entries) = read.entries else {
        world.listing.failures += 1;
        if world.listing.failures == 1 {
            world.log(
                log::Level::Warn,
                format!("could not read the host list of zone \"{}\"", read.zone),
            );
        }
        return;
    };
    world.listing.failures = 0;
    let read = usable(world, entries);
    let held = world.listing.lists.get(&world.hosts.zone).cloned().unwrap_or_default();
    let merged = merge(world, &held.entries, read);
    if merged == held.entries {
        world.listing.differs = 0;
        return;
    }
    world.listing.differs += 1;
    if !world.hosts.ranks_first("config") && world.listing.differs < SECOND_AFTER {
        return;
    }
    world.listing.differs = 0;
    let list = wire::Listing {
        zone: world.hosts.zone.to_string(),
        revision: held.revision + 1,
        entries: encode(&merged),
    };
    peer::publish(world, Item::Listing(list.clone()), Spread::PushFew);
    receive(world, &list);
}

/// Entries that belong to this zone and can be kept.
fn usable(world: &mut World, entries: Vec<Entry>) -> BTreeMap<TargetId, Entry> {
    let count = entries.len();
    let zone = &world.hosts.zone;
    let plain = |text: &str| named(text) && !text.contains(['\t', '\n']);
    let fits = |entry: &Entry| {
        entry.zone == *zone && plain(&entry.target) && plain(&entry.address) && plain(&entry.pool)
    };
    let usable: BTreeMap<TargetId, Entry> = entries
        .into_iter()
        .filter(fits)
        .take(ENTRIES_MAX)
        .map(|entry| (entry.target.clone(), entry))
        .collect();
    if usable.len() < count {
        let text = format!(
            "host list: ignored {} of {count} entries that are wrong or repeated",
            count - usable.len()
        );
        world.log(log::Level::Warn, text);
    }
    usable
}

/// What is accepted after a reading.
fn merge(
    world: &mut World,
    held: &BTreeMap<TargetId, Entry>,
    mut read: BTreeMap<TargetId, Entry>,
) -> BTreeMap<TargetId, Entry> {
    let present = held.keys().filter(|id| read.contains_key(*id)).count();
    let short = (held.len() - present) * 100 > held.len() * SHORT_PERCENT;
    let table = &mut world.listing;
    let was_short = std::mem::replace(&mut table.short, short);
    table.absent.retain(|id, _| held.contains_key(id) && !read.contains_key(id));
    for (id, entry) in held.iter().filter(|(id, _)| !read.contains_key(*id)).collect::<Vec<_>>() {
        let count = table.absent.entry(id.clone()).or_default();
        if short {
            *count = 0;
        } else {
            *count += 1;
        }
        if *count < ABSENT_READS {
            read.insert(id.clone(), entry.clone());
        }
    }
    table.absent.retain(|id, _| read.contains_key(id));
    if short && !was_short {
        let text = format!("host list has {present} of {} entries, nothing is removed", held.len());
        world.log(log::Level::Error, text);
    }
    read
}

/// Takes a list that a host of its zone published.
pub fn receive(world: &mut World, list: &wire::Listing) {
    let (zone, revision) = (ZoneId::from(list.zone.as_str()), list.revision);
    let Some(entries) = decode(&zone, &list.entries) else {
        return peer::ignore(world, &zone, "a host list that cannot be read");
    };
    let new = List { revision, entries };
    let targets: Vec<Entry> = new.entries.values().cloned().collect();
    let old = world.listing.lists.insert(zone.clone(), new).unwrap_or_default();
    let kept: BTreeSet<&TargetId> = targets.iter().map(|entry| &entry.target).collect();
    for id in old.entries.keys().filter(|id| !kept.contains(id)) {
        remove(world, &zone, id);
    }
    for entry in &targets {
        target::upsert(world, entry);
    }
}

/// One line per entry; the zone stands outside.
fn encode(entries: &BTreeMap<TargetId, Entry>) -> bytes::Bytes {
    let mut text = String::new();
    for entry in entries.values() {
        let state = if entry.leaving { "leaving" } else { "live" };
        text.push_str(&format!("{}\t{}\t{}\t{state}\n", entry.target, entry.address, entry.pool));
    }
    pack::deflate(text.as_bytes())
}

fn decode(zone: &ZoneId, bytes: &[u8]) -> Option<BTreeMap<TargetId, Entry>> {
    let text = String::from_utf8(pack::inflate(bytes, LIST_MAX_BYTES)?).ok()?;
    let mut entries = BTreeMap::new();
    for line in text.lines().take(ENTRIES_MAX) {
        let mut fields = line.split('\t');
        let (target, address, pool, state) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let entry = Entry {
            target: target.into(),
            zone: zone.clone(),
            address: address.into(),
            pool: pool.into(),
            leaving: state == "leaving",
        };
        entries.insert(entry.target.clone(), entry);
    }
    Some(entries)
}

/// Removes a target that the list of its zone no longer names.
fn remove(world: &mut World, zone: &str, id: &TargetId) {
    if world.targets.rows.get(id).is_some_and(|row| *row.zone == *zone) {
        target::remove(world, id);
    }
}
