//! Exchange between zones of summaries and member lists.
//!
//! The first host in rank of a zone publishes both as fleet-wide rows; the second does so when they are overdue.

use std::collections::BTreeMap;

use crate::{
    core::{
        World,
        host::{DEAD_RETENTION, HOSTS_MAX, Row, State},
        peer::{self, Spread},
        rows::{Key, is_valid_name},
    },
    prelude::*,
    wire::{self, Item},
};

/// Interval of repeating the summary, which shows other zones that this one is reachable.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of lagging hosts named in a summary.
const LAGGING_MAX: usize = 8;

/// Summary that a zone published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    pub hosts: u32,
    pub lowest_revision: Revision,
    pub lagging: Vec<Box<str>>,
    pub received_at: Time,
}

/// Handles the summary of a zone. Suspect hosts of another zone count as live again.
pub fn receive(world: &mut World, zone: &wire::Zone) {
    let summary = Summary {
        hosts: zone.hosts,
        lowest_revision: zone.lowest_revision,
        lagging: zone.lagging.iter().take(LAGGING_MAX).map(|id| id.as_str().into()).collect(),
        received_at: world.now,
    };
    let (zone, table) = (ZoneId::from(zone.zone.as_str()), &mut world.hosts);
    if table.zones.len() < HOSTS_MAX || table.zones.contains_key(&zone) {
        for row in table.rows.values_mut().filter(|row| row.zone == zone && zone != table.zone) {
            if row.state == State::Suspect {
                row.state = State::Live;
                table.epoch += 1;
            }
        }
        table.zones.insert(zone, summary);
    }
}

/// Handles the member list of another zone. Unlisted hosts are removed; those of the settings are marked dead.
pub fn receive_members(world: &mut World, members: &wire::Members) {
    let now = world.now;
    let seeds: Vec<HostId> = world.settings.peers.iter().map(|seed| seed.host.clone()).collect();
    let table = &mut world.hosts;
    if *members.zone == *table.zone {
        return;
    }
    let is_valid =
        |member: &&wire::Member| is_valid_name(&member.host) && is_valid_name(&member.address);
    let listed: BTreeMap<&str, &wire::Member> = members
        .members
        .iter()
        .filter(is_valid)
        .map(|member| (member.host.as_str(), member))
        .collect();
    table.rows.retain(|id, row| {
        *row.zone != *members.zone || listed.contains_key(&**id) || seeds.contains(id)
    });
    for (id, row) in &mut table.rows {
        if *row.zone == *members.zone && !listed.contains_key(&**id) {
            row.state = State::Dead;
        }
    }
    for (id, member) in listed {
        if table.rows.len() >= HOSTS_MAX && !table.rows.contains_key(id) {
            break;
        }
        // For a host of this zone, the row from this zone's gossip is more recent than the list of another zone.
        let own =
            table.rows.get(id).filter(|row| row.zone == table.zone && row.state != State::Dead);
        if own.is_some() {
            continue;
        }
        let known = table.rows.get(id).filter(|row| row.incarnation == member.incarnation);
        let row = Row {
            zone: members.zone.as_str().into(),
            address: member.address.as_str().into(),
            incarnation: member.incarnation,
            heartbeat: known.map_or(0, |row| row.heartbeat),
            state: if member.leaving { State::Leaving } else { State::Live },
            revision: known.map_or(0, |row| row.revision),
            heartbeat_at: now,
        };
        table.rows.insert(id.into(), row);
    }
    table.epoch += 1;
}

/// Publishes the summary and members of this zone when they changed or are due.
pub fn publish(world: &mut World) {
    let (now, zone) = (world.now, world.hosts.zone.to_string());
    let rows = || {
        world.hosts.rows.iter().filter(|(_, row)| *row.zone == *zone && row.state != State::Dead)
    };
    let members = rows().map(|(id, row)| wire::Member {
        host: id.to_string(),
        address: row.address.to_string(),
        incarnation: row.incarnation,
        leaving: row.state == State::Leaving,
    });
    let members = Item::Members(wire::Members { zone: zone.clone(), members: members.collect() });
    let serving = || rows().filter(|(_, row)| row.state == State::Live);
    let highest = serving().map(|(_, row)| row.revision).max().unwrap_or(0);
    let lagging = serving().filter(|(_, row)| row.revision < highest).map(|(id, _)| id.to_string());
    let summary = Item::Zone(wire::Zone {
        zone: zone.clone(),
        hosts: serving().count() as u32,
        lowest_revision: serving().map(|(_, row)| row.revision).min().unwrap_or(0),
        lagging: lagging.take(LAGGING_MAX).collect(),
    });
    let first = world.hosts.ranks_first("config");
    for (item, repeat) in [(summary, SUMMARY_INTERVAL), (members, DEAD_RETENTION)] {
        let held = world.peers.fleet_rows.get(&Key::of(&item));
        let age = held.map(|held| now.saturating_sub(held.received_at));
        let differs = held.is_none_or(|held| held.item != item);
        // The second watcher publishes only when the rows are overdue, so that the two do not overwrite each other.
        let due = match age {
            None => true,
            Some(age) if first => differs || age >= repeat,
            Some(age) => age >= 2 * SUMMARY_INTERVAL && (differs || age >= 2 * repeat),
        };
        if due {
            if let Item::Zone(zone) = &item {
                receive(world, &zone.clone());
            }
            peer::publish(world, item, Spread::Gossip);
        }
    }
}
