//! Model engines and plain services that this host may send work to.

use std::collections::BTreeMap;

use crate::{core::World, prelude::*};

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Known from the host list, not yet polled.
    #[default]
    New,
    Live,
    /// Did not answer; probed now and then.
    Quarantined,
    /// Leaves; gets no new work.
    Leaving,
}

/// Load and versions as a target reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub running: u32,
    pub waiting: u32,
    pub kv_used_percent: u32,
    pub versions: BTreeMap<ModelId, Version>,
}

/// One target.
#[derive(Clone, Debug)]
pub struct Row {
    pub pool: PoolId,
    pub zone: ZoneId,
    pub address: Box<str>,
    pub state: State,
    /// Last load report, from our own poll or from the peer that polls it.
    pub report: Option<Report>,
    pub reported_at: Time,
    /// Own requests in flight when the report was taken.
    pub in_flight_then: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// A weight load is under way.
    pub swapping: bool,
    /// Failures in a row.
    pub failures: u32,
}

/// All targets of the fleet by name.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<TargetId, Row>,
}

/// Answer to a poll.
#[derive(Clone, Debug)]
pub struct Polled {
    pub target: TargetId,
    pub outcome: Outcome,
}

/// How a poll ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Report(Report),
    /// The target says that it leaves.
    Leaving,
    Unreachable,
}

/// Takes the answer to a poll.
pub fn polled(world: &mut World, polled: Polled) {
    let _ = (world, polled);
}

/// Takes a load report that the polling peer gossiped.
pub fn heard(world: &mut World, target: &TargetId, outcome: Outcome) {
    let _ = (world, target, outcome);
}

/// Polls the targets that this host is the poller of, and ends quarantines.
pub fn run(world: &mut World) {
    let _ = world;
}
