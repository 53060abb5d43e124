//! Permission to load new weights on the last serving engine of a zone.
//!
//! An engine does not serve while it loads, and a zone only sees the loads of its own engines. If every zone had one
//! live engine, all of them could load at once and no engine would serve the model. A zone therefore holds a lease per
//! model for such a load. During an outage of the key-value store, zones take fixed time slots instead.

use crate::{
    core::{World, store},
    prelude::*,
};

/// Start of a time slot, in which a load may begin. Zones count slots from when they received the version, and gossip
/// delivers it to all of them within this time.
const SLOT_START: Duration = Duration::from_secs(5);

/// Index of a zone among the zones with engines of a model, and the count of these zones.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    pub index: usize,
    pub zones: usize,
}

/// Name of the lease for loading the last engine of a zone.
pub fn lease(model: &str) -> Box<str> {
    format!("last-engine/{model}").into()
}

/// Whether the last engine of this zone may load now. Starts to acquire the lease if needed; during an outage, the time
/// slots decide.
pub fn permitted(
    world: &mut World,
    model: &ModelId,
    position: Position,
    desired: Version,
    load: Duration,
) -> bool {
    let now = world.now;
    let orders = &mut world.rollouts.orders;
    let since = orders.desired_since.entry(model.clone()).or_insert((desired, now));
    if since.0 != desired {
        *since = (desired, now);
    }
    let waited = now.saturating_sub(since.1);
    if position.zones < 2 {
        return true;
    }
    if orders.last_engine_leases.insert(model.clone()) {
        store::acquire(world, &lease(model));
    }
    if world.store.held(&lease(model), now).is_some() {
        return true;
    }
    let slot = load + SLOT_START * 2;
    let number = waited.as_millis() / slot.as_millis();
    let outage = world.rollouts.outage(now);
    outage
        && number % position.zones as u128 == position.index as u128
        && waited < slot * (number as u32) + SLOT_START
}

/// Releases the lease once no load needs it.
pub fn release(world: &mut World, model: &ModelId) {
    if world.rollouts.orders.last_engine_leases.remove(model) {
        store::release(world, &lease(model));
    }
}
