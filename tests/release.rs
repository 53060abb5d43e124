//! Prediction of weight versions. A wrong one would generate samples for a version other than the one against which
//! their staleness is checked.

use std::time::Duration;

use lagoonyard::core::release::Clock;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn clock() -> Clock {
    let mut clock = Clock::default();
    clock.observe(secs(100), 4);
    clock.observe(secs(160), 5);
    clock
}

#[test]
fn versions_are_expected_at_the_measured_interval() {
    let clock = clock();
    assert_eq!(clock.expected(secs(161), secs(161)), Some(5));
    assert_eq!(clock.expected(secs(161), secs(200)), Some(5));
    assert_eq!(clock.expected(secs(161), secs(225)), Some(6));
    assert_eq!(clock.expected(secs(161), secs(285)), Some(7));
}

#[test]
fn an_overdue_version_is_expected_once() {
    assert_eq!(clock().expected(secs(400), secs(401)), Some(6));
}

#[test]
fn nothing_is_expected_before_two_announcements() {
    let mut clock = Clock::default();
    clock.observe(secs(1), 3);
    assert_eq!((clock.version(), clock.expected(secs(2), secs(90))), (3, None));
}
