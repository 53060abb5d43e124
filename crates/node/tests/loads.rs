//! Pauses between orders to load a version under which engines end.

use std::time::Duration;

use lagoonyard_node::loads::Ends;

const FREE: usize = 4;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Ends of `count` engines under version 2, a second apart from second 1 on.
fn ends(count: u64) -> Ends {
    let mut ends = Ends::default();
    (1..=count).for_each(|at| ends.ended(&"m".into(), 2, secs(at)));
    ends
}

/// Guards against loads that are slowed down since one or two engines ended.
#[test]
fn two_ends_limit_nothing() {
    assert_eq!(ends(2).limit(("m", 2), (2, FREE), secs(2)), FREE);
}

/// Guards against several engines that are ordered at once to load a version under which three have ended.
#[test]
fn after_three_ends_one_engine_loads_at_a_time() {
    let ends = ends(3);
    assert_eq!(ends.limit(("m", 2), (0, FREE), secs(8)), 0, "pause");
    assert_eq!(ends.limit(("m", 2), (0, FREE), secs(9)), 1);
    assert_eq!(ends.limit(("m", 2), (1, FREE), secs(9)), 0, "another loads");
    assert_eq!(ends.limit(("m", 2), (0, 0), secs(9)), 0, "no engine may load");
}

/// Guards against pauses that do not grow, or grow without bound.
#[test]
fn pauses_double_up_to_a_minute() {
    for (count, pause) in [(3, 6), (4, 12), (5, 24), (6, 48), (7, 60), (100, 60)] {
        let ends = ends(count);
        let limit = |at| ends.limit(("m", 2), (0, FREE), at);
        assert_eq!(limit(secs(count + pause) - Duration::from_millis(1)), 0, "{count} ends");
        assert_eq!(limit(secs(count + pause)), 1, "{count} ends");
    }
}

/// Guards against a newer version, or another model, that waits for a pause.
#[test]
fn other_versions_and_models_are_free() {
    let mut ends = ends(9);
    assert_eq!(ends.limit(("m", 3), (2, FREE), secs(9)), FREE);
    assert_eq!(ends.limit(("n", 2), (2, FREE), secs(9)), FREE);
    ends.ended(&"m".into(), 3, secs(10));
    ends.ended(&"m".into(), 2, secs(11));
    assert_eq!(ends.limit(("m", 3), (2, FREE), secs(11)), FREE, "one end under version 3");
}

/// Guards against pauses that go on after a load has succeeded.
#[test]
fn a_load_that_succeeds_ends_the_pauses() {
    let mut ends = ends(9);
    ends.loaded("m", 1);
    assert_eq!(ends.limit(("m", 2), (0, FREE), secs(9)), 0, "an older version");
    ends.loaded("m", 2);
    assert_eq!(ends.limit(("m", 2), (3, FREE), secs(9)), FREE);
}
