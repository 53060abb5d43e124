//! Service-level objectives: counters and burn rates over several windows.
//!
//! The burn rate is the speed at which the error budget of an objective is used up; at 1 it lasts exactly for the
//! period of the objective. Counts are kept in buckets of 10 s per yard and as totals per trainer.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{Value, json};

use crate::{code::Kind, core::World, prelude::*};

/// Target share of callers' requests with a complete answer.
pub const ANSWERED_OBJECTIVE: f64 = 0.999;
/// Target share of time in which a trainer does not wait for a batch.
pub const BUSY_OBJECTIVE: f64 = 0.95;
/// Target share of samples that are delivered within the staleness bound.
pub const WITHIN_BOUND_OBJECTIVE: f64 = 0.99;

/// Windows over which burn rates are computed.
pub const WINDOWS: [(&str, Duration); 4] = [
    ("5m", Duration::from_secs(300)),
    ("30m", Duration::from_secs(1800)),
    ("1h", Duration::from_secs(3600)),
    ("6h", Duration::from_secs(21600)),
];

const BUCKET_LENGTH: Duration = Duration::from_secs(10);
/// Buckets of the longest window.
const BUCKETS_MAX: u64 = 2160;
/// Most yards and most trainers counted. Further names are ignored.
const NAMES_MAX: usize = 256;

/// Counters in time buckets.
#[derive(Debug, Default)]
pub struct Table {
    yards: BTreeMap<Box<str>, VecDeque<Bucket>>,
    trainers: BTreeMap<TrainerId, Totals>,
}

/// Counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    answered: Ratio,
    busy_ms: Ratio,
    within_bound: Ratio,
}

/// Good events out of all events.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    good: u64,
    total: u64,
}

/// Counts of one trainer since the start of this host.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    waited: Duration,
    total: Duration,
    delivered: u64,
    too_old: u64,
    /// Sum over the delivered samples.
    staleness: u64,
    staleness_max: u64,
}

impl Ratio {
    fn add(&mut self, good: u64, total: u64) {
        self.good = self.good.saturating_add(good);
        self.total = self.total.saturating_add(total);
    }

    fn sum(parts: impl Iterator<Item = Self>) -> Self {
        parts.fold(Self::default(), |mut sum, part| {
            sum.add(part.good, part.total);
            sum
        })
    }

    /// Burn rate of the error budget.
    fn burn(self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (1.0 - self.good as f64 / self.total as f64) / (1.0 - objective)
    }
}

impl Table {
    /// Counts a caller's request that ended. `code` is absent if the answer was complete.
    ///
    /// Requests that are rejected because of their own content are not counted, as they are not failures of the host.
    pub fn record_answer(&mut self, now: Time, yard: &str, code: Option<Code>) {
        if code.is_some_and(|code| code.kind() == Kind::Refused) {
            return;
        }
        if let Some(bucket) = self.bucket(now, yard) {
            bucket.answered.add(u64::from(code.is_none()), 1);
        }
    }

    /// Counts the time that a trainer waited for a batch, out of the time since its last batch.
    pub fn record_wait(
        &mut self,
        now: Time,
        yard: &str,
        trainer: &str,
        waited: Duration,
        total: Duration,
    ) {
        if let Some(bucket) = self.bucket(now, yard) {
            let total_ms = total.as_millis() as u64;
            bucket.busy_ms.add(total_ms.saturating_sub(waited.as_millis() as u64), total_ms);
        }
        if let Some(totals) = self.totals(trainer) {
            totals.waited += waited;
            totals.total += total;
        }
    }

    /// Counts a sample that was delivered with this staleness, or dropped as too old.
    pub fn record_sample(
        &mut self,
        now: Time,
        yard: &str,
        trainer: &str,
        staleness: u64,
        delivered: Delivery,
    ) {
        let good = u64::from(delivered == Delivery::Delivered);
        if let Some(bucket) = self.bucket(now, yard) {
            bucket.within_bound.add(good, 1);
        }
        let Some(totals) = self.totals(trainer) else {
            return;
        };
        match delivered {
            Delivery::Delivered => {
                totals.delivered += 1;
                totals.staleness = totals.staleness.saturating_add(staleness);
                totals.staleness_max = totals.staleness_max.max(staleness);
            }
            Delivery::TooOld => totals.too_old += 1,
        }
    }

    fn bucket(&mut self, now: Time, yard: &str) -> Option<&mut Bucket> {
        if !self.yards.contains_key(yard) && self.yards.len() >= NAMES_MAX {
            return None;
        }
        let number = number(now);
        let buckets = self.yards.entry(yard.into()).or_default();
        // Only buckets with counts are stored, so an idle yard takes no memory.
        if buckets.back().is_none_or(|last| last.number < number) {
            buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        buckets.back_mut()
    }

    fn totals(&mut self, trainer: &str) -> Option<&mut Totals> {
        if !self.trainers.contains_key(trainer) && self.trainers.len() >= NAMES_MAX {
            return None;
        }
        Some(self.trainers.entry(trainer.into()).or_default())
    }
}

fn number(now: Time) -> u64 {
    now.as_secs() / BUCKET_LENGTH.as_secs()
}

/// Whether a sample was delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Delivered,
    TooOld,
}

/// Removes buckets that are older than the longest window.
pub fn run(world: &mut World) {
    let oldest = (number(world.now) + 1).saturating_sub(BUCKETS_MAX);
    for buckets in world.burn.yards.values_mut() {
        while buckets.front().is_some_and(|bucket| bucket.number < oldest) {
            buckets.pop_front();
        }
    }
}

/// Burn rates of every yard over every window, and totals of every trainer.
pub fn report(world: &World) -> Value {
    let yards = world.burn.yards.iter().map(|(yard, buckets)| {
        let objectives = json!({
            "answered": objective(world.now, buckets, ANSWERED_OBJECTIVE, |bucket| bucket.answered),
            "trainer_busy": objective(world.now, buckets, BUSY_OBJECTIVE, |bucket| bucket.busy_ms),
            "samples_within_bound": objective(world.now, buckets, WITHIN_BOUND_OBJECTIVE, |bucket| bucket.within_bound),
        });
        (yard.to_string(), objectives)
    });
    let trainers = world.burn.trainers.iter().map(|(trainer, totals)| {
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let totals = json!({
            "idle_ms": totals.waited.as_millis() as u64,
            "total_ms": totals.total.as_millis() as u64,
            "idle_share": share(totals.waited.as_secs_f64(), totals.total.as_secs_f64()),
            "samples_delivered": totals.delivered,
            "samples_too_old": totals.too_old,
            "staleness_mean_versions": share(totals.staleness as f64, totals.delivered as f64),
            "staleness_max_versions": totals.staleness_max,
        });
        (trainer.to_string(), totals)
    });
    json!({
        "yards": yards.collect::<serde_json::Map<_, _>>(),
        "trainers": trainers.collect::<serde_json::Map<_, _>>(),
    })
}

fn objective(
    now: Time,
    buckets: &VecDeque<Bucket>,
    objective: f64,
    of: fn(&Bucket) -> Ratio,
) -> Value {
    let windows = WINDOWS.iter().map(|&(name, length)| {
        let first = (number(now) + 1).saturating_sub(length.as_secs() / BUCKET_LENGTH.as_secs());
        let ratio = Ratio::sum(buckets.iter().filter(|bucket| bucket.number >= first).map(of));
        let window =
            json!({ "good": ratio.good, "total": ratio.total, "burn": ratio.burn(objective) });
        (name.to_string(), window)
    });
    json!({ "objective": objective, "windows": windows.collect::<serde_json::Map<_, _>>() })
}
