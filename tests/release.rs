//! Guards against samples made for a version by which they will not be judged.

use std::time::Duration;

use lagoonyard::core::release::Clock;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn clock() -> Clock {
    let mut clock = Clock::default();
    clock.observe(s(100), 4);
    clock.observe(s(160), 5);
    clock
}

#[test]
fn versions_are_expected_at_their_interval() {
    let clock = clock();
    assert_eq!(clock.expected(s(161), s(161)), Some(5));
    assert_eq!(clock.expected(s(161), s(200)), Some(5));
    assert_eq!(clock.expected(s(161), s(225)), Some(6));
    assert_eq!(clock.expected(s(161), s(285)), Some(7));
}

#[test]
fn an_overdue_version_is_expected_once() {
    assert_eq!(clock().expected(s(400), s(401)), Some(6));
}

#[test]
fn nothing_is_expected_before_two_announcements() {
    let mut clock = Clock::default();
    clock.observe(s(1), 3);
    assert_eq!((clock.version(), clock.expected(s(2), s(90))), (3, None));
}
