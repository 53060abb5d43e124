//! Turns of zones: who may load the last engine that serves in its zone.
//!
//! A zone sees only its own engines' loads. If each zone has one live engine, all of them could load at once and the model
//! would not be served anywhere. So a zone takes a lease for such a load, one for each model.

use crate::{
    core::{World, store},
    prelude::*,
};

/// Part of a turn in which a load may begin during an outage. Zones count turns from when they heard of the version,
/// which gossip brings to all of them within this time.
const TURN_START: Duration = Duration::from_secs(5);

/// A zone's place among the zones with engines of a model.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub place: usize,
    pub zones: usize,
}

/// Name of the lease for loading a last engine.
pub fn lease(model: &str) -> Box<str> {
    format!("last-engine/{model}").into()
}

/// Whether the last engine of this zone may be loaded now. Asks for the lease if it is not held; during an outage zones
/// take turns by time instead.
pub fn permitted(
    world: &mut World,
    model: &ModelId,
    place: Place,
    wanted: Version,
    load: Duration,
) -> bool {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let since = orders.wanted_since.entry(model.clone()).or_insert((wanted, now));
    if since.0 != wanted {
        *since = (wanted, now);
    }
    let waited = now.saturating_sub(since.1);
    if place.zones < 2 {
        return true;
    }
    if orders.last_engine_leases.insert(model.clone()) {
        store::acquire(world, &lease(model));
    }
    if world.store.held(&lease(model), now).is_some() {
        return true;
    }
    let turn = load + TURN_START * 2;
    let number = waited.as_millis() / turn.as_millis();
    let outage = world.rollouts.outage(now);
    outage
        && number % place.zones as u128 == place.place as u128
        && waited < turn * (number as u32) + TURN_START
}

/// Gives the lease back once no load needs it.
pub fn done(world: &mut World, model: &ModelId) {
    if world.rollouts.orders.last_engine_leases.remove(model) {
        store::release(world, &lease(model));
    }
}
