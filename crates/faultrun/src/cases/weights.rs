//! Announced weights reach the engines, and late orders do no lasting harm.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::{Value, json};
use snafu::ensure_whatever;

use crate::{
    Result,
    http::Request,
    process::until,
    trainer::Trainer,
    yard::{Plan, Yard, status},
};

/// Time for a rollout to a few engines that load in 300 ms, with a change of the order holder.
const ROLLOUT_BOUND: Duration = Duration::from_secs(30);

pub fn announce(entry: SocketAddr, version: u64) -> Result<()> {
    let body = json!({"version": version, "weights": format!("store/blurb/{version}")});
    let answer = Request::post(entry, "/v1/trainers/blurb/versions", &body).send()?;
    ensure_whatever!(answer.status == 200, "announce: {} {}", answer.status, answer.text());
    Ok(())
}

pub fn loaded(yard: &Yard, version: u64) -> Result<Duration> {
    until(&format!("engines have version {version}"), ROLLOUT_BOUND, || {
        Ok(yard.versions()?.iter().all(|it| *it == version))
    })
}

/// Index of the host that gives orders.
fn holder(yard: &Yard) -> Result<usize> {
    let mut found = None;
    until("a host holds the order lease", Duration::from_secs(20), || {
        for (index, host) in yard.hosts.iter().enumerate() {
            let leases = status(host.admin)?["roles"]["leases"].clone();
            if leases.as_array().is_some_and(|it| it.iter().any(Value::is_string)) {
                found = Some(index);
            }
        }
        Ok(found.is_some())
    })?;
    Ok(found.unwrap_or(0))
}

/// Guards against weights that wait for the store, for both kinds of outage.
pub fn store_down() -> Result<()> {
    let yard = Yard::start(Plan::default())?;
    holder(&yard)?;
    for (version, mode) in [(2, "refuse"), (3, "hang")] {
        yard.outage(&json!({"mode": mode}))?;
        announce(yard.hosts[0].entry, version)?;
        loaded(&yard, version)?;
        yard.outage(&json!({"mode": "none"}))?;
    }
    Ok(())
}

/// Guards against an old version that stays after a frozen order holder sent it late to engines without fencing.
pub fn holder_frozen() -> Result<()> {
    let mut yard = Yard::start(Plan {
        hosts: 3,
        checks_fence: false,
        ..Plan::default()
    })?;
    let frozen = holder(&yard)?;
    let other = yard.hosts[(frozen + 1) % 3].entry;
    // The holder learns of version 2 and is frozen before its orders are done.
    announce(yard.hosts[frozen].entry, 2)?;
    yard.process(frozen)?.freeze()?;
    announce(other, 3)?;
    let moved = loaded(&yard, 3);
    yard.process(frozen)?.thaw()?;
    moved?;
    let mut trainer = Trainer::new(3);
    trainer.pull_any(&[other], Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(3));
    loaded(&yard, 3)?;
    thread::sleep(Duration::from_secs(2));
    let versions = yard.versions()?;
    ensure_whatever!(versions.iter().all(|it| *it == 3), "engines went back: {versions:?}");
    Ok(())
}
