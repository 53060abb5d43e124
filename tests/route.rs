//! Choice of a target from late load reports.

mod driver;

use std::collections::BTreeMap;

use driver::{Driver, LONG_DEADLINE, call, limits, listing_entry, prompt, settings};
use lagoonyard::{
    core::{Settings, settings::Policy, target},
    prelude::*,
};

/// Dispatches of requests that are all still in flight, by target.
fn spread(driver: &mut Driver) -> BTreeMap<TargetId, usize> {
    let mut counts = BTreeMap::new();
    driver
        .take_attempts()
        .into_iter()
        .for_each(|attempt| *counts.entry(attempt.target).or_default() += 1);
    counts
}

/// Guards against one engine that gets all requests of a popular prefix, and against a prefix without a home.
#[test]
fn prefix_keeps_its_engine_up_to_the_bound() {
    let mut driver = Driver::new(4, 0);
    let mut homes = Vec::new();
    for ticket in 1..=5 {
        driver.submit(ticket, prompt("same"), None, LONG_DEADLINE);
        let attempt = driver.single_attempt();
        driver.complete(&attempt);
        homes.push(attempt.target);
    }
    homes.dedup();
    assert_eq!(homes.len(), 1);
    (10..14).for_each(|ticket| driver.submit(ticket, prompt("same"), None, LONG_DEADLINE));
    assert!(spread(&mut driver).len() >= 3);
}

/// Guards against hosts that all send to the one target whose late report looks best, and against loaded targets that
/// are chosen although others are free.
#[test]
fn ties_are_spread_and_load_is_avoided() {
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

/// Guards against work that leaves its zone while it could be done there, or waits there while it could be done
/// elsewhere.
#[test]
fn remote_zones_take_what_the_own_zone_cannot() {
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
        assert!(spread(&mut driver).into_values().eq([2, 2, 2]));
    }
}

/// Guards against a baseline that is not round robin, which would flatter the full policy in the measurements.
#[test]
fn baseline_takes_targets_in_turn() {
    let policy = Policy::Baseline;
    let mut driver = Driver::with(Settings { policy, ..settings() }, 4, 0, limits(|_| ()));
    (1..=8).for_each(|ticket| driver.submit(ticket, prompt("same"), None, LONG_DEADLINE));
    assert!(spread(&mut driver).values().all(|&count| count == 2));
}
