//! Guards against removing targets whose registration merely expired during an outage, and against keeping removed
//! ones.

mod common;

use common::{engine, ms};
use lagoonyard_node::fleet::Fleet;

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
