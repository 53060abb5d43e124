//! Rows of gossip: their keys and their order.
//!
//! Rows within a zone are owned by a host and versioned by its counter. Fleet-wide rows have no owner. Most are ordered
//! by their content (a revision, a weight version), so any host may pass them on and publishers cannot overwrite newer
//! ones.

use std::collections::BTreeMap;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    prelude::*,
    wire::{self, Item},
};

/// Maximum rows of one host. A host polls a few dozen targets; a peer that reports more is faulty.
const HOST_ROWS_MAX: usize = 4096;

/// Maximum length of a name or address from a peer.
const TEXT_MAX_BYTES: usize = 256;

/// Subject of a row.
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
    UnavailableTargets(ZoneId),
}

impl Key {
    /// Key of the row with this content.
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
            Item::UnavailableTargets(targets) => {
                Self::UnavailableTargets(targets.zone.as_str().into())
            }
        }
    }

    /// Whether the row is passed on to other zones.
    pub fn is_fleet_wide(&self) -> bool {
        !matches!(self, Self::Host | Self::Load(_))
    }

    /// Hash that identifies a fleet-wide row in digests.
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
            Self::UnavailableTargets(zone) => (8, zone.as_bytes()),
        };
        // The leading control character separates these from host ids.
        xxh3_64(&[&[1, kind], name].concat()) as u32
    }
}

/// Hash that identifies a host in digests.
pub fn host_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// Whether the names in a row are valid.
pub fn has_valid_names(item: &Item) -> bool {
    let texts: &[&str] = match item {
        Item::Host(host) => &[&host.zone, &host.address],
        Item::Load(load) => &[&load.target],
        // A strike without targets records that the content ran without a crash.
        Item::Strike(strike) => return strike.targets.iter().all(|target| is_valid_name(target)),
        Item::Head(head) => &[&head.apply_id],
        Item::Fence(fence) => &[&fence.lease],
        Item::Desired(desired) => &[&desired.model],
        Item::Zone(zone) => &[&zone.zone],
        Item::Members(members) => &[&members.zone],
        Item::Listing(listing) => &[&listing.zone],
        Item::UnavailableTargets(targets) => &[&targets.zone],
    };
    texts.iter().all(|text| is_valid_name(text))
}

/// Whether a name is not empty and short enough.
pub fn is_valid_name(text: &str) -> bool {
    (1..=TEXT_MAX_BYTES).contains(&text.len())
}

/// A row that a host owns.
#[derive(Clone, Debug)]
pub struct HostRow {
    pub version: u64,
    pub received_at: Time,
    pub item: Item,
}

/// All rows of one incarnation of a host.
#[derive(Clone, Debug)]
pub struct Owner {
    pub incarnation: Incarnation,
    /// All rows up to this version were received. Pushed rows may have higher versions.
    pub known_version: u64,
    pub rows: BTreeMap<Key, HostRow>,
}

impl Owner {
    /// An incarnation without rows.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, known_version: 0, rows: BTreeMap::new() }
    }

    /// Stores a row if it is newer than the stored one. At the limit, the oldest row is evicted.
    pub fn insert(&mut self, now: Time, version: u64, key: &Key, item: &Item) -> bool {
        if self.rows.get(key).is_some_and(|held| held.version >= version) {
            return false;
        }
        if !self.rows.contains_key(key) && self.rows.len() >= HOST_ROWS_MAX {
            let oldest = self.rows.iter().filter(|(key, _)| **key != Key::Host);
            if let Some(key) = oldest.min_by_key(|(_, row)| row.version).map(|(key, _)| key.clone())
            {
                self.rows.remove(&key);
            }
        }
        let item = item.clone();
        self.rows.insert(key.clone(), HostRow { version, received_at: now, item });
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
    /// Hash of the content, which orders different contents of the same version in the same way on all hosts.
    pub content_hash: u32,
    pub received_at: Time,
    pub item: Item,
}

impl FleetRow {
    /// A row with the version that its content carries, otherwise with the given one.
    pub fn new(now: Time, version: u64, item: Item) -> Self {
        let message = wire::Row { item: Some(item.clone()), ..wire::Row::default() };
        Self {
            version: content_version(&item).unwrap_or(version),
            content_hash: xxh3_64(&message.encode_to_vec()) as u32,
            received_at: now,
            item,
        }
    }

    /// Sort key of the order.
    pub fn order(&self) -> (u64, u32) {
        (self.version, self.content_hash)
    }
}

/// Version that the content carries.
pub fn content_version(item: &Item) -> Option<u64> {
    match item {
        Item::Head(head) => Some(head.revision),
        Item::Fence(fence) => Some(fence.fence),
        Item::Desired(desired) => Some(desired.version),
        Item::Listing(listing) => Some(listing.revision),
        Item::Strike(strike) => Some(strike.clears << 32 | strike.targets.len() as u64),
        Item::Host(_)
        | Item::Load(_)
        | Item::Zone(_)
        | Item::Members(_)
        | Item::UnavailableTargets(_) => None,
    }
}
