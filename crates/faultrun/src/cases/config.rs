//! Configuration: once a revision is accepted, all hosts put it in force and keep it.

use std::{thread, time::Duration};

use serde_json::json;
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    cluster::{APPLY_TIMEOUT, Cluster, Plan, status},
    http::{Request, Response},
    process::wait_until,
};

fn plan() -> Plan {
    Plan { hosts: 4, engines: 1, ..Plan::default() }
}

fn expect_accepted(response: &Response, revision: u64) -> Result<()> {
    let accepted = response.status == 200 && response.json()["revision"] == revision;
    ensure_whatever!(
        accepted,
        "apply of revision {revision} was refused: {} {}",
        response.status,
        response.text()
    );
    Ok(())
}

/// Guards against two operators who apply at once and both get a success, although only one configuration is in force.
pub fn race() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    for round in 1..=5 {
        let responses = thread::scope(|scope| {
            let cluster = &cluster;
            let calls: Vec<_> = (0..4)
                .map(|host| {
                    scope.spawn(move || {
                        cluster.apply(host, round, &format!("r{round}-h{host}"), "staleness")
                    })
                })
                .collect();
            let responses = calls.into_iter().map(|it| it.join());
            responses
                .map(|it| it.unwrap_or_else(|_| snafu::whatever!("calling thread panicked")))
                .collect::<Result<Vec<Response>>>()
        })?;
        let winners = responses.iter().filter(|it| it.status == 200).count();
        ensure_whatever!(winners == 1, "{winners} of 4 racing applies were accepted");
        for response in responses.iter().filter(|it| it.status != 200) {
            ensure_whatever!(
                &*response.code() == "LY-103",
                "expected LY-103 for the refused applies, got {}",
                response.text()
            );
        }
        cluster.wait_for_revision(round + 1, APPLY_TIMEOUT)?;
    }
    let mut digests = Vec::new();
    for host in &cluster.hosts {
        digests.push(status(host.admin)?["digest"].clone());
    }
    digests.dedup();
    ensure_whatever!(digests.len() == 1, "hosts have different configurations: {digests:?}");
    Ok(())
}

/// Guards against an apply that reports a failure, or takes effect twice, when the replies to its writes to the store
/// are lost.
pub fn lost_answer() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    // The first write of an apply stores the body, the second updates the head to point to it.
    for (round, skip, count) in [(1, 0, 1), (2, 1, 1), (3, 1, 2)] {
        cluster.set_outage(&json!({"mode": "lose_answers", "skip": skip, "count": count}))?;
        let response = cluster.apply(round as usize, round, &format!("lost-{round}"), "idle")?;
        cluster.set_outage(&json!({"mode": "none"}))?;
        expect_accepted(&response, round + 1)?;
        cluster.wait_for_revision(round + 1, APPLY_TIMEOUT)?;
    }
    Ok(())
}

/// Guards against an accepted configuration that never leaves the accepting host when the store goes down right
/// afterwards, and against any result but LY-105 for an apply while the store is down.
pub fn store_down_after() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    let response = cluster.apply(1, 1, "before-outage", "staleness")?;
    cluster.set_outage(&json!({"mode": "refuse"}))?;
    expect_accepted(&response, 2)?;
    cluster.wait_for_revision(2, APPLY_TIMEOUT)?;
    let response = cluster.apply(2, 2, "without-store", "idle")?;
    ensure_whatever!(
        &*response.code() == "LY-105",
        "expected LY-105 for an apply without the store, got {}",
        response.text()
    );
    cluster.wait_for_revision(2, APPLY_TIMEOUT)?;
    // Each host logs the outage at most once, although it retries the read.
    for host in &cluster.hosts {
        let log = host.process.as_ref().map(|it| it.log()).unwrap_or_default();
        let lines = log.lines().filter(|it| it.contains("could not read the host list")).count();
        ensure_whatever!(
            lines <= 1,
            "{} logged one outage of the host list {lines} times",
            host.name
        );
    }
    Ok(())
}

/// Guards against a host that restarts while the store is down and has no configuration, or an older one than its
/// peers.
pub fn restart_without_store() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    expect_accepted(&cluster.apply(0, 1, "newest", "staleness")?, 2)?;
    cluster.wait_for_revision(2, APPLY_TIMEOUT)?;
    cluster.set_outage(&json!({"mode": "refuse"}))?;
    cluster.process(3)?.kill()?;
    cluster.start_host(3)?;
    cluster.wait_for_revision(2, APPLY_TIMEOUT)?;
    cluster.wait_until_serving(&cluster.hosts[3], Duration::from_secs(20))
}

/// Guards against hosts that fall back to an older configuration when the store is restored to an earlier state.
pub fn rewind() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    // The key is "config/head" in base64.
    let range = json!({"key": "Y29uZmlnL2hlYWQ="});
    let range = Request::post(cluster.control, "/v3/kv/range", &range).send()?.json();
    let mod_revision =
        range["kvs"][0]["mod_revision"].as_str().and_then(|it| it.parse::<i64>().ok());
    let mod_revision =
        mod_revision.whatever_context("could not find the configuration head in the store")?;
    expect_accepted(&cluster.apply(0, 1, "lost-by-rewind", "staleness")?, 2)?;
    cluster.wait_for_revision(2, APPLY_TIMEOUT)?;
    cluster.platform_control("rewind", &json!({"revision": mod_revision}))?;
    wait_until("a host reports the store as faulty", Duration::from_secs(20), || {
        for host in &cluster.hosts {
            if status(host.admin)?["faults"].as_object().is_some_and(|it| !it.is_empty()) {
                return Ok(true);
            }
        }
        Ok(false)
    })?;
    for expected in [1, 2] {
        let response = cluster.apply(1, expected, &format!("after-{expected}"), "idle")?;
        ensure_whatever!(
            &*response.code() == "LY-104",
            "expected LY-104 for an apply after the rewind, got {}",
            response.text()
        );
    }
    thread::sleep(Duration::from_secs(2));
    cluster.wait_for_revision(2, Duration::ZERO).map(drop)
}
