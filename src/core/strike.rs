//! Contents that crashed targets.

use crate::{core::World, prelude::*};

/// Strikes by content.
#[derive(Debug, Default)]
pub struct Table {}

/// Takes a strike that a peer reported.
pub fn heard(world: &mut World, content: ContentHash, target: TargetId) {
    let _ = (world, content, target);
}

/// Forgets old strikes.
pub fn run(world: &mut World) {
    let _ = world;
}
