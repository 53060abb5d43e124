//! Choice of a target by prefix affinity, zone and delayed load reports.

mod driver;

use std::collections::BTreeMap;

use driver::{Driver, LONG_DEADLINE, call, limits, listing_entry, prompt, settings};
use lagoonyard::{
    core::{Settings, settings::Policy, target},
    prelude::*,
};

/// Number of new attempts of each target.
fn attempts_by_target(driver: &mut Driver) -> BTreeMap<TargetId, usize> {
    let mut counts = BTreeMap::new();
    driver
        .take_attempts()
        .into_iter()
        .for_each(|attempt| *counts.entry(attempt.target).or_default() += 1);
    counts
}

/// Guards against an engine that is overloaded by a popular prefix, and against a prefix that changes its engine with
/// each request.
#[test]
fn prefix_stays_on_its_engine_up_to_the_load_bound() {
    let mut driver = Driver::new(4, 0);
    let mut targets = Vec::new();
    for ticket in 1..=5 {
        driver.submit(ticket, prompt("same"), None, LONG_DEADLINE);
        let attempt = driver.single_attempt();
        driver.complete(&attempt);
        targets.push(attempt.target);
    }
    targets.dedup();
    assert_eq!(targets.len(), 1);
    (10..14).for_each(|ticket| driver.submit(ticket, prompt("same"), None, LONG_DEADLINE));
    assert!(attempts_by_target(&mut driver).len() >= 3);
}

/// Guards against hosts that all choose the target with the lowest load in a delayed report, and against loaded targets
/// that are chosen although others are free.
#[test]
fn ties_are_spread_and_loaded_targets_avoided() {
    let mut firsts = BTreeMap::<TargetId, usize>::new();
    for seed in 0..60 {
        let mut driver = Driver::with(Settings { seed, ..settings() }, 0, 6, limits(|_| ()));
        for (target, running) in [("w0", 1), ("w1", 4), ("w2", 4)] {
            driver.report_running(target, running);
        }
        driver.submit(1, call("/read"), None, LONG_DEADLINE);
        *firsts.entry(driver.single_attempt().target).or_default() += 1;
    }
    let free = ["w3", "w4", "w5"].map(|target| firsts.remove(target).unwrap_or(0));
    assert!(free.iter().all(|&count| count > 8) && firsts.is_empty(), "{free:?} {firsts:?}");
}

/// Guards against requests that are sent to another zone although their own has free slots, or wait although another
/// zone has some.
#[test]
fn other_zones_are_used_when_the_own_zone_is_full() {
    for seed in 0..20 {
        let mut driver = Driver::with(Settings { seed, ..settings() }, 0, 2, limits(|_| ()));
        let mut entry = listing_entry("f0", "workers");
        entry.zone = "far".into();
        target::upsert(driver.core.world_mut(), &entry);
        for target in ["w0", "w1"] {
            driver.report_running(target, 2);
        }
        (1..=7).for_each(|ticket| driver.submit(ticket, call("/read"), None, LONG_DEADLINE));
        assert_ne!(&*driver.attempts[0].target, "f0");
        assert!(attempts_by_target(&mut driver).into_values().eq([2, 2, 2]));
    }
}

/// Guards against a baseline policy other than round robin, which would distort comparisons with the full policy.
#[test]
fn baseline_is_round_robin() {
    let policy = Policy::Baseline;
    let mut driver = Driver::with(Settings { policy, ..settings() }, 4, 0, limits(|_| ()));
    (1..=8).for_each(|ticket| driver.submit(ticket, prompt("same"), None, LONG_DEADLINE));
    assert!(attempts_by_target(&mut driver).values().all(|&count| count == 2));
}
