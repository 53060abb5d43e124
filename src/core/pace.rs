//! Measured times of a trainer and its samples, and how far ahead to generate.

use std::collections::VecDeque;

use crate::{file::Objective, prelude::*};

/// Sample times kept for the 95th percentile.
const TIMES_MAX: usize = 256;
/// Fewer times than this give no usable percentile.
const TIMES_MIN: usize = 20;
/// Steps ahead of the trainer at most, whatever its bound allows.
pub const AHEAD_STEPS_MAX: u64 = 4;

/// A wait longer than this part of a step counts as late.
const LATE_PART: u32 = 50;
/// Steps for which generation starts earlier after a late batch.
const SPARE_STEPS: u32 = 4;

/// Measurements of one stream.
#[derive(Debug, Default)]
pub struct Pace {
    /// Time the trainer takes for a step, without its wait for a batch; smoothed.
    pub step: Option<Duration>,
    /// Versions that the trainer advances a step, in thousandths; smoothed.
    versions_milli: Option<u64>,
    times: VecDeque<Duration>,
    p95: Option<Duration>,
    mean: Duration,
    /// Steps for which generation still starts earlier, because the trainer had to wait.
    spare_steps: u32,
    /// When and at which version the last batch was first answered.
    answered: Option<(Time, Version)>,
}

/// What the window is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    pub now: Time,
    pub objective: Objective,
    pub groups_per_step: u64,
    pub samples_per_step: u64,
    /// Steps ahead for which samples made now stay within the bound; `None` if even a batch that is awaited would not.
    pub allowed: Option<u64>,
    /// Whether the trainer still lacks the batch of its cursor.
    pub awaited: bool,
    /// Slots that this trainer can count on.
    pub slots: u64,
}

impl Pace {
    /// The trainer moved to the next batch at this version.
    pub fn advanced(&mut self, now: Time, version: Version) {
        let Some((then, at)) = self.answered.take() else {
            return;
        };
        let step = now.saturating_sub(then);
        self.step = Some(self.step.map_or(step, |old| (old * 3 + step) / 4));
        let versions = version.saturating_sub(at).saturating_mul(1000);
        let smoothed =
            self.versions_milli.map_or(versions, |old| (old * 3 + versions.min(1_000_000)) / 4);
        self.versions_milli = Some(smoothed);
    }

    /// A new batch was answered after this wait.
    pub fn answered(&mut self, now: Time, version: Version, waited: Duration) {
        self.answered = Some((now, version));
        let late = self.step.is_some_and(|step| waited > step / LATE_PART);
        self.spare_steps = if late { SPARE_STEPS } else { self.spare_steps.saturating_sub(1) };
    }

    /// Versions by which the trainer advances in a number of steps.
    pub fn versions(&self, steps: u64) -> u64 {
        (self.versions_milli.unwrap_or(1000).saturating_mul(steps) + 500) / 1000
    }

    /// When the last batch was answered.
    pub fn answered_at(&self) -> Option<Time> {
        self.answered.map(|(at, _)| at)
    }

    /// A sample took this long.
    pub fn sampled(&mut self, time: Duration) {
        self.times.push_back(time);
        if self.times.len() > TIMES_MAX {
            self.times.pop_front();
        }
        self.mean = self.times.iter().sum::<Duration>() / self.times.len() as u32;
        self.p95 = (self.times.len() >= TIMES_MIN).then(|| {
            let mut times: Vec<Duration> = self.times.iter().copied().collect();
            let place = times.len() * 95 / 100;
            *times.select_nth_unstable(place).1
        });
    }

    /// 95th percentile of the time per sample, once enough samples were seen.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Time until the trainer asks for its next batch; zero if it waits or its pace is unknown.
    pub fn until_pull(&self, now: Time) -> Duration {
        match (self.answered, self.step) {
            (Some((at, _)), Some(step)) => (at + step).saturating_sub(now),
            _ => Duration::ZERO,
        }
    }

    /// Whether nearly all samples that start a little later still end before the next pull.
    pub fn has_time(&self, now: Time) -> bool {
        self.p95.is_some_and(|p95| self.until_pull(now) > p95)
    }

    /// Open prompts that may be in generation or held, the batch that the trainer waits for included.
    pub fn window(&self, need: Need) -> u64 {
        let Some(allowed) = need.allowed else {
            return 0;
        };
        let ahead = allowed.min(AHEAD_STEPS_MAX).min(self.wanted(need));
        need.groups_per_step * (u64::from(need.awaited) + ahead)
    }

    /// Steps ahead that keep the trainer from waiting.
    fn wanted(&self, need: Need) -> u64 {
        // A quarter more than the expected time, because loads and callers take slots in between.
        let batch = self.batch_time(need).map(|batch| batch * 5 / 4);
        let steps = match (batch, self.step) {
            (Some(batch), Some(step)) => {
                let step = step.as_millis().max(1);
                u64::try_from(batch.as_millis().div_ceil(step)).unwrap_or(AHEAD_STEPS_MAX).max(1)
            }
            _ => 1,
        };
        match need.objective {
            Objective::Idle => steps + u64::from(self.spare_steps > 0 || self.step.is_none()),
            Objective::Staleness => {
                if self.has_time(need.now) {
                    0
                } else {
                    steps
                }
            }
        }
    }

    /// Expected time to generate one batch.
    fn batch_time(&self, need: Need) -> Option<Duration> {
        let rounds = need.samples_per_step as f64 / need.slots.max(1) as f64;
        Some(self.mean.mul_f64(rounds.min(1e6)) + self.p95?)
    }
}
