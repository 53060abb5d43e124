//! What is known of one content.

use crate::{crash::Run, prelude::*};

/// Strikes from which on a content is held.
const STRIKES_MAX: usize = 3;
/// Ends that give no strike because their run got further than any before.
const PASSES_MAX: u32 = 3;
/// Trials that follow soon, as a content may only have been beside the one that ended the targets.
const EARLY_TRIALS: usize = 2;
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Delay of all further trials.
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(3600);
/// Time since the last strike after which a record is dropped.
pub(super) const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time within which two hosts that see an instance of a target end see the same end.
const SAME_END: Duration = Duration::from_millis(1000);
/// Strikes that are kept, the newest ones.
const STRIKES_KEPT: usize = STRIKES_MAX + EARLY_TRIALS;

/// An end of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strike {
    pub at: Time,
    pub target: TargetId,
    /// Start time of the instance in Unix milliseconds.
    pub started_ms: u64,
}

impl Strike {
    fn is_same(&self, other: &Self) -> bool {
        self.target == other.target
            && self.started_ms == other.started_ms
            && self.at.abs_diff(other.at) < SAME_END
    }
}

/// Whether a content may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Free,
    /// A target ended under it.
    Suspect,
    /// Not before a time.
    Held(Time),
    /// It is held, and a trial is due.
    Trial,
}

/// Strikes of a content. Records of several hosts merge to the same one, in any order, but for ends of one instance within a
/// second or two.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// In order of time.
    pub strikes: Vec<Strike>,
    /// Successes after strikes. The record with more of them is the newer one.
    pub clears: u64,
    /// Last event of the run that got furthest among those under which a target ended.
    pub furthest: u64,
    /// Ends that gave no strike, as their run got further than any before.
    pub passes: u32,
    /// Start of the last trial, unless it reached no target.
    pub(super) tried_at: Option<Time>,
}

impl Record {
    pub fn new(mut strikes: Vec<Strike>, clears: u64, furthest: u64, passes: u32) -> Self {
        strikes.sort();
        Self { strikes, clears, furthest, passes, tried_at: None }
    }

    /// Lets an end give no strike if its run got further than any before. One that ends its target does so at the same event
    /// again; but some may end theirs after any event, so this happens a few times only.
    pub(super) fn pass(&mut self, run: Run) -> bool {
        let is_further = run.reached > run.from && run.reached > self.furthest;
        if !is_further || self.passes >= PASSES_MAX {
            return false;
        }
        self.furthest = run.reached;
        self.passes += 1;
        true
    }

    pub fn verdict(&self, now: Time) -> Verdict {
        let Some(last) = self.strikes.last().filter(|_| self.strikes.len() >= STRIKES_MAX) else {
            return if self.strikes.is_empty() { Verdict::Free } else { Verdict::Suspect };
        };
        let is_early = self.strikes.len() < STRIKES_MAX + EARLY_TRIALS;
        let delay = if is_early { EARLY_TRIAL_DELAY } else { LATE_TRIAL_DELAY };
        let due = self.tried_at.unwrap_or(last.at).max(last.at) + delay;
        if now < due { Verdict::Held(due) } else { Verdict::Trial }
    }

    /// Whether the last strike is so old that the record is dropped.
    pub fn is_outdated(&self, now: Time) -> bool {
        self.last_strike().is_none_or(|at| now >= at + RETENTION)
    }

    /// Time of the last strike.
    pub(super) fn last_strike(&self) -> Option<Time> {
        self.strikes.last().map(|strike| strike.at)
    }

    /// Adds a strike. Returns whether it is news.
    pub(super) fn add(&mut self, strike: Strike) -> bool {
        if self.strikes.iter().any(|known| known.is_same(&strike)) {
            return false;
        }
        let position = self.strikes.partition_point(|known| *known < strike);
        self.strikes.insert(position, strike);
        if self.strikes.len() <= STRIKES_KEPT {
            return true;
        }
        // The oldest one goes, which is the added one if another host has told of an old end.
        self.strikes.remove(0);
        position > 0
    }

    /// Removes the strikes after a success.
    pub(super) fn clear(&mut self) {
        *self = Self { clears: self.clears.saturating_add(1), ..Self::default() };
    }

    /// Adds what another host knows. Returns whether it is news.
    pub(super) fn merge(&mut self, other: Self) -> bool {
        if other.clears < self.clears {
            return false;
        }
        if other.clears > self.clears {
            *self = Self { tried_at: None, ..other };
            self.strikes.drain(..self.strikes.len().saturating_sub(STRIKES_KEPT));
            return true;
        }
        let is_further = other.furthest > self.furthest || other.passes > self.passes;
        self.furthest = self.furthest.max(other.furthest);
        self.passes = self.passes.max(other.passes);
        let mut is_news = is_further;
        for strike in other.strikes {
            is_news |= self.add(strike);
        }
        is_news
    }
}
