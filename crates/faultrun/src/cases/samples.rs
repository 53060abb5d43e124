//! Samples: the trainer gets each one once and within its staleness bound, also when the host that owns the trainer's
//! sample stream fails.

use std::{thread, time::Duration};

use snafu::ensure_whatever;

use super::weights::{announce, wait_until_loaded};
use crate::{
    Result,
    cluster::{Cluster, Plan},
    trainer::Trainer,
};

/// Covers failure detection after the loss of a host, generation and judging.
const PULL_TIMEOUT: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    Plan { hosts: 3, ..Plan::default() }
}

/// Guards against groups that are delivered twice or too old when the owner of the stream is killed. Each host is
/// killed once, so that the owner is among them.
pub fn owner_killed() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    let mut trainer = Trainer::new(1);
    for victim in 0..3 {
        let entries: Vec<_> = cluster.hosts.iter().map(|it| it.entry).collect();
        for _ in 0..3 {
            trainer.pull_from_any(&entries, PULL_TIMEOUT)?;
        }
        cluster.process(victim)?.kill()?;
        cluster.hosts[victim].process = None;
        let others: Vec<_> =
            cluster.hosts.iter().filter(|it| it.process.is_some()).map(|it| it.entry).collect();
        for _ in 0..3 {
            trainer.pull_from_any(&others, PULL_TIMEOUT)?;
        }
        announce(others[0], trainer.version + 1)?;
        wait_until_loaded(&cluster, trainer.version + 1)?;
        trainer.version += 1;
        for _ in 0..3 {
            trainer.pull_from_any(&others, PULL_TIMEOUT)?;
        }
        cluster.start_host(victim)?;
        cluster.wait_until_serving(&cluster.hosts[victim], Duration::from_secs(20))?;
    }
    ensure_whatever!(trainer.batches == 27, "expected 27 batches, got {}", trainer.batches);
    Ok(())
}

/// Guards against a former owner that resumes after a freeze and delivers groups that its successor has delivered.
pub fn owner_frozen() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    let mut trainer = Trainer::new(1);
    let entries: Vec<_> = cluster.hosts.iter().map(|it| it.entry).collect();
    for victim in 0..3 {
        for _ in 0..3 {
            trainer.pull_from_any(&entries, PULL_TIMEOUT)?;
        }
        cluster.process(victim)?.freeze()?;
        let others = [entries[(victim + 1) % 3], entries[(victim + 2) % 3]];
        let pulled =
            (0..5).try_for_each(|_| trainer.pull_from_any(&others, PULL_TIMEOUT).map(drop));
        cluster.process(victim)?.thaw()?;
        pulled?;
        // Pulls from the former owner first, as soon as it resumes.
        for _ in 0..5 {
            trainer.pull_from_any(&[entries[victim], others[0]], PULL_TIMEOUT)?;
        }
        thread::sleep(Duration::from_secs(1));
    }
    Ok(())
}
