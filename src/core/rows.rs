//! Rows of gossip: what they are about and which of two is newer.
//!
//! Rows of one zone belong to a host and carry its version counter. Fleet-wide rows belong to nobody: their content has
//! its own order (a revision, a weight version), so any host may pass them on and two publishers cannot undo each other.

use std::collections::BTreeMap;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    prelude::*,
    wire::{self, Item},
};

/// Rows that one host may own. A host polls a few dozen targets; more is a fault of the peer.
const OWNED_MAX: usize = 4096;

/// Longest name or address taken from a peer.
const TEXT_MAX_BYTES: usize = 256;

/// What a row is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Host,
    Load(TargetId),
    Strike(ContentHash),
    Head,
    Fence(Box<str>),
    Desired(ModelId),
    Zone(ZoneId),
    Members(ZoneId),
    Listing(ZoneId),
    Away(ZoneId),
}

impl Key {
    /// Key of a row with this content.
    pub fn of(item: &Item) -> Self {
        match item {
            Item::Host(_) => Self::Host,
            Item::Load(load) => Self::Load(load.target.as_str().into()),
            Item::Strike(strike) => Self::Strike(strike.content),
            Item::Head(_) => Self::Head,
            Item::Fence(fence) => Self::Fence(fence.lease.as_str().into()),
            Item::Desired(desired) => Self::Desired(desired.model.as_str().into()),
            Item::Zone(zone) => Self::Zone(zone.zone.as_str().into()),
            Item::Members(members) => Self::Members(members.zone.as_str().into()),
            Item::Listing(listing) => Self::Listing(listing.zone.as_str().into()),
            Item::Away(away) => Self::Away(away.zone.as_str().into()),
        }
    }

    /// Whether the row crosses zones.
    pub fn fleet_wide(&self) -> bool {
        !matches!(self, Self::Host | Self::Load(_))
    }

    /// Name of a fleet-wide row in digests.
    pub fn hash(&self) -> u32 {
        let content;
        let (kind, name): (u8, &[u8]) = match self {
            Self::Host | Self::Load(_) => (0, b""),
            Self::Head => (1, b""),
            Self::Fence(lease) => (2, lease.as_bytes()),
            Self::Desired(model) => (3, model.as_bytes()),
            Self::Zone(zone) => (4, zone.as_bytes()),
            Self::Members(zone) => (5, zone.as_bytes()),
            Self::Listing(zone) => (6, zone.as_bytes()),
            Self::Strike(hash) => {
                content = hash.to_le_bytes();
                (7, &content)
            }
            Self::Away(zone) => (8, zone.as_bytes()),
        };
        // A leading control character keeps these apart from host ids.
        xxh3_64(&[&[1, kind], name].concat()) as u32
    }
}

/// Name of a host in digests.
pub fn host_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// Whether names in a row are present and short enough to be kept.
pub fn fits(item: &Item) -> bool {
    let texts: &[&str] = match item {
        Item::Host(host) => &[&host.zone, &host.address],
        Item::Load(load) => &[&load.target],
        // A strike without targets says that the content ran well.
        Item::Strike(strike) => return strike.targets.iter().all(|target| named(target)),
        Item::Head(head) => &[&head.apply_id],
        Item::Fence(fence) => &[&fence.lease],
        Item::Desired(desired) => &[&desired.model],
        Item::Zone(zone) => &[&zone.zone],
        Item::Members(members) => &[&members.zone],
        Item::Listing(listing) => &[&listing.zone],
        Item::Away(away) => &[&away.zone],
    };
    texts.iter().all(|text| named(text))
}

/// Whether a name is present and short enough to be kept.
pub fn named(text: &str) -> bool {
    (1..=TEXT_MAX_BYTES).contains(&text.len())
}

/// A row of one host.
#[derive(Clone, Debug)]
pub struct HostRow {
    pub version: u64,
    pub heard: Time,
    pub item: Item,
}

/// All rows of one incarnation of a host.
#[derive(Clone, Debug)]
pub struct Owner {
    pub incarnation: Incarnation,
    /// Every row up to this version has been seen. Pushed rows may have higher versions.
    pub known: u64,
    pub rows: BTreeMap<Key, HostRow>,
}

impl Owner {
    /// An incarnation of which nothing is known.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, known: 0, rows: BTreeMap::new() }
    }

    /// Takes a row if it is newer than the one held.
    pub fn take(&mut self, now: Time, version: u64, key: &Key, item: &Item) -> bool {
        if self.rows.get(key).is_some_and(|held| held.version >= version) {
            return false;
        }
        if !self.rows.contains_key(key) && self.rows.len() >= OWNED_MAX {
            let oldest = self.rows.iter().filter(|(key, _)| **key != Key::Host);
            if let Some(key) = oldest.min_by_key(|(_, row)| row.version).map(|(key, _)| key.clone())
            {
                self.rows.remove(&key);
            }
        }
        let item = item.clone();
        self.rows.insert(key.clone(), HostRow { version, heard: now, item });
        true
    }

    /// Rows above a version, oldest first.
    pub fn above(&self, version: u64) -> Vec<&HostRow> {
        let mut rows: Vec<&HostRow> =
            self.rows.values().filter(|row| row.version > version).collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}

/// A fleet-wide row.
#[derive(Clone, Debug)]
pub struct FleetRow {
    pub version: u64,
    /// Hash of the content; decides between two contents of one version, the same way on all hosts.
    pub mark: u32,
    pub heard: Time,
    pub item: Item,
}

impl FleetRow {
    /// A row with its place in the order.
    pub fn new(now: Time, version: u64, item: Item) -> Self {
        let message = wire::Row { item: Some(item.clone()), ..wire::Row::default() };
        Self {
            version: natural_version(&item).unwrap_or(version),
            mark: xxh3_64(&message.encode_to_vec()) as u32,
            heard: now,
            item,
        }
    }

    /// Place in the order.
    pub fn order(&self) -> (u64, u32) {
        (self.version, self.mark)
    }
}

/// Version that the content itself carries.
pub fn natural_version(item: &Item) -> Option<u64> {
    match item {
        Item::Head(head) => Some(head.revision),
        Item::Fence(fence) => Some(fence.fence),
        Item::Desired(desired) => Some(desired.version),
        Item::Listing(listing) => Some(listing.revision),
        Item::Strike(strike) => Some(strike.clears << 32 | strike.targets.len() as u64),
        Item::Host(_) | Item::Load(_) | Item::Zone(_) | Item::Members(_) | Item::Away(_) => None,
    }
}
