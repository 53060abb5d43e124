//! Guards against hosts that are wrongly considered live or dead, and against restarted hosts that stay excluded.

mod common;

use std::time::Duration;

use common::{Fleet, id};
use lagoonyard::{
    core::{Event, config::Admin, host::State, status},
    ids::HostId,
};

const SECOND: Duration = Duration::from_secs(1);

fn state(fleet: &Fleet, at: &str, of: &str) -> Option<State> {
    fleet.cores[at].world().hosts.rows.get(of).map(|row| row.state)
}

fn all_see(fleet: &Fleet, of: &str, wanted: State) -> bool {
    fleet.cores.keys().filter(|at| ***at != *of).all(|at| state(fleet, at, of) == Some(wanted))
}

#[test]
fn hosts_discover_each_other_from_two_seeds() {
    let mut fleet = Fleet::new(&["a", "b"], 8);
    fleet.run(8 * SECOND);
    for core in fleet.cores.values() {
        assert_eq!(core.world().hosts.live_hosts("a").len(), 8);
        assert_eq!(core.world().hosts.live_hosts("b").len(), 8);
    }
    let rank = |at: &str| -> Vec<HostId> { fleet.cores[at].world().hosts.rank("stream/x", "a") };
    assert_eq!(rank("a-0"), rank("b-7"));
}

#[test]
fn a_silent_host_is_suspect_then_dead_and_no_other_is() {
    let mut fleet = Fleet::new(&["a"], 12);
    fleet.run(10 * SECOND);
    fleet.frozen.insert(id("a", 3));
    fleet.run(8 * SECOND);
    assert!(fleet.cores.keys().any(|at| state(&fleet, at, "a-3") == Some(State::Suspect)));
    fleet.run(9 * SECOND);
    let live: Vec<_> = fleet.cores.keys().filter(|at| &***at != "a-3").collect();
    for at in &live {
        assert_eq!(state(&fleet, at, "a-3"), Some(State::Dead));
        assert_eq!(fleet.cores[*at].world().hosts.live_hosts("a").len(), 11, "{at}");
    }
}

#[test]
fn no_host_is_suspected_in_a_quiet_zone() {
    let mut fleet = Fleet::new(&["a"], 24);
    fleet.run(10 * SECOND);
    for _ in 0..60 {
        fleet.run(SECOND);
        for core in fleet.cores.values() {
            assert_eq!(core.world().hosts.live_hosts("a").len(), 24);
        }
    }
}

#[test]
fn a_paused_host_recovers_and_does_not_consider_the_others_dead() {
    let mut fleet = Fleet::new(&["a"], 6);
    fleet.run(8 * SECOND);
    fleet.frozen.insert(id("a", 2));
    fleet.run(30 * SECOND);
    assert!(all_see(&fleet, "a-2", State::Dead));
    fleet.frozen.clear();
    // It ticks before it has received any message.
    let now = fleet.now;
    fleet.cores.get_mut("a-2").unwrap().tick(now);
    assert_eq!(fleet.cores["a-2"].world().hosts.live_hosts("a").len(), 6);
    fleet.run(6 * SECOND);
    assert!(all_see(&fleet, "a-2", State::Live));
}

#[test]
fn a_restarted_host_replaces_its_old_incarnation() {
    let mut fleet = Fleet::new(&["a", "b"], 4);
    fleet.run(30 * SECOND);
    let old = fleet.cores["a-1"].world().hosts.rows["a-3"].incarnation;
    // Its heartbeat counter restarts at one, far below that of the old incarnation.
    fleet.start("a", 3, 2);
    let new = fleet.cores["a-3"].world().settings.incarnation;
    fleet.run(6 * SECOND);
    assert_ne!(old, new);
    for at in fleet.cores.keys() {
        let row = &fleet.cores[at].world().hosts.rows["a-3"];
        assert_eq!((row.incarnation, row.state), (new, State::Live), "{at}");
    }
}

#[test]
fn a_leaving_host_loses_its_roles_at_once() {
    let mut fleet = Fleet::new(&["a"], 5);
    fleet.run(8 * SECOND);
    let first = fleet.cores["a-0"].world().hosts.rank("config", "a")[0].clone();
    fleet.input(&first, Event::Admin(Admin::Drain { ticket: None }));
    fleet.run(Duration::from_millis(100));
    assert!(all_see(&fleet, &first, State::Leaving));
    assert!(fleet.exits.contains(&first));
    fleet.run(5 * SECOND);
    assert!(all_see(&fleet, &first, State::Leaving), "heartbeats must not revive a leaving host");
}

#[test]
fn two_halves_of_a_partitioned_zone_merge_again() {
    let mut fleet = Fleet::new(&["a"], 6);
    fleet.run(8 * SECOND);
    for x in 0..3 {
        for y in 3..6 {
            fleet.cut_links.insert((id("a", x), id("a", y)));
            fleet.cut_links.insert((id("a", y), id("a", x)));
        }
    }
    fleet.run(60 * SECOND);
    assert_eq!(fleet.cores["a-0"].world().hosts.live_hosts("a").len(), 3);
    fleet.cut_links.clear();
    fleet.run(20 * SECOND);
    for core in fleet.cores.values() {
        assert_eq!(core.world().hosts.live_hosts("a").len(), 6);
    }
}

#[test]
fn a_removed_host_is_forgotten_and_not_learned_again_by_gossip() {
    let mut fleet = Fleet::new(&["a"], 8);
    fleet.run(8 * SECOND);
    fleet.cores.remove("a-7");
    // The pause makes one host forget the row later than the others, to which it must not spread again.
    fleet.frozen.insert(id("a", 5));
    fleet.run(8 * SECOND);
    fleet.frozen.clear();
    fleet.run(3590 * SECOND);
    for at in fleet.cores.keys() {
        assert_eq!(state(&fleet, at, "a-7"), Some(State::Dead));
    }
    fleet.run(60 * SECOND);
    for at in fleet.cores.keys() {
        assert_eq!(state(&fleet, at, "a-7"), None);
    }
}

/// Guards against a status page that names only a part of the hosts that lag in the own zone.
#[test]
fn a_status_names_all_lagging_hosts_of_the_own_zone() {
    let mut fleet = Fleet::new(&["a"], 12);
    fleet.run(8 * SECOND);
    let world = fleet.cores.get_mut("a-0").unwrap().world_mut();
    world.config.revision += 1;
    let status = status::status(world);
    let hosts = status["hosts"].as_array().unwrap();
    let behind =
        hosts.iter().filter(|host| host["revision"].as_u64() < status["revision"].as_u64());
    let behind: Vec<_> = behind.map(|host| host["host"].clone()).collect();
    assert!(behind.len() >= 11, "{behind:?}");
    assert_eq!(status["zones"]["a"]["lagging"], serde_json::json!(behind));
}
