use std::{collections::VecDeque, time::Instant};

use crate::prelude::*;

/// Slots from which the rate is taken.
const EVENTS_MAX: usize = 64;
/// Fewer slots give no rate, because chance would decide about it.
const EVENTS_MIN: usize = 4;
/// Time without a free slot after which the rate is unknown.
const AGE_MAX: Duration = Duration::from_secs(1);

/// Rate at which slots became free recently while requests waited. While none waits, responses follow arrivals and tell nothing
/// of what targets could serve.
#[derive(Debug)]
pub struct Rate {
    /// Start of the measured time.
    since: Instant,
    freed: VecDeque<Instant>,
}

impl Rate {
    /// A rate of which nothing is known, measured from `now` on.
    pub fn new(now: Instant) -> Self {
        Self { since: now, freed: VecDeque::new() }
    }

    /// Records that a slot became free.
    pub fn record(&mut self, now: Instant) {
        if self.freed.len() == EVENTS_MAX {
            self.since = self.freed.pop_front().unwrap_or(self.since);
        }
        self.freed.push_back(now);
    }

    /// Slots per second; `None` if unknown.
    pub fn per_s(&self, now: Instant) -> Option<f64> {
        let is_current = self.is_recent(now) && self.freed.len() >= EVENTS_MIN;
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        (is_current && elapsed > 0.0).then(|| self.freed.len() as f64 / elapsed)
    }

    /// Whether a slot became free lately.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= AGE_MAX)
    }

    /// Time since a slot last became free.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.freed.back().map(|at| now.saturating_duration_since(*at))
    }
}
