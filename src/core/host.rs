//! Membership: the hosts that run this program, failure detection, and roles by rank.

use std::collections::BTreeMap;

use crate::{
    core::{Settings, World},
    prelude::*,
};

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
}

impl Table {
    /// A table that holds this host only.
    pub fn new(settings: &Settings, now: Time) -> Self {
        let row = Row {
            zone: settings.zone.clone(),
            address: settings.peer_address.clone(),
            incarnation: settings.incarnation,
            beat: 0,
            state: State::Live,
            revision: 0,
            heard: now,
        };
        Self {
            me: settings.host.clone(),
            zone: settings.zone.clone(),
            rows: BTreeMap::from([(settings.host.clone(), row)]),
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

    /// Live hosts of a zone by rendezvous hash for a purpose, the first in rank first.
    pub fn rank(&self, purpose: &str, zone: &str) -> Vec<HostId> {
        let hash = |id: &str| {
            xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), xxhash_rust::xxh3::xxh3_64(purpose.as_bytes()))
        };
        let mut ids: Vec<HostId> = self.alive_in(zone).into_iter().cloned().collect();
        ids.sort_by_key(|id| std::cmp::Reverse(hash(id)));
        ids
    }

    /// Whether this host is the first in rank for a purpose in its own zone.
    pub fn first(&self, purpose: &str) -> bool {
        self.rank(purpose, &self.zone).first() == Some(&self.me)
    }
}

/// Failure detection.
pub fn run(world: &mut World) {
    let _ = world;
}
