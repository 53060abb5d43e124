//! States of targets: polls, quarantine and graceful shutdown.

mod driver;

use std::collections::BTreeSet;

use driver::{Driver, LONG_DEADLINE, call, limits, listing_entry, ms, prompt, settings};
use lagoonyard::{
    core::{
        Settings, host,
        request::Failure,
        target::{self, Outcome, Report, State},
        unavailable_targets,
    },
    prelude::*,
    wire,
};

fn state(driver: &Driver, target: &str) -> State {
    driver.core.world().targets.rows[target].state
}

/// Guards against requests to a target that does not answer, and against probes of it at an undiminished rate.
#[test]
fn unreachable_target_is_quarantined_and_probed_with_backoff() {
    let mut driver = Driver::new(0, 2);
    driver.unreachable.insert("w0".into());
    driver.advance(ms(3000));
    assert_eq!(state(&driver, "w0"), State::Quarantined);
    (1..=3).for_each(|ticket| driver.submit(ticket, call("/read"), None, LONG_DEADLINE));
    assert!(driver.take_attempts().iter().all(|attempt| &*attempt.target == "w1"));
    driver.polls.clear();
    driver.advance(Duration::from_secs(300));
    let count = |driver: &Driver| driver.polls.iter().filter(|target| &***target == "w0").count();
    assert!((5..=14).contains(&count(&driver)), "{} probes in 300 s", count(&driver));
    driver.unreachable.clear();
    driver.advance(Duration::from_secs(61));
    assert_eq!(state(&driver, "w0"), State::Live);
    driver.polls.clear();
    driver.advance(Duration::from_secs(10));
    assert!((9..=11).contains(&count(&driver)), "{} polls in 10 s", count(&driver));
}

/// Guards against a long quarantine after one short outage because several requests failed in it at the same time.
#[test]
fn simultaneous_failures_count_as_one_outage() {
    let mut driver = Driver::new(1, 0);
    driver.submit_prompts(1..=2);
    driver.unreachable.insert("e0".into());
    for _ in 0..10 {
        for attempt in driver.take_attempts() {
            driver.fail(&attempt, Failure::Connect);
        }
        driver.tick();
    }
    driver.advance(ms(500));
    assert_eq!(state(&driver, "e0"), State::Quarantined);
    driver.unreachable.clear();
    driver.advance(ms(1100));
    assert_eq!(state(&driver, "e0"), State::Live);
    assert_eq!(driver.take_attempts().len(), 2);
}

/// Guards against new requests to a target that has reported that it is leaving. Neither the host list nor a late poll
/// may make it usable again, only a new process under its name, which is recognized by a failed poll before it.
#[test]
fn leaving_target_is_used_again_only_after_a_restart() {
    let mut driver = Driver::new(1, 0);
    let (listed, id) = (listing_entry("e0", "engines"), "e0".into());
    target::record_listed_leaving(driver.core.world_mut(), &id);
    assert_eq!(state(&driver, "e0"), State::Leaving);
    target::upsert(driver.core.world_mut(), &listed);
    assert_eq!(state(&driver, "e0"), State::Unknown, "the list clears its own mark");
    target::record_leaving(driver.core.world_mut(), &id);
    target::upsert(driver.core.world_mut(), &listed);
    assert_eq!(state(&driver, "e0"), State::Leaving);
    target::apply_peer_report(driver.core.world_mut(), &id, Outcome::Report(Report::default()));
    driver.answer_poll("e0");
    assert_eq!(state(&driver, "e0"), State::Leaving);
    driver.finish_poll("e0", Outcome::Unreachable);
    assert_eq!(state(&driver, "e0"), State::Leaving);
    driver.answer_poll("e0");
    assert_eq!(state(&driver, "e0"), State::Live);
}

/// Guards against targets without a poller, or with several, after a host has died.
#[test]
fn each_target_has_one_poller() {
    let hosts = ["a", "b", "c"];
    let mut drivers = hosts.map(|id| {
        let host = id.into();
        // The other hosts send no heartbeats here, so they must not become suspect.
        let suspect_after = Duration::from_secs(60);
        let settings = Settings { host, suspect_after, ..settings() };
        let mut driver = Driver::with(settings, 40, 0, limits(|_| ()));
        let rows = &mut driver.core.world_mut().hosts.rows;
        let own = rows[id].clone();
        rows.extend(hosts.map(|id| (id.into(), own.clone())));
        driver.advance(ms(300));
        driver
    });
    let polled = |drivers: &mut [Driver]| {
        let mut count = 0;
        for driver in drivers {
            driver.polls.clear();
            driver.advance(ms(1100));
            count += driver.polls.iter().collect::<BTreeSet<_>>().len();
        }
        count
    };
    assert_eq!(polled(&mut drivers), 40);
    for driver in &mut drivers[..2] {
        driver.core.world_mut().hosts.rows.get_mut("c").expect("row").state = host::State::Dead;
        driver.advance(ms(300));
    }
    assert_eq!(polled(&mut drivers[..2]), 40);
}

