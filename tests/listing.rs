//! Host lists: no target is removed or brought back because a list is late, wrong or incomplete.

mod common;

use std::time::Duration;

use common::Fleet;
use lagoonyard::{
    core::{Event, config::Admin, listing::Entry, target::State},
    ids::TargetId,
};

const SECOND: Duration = Duration::from_secs(1);

fn entry(zone: &str, index: usize) -> Entry {
    Entry {
        target: format!("{zone}-w{index}").into(),
        zone: zone.into(),
        address: format!("10.0.0.{index}:80").into(),
        pool: "blurb-engines".into(),
        leaving: false,
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&["a", "b"], 4);
    for zone in ["a", "b"] {
        fleet.listings.insert(zone.into(), Some((0..20).map(|index| entry(zone, index)).collect()));
    }
    fleet.run(16 * SECOND);
    fleet
}

fn list<'a>(fleet: &'a mut Fleet, zone: &str) -> &'a mut Vec<Entry> {
    fleet.listings.get_mut(zone).unwrap().as_mut().unwrap()
}

fn on_all_hosts(fleet: &Fleet, check: impl Fn(Option<State>) -> bool, target: &str) -> bool {
    let id = TargetId::from(target);
    fleet.cores.values().all(|core| check(core.world().targets.rows.get(&id).map(|row| row.state)))
}

#[test]
fn every_host_lists_the_targets_of_all_zones() {
    let fleet = fleet();
    for core in fleet.cores.values() {
        assert_eq!(core.world().targets.rows.len(), 40);
    }
}

#[test]
fn a_target_is_removed_only_after_two_reads_without_it() {
    let mut fleet = fleet();
    let removed = list(&mut fleet, "a").remove(3);
    fleet.run(2 * SECOND);
    list(&mut fleet, "a").push(removed);
    fleet.run(12 * SECOND);
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "a-w3"));
    list(&mut fleet, "a").retain(|entry| &*entry.target != "a-w3");
    fleet.run(12 * SECOND);
    assert!(on_all_hosts(&fleet, |state| state.is_none(), "a-w3"));
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "b-w3"));
}

#[test]
fn a_list_that_lost_many_entries_removes_none_but_adds_and_marks() {
    let mut fleet = fleet();
    let old = list(&mut fleet, "a").clone();
    let mut short: Vec<Entry> = old[..10].to_vec();
    short[0].leaving = true;
    short.push(entry("a", 77));
    *list(&mut fleet, "a") = short;
    fleet.run(20 * SECOND);
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "a-w15"));
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "a-w77"));
    assert!(on_all_hosts(&fleet, |state| state == Some(State::Leaving), "a-w0"));
    assert!(
        fleet
            .logs
            .iter()
            .any(|line| line.contains("host list has 10 of 20 entries, nothing is removed"))
    );
    // Absences from the short list do not count once the list lacks only one entry.
    let mut back = old;
    back.pop();
    *list(&mut fleet, "a") = back;
    fleet.run(SECOND * 2);
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "a-w19"));
}

/// Whether a target is not leaving. Polls are not answered here, so its health is unknown or it is quarantined.
fn is_not_leaving(state: Option<State>) -> bool {
    matches!(state, Some(State::Unknown | State::Quarantined))
}

/// The list only clears marks that it has set. `tests/target.rs` checks that a leaving target stays leaving when it has
/// reported that itself.
#[test]
fn a_list_clears_its_own_mark_and_a_new_address_is_a_new_target() {
    let mut fleet = fleet();
    list(&mut fleet, "a")[5].leaving = true;
    fleet.run(8 * SECOND);
    assert!(on_all_hosts(&fleet, |state| state == Some(State::Leaving), "a-w5"));
    list(&mut fleet, "a")[5].leaving = false;
    fleet.run(12 * SECOND);
    assert!(on_all_hosts(&fleet, is_not_leaving, "a-w5"));
    // Another process under the same name is a new target.
    list(&mut fleet, "a")[5].address = "10.0.0.99:80".into();
    fleet.run(12 * SECOND);
    assert!(on_all_hosts(&fleet, is_not_leaving, "a-w5"));
}

#[test]
fn invalid_entries_are_ignored() {
    let mut fleet = fleet();
    let invalid = [
        ("", "x:1", "a"),
        ("bad\tname", "x:1", "a"),
        ("no-address", "", "a"),
        ("other-zone", "x:1", "b"),
    ];
    for (target, address, zone) in invalid {
        let entry = Entry { target: target.into(), address: address.into(), ..entry(zone, 1) };
        list(&mut fleet, "a").push(entry);
    }
    fleet.run(8 * SECOND);
    assert!(fleet.cores.values().all(|core| core.world().targets.rows.len() == 40));
    assert!(fleet.logs.iter().any(|line| line.contains("ignored 4 of 24 entries")));
}

#[test]
fn an_unreadable_list_or_a_lost_watcher_removes_no_target() {
    let mut fleet = fleet();
    let old = fleet.listings.insert("a".into(), None).unwrap();
    fleet.run(20 * SECOND);
    assert!(fleet.cores.values().all(|core| core.world().targets.rows.len() == 40));
    fleet.listings.insert("a".into(), old);
    let watchers = fleet.cores["a-0"].world().hosts.rank("config", "a");
    fleet.cores.remove(&watchers[0]);
    fleet.input(&watchers[1], Event::Admin(Admin::Drain { ticket: None }));
    fleet.run(13 * SECOND);
    list(&mut fleet, "a").push(entry("a", 50));
    fleet.run(12 * SECOND);
    assert!(on_all_hosts(&fleet, |state| state.is_some(), "a-w50"));
}

/// Guards against two watchers that overwrite each other's changes again and again while one reads an older list.
#[test]
fn two_watchers_publish_an_unchanged_list_once() {
    let mut fleet = fleet();
    let revision = |fleet: &Fleet| fleet.cores["b-0"].world().listing.lists["a"].revision;
    list(&mut fleet, "a").push(entry("a", 60));
    fleet.run(10 * SECOND);
    let before = revision(&fleet);
    fleet.run(60 * SECOND);
    assert_eq!(revision(&fleet), before, "a list that does not change is not published again");
}
