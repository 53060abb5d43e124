//! Guards against removing targets whose registration merely expired during an outage, and against keeping removed
//! ones.

mod common;

use common::{engine, ms};
use lagoonyard_node::fleet::{Departure, Fleet, Target};

#[test]
fn a_deregistered_target_is_removed_at_once() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    assert!(fleet.deregister("a", ms(10_000)));
    assert_eq!(fleet.ids().count(), 0);
}

#[test]
fn a_removal_after_an_outage_is_held_back_for_a_grace_period() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    fleet.register(engine("b", 1));
    fleet.store_recovered(ms(1_000));
    assert!(!fleet.deregister("a", ms(1_100)));
    assert!(!fleet.deregister("b", ms(1_100)));
    fleet.register(engine("a", 1));
    assert!(fleet.expire(ms(2_000)).is_empty());
    assert_eq!(fleet.expire(ms(4_000)), ["b".into()]);
    assert_eq!(fleet.ids().map(|id| &**id).collect::<Vec<_>>(), ["a"]);
}

fn departure(started_ms: u64) -> Departure {
    Departure { target: "a".into(), started_ms }
}

fn is_draining(fleet: &Fleet) -> bool {
    fleet.targets()["a"].draining
}

#[test]
fn a_target_that_has_said_it_leaves_is_draining() {
    let mut fleet = Fleet::default();
    let started_ms = fleet.register(engine("a", 1)).started_ms;
    assert!(fleet.depart(&departure(started_ms)));
    assert!(is_draining(&fleet));
    assert!(!fleet.depart(&departure(started_ms)));
}

/// Guards against a registration from before the answer, or one that came back after an outage, that undoes it.
#[test]
fn a_departure_outlasts_registrations_of_the_same_instance() {
    let mut fleet = Fleet::default();
    let started_ms = fleet.register(engine("a", 1)).started_ms;
    fleet.depart(&departure(started_ms));
    fleet.register(engine("a", 1));
    assert!(is_draining(&fleet));
    fleet.deregister("a", ms(10_000));
    fleet.register(engine("a", 1));
    assert!(is_draining(&fleet));
}

#[test]
fn another_instance_is_not_draining() {
    let mut fleet = Fleet::default();
    let started_ms = fleet.register(engine("a", 1)).started_ms;
    fleet.depart(&departure(started_ms));
    let next = Target { started_ms: started_ms + 1, ..engine("a", 1) };
    fleet.register(next);
    assert!(!is_draining(&fleet));
    // A late answer of the instance before.
    assert!(!fleet.depart(&departure(started_ms)));
    assert!(!is_draining(&fleet));
}

/// Guards against a target that registers only after another host has told of its departure.
#[test]
fn a_departure_is_known_before_its_registration() {
    let mut fleet = Fleet::default();
    let started_ms = engine("a", 1).started_ms;
    fleet.depart(&departure(started_ms));
    fleet.register(engine("a", 1));
    assert!(is_draining(&fleet));
}
