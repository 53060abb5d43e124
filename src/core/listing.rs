//! The platform's host list, zone by zone.

use crate::{core::World, prelude::*};

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
pub struct Read {
    pub zone: ZoneId,
    pub entries: Option<Vec<Entry>>,
}

/// Lists by zone.
#[derive(Debug, Default)]
pub struct Table {}

/// Takes a reading.
pub fn input(world: &mut World, read: Read) {
    let _ = (world, read);
}

/// Reads the list when it is this host's turn.
pub fn run(world: &mut World) {
    let _ = world;
}
