//! Whether so many ends under a content can be chance.

use std::fmt;

use crate::prelude::*;

/// Probability below which the first ends that are judged are not put down to chance. It halves with each further end, so that
/// all decisions on a sound content together are wrong with at most twice this probability.
const CHANCE_MIN: f64 = 0.001;
/// Number of ends that are judged first.
const ENDS_MIN: usize = 3;

/// Ends of targets under a content and without it, from its first run under which one ended to the last end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends under the content.
    pub ends: usize,
    /// Time for which targets ran the content.
    pub ran: Duration,
    /// Ends of targets of the service that did not run the content.
    pub others: usize,
    /// Time for which targets of the service were up, with or without the content.
    pub time: Duration,
}

impl Evidence {
    /// Probability that at least so many of all ends come under a sound content.
    ///
    /// If targets end at the same rate with and without the content, each end comes under it with the content's share of the
    /// time, so their number is binomial. This is the conditional test of two Poisson rates (Przyborowski and Wilenski,
    /// Biometrika 31, 1940).
    pub fn chance(&self) -> f64 {
        let share = self.ran.as_secs_f64() / self.time.as_secs_f64().max(f64::MIN_POSITIVE);
        if share >= 1.0 {
            return 1.0;
        }
        let all = (self.ends + self.others) as f64;
        // Probability of each number of ends below the known one, from none up.
        let mut probability = (1.0 - share).powf(all);
        let mut below = 0.0;
        for ends in 0..self.ends {
            below += probability;
            let ends = ends as f64;
            probability *= (all - ends) / (ends + 1.0) * share / (1.0 - share);
        }
        1.0 - below
    }

    /// Whether the content itself seems to end its targets.
    pub fn speaks_against(&self) -> bool {
        let halvings = self.ends.saturating_sub(ENDS_MIN);
        self.chance() < CHANCE_MIN * 0.5_f64.powf(halvings as f64)
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ends, ran, others, time } = self;
        let (ran, time, chance) = (ran.as_millis(), time.as_millis(), self.chance());
        write!(f, "ends={ends} ran_ms={ran} others={others} time_ms={time} chance={chance:.5}")
    }
}
