//! Slots that the next steps of the trainers will need.
//!
//! Load pattern: each trainer's steps recur at about the same interval, with about the same work, and a trainer has one or
//! two of them open. What a model's recent steps needed is therefore expected again around the time of its next one.

use std::collections::{BTreeMap, BTreeSet};

use crate::{prelude::*, scale::Step};

/// Share by which a peak falls towards a smaller value with each step.
const DECAY_PER_STEP: f64 = 0.2;
/// Weight of the last interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.5;
/// Shortest interval that counts; steps submitted together are one event.
const INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Earliest and latest time of the next step, in intervals since the last one.
const EARLIEST: f64 = 0.75;
const LATEST: f64 = 1.5;
/// Models that are remembered.
const MODELS_MAX: usize = 256;

/// What is known of the steps of one model.
#[derive(Clone, Debug, Default)]
struct Series {
    /// Open steps, with the slots that each needs from its start on.
    open: BTreeMap<JobId, f64>,
    /// Decaying peak of the slots that an ended step needed.
    peak: f64,
    /// Decaying peak of the number of steps open at once.
    peak_open: f64,
    submitted_at: Time,
    interval: Option<Duration>,
}

impl Series {
    fn opened(&mut self, submitted_at: Time) {
        let gap = submitted_at.saturating_sub(self.submitted_at);
        if gap < INTERVAL_MIN {
            return;
        }
        if !self.submitted_at.is_zero() {
            self.interval = Some(self.interval.map_or(gap, |average| {
                average.mul_f64(1.0 - INTERVAL_WEIGHT) + gap.mul_f64(INTERVAL_WEIGHT)
            }));
        }
        self.submitted_at = submitted_at;
    }

    /// Whether a step is open, or the next one may come within `lead`.
    fn is_due(&self, now: Time, lead: Duration) -> bool {
        let next = self.interval.is_some_and(|interval| {
            let earliest = self.submitted_at + interval.mul_f64(EARLIEST);
            now + lead >= earliest && now <= self.submitted_at + interval.mul_f64(LATEST) + lead
        });
        !self.open.is_empty() || next
    }

    fn slots(&self) -> f64 {
        let step = self.open.values().copied().fold(self.peak, f64::max);
        step * self.peak_open.max(self.open.len() as f64)
    }
}

/// Forecast of the steps of all models of a service.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    series: BTreeMap<ModelId, Series>,
}

impl Forecast {
    /// Updates the forecast with the steps that are open now. The estimate of a step's work gets better while it is open,
    /// so the last one counts.
    pub fn observe(&mut self, steps: &[Step]) {
        // A step without open items waits only for its trainer to end it.
        let steps: Vec<&Step> = steps.iter().filter(|step| step.open_items > 0).collect();
        let mut sorted = steps.clone();
        sorted.sort_by_key(|step| step.submitted_at);
        let open: BTreeSet<&JobId> = steps.iter().map(|step| &step.whole.job).collect();
        for series in self.series.values_mut() {
            let ended = series.open.iter().filter(|(job, _)| !open.contains(job));
            let ended = ended.map(|(_, slots)| *slots).max_by(f64::total_cmp);
            series.open.retain(|job, _| open.contains(job));
            if let Some(slots) = ended {
                series.peak = decayed(series.peak, slots);
            }
        }
        let mut grown: BTreeSet<&ModelId> = BTreeSet::new();
        for step in sorted {
            if !self.series.contains_key(&step.model) && self.series.len() >= MODELS_MAX {
                self.forget_oldest();
            }
            let series = self.series.entry(step.model.clone()).or_default();
            if series.open.insert(step.whole.job.clone(), step.slots_from_start()).is_none() {
                series.opened(step.submitted_at);
                grown.insert(&step.model);
            }
        }
        for model in grown {
            if let Some(series) = self.series.get_mut(model) {
                series.peak_open = decayed(series.peak_open, series.open.len() as f64);
            }
        }
    }

    /// Slots that the steps need that are open or may come within `lead`.
    pub fn slots(&self, now: Time, lead: Duration) -> f64 {
        self.series.values().filter(|series| series.is_due(now, lead)).map(Series::slots).sum()
    }

    fn forget_oldest(&mut self) {
        let closed = self.series.iter().filter(|(_, series)| series.open.is_empty());
        let oldest = closed.min_by_key(|(_, series)| series.submitted_at);
        if let Some(model) = oldest.map(|(model, _)| model.clone()) {
            self.series.remove(&model);
        }
    }
}

/// A peak after a new value: the value if it is higher, else the peak, lowered towards the value.
fn decayed(peak: f64, value: f64) -> f64 {
    (peak + (value - peak) * DECAY_PER_STEP).max(value)
}
