//! Software versions of a service over time.

use std::collections::BTreeSet;

use lagoonyard_node::{prelude::*, software::History};

fn versions(names: &[&str]) -> BTreeSet<Software> {
    names.iter().map(|name| Software::from(*name)).collect()
}

fn only(history: &History, registered: &[&str], now_ms: u64) -> Option<Software> {
    history.only(versions(registered).iter(), now_ms)
}

/// Guards against a stream that goes on at the version at hand although one that has just left may have begun it.
#[test]
fn a_version_that_has_just_left_counts() {
    let first = History::default().updated(&versions(&["v1"]), 1_000).unwrap();
    assert_eq!(only(&first, &["v1"], 2_000).as_deref(), Some("v1"));
    let next = first.updated(&versions(&["v2"]), 3_000).unwrap();
    assert_eq!(only(&next, &["v2"], 4_000), None);
    assert_eq!(only(&next, &["v2"], 64_000).as_deref(), Some("v2"));
}

/// Guards against a change that the store does not have yet, because its writer was killed.
#[test]
fn registered_versions_count_before_they_are_written() {
    let stored = History::default().updated(&versions(&["v1"]), 1_000).unwrap();
    assert_eq!(only(&stored, &["v1", "v2"], 2_000), None);
    assert_eq!(only(&stored, &["v2"], 2_000), None);
}

/// Guards against a write for each look at the registrations.
#[test]
fn unchanged_versions_are_not_written() {
    let stored = History::default().updated(&versions(&["v1"]), 1_000).unwrap();
    assert_eq!(stored.updated(&versions(&["v1"]), 2_000), None);
    let both = stored.updated(&versions(&["v1", "v2"]), 3_000).unwrap();
    let left = both.updated(&versions(&["v2"]), 4_000).unwrap();
    assert_eq!(left.updated(&versions(&["v2"]), 5_000), None);
}

/// Guards against an empty history that is taken as proof that only one version was in service.
#[test]
fn nothing_follows_from_a_value_that_cannot_be_read() {
    assert_eq!(History::decode(b"{\"versions\": 3}"), None);
    let history = History::default().updated(&versions(&["v1"]), 1_000).unwrap();
    assert_eq!(History::decode(&history.encode()), Some(history));
}
