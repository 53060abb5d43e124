//! Guards against targets that are dropped for a lapse during an outage, and against ones that stay after they are gone.

mod common;

use common::{engine, ms};
use lagoonyard_node::fleet::Fleet;

#[test]
fn a_removed_target_is_gone_at_once() {
    let mut fleet = Fleet::default();
    fleet.put(engine("a", 1));
    assert!(fleet.remove("a", ms(10_000)));
    assert_eq!(fleet.ids().count(), 0);
}

#[test]
fn a_lapse_after_an_outage_waits_for_the_target_to_come_back() {
    let mut fleet = Fleet::default();
    fleet.put(engine("a", 1));
    fleet.put(engine("b", 1));
    fleet.store_returned(ms(1_000));
    assert!(!fleet.remove("a", ms(1_100)));
    assert!(!fleet.remove("b", ms(1_100)));
    fleet.put(engine("a", 1));
    assert!(fleet.expire(ms(2_000)).is_empty());
    assert_eq!(fleet.expire(ms(4_000)), ["b".into()]);
    assert_eq!(fleet.ids().map(|id| &**id).collect::<Vec<_>>(), ["a"]);
}
