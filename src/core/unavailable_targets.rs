//! Targets of a zone that get no work, because they are leaving or unreachable.
//!
//! Load rows stay in their zone. Other zones only need the unavailable targets, so that they neither poll these nor
//! consider them for requests.

use std::collections::BTreeSet;

use crate::{
    core::{
        World, health,
        peer::{self, Spread},
        rows::{Key, is_valid_name},
        target::{self, State},
    },
    prelude::*,
    wire::{self, Item},
};

/// Maximum number of listed targets of a zone; a zone that lost more is practically down. The row then has about 5 KB
/// and is sent once per host and change.
const LISTED_MAX: usize = 256;

/// Publishes the unavailable targets of this zone when they changed.
pub fn publish(world: &mut World) {
    let zone = world.hosts.zone.clone();
    let rows = world.targets.rows.iter().filter(|(_, row)| row.zone == zone);
    let (mut leaving, mut quarantined) = (Vec::new(), Vec::new());
    for (id, row) in rows {
        let reported = world.targets.reported_leaving(id);
        match row.state {
            // Other zones read the rest from the published host list.
            State::Leaving if reported => leaving.push(id.to_string()),
            State::Quarantined => quarantined.push(id.to_string()),
            _ => {}
        }
    }
    leaving.truncate(LISTED_MAX);
    quarantined.truncate(LISTED_MAX - leaving.len());
    let list = wire::UnavailableTargets { zone: zone.to_string(), leaving, quarantined };
    let unchanged =
        match world.peers.fleet_rows.get(&Key::UnavailableTargets(zone)).map(|held| &held.item) {
            Some(Item::UnavailableTargets(held)) => *held == list,
            _ => list.leaving.is_empty() && list.quarantined.is_empty(),
        };
    if !unchanged {
        peer::publish(world, Item::UnavailableTargets(list), Spread::PushFleet);
    }
}

/// Applies the unavailable targets of another zone. A target that is no longer listed has unknown state, so it is
/// polled before use.
pub fn receive(world: &mut World, list: &wire::UnavailableTargets) {
    if *list.zone == *world.hosts.zone {
        return;
    }
    let ids = |names: &[String]| -> BTreeSet<TargetId> {
        let names = names.iter().take(LISTED_MAX).filter(|name| is_valid_name(name));
        names.map(|name| name.as_str().into()).collect()
    };
    let (leaving, quarantined) = (ids(&list.leaving), ids(&list.quarantined));
    let rows = world.targets.rows.iter().filter(|(_, row)| *row.zone == *list.zone);
    let states: Vec<(TargetId, State)> = rows.map(|(id, row)| (id.clone(), row.state)).collect();
    for (id, state) in states {
        let was_unavailable = world
            .targets
            .set_zone_unavailable(&id, leaving.contains(&id) || quarantined.contains(&id));
        if leaving.contains(&id) {
            if state != State::Leaving {
                target::record_leaving(world, &id);
            }
        } else if quarantined.contains(&id) {
            if matches!(state, State::Unknown | State::Live) {
                health::quarantine(world, &id, health::PROBE_MAX);
            }
        } else if was_unavailable {
            target::clear_leaving(world, &id);
        }
    }
}
