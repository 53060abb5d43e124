//! Samples reach the trainer exactly once and within the bound, whatever happens to the stream owner.

use std::{thread, time::Duration};

use snafu::ensure_whatever;

use super::weights::{announce, loaded};
use crate::{
    Result,
    trainer::Trainer,
    yard::{Plan, Yard},
};

/// Time without batches after the loss of a host: failure detection, generation and the judge.
const FEED_BOUND: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    Plan { hosts: 3, ..Plan::default() }
}

/// Guards against groups that come twice or too old when the owner of the stream dies. Each host dies once, so that the
/// owner is among them.
pub fn owner_killed() -> Result<()> {
    let mut yard = Yard::start(plan())?;
    let mut trainer = Trainer::new(1);
    for victim in 0..3 {
        let entries: Vec<_> = yard.hosts.iter().map(|it| it.entry).collect();
        for _ in 0..3 {
            trainer.pull_any(&entries, FEED_BOUND)?;
        }
        yard.process(victim)?.kill()?;
        yard.hosts[victim].process = None;
        let others: Vec<_> =
            yard.hosts.iter().filter(|it| it.process.is_some()).map(|it| it.entry).collect();
        for _ in 0..3 {
            trainer.pull_any(&others, FEED_BOUND)?;
        }
        announce(others[0], trainer.version + 1)?;
        loaded(&yard, trainer.version + 1)?;
        trainer.version += 1;
        for _ in 0..3 {
            trainer.pull_any(&others, FEED_BOUND)?;
        }
        yard.start_host(victim)?;
        yard.serves(&yard.hosts[victim], Duration::from_secs(20))?;
    }
    ensure_whatever!(trainer.batches == 27, "{} batches", trainer.batches);
    Ok(())
}

/// Guards against a former owner that wakes up and delivers groups which its successor has delivered.
pub fn owner_frozen() -> Result<()> {
    let mut yard = Yard::start(plan())?;
    let mut trainer = Trainer::new(1);
    let entries: Vec<_> = yard.hosts.iter().map(|it| it.entry).collect();
    for victim in 0..3 {
        for _ in 0..3 {
            trainer.pull_any(&entries, FEED_BOUND)?;
        }
        yard.process(victim)?.freeze()?;
        let others = [entries[(victim + 1) % 3], entries[(victim + 2) % 3]];
        let fed = (0..5).try_for_each(|_| trainer.pull_any(&others, FEED_BOUND).map(drop));
        yard.process(victim)?.thaw()?;
        fed?;
        // Asks the former owner first, as soon as it wakes up.
        for _ in 0..5 {
            trainer.pull_any(&[entries[victim], others[0]], FEED_BOUND)?;
        }
        thread::sleep(Duration::from_secs(1));
    }
    Ok(())
}
