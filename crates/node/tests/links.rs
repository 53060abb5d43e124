//! Decision whether a host has lost its links to all targets.

use std::time::Duration;

use futures::FutureExt;
use lagoonyard_node::links::{Failure, Links};

const T0: Duration = Duration::from_secs(100);
const KNOWN: usize = 5;

fn links() -> Links {
    let links = Links::default();
    links.set_known(KNOWN);
    links
}

fn after(ms: u64) -> Duration {
    T0 + Duration::from_millis(ms)
}

/// Guards against a host that takes one target that has ended for the loss of its links.
#[test]
fn one_target_that_cannot_be_reached_is_no_cut() {
    let links = links();
    links.failed("a", Failure::Silent, T0);
    links.failed("a", Failure::Silent, after(100));
    assert_eq!(links.cut_since(), None);
    assert!(!links.has_link("a", after(200)));
    assert!(links.has_link("b", after(200)));
}

#[test]
fn two_targets_in_a_row_are_a_cut() {
    let links = links();
    links.failed("a", Failure::Silent, T0);
    links.failed("b", Failure::Refused, after(100));
    assert_eq!(links.cut_since(), Some(after(100)));
    assert!(!links.has_link("c", after(100)));
}

/// Guards against failures of different times that add up to a cut.
#[test]
fn a_success_in_between_is_no_cut() {
    let links = links();
    links.failed("a", Failure::Refused, T0);
    links.opened("c", after(50));
    links.failed("b", Failure::Refused, after(100));
    assert_eq!(links.cut_since(), None);
}

#[test]
fn failures_long_apart_are_no_cut() {
    let links = links();
    links.failed("a", Failure::Refused, T0);
    links.failed("b", Failure::Refused, after(2500));
    assert_eq!(links.cut_since(), None);
}

#[test]
fn the_only_target_is_a_cut() {
    let links = links();
    links.set_known(1);
    links.failed("a", Failure::Silent, T0);
    assert!(links.cut_since().is_some());
}

/// Guards against a cut that outlives its end.
#[test]
fn a_connection_ends_the_cut() {
    let links = links();
    links.failed("a", Failure::Silent, T0);
    links.failed("b", Failure::Silent, T0);
    links.opened("b", after(500));
    assert_eq!(links.cut_since(), None);
    assert!(links.has_link("b", after(500)));
}

/// Guards against targets that ended together and are taken for a cut of this host.
#[test]
fn targets_that_others_do_not_reach_either_are_no_cut() {
    let links = links();
    links.failed("a", Failure::Refused, T0);
    links.failed("b", Failure::Refused, T0);
    links.is_down("b", after(10));
    assert_eq!(links.cut_since(), None);
    assert!(links.has_link("b", after(10)));
}

/// Guards against links that are checked although the target has just answered.
#[test]
fn a_target_that_was_heard_or_checked_lately_is_not_checked() {
    let links = links();
    assert!(links.begin_check("a", T0));
    assert!(!links.begin_check("a", after(1900)));
    assert!(links.begin_check("a", after(2100)));
    links.heard("b", T0);
    assert!(!links.begin_check("b", after(400)));
    assert!(links.begin_check("b", after(600)));
}

/// Guards against a leader that gives its leadership away although no other host could use it better.
#[test]
fn a_host_is_alone_only_while_others_reach_targets() {
    let links = links();
    let time = Duration::from_millis(500);
    links.failed("a", Failure::Silent, T0);
    links.failed("b", Failure::Silent, T0);
    assert!(!links.is_alone(time, after(600)));
    links.others_reach(after(600));
    assert!(links.is_alone(time, after(600)));
    assert!(!links.is_alone(time, after(2700)));
    links.others_reach(after(2700));
    links.opened("a", after(2700));
    assert!(!links.is_alone(time, after(2700)));
}

/// Guards against responses that are given up because a busy target accepts no connection in time.
#[test]
fn a_silent_target_is_lost_only_if_the_host_is_cut_off() {
    let links = links();
    let is_lost = |target| links.lost(target).now_or_never().is_some();
    links.failed("a", Failure::Silent, T0);
    assert!(!is_lost("a"));
    links.failed("b", Failure::Silent, T0);
    assert!(is_lost("a"));
    assert!(!is_lost("c"));
}

/// Guards against items that wait for an engine which does not answer any more, while the host reaches all others.
#[test]
fn a_target_that_accepts_no_connection_twice_is_silent() {
    let links = links();
    let is_silent = |target| links.silent(target).now_or_never().is_some();
    links.failed("a", Failure::Silent, T0);
    links.failed("a", Failure::Silent, after(100));
    assert!(!is_silent("a"), "connections that began together");
    links.failed("a", Failure::Silent, after(400));
    assert!(is_silent("a"));
    assert_eq!(links.cut_since(), None);
    links.heard("a", after(500));
    assert!(!is_silent("a"));
}

/// Guards against runs that are taken from an engine which has answered in between, refuses connections, or lost a packet now
/// and another one later.
#[test]
fn a_target_that_was_heard_in_between_is_not_silent() {
    let links = links();
    let is_silent = |target| links.silent(target).now_or_never().is_some();
    links.failed("a", Failure::Silent, T0);
    links.heard("a", after(100));
    links.failed("a", Failure::Silent, after(400));
    assert!(!is_silent("a"), "heard");
    links.failed("a", Failure::Refused, after(800));
    assert!(!is_silent("a"), "refused");
    links.failed("b", Failure::Silent, T0);
    links.failed("b", Failure::Silent, after(1500));
    assert!(!is_silent("b"), "long apart");
}
