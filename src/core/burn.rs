//! Service-level counters and their burn over several windows.

use crate::{core::World, prelude::*};

/// Counters in time buckets.
#[derive(Debug, Default)]
pub struct Table {}

impl Table {
    /// Counts a caller's request that ended; `code` is absent when it was answered whole.
    pub fn answered(&mut self, now: Time, yard: &str, code: Option<Code>) {
        let _ = (now, yard, code);
    }

    /// Counts time that a trainer waited for a batch, out of the time since its last batch.
    pub fn pulled(&mut self, now: Time, yard: &str, trainer: &str, waited: Duration, total: Duration) {
        let _ = (now, yard, trainer, waited, total);
    }

    /// Counts a delivered sample by its distance from the trainer's version, or one thrown away as too old.
    pub fn sample(&mut self, now: Time, yard: &str, trainer: &str, staleness: u64, delivered: Delivery) {
        let _ = (now, yard, trainer, staleness, delivered);
    }
}

/// What became of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Delivered,
    TooOld,
}

/// Moves the time buckets on.
pub fn run(world: &mut World) {
    let _ = world;
}

/// Burn of each objective over its windows, for operators.
pub fn report(world: &World) -> serde_json::Value {
    let _ = world;
    serde_json::Value::Null
}
