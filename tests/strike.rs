//! Requests that crash the targets that run them.

mod drive;

use std::collections::{BTreeMap, BTreeSet};

use drive::{Drive, ms, prompt};
use lagoonyard::{
    core::{
        request::{Attempt, Failure, Work},
        strike,
    },
    file::Limits,
    prelude::*,
};

const LONG: Duration = Duration::from_secs(60);

fn is_culprit(attempt: &Attempt) -> bool {
    matches!(&attempt.work, Work::Generate(it) if it.prompt.starts_with("culprit"))
}

/// Runs engines that die of culprits and come back after three seconds, until nothing is left. Returns the targets that
/// each culprit crashed.
fn storm(drive: &mut Drive) -> BTreeMap<ContentHash, BTreeSet<TargetId>> {
    let mut crashes: BTreeMap<ContentHash, BTreeSet<TargetId>> = BTreeMap::new();
    let mut restarts: Vec<(Time, TargetId)> = Vec::new();
    let mut running: Vec<(Time, Attempt)> = Vec::new();
    for _ in 0..600 {
        let now = drive.now;
        restarts.retain(|(at, target)| *at > now || !drive.dead.remove(target));
        for attempt in drive.take() {
            if drive.dead.contains(&attempt.target) {
                drive.fail(&attempt, Failure::Connect);
            } else {
                running.push((now, attempt));
            }
        }
        let lethal = running
            .iter()
            .find(|(since, it)| is_culprit(it) && now >= *since + ms(100));
        if let Some(target) = lethal.map(|(_, it)| it.target.clone()) {
            for (_, attempt) in running.iter().filter(|(_, it)| it.target == target && is_culprit(it)) {
                crashes
                    .entry(attempt.work.content())
                    .or_default()
                    .insert(target.clone());
            }
            drive.dead.insert(target.clone());
            restarts.push((now + ms(3000), target.clone()));
            let (lost, kept) = running.into_iter().partition(|(_, it)| it.target == target);
            running = kept;
            let lost: Vec<(Time, Attempt)> = lost;
            lost.iter()
                .for_each(|(_, attempt)| drive.fail(attempt, Failure::Broken));
        }
        let whole = |(since, it): &(Time, Attempt)| !is_culprit(it) && now >= *since + ms(300);
        let (done, kept) = running.into_iter().partition(whole);
        running = kept;
        let done: Vec<(Time, Attempt)> = done;
        done.iter().for_each(|(_, attempt)| drive.done(attempt));
        drive.advance(ms(50));
    }
    crashes
}

/// Guards against a request that takes down one engine after the other while its caller repeats it, and against the
/// refusal of innocent requests that ran beside it.
#[test]
fn culprits_are_refused_and_their_neighbours_are_not() {
    for culprits in [1, 3] {
        let limits = Limits {
            attempts: 6,
            ..Limits::default()
        };
        let mut drive = Drive::new(8, 0, limits);
        let mut crashes: BTreeMap<ContentHash, BTreeSet<TargetId>> = BTreeMap::new();
        for round in 0..3 {
            for at in 0..12 {
                drive.submit(round * 100 + at, prompt(&format!("innocent {round} {at}")), None, LONG);
                if at < culprits {
                    drive.submit(round * 100 + 50 + at, prompt(&format!("culprit {at}")), None, LONG);
                }
            }
            for (content, targets) in storm(&mut drive) {
                crashes.entry(content).or_default().extend(targets);
            }
        }
        for round in 0..3 {
            for at in 0..12 {
                assert_eq!(
                    drive.code(round * 100 + at),
                    None,
                    "innocent {round} {at} beside {culprits}"
                );
            }
        }
        for at in 0..culprits {
            assert_eq!(drive.code(250 + at), Some(Code::CrashesTargets));
        }
        for targets in crashes.values() {
            assert!(targets.len() <= 4, "a culprit crashed {targets:?}");
        }
    }
}

/// Guards against broken connections, of which the targets know nothing, that are taken for crashes.
#[test]
fn broken_connections_to_live_targets_are_no_strikes() {
    let limits = Limits {
        retry_budget_percent: 100,
        ..Limits::default()
    };
    let mut drive = Drive::new(3, 0, limits);
    for ticket in 1..=6 {
        drive.submit(ticket, prompt("same"), None, LONG);
        for _ in 0..3 {
            let attempt = drive.one();
            drive.fail(&attempt, Failure::Broken);
            drive.advance(ms(1500));
        }
        assert_eq!(drive.code(ticket), Some(Code::Incomplete));
    }
}

/// Guards against a content that was struck once and is refused for ever although it runs well.
#[test]
fn success_clears_strikes() {
    let mut drive = Drive::new(8, 0, Limits::default());
    for ticket in 1..=4 {
        drive.submit(ticket, prompt("same"), None, LONG);
        let attempt = drive.one();
        drive.dead.insert(attempt.target.clone());
        drive.fail(&attempt, Failure::Broken);
        drive.advance(ms(1500));
        let content = attempt.work.content();
        assert_eq!(drive.core.world().strikes.count(content), 1);
        let attempt = drive.one();
        drive.done(&attempt);
        drive.dead.clear();
        drive.advance(ms(3000));
        assert_eq!(
            (drive.code(ticket), drive.core.world().strikes.count(content)),
            (None, 0)
        );
    }
}

/// Guards against two struck requests that share a target, where a crash would be blamed on both, and against contents
/// that go on crashing targets here after peers have counted enough strikes.
#[test]
fn struck_contents_are_isolated_and_then_refused() {
    let mut drive = Drive::new(2, 0, Limits::default());
    for (ticket, text) in ["a", "b", "c", "a"].iter().enumerate() {
        strike::heard(drive.core.world_mut(), prompt(text).content(), "other".into());
        drive.submit(ticket as Ticket, prompt(text), None, LONG);
    }
    let running = drive.take();
    assert_eq!(running.len(), 2);
    assert_ne!(running[0].target, running[1].target);
    for target in ["x", "y"] {
        strike::heard(drive.core.world_mut(), prompt("c").content(), target.into());
    }
    running.iter().for_each(|attempt| drive.done(attempt));
    drive.advance(ms(200));
    assert_eq!(drive.code(2), Some(Code::CrashesTargets));
    assert_eq!(drive.one().ticket, Some(3));
}
