//! Limit on the rate of calls of the platform's API.

use std::collections::VecDeque;

use crate::{backoff::doubled, prelude::*};

/// Length of the window in which calls are counted. It exceeds a second, as calls that are a second apart here may arrive
/// closer together.
const WINDOW: Duration = Duration::from_millis(1100);
/// Pause of all calls after the API has refused one as too many; doubles with each further one.
const PAUSE: Duration = Duration::from_millis(1500);
const PAUSE_MAX: Duration = Duration::from_secs(20);

/// Grants calls at a limited rate.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    called_at: VecDeque<Time>,
    paused_until: Time,
    refusals: u32,
}

impl Pacer {
    /// Whether a call may be sent now, at `calls_per_s`. If so, it counts as sent.
    pub fn take(&mut self, now: Time, calls_per_s: f64) -> bool {
        let (calls, window) = if calls_per_s >= 1.0 {
            (calls_per_s as usize, WINDOW)
        } else {
            (1, WINDOW.div_f64(calls_per_s.max(0.001)))
        };
        while self.called_at.front().is_some_and(|at| *at + window <= now) {
            self.called_at.pop_front();
        }
        if now < self.paused_until || self.called_at.len() >= calls {
            return false;
        }
        self.called_at.push_back(now);
        true
    }

    /// Records that the API refused a call as too many. `jitter` is from 0 to 1.
    pub fn refused(&mut self, now: Time, jitter: f64) {
        let pause = doubled(PAUSE, self.refusals, PAUSE_MAX);
        self.refusals += 1;
        self.paused_until = now + pause.mul_f64(1.0 + jitter / 2.0);
    }

    /// Records that the API accepted a call.
    pub fn accepted(&mut self) {
        self.refusals = 0;
    }
}
