//! An accepted configuration is in force everywhere and stays.

use std::{thread, time::Duration};

use serde_json::json;
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    http::{Answer, Request},
    process::until,
    yard::{APPLY_BOUND, Plan, Yard, status},
};

fn plan() -> Plan {
    Plan { hosts: 4, engines: 1, ..Plan::default() }
}

fn accepted(answer: &Answer, revision: u64) -> Result<()> {
    let fits = answer.status == 200 && answer.json()["revision"] == revision;
    ensure_whatever!(fits, "apply to revision {revision}: {} {}", answer.status, answer.text());
    Ok(())
}

/// Guards against two operators who both believe that their file is in force.
pub fn race() -> Result<()> {
    let yard = Yard::start(plan())?;
    for round in 1..=5 {
        let answers = thread::scope(|scope| {
            let yard = &yard;
            let calls: Vec<_> = (0..4)
                .map(|host| {
                    scope.spawn(move || {
                        yard.apply(host, round, &format!("r{round}-h{host}"), "staleness")
                    })
                })
                .collect();
            let answers = calls.into_iter().map(|it| it.join());
            answers
                .map(|it| it.unwrap_or_else(|_| snafu::whatever!("apply ended early")))
                .collect::<Result<Vec<Answer>>>()
        })?;
        let winners = answers.iter().filter(|it| it.status == 200).count();
        ensure_whatever!(winners == 1, "{winners} of 4 racing applies were accepted");
        for answer in answers.iter().filter(|it| it.status != 200) {
            ensure_whatever!(&*answer.code() == "LY-103", "loser of a race: {}", answer.text());
        }
        yard.agree(round + 1, APPLY_BOUND)?;
    }
    let mut digests = Vec::new();
    for host in &yard.hosts {
        digests.push(status(host.admin)?["digest"].clone());
    }
    digests.dedup();
    ensure_whatever!(digests.len() == 1, "hosts hold different files: {digests:?}");
    Ok(())
}

/// Guards against an apply that reports a failure, or is applied twice, when the store loses the answers to its writes.
pub fn lost_answer() -> Result<()> {
    let yard = Yard::start(plan())?;
    // The first write of an apply is its body, the second moves the head.
    for (round, skip, count) in [(1, 0, 1), (2, 1, 1), (3, 1, 2)] {
        yard.outage(&json!({"mode": "lose_answers", "skip": skip, "count": count}))?;
        let answer = yard.apply(round as usize, round, &format!("lost-{round}"), "idle")?;
        yard.outage(&json!({"mode": "none"}))?;
        accepted(&answer, round + 1)?;
        yard.agree(round + 1, APPLY_BOUND)?;
    }
    Ok(())
}

/// Guards against an accepted file that stays on the accepting host when the store goes down right afterwards, and
/// against an apply without a store that reports anything but LY-105.
pub fn store_down_after() -> Result<()> {
    let yard = Yard::start(plan())?;
    let answer = yard.apply(1, 1, "before-outage", "staleness")?;
    yard.outage(&json!({"mode": "refuse"}))?;
    accepted(&answer, 2)?;
    yard.agree(2, APPLY_BOUND)?;
    let answer = yard.apply(2, 2, "without-store", "idle")?;
    ensure_whatever!(&*answer.code() == "LY-105", "apply without store: {}", answer.text());
    yard.agree(2, APPLY_BOUND)?;
    // Each host reports the outage once, however often it reads.
    for host in &yard.hosts {
        let log = host.process.as_ref().map(|it| it.log()).unwrap_or_default();
        let lines = log.lines().filter(|it| it.contains("could not read the host list")).count();
        ensure_whatever!(
            lines <= 1,
            "{} reports one outage of the host list {lines} times",
            host.name
        );
    }
    Ok(())
}

/// Guards against a host that starts during an outage without a configuration, or with an older one than its peers.
pub fn restart_without_store() -> Result<()> {
    let mut yard = Yard::start(plan())?;
    accepted(&yard.apply(0, 1, "newest", "staleness")?, 2)?;
    yard.agree(2, APPLY_BOUND)?;
    yard.outage(&json!({"mode": "refuse"}))?;
    yard.process(3)?.kill()?;
    yard.start_host(3)?;
    yard.agree(2, APPLY_BOUND)?;
    yard.serves(&yard.hosts[3], Duration::from_secs(20))
}

/// Guards against hosts that follow a store which was put back to older contents.
pub fn rewind() -> Result<()> {
    let yard = Yard::start(plan())?;
    // The key is "config/head" in base64.
    let range = json!({"key": "Y29uZmlnL2hlYWQ="});
    let range = Request::post(yard.control, "/v3/kv/range", &range).send()?.json();
    let changed = range["kvs"][0]["mod_revision"].as_str().and_then(|it| it.parse::<i64>().ok());
    let changed = changed.whatever_context("store has no head")?;
    accepted(&yard.apply(0, 1, "lost-by-rewind", "staleness")?, 2)?;
    yard.agree(2, APPLY_BOUND)?;
    yard.platform_control("rewind", &json!({"revision": changed}))?;
    until("a host reports the store", Duration::from_secs(20), || {
        for host in &yard.hosts {
            if status(host.admin)?["faults"].as_object().is_some_and(|it| !it.is_empty()) {
                return Ok(true);
            }
        }
        Ok(false)
    })?;
    for expected in [1, 2] {
        let answer = yard.apply(1, expected, &format!("after-{expected}"), "idle")?;
        ensure_whatever!(&*answer.code() == "LY-104", "apply after a rewind: {}", answer.text());
    }
    thread::sleep(Duration::from_secs(2));
    yard.agree(2, Duration::ZERO).map(drop)
}
