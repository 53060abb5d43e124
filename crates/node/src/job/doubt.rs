//! Doubt about an item whose runs broke.
//!
//! Load pattern: engines end one after the other, or many at once, under items that have to be done. An item is never held for
//! that. It resumes at once if its last run made events, and else after a short delay that grows, so that it does not run from
//! engine to engine faster than news of their ends spread. It goes to engines that run nothing else where there are such.

use crate::{backoff::doubled, prelude::*};

/// Delay after the second run in a row that broke without an event between them; the first one is followed at once. It doubles
/// with each further one.
const DELAY: Duration = Duration::from_millis(20);
const DELAY_MAX: Duration = Duration::from_millis(320);
/// All delays since the last event, after which the backoffs of engines alone limit the rate of attempts. An item that is at no
/// engine for 5 s counts as lost, and looking for one takes time too.
const DELAYS_MAX: Duration = Duration::from_millis(1500);

/// Runs of an item that broke since its last run that ended otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Doubt {
    breaks: u32,
    /// Breaks since the last event.
    fruitless: u32,
    /// Delays since the last event.
    delayed: Duration,
    /// An engine may be tried of which nothing was heard lately.
    allows_untested: bool,
}

impl Doubt {
    /// Records that a run broke, which has made events or not. Returns the delay of the next run.
    ///
    /// `connection_broke` tells that the engine ended the connection, so that others which have ended would refuse one at once.
    pub fn raise(&mut self, has_advanced: bool, connection_broke: bool) -> Duration {
        self.breaks = self.breaks.saturating_add(1);
        self.allows_untested = connection_broke;
        if has_advanced {
            (self.fruitless, self.delayed) = (0, Duration::ZERO);
        }
        let delay = match self.fruitless {
            0 => Duration::ZERO,
            repeated => doubled(DELAY, repeated - 1, DELAY_MAX),
        };
        let delay = delay.min(DELAYS_MAX.saturating_sub(self.delayed));
        self.fruitless = self.fruitless.saturating_add(1);
        self.delayed += delay;
        delay
    }

    /// Records that an engine could not be reached.
    pub fn forbid_untested(&mut self) {
        self.allows_untested = false;
    }

    /// Whether the item is in doubt.
    pub fn is_raised(&self) -> bool {
        self.breaks > 0
    }

    /// Number of runs that broke.
    pub fn breaks(&self) -> u32 {
        self.breaks
    }

    /// Whether an engine may be tried of which nothing was heard lately, although another one was.
    pub fn allows_untested(&self) -> bool {
        self.allows_untested
    }
}
