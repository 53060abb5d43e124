//! Measured pace of a trainer and its samples, and the generation window derived from it.
//!
//! Samples are generated for the batch that the trainer waits for and for some steps ahead. More steps keep the trainer
//! from waiting; fewer keep the samples recent. The trainer's objective decides between the two.

use std::collections::VecDeque;

use crate::{file::Objective, prelude::*};

/// Most recent sample times that the 95th percentile is computed from.
const SAMPLE_TIMES_MAX: usize = 256;
/// Least sample times for a usable percentile.
const SAMPLE_TIMES_MIN: usize = 20;
/// Most steps generated ahead of the trainer, whatever its staleness bound allows.
pub const AHEAD_STEPS_MAX: u64 = 4;

/// A batch is late if the trainer waited longer than its step time divided by this.
const LATE_DIVISOR: u32 = 50;
/// Steps for which generation runs one step further ahead after a late batch.
const EXTRA_STEPS: u32 = 4;

/// Measurements of one stream.
#[derive(Debug, Default)]
pub struct Pace {
    /// Moving average of the trainer's step time, without its wait for a batch.
    pub step: Option<Duration>,
    /// Moving average of the versions that the trainer advances per step, in thousandths.
    versions_milli: Option<u64>,
    sample_times: VecDeque<Duration>,
    p95: Option<Duration>,
    mean: Duration,
    /// Steps for which generation still runs one step further ahead, because the trainer had to wait.
    extra_steps: u32,
    /// Time and version of the first answer with the last batch.
    last_answer: Option<(Time, Version)>,
}

/// Inputs of the window.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub now: Time,
    pub objective: Objective,
    pub groups_per_step: u64,
    pub samples_per_step: u64,
    /// See `Row::steps_within_bound`.
    pub max_steps: Option<u64>,
    /// Whether no batch has been offered for the trainer's cursor.
    pub lacks_batch: bool,
    /// Slots guaranteed to this trainer.
    pub slots: u64,
}

impl Pace {
    /// Records that the trainer moved to the next batch at this version.
    pub fn record_step(&mut self, now: Time, version: Version) {
        let Some((answered_at, answered_version)) = self.last_answer.take() else {
            return;
        };
        let step = now.saturating_sub(answered_at);
        self.step = Some(self.step.map_or(step, |old| (old * 3 + step) / 4));
        let versions = version.saturating_sub(answered_version).saturating_mul(1000);
        let smoothed =
            self.versions_milli.map_or(versions, |old| (old * 3 + versions.min(1_000_000)) / 4);
        self.versions_milli = Some(smoothed);
    }

    /// Records that a new batch was delivered after this wait.
    pub fn record_delivery(&mut self, now: Time, version: Version, waited: Duration) {
        self.last_answer = Some((now, version));
        let late = self.step.is_some_and(|step| waited > step / LATE_DIVISOR);
        self.extra_steps = if late { EXTRA_STEPS } else { self.extra_steps.saturating_sub(1) };
    }

    /// Versions that the trainer is expected to advance in a number of steps.
    pub fn versions(&self, steps: u64) -> u64 {
        (self.versions_milli.unwrap_or(1000).saturating_mul(steps) + 500) / 1000
    }

    /// Time of the first answer with the last batch.
    pub fn answered_at(&self) -> Option<Time> {
        self.last_answer.map(|(at, _)| at)
    }

    /// Records the generation time of a sample.
    pub fn record_sample(&mut self, time: Duration) {
        self.sample_times.push_back(time);
        if self.sample_times.len() > SAMPLE_TIMES_MAX {
            self.sample_times.pop_front();
        }
        self.mean = self.sample_times.iter().sum::<Duration>() / self.sample_times.len() as u32;
        self.p95 = (self.sample_times.len() >= SAMPLE_TIMES_MIN).then(|| {
            let mut times: Vec<Duration> = self.sample_times.iter().copied().collect();
            let place = times.len() * 95 / 100;
            *times.select_nth_unstable(place).1
        });
    }

    /// 95th percentile of the time per sample, once there are enough samples.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Expected time until the trainer pulls its next batch; zero if it waits or its pace is unknown.
    pub fn until_pull(&self, now: Time) -> Duration {
        match (self.last_answer, self.step) {
            (Some((at, _)), Some(step)) => (at + step).saturating_sub(now),
            _ => Duration::ZERO,
        }
    }

    /// Whether nearly all samples that start now end before the next pull.
    pub fn has_time(&self, now: Time) -> bool {
        self.p95.is_some_and(|p95| self.until_pull(now) > p95)
    }

    /// Undelivered prompts that may be in generation or held, including those of the batch that the trainer waits for.
    pub fn window(&self, demand: Demand) -> u64 {
        let Some(max_steps) = demand.max_steps else {
            return 0;
        };
        let ahead = max_steps.min(AHEAD_STEPS_MAX).min(self.steps_ahead(demand));
        demand.groups_per_step * (u64::from(demand.lacks_batch) + ahead)
    }

    /// Steps ahead that meet the trainer's objective.
    fn steps_ahead(&self, demand: Demand) -> u64 {
        // A margin of a quarter, because weight loads and callers take slots in between.
        let batch = self.batch_time(demand).map(|batch| batch * 5 / 4);
        let steps = match (batch, self.step) {
            (Some(batch), Some(step)) => {
                let step = step.as_millis().max(1);
                u64::try_from(batch.as_millis().div_ceil(step)).unwrap_or(AHEAD_STEPS_MAX).max(1)
            }
            _ => 1,
        };
        match demand.objective {
            Objective::Idle => steps + u64::from(self.extra_steps > 0 || self.step.is_none()),
            Objective::Staleness => {
                if self.has_time(demand.now) {
                    0
                } else {
                    steps
                }
            }
        }
    }

    /// Expected time to generate a batch.
    fn batch_time(&self, demand: Demand) -> Option<Duration> {
        let rounds = demand.samples_per_step as f64 / demand.slots.max(1) as f64;
        Some(self.mean.mul_f64(rounds.min(1e6)) + self.p95?)
    }
}
