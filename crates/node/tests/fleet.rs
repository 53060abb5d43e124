//! Guards against removing targets whose registration merely expired during an outage, and against keeping removed
//! ones.

mod common;

use common::{engine, ms};
use lagoonyard_node::{
    contact::Outage,
    fleet::{Departure, Fleet, Target},
};

#[test]
fn a_deregistered_target_is_removed_at_once() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    assert!(fleet.deregister("a", ms(10_000)));
    assert_eq!(fleet.ids().count(), 0);
}

/// Outage that ended one second after the host's boot.
const OUTAGE: Outage = Outage { began_at: ms(0), lost_at: ms(900), ended_at: ms(1_000) };

fn ids(fleet: &Fleet) -> Vec<&str> {
    fleet.ids().map(|id| &**id).collect()
}

#[test]
fn a_removal_after_an_outage_is_held_back_for_a_grace_period() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    fleet.register(engine("b", 1));
    assert!(fleet.store_recovered(&OUTAGE));
    assert!(!fleet.deregister("a", ms(1_100)));
    assert!(!fleet.deregister("b", ms(1_100)));
    fleet.register(engine("a", 1));
    assert!(fleet.expire(ms(2_000)).is_empty());
    assert_eq!(fleet.expire(ms(4_000)), ["b".into()]);
    assert_eq!(ids(&fleet), ["a"]);
}

/// Guards against a target that left after an outage and gets requests for the whole grace period.
#[test]
fn a_removal_after_the_first_answer_is_not_held_back() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    fleet.register(engine("b", 1));
    fleet.store_recovered(&OUTAGE);
    // An answer that was on its way before the outage was over.
    fleet.refreshed(ms(950));
    assert!(!fleet.deregister("a", ms(1_100)));
    fleet.refreshed(ms(1_050));
    assert!(fleet.deregister("b", ms(1_300)));
    assert_eq!(ids(&fleet), ["a"]);
}

/// Guards against a grace period that is extended by the other mirrors of a host, which hear of the same outage later.
#[test]
fn an_outage_is_news_once() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    fleet.register(engine("b", 1));
    assert!(fleet.store_recovered(&OUTAGE));
    assert!(!fleet.deregister("a", ms(1_100)));
    assert!(!fleet.store_recovered(&OUTAGE));
    fleet.refreshed(ms(1_200));
    assert!(!fleet.store_recovered(&OUTAGE));
    assert!(fleet.deregister("b", ms(1_300)));
    let next = Outage { ended_at: ms(2_000), ..OUTAGE };
    assert!(fleet.store_recovered(&next));
    fleet.deregister("a", ms(2_100));
    assert_eq!(fleet.expire(ms(3_200)), ["a".into()], "it is missing since the first");
}

/// Guards against a removed target that is kept although the store answered other hosts in the outage.
#[test]
fn an_outage_that_other_hosts_did_not_see_is_refuted() {
    let mut fleet = Fleet::default();
    fleet.register(engine("a", 1));
    fleet.register(engine("b", 1));
    fleet.store_recovered(&OUTAGE);
    fleet.deregister("a", ms(1_100));
    assert_eq!(fleet.refute(&OUTAGE), ["a".into()]);
    assert!(fleet.deregister("b", ms(1_200)));
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
