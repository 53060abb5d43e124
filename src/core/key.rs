//! Idempotency keys that this process issued.

use crate::{core::World, prelude::*};

/// A caller asks for keys.
#[derive(Clone, Debug)]
pub struct Ask {
    pub ticket: Ticket,
    pub count: u32,
}

/// Keys of this process.
#[derive(Debug, Default)]
pub struct Table {}

/// Issues keys.
pub fn input(world: &mut World, ask: Ask) {
    let _ = (world, ask);
}

/// Drops expired keys.
pub fn run(world: &mut World) {
    let _ = world;
}