/// Guards against requests to a target whose polls never end, neither with a report nor with a failure.
#[test]
fn unanswered_polls_count_as_failures() {
    let mut driver = Driver::new(1, 0);
    driver.mute_polls = true;
    driver.advance(ms(12_000));
    assert_eq!(state(&driver, "e0"), State::Quarantined);
    driver.mute_polls = false;
    driver.advance(ms(12_000));
    assert_eq!(state(&driver, "e0"), State::Live);
}

/// Guards against requests to a target of another zone whose health is unknown, or was polled so long ago that it may
/// have started to leave, and against hosts that poll all targets of the fleet.
#[test]
fn remote_target_is_polled_before_use_and_only_while_requests_need_it() {
    let mut driver = Driver::new(0, 0);
    for at in 0..40 {
        let mut remote = listing_entry(&format!("e{at}"), "engines");
        remote.zone = "other".into();
        target::upsert(driver.core.world_mut(), &remote);
    }
    driver.advance(Duration::from_secs(10));
    assert!(driver.polls.is_empty(), "unused targets should not be polled");
    driver.mute_polls = true;
    driver.submit(1, prompt("a"), None, LONG_DEADLINE);
    driver.advance(ms(1900));
    assert!(driver.take_attempts().is_empty(), "no target has been polled successfully");
    assert!((2..=16).contains(&driver.polls.len()), "{} polls in 2 s", driver.polls.len());
    let polled_target = driver.polls[0].clone();
    driver.answer_poll(&polled_target);
    driver.advance(ms(200));
    assert_eq!(driver.single_attempt().target, polled_target);
    driver.advance(ms(3000));
    assert_eq!(state(&driver, &polled_target), State::Unknown);
}

/// Guards against requests to targets that may have started to leave while the process of this host was paused.
#[test]
fn targets_are_unknown_after_a_pause() {
    let mut driver = Driver::new(2, 0);
    driver.advance(ms(1100));
    driver.mute_polls = true;
    driver.now += Duration::from_secs(6);
    driver.submit_prompts(1..=4);
    assert!(driver.take_attempts().is_empty());
    ["e0", "e1"].iter().for_each(|target| driver.answer_poll(target));
    driver.advance(ms(200));
    assert_eq!(driver.take_attempts().len(), 4);
}

/// Guards against hosts that do not follow the unavailable targets of other zones: leaving, quarantined or back.
#[test]
fn unavailable_targets_of_other_zones_are_followed() {
    let mut driver = Driver::new(0, 0);
    for at in 0..2 {
        let mut remote = listing_entry(&format!("e{at}"), "engines");
        remote.zone = "other".into();
        target::upsert(driver.core.world_mut(), &remote);
    }
    for (leaving, quarantined, expected) in [
        (vec!["e0"], vec!["e1"], [State::Leaving, State::Quarantined]),
        (vec![], vec!["e1"], [State::Unknown, State::Quarantined]),
        (vec![], vec![], [State::Unknown, State::Unknown]),
    ] {
        let names = |names: Vec<&str>| names.into_iter().map(Into::into).collect();
        let unavailable = wire::UnavailableTargets {
            zone: "other".into(),
            leaving: names(leaving),
            quarantined: names(quarantined),
        };
        unavailable_targets::receive(driver.core.world_mut(), &unavailable);
        assert_eq!(["e0", "e1"].map(|target| state(&driver, target)), expected);
    }
}

/// Guards against engines that are taken out of service because they stop reporting their load while they stay healthy.
#[test]
fn a_healthy_target_without_load_reports_stays_in_use() {
    let mut driver = Driver::new(1, 0);
    for _ in 0..5 {
        driver.advance(ms(1000));
        driver.finish_poll("e0", Outcome::Healthy);
    }
    assert_eq!(state(&driver, "e0"), State::Live);
    assert!(driver.core.world().targets.rows["e0"].report.is_none());
}
