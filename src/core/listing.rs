//! The platform's host list, per zone.
//!
//! Two hosts of each zone, the watchers, read its list and publish changes. The published list is already merged: an
//! entry is removed only after it was absent from two consecutive reads, and never while the list has lost many entries
//! at once. All hosts apply the published lists of all zones.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        Action, World,
        host::WATCHERS,
        pack,
        peer::{self, Spread},
        rows::is_valid_name,
        target,
    },
    prelude::*,
    wire::{self, Item},
};

/// Share of missing entries above which a list is considered wrong and removes nothing.
const MISSING_MAX_PERCENT: usize = 20;

/// Consecutive reads without an entry after which it is removed.
const ABSENT_READS: u32 = 2;

/// Consecutive reads with a difference after which the second watcher publishes in place of the first. Two watchers
/// that read a lagging list would otherwise overwrite each other's changes.
const SECOND_WATCHER_READS: u32 = 3;

/// Maximum entries of a zone; the planned size is 650.
const ENTRIES_MAX: usize = 20_000;

const LIST_MAX_BYTES: usize = 4 * 1024 * 1024;

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub target: TargetId,
    pub zone: ZoneId,
    pub address: Box<str>,
    pub pool: PoolId,
    pub leaving: bool,
}

/// Result of reading the list; `entries` is `None` if it could not be read.
#[derive(Clone, Debug)]
pub struct ReadResult {
    pub zone: ZoneId,
    pub entries: Option<Vec<Entry>>,
}

/// Published list of a zone.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub revision: u64,
    pub entries: BTreeMap<TargetId, Entry>,
}

/// Lists by zone.
#[derive(Debug, Default)]
pub struct Table {
    pub lists: BTreeMap<ZoneId, List>,
    /// Consecutive reads without an entry.
    absent_reads: BTreeMap<TargetId, u32>,
    /// Consecutive reads whose merge differed from the published list.
    differing_reads: u32,
    /// The last read lacked more than `MISSING_MAX_PERCENT` of the entries.
    pub short: bool,
    /// Consecutive failed reads.
    pub failures: u32,
    next_read: Time,
}

/// Reads the list when due, if this host is a watcher.
pub fn run(world: &mut World) {
    if world.now < world.listing.next_read || !world.hosts.ranks_within("config", WATCHERS) {
        return;
    }
    world.listing.next_read = world.now + world.settings.listing_interval;
    let zone = world.hosts.zone.clone();
    world.emit(Action::ReadListing { zone });
}

/// Handles the result of a read.
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
    let read = valid_entries(world, entries);
    let held = world.listing.lists.get(&world.hosts.zone).cloned().unwrap_or_default();
    let merged = merge(world, &held.entries, read);
    if merged == held.entries {
        world.listing.differing_reads = 0;
        return;
    }
    world.listing.differing_reads += 1;
    if !world.hosts.ranks_first("config") && world.listing.differing_reads < SECOND_WATCHER_READS {
        return;
    }
    world.listing.differing_reads = 0;
    let list = wire::Listing {
        zone: world.hosts.zone.to_string(),
        revision: held.revision + 1,
        entries: encode(&merged),
    };
    peer::publish(world, Item::Listing(list.clone()), Spread::PushFew);
    receive(world, &list);
}

/// Valid entries of this zone, without duplicates.
fn valid_entries(world: &mut World, entries: Vec<Entry>) -> BTreeMap<TargetId, Entry> {
    let count = entries.len();
    let zone = &world.hosts.zone;
    let is_valid_field = |text: &str| is_valid_name(text) && !text.contains(['\t', '\n']);
    let is_valid = |entry: &Entry| {
        entry.zone == *zone
            && is_valid_field(&entry.target)
            && is_valid_field(&entry.address)
            && is_valid_field(&entry.pool)
    };
    let valid: BTreeMap<TargetId, Entry> = entries
        .into_iter()
        .filter(is_valid)
        .take(ENTRIES_MAX)
        .map(|entry| (entry.target.clone(), entry))
        .collect();
    if valid.len() < count {
        let text = format!(
            "host list: ignored {} of {count} entries that are invalid or repeated",
            count - valid.len()
        );
        world.log(log::Level::Warn, text);
    }
    valid
}

/// Merges a read into the published list.
fn merge(
    world: &mut World,
    held: &BTreeMap<TargetId, Entry>,
    mut read: BTreeMap<TargetId, Entry>,
) -> BTreeMap<TargetId, Entry> {
    let present = held.keys().filter(|id| read.contains_key(*id)).count();
    let short = (held.len() - present) * 100 > held.len() * MISSING_MAX_PERCENT;
    let table = &mut world.listing;
    let was_short = std::mem::replace(&mut table.short, short);
    table.absent_reads.retain(|id, _| held.contains_key(id) && !read.contains_key(id));
    for (id, entry) in held.iter().filter(|(id, _)| !read.contains_key(*id)).collect::<Vec<_>>() {
        let count = table.absent_reads.entry(id.clone()).or_default();
        if short {
            *count = 0;
        } else {
            *count += 1;
        }
        if *count < ABSENT_READS {
            read.insert(id.clone(), entry.clone());
        }
    }
    table.absent_reads.retain(|id, _| read.contains_key(id));
    if short && !was_short {
        let text = format!("host list has {present} of {} entries, nothing is removed", held.len());
        world.log(log::Level::Error, text);
    }
    read
}

/// Applies a list that a watcher of its zone published.
pub fn receive(world: &mut World, list: &wire::Listing) {
    let (zone, revision) = (ZoneId::from(list.zone.as_str()), list.revision);
    let Some(entries) = decode(&zone, &list.entries) else {
        return peer::ignore(world, &zone, "an unreadable host list");
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

/// Encodes one line per entry and compresses the text. The zone is not part of it.
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

/// Removes a target that is no longer in the list of its zone, unless it moved to another zone.
fn remove(world: &mut World, zone: &str, id: &TargetId) {
    if world.targets.rows.get(id).is_some_and(|row| *row.zone == *zone) {
        target::remove(world, id);
    }
}
