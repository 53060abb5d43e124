//! Targets of a zone that leave or do not answer, as its hosts tell other zones.
//!
//! Load rows stay in their zone. What other zones need is only which targets get no work, so that they neither ask those
//! nor count them as places for a request.

use std::collections::BTreeSet;

use crate::{
    core::{
        World, health,
        peer::{self, Spread},
        rows::{Key, named},
        target::{self, State},
    },
    prelude::*,
    wire::{self, Item},
};

/// Targets named for a zone; a zone that lost more is as good as gone. The row then takes about 5 KB, once per host and
/// change.
const AWAY_MAX: usize = 256;

/// Publishes the targets of this zone that get no work, after a change.
pub fn publish(world: &mut World) {
    let zone = world.hosts.zone.clone();
    let rows = world.targets.rows.iter().filter(|(_, row)| row.zone == zone);
    let (mut leaving, mut quarantined) = (Vec::new(), Vec::new());
    for (id, row) in rows {
        let said = world.targets.reported_leaving(id);
        match row.state {
            // Other zones learn from the list themselves what the list says.
            State::Leaving if said => leaving.push(id.to_string()),
            State::Quarantined => quarantined.push(id.to_string()),
            _ => {}
        }
    }
    leaving.truncate(AWAY_MAX);
    quarantined.truncate(AWAY_MAX - leaving.len());
    let away = wire::Away { zone: zone.to_string(), leaving, quarantined };
    let same = match world.peers.fleet_rows.get(&Key::Away(zone)).map(|held| &held.item) {
        Some(Item::Away(held)) => *held == away,
        _ => away.leaving.is_empty() && away.quarantined.is_empty(),
    };
    if !same {
        peer::publish(world, Item::Away(away), Spread::PushFleet);
    }
}

/// Takes what another zone says of its targets. One that is no longer named is unknown, so it is asked before it is used.
pub fn receive(world: &mut World, away: &wire::Away) {
    if *away.zone == *world.hosts.zone {
        return;
    }
    let ids = |names: &[String]| -> BTreeSet<TargetId> {
        let names = names.iter().take(AWAY_MAX).filter(|name| named(name));
        names.map(|name| name.as_str().into()).collect()
    };
    let (leaving, quarantined) = (ids(&away.leaving), ids(&away.quarantined));
    let rows = world.targets.rows.iter().filter(|(_, row)| *row.zone == *away.zone);
    let states: Vec<(TargetId, State)> = rows.map(|(id, row)| (id.clone(), row.state)).collect();
    for (id, state) in states {
        let was = world
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
        } else if was {
            target::clear_leaving(world, &id);
        }
    }
}
