//! Estimate of true time from the clocks of all hosts.
//!
//! A clock is known by its offset from the time since boot of this host, so a jump of this host's clock changes one offset
//! only. The median of the offsets ignores the clocks that jump, as long as most do not.

use std::collections::BTreeMap;

use crate::{clock, prelude::*};

/// Time for which an offset counts.
const AGE_MAX: Duration = Duration::from_secs(60);
/// Time for which a clock that was heard to be ahead outweighs one that is further behind: a message that waited, as all do
/// for a host that was suspended, shows its sender's clock behind.
const DELAY_MAX: Duration = Duration::from_secs(10);
/// Largest number of clocks that are remembered.
const CLOCKS_MAX: usize = 64;

/// A moment by both clocks of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    pub now: Time,
    /// Time of day in milliseconds.
    pub unix_ms: u64,
}

impl Moment {
    /// The present moment.
    pub fn present() -> Self {
        Self { now: clock::now(), unix_ms: clock::unix_ms() }
    }
}

/// A clock of another host, or what a host says of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    pub host: HostId,
    pub unix_ms: u64,
    /// Time since that clock was read.
    pub age: Duration,
}

/// Clocks of the hosts.
#[derive(Debug)]
pub struct Offsets {
    host: HostId,
    /// Offset of each other host in milliseconds, and the time at which its clock was read.
    others: BTreeMap<HostId, (i64, Time)>,
    /// Offset of true time, as last estimated.
    estimate: Option<i64>,
    /// Other hosts whose clocks went into the estimate.
    estimated_of: Vec<HostId>,
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

/// Offset of this host's time of day from its time since boot.
fn offset(moment: Moment) -> i64 {
    signed(moment.unix_ms).saturating_sub(signed(crate::peer::millis(moment.now)))
}

impl Offsets {
    /// Offsets of a host that knows no other clock.
    pub fn new(host: HostId) -> Self {
        Self { host, others: BTreeMap::new(), estimate: None, estimated_of: Vec::new() }
    }

    /// Records the clock of another host.
    pub fn record(&mut self, reading: &Reading, now: Time) {
        if reading.host == self.host || reading.age >= AGE_MAX {
            return;
        }
        let read_at = now.saturating_sub(reading.age);
        // `unix_ms` is that clock's time of day at this moment, whenever it was read.
        let reported = offset(Moment { now, unix_ms: reading.unix_ms });
        let is_better = match self.others.get(&reading.host) {
            Some((known, known_at)) if reported > *known => read_at + DELAY_MAX > *known_at,
            Some((known, known_at)) if reported == *known => read_at > *known_at,
            Some((_, known_at)) => read_at > *known_at + DELAY_MAX,
            None => self.others.len() < CLOCKS_MAX,
        };
        if !is_better {
            return;
        }
        self.others.insert(reading.host.clone(), (reported, read_at));
    }

    /// All clocks as known now, for other hosts.
    pub fn readings(&self, moment: Moment) -> Vec<Reading> {
        let Moment { now, unix_ms } = moment;
        let own = Reading { host: self.host.clone(), unix_ms, age: Duration::ZERO };
        let others = self.others.iter().map(|(host, (offset, read_at))| Reading {
            host: host.clone(),
            unix_ms: at(*offset, now),
            age: now.saturating_sub(*read_at),
        });
        std::iter::once(own).chain(others.filter(|reading| reading.age < AGE_MAX)).collect()
    }

    /// True time in milliseconds since the start of 1970.
    pub fn true_ms(&mut self, moment: Moment) -> u64 {
        let now = moment.now;
        self.others.retain(|_, (_, read_at)| now.saturating_sub(*read_at) < AGE_MAX);
        let mut offsets: Vec<i64> = self.others.values().map(|(offset, _)| *offset).collect();
        offsets.push(offset(moment));
        offsets.sort_unstable();
        let (low, high) = (offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]);
        if !self.others.keys().eq(&self.estimated_of) {
            (self.estimate, self.estimated_of) = (None, self.others.keys().cloned().collect());
        }
        // Between two middle clocks the estimate stays where it was, so that a jump of one of two clocks has no effect. A
        // host that has just learnt of a clock takes the lower one, as all hosts then do.
        let estimate = match self.estimate {
            Some(known) if known.abs_diff(high) < known.abs_diff(low) => high,
            _ => low,
        };
        self.estimate = Some(estimate);
        at(estimate, now)
    }
}

/// Time of day at `now`, by a clock with this offset.
fn at(offset: i64, now: Time) -> u64 {
    let ms = offset.saturating_add(signed(crate::peer::millis(now)));
    u64::try_from(ms).unwrap_or_default()
}
