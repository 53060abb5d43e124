//! Guards against hosts that carry more streams than their size allows, and against engines that change their host for
//! no gain.

use std::{collections::BTreeMap, net::SocketAddr};

use lagoonyard_node::job::homes::{Homes, Runner, Streams};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn runner(number: u16, zone: &str, cpu_share: f64) -> Runner {
    Runner { address: address(number), zone: zone.into(), cpu_share, leads: false }
}

fn engines(count: usize, zone: &str) -> Vec<Streams> {
    let engine =
        |at| Streams { engine: format!("{zone}{at:02}").into(), zone: zone.into(), slots: 6 };
    (0..count).map(engine).collect()
}

fn counts(homes: &Homes, engines: &[Streams]) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    for engine in engines {
        *counts.entry(homes.of(&engine.engine).unwrap()).or_default() += 1;
    }
    counts
}

#[test]
fn hosts_get_engines_in_proportion_to_their_size() {
    let engines = engines(20, "a");
    let mut homes = Homes::default();
    homes.update(&engines, &[runner(1, "a", 0.4), runner(2, "a", 0.1)]);
    assert_eq!(counts(&homes, &engines), BTreeMap::from([(address(1), 16), (address(2), 4)]));
}

#[test]
fn hosts_in_the_engines_zone_come_first() {
    let (mut all, hosts) = (engines(4, "a"), [runner(1, "a", 0.2), runner(2, "b", 0.2)]);
    all.extend(engines(4, "b"));
    let mut homes = Homes::default();
    homes.update(&all, &hosts);
    for engine in &all {
        let expected = address(if &*engine.zone == "a" { 1 } else { 2 });
        assert_eq!(homes.of(&engine.engine), Some(expected));
    }
}

#[test]
fn the_leader_gets_fewer_engines() {
    let engines = engines(8, "a");
    let mut homes = Homes::default();
    let leader = Runner { leads: true, ..runner(1, "a", 0.2) };
    homes.update(&engines, &[leader, runner(2, "a", 0.2)]);
    assert_eq!(counts(&homes, &engines), BTreeMap::from([(address(1), 3), (address(2), 5)]));
}

#[test]
fn the_engines_of_a_lost_host_go_to_the_others_and_the_rest_stay() {
    let engines = engines(9, "a");
    let hosts = [runner(1, "a", 0.2), runner(2, "a", 0.2), runner(3, "a", 0.2)];
    let mut homes = Homes::default();
    homes.update(&engines, &hosts);
    let before: Vec<_> = engines.iter().map(|engine| homes.of(&engine.engine)).collect();
    homes.update(&engines, &hosts[..2]);
    for (engine, host) in engines.iter().zip(before) {
        let now = homes.of(&engine.engine);
        assert_ne!(now, Some(address(3)));
        assert!(host == Some(address(3)) || now == host, "{engine:?} has moved");
    }
}

#[test]
fn engines_move_to_a_host_that_was_added() {
    let engines = engines(8, "a");
    let mut homes = Homes::default();
    homes.update(&engines, &[runner(1, "a", 0.2)]);
    homes.update(&engines, &[runner(1, "a", 0.2), runner(2, "a", 0.2)]);
    let counts = counts(&homes, &engines);
    assert!(counts.get(&address(2)).is_some_and(|count| *count >= 2), "{counts:?}");
}

/// Guards against a leader that keeps all engines because it was the first host that was known.
#[test]
fn an_engine_leaves_the_leader_for_a_host_that_was_added() {
    let engines = engines(1, "a");
    let leader = Runner { leads: true, ..runner(1, "a", 0.2) };
    let mut homes = Homes::default();
    homes.update(&engines, std::slice::from_ref(&leader));
    homes.update(&engines, &[leader, runner(2, "a", 0.2)]);
    assert_eq!(homes.of(&engines[0].engine), Some(address(2)));
}
