//! What is known of one content.

use crate::{
    crash::{Effect, Run},
    prelude::*,
};

/// Strikes from which on a content may be held.
const STRIKES_MAX: usize = 3;
/// Ends that give no strike because their run made progress.
const PASSES_MAX: u32 = 3;
/// Trials that follow soon, as a content may only have been beside the one that ended the targets.
const EARLY_TRIALS: usize = 2;
/// Ends in all, with those that gave no strike, from which on a record is kept in the store: if all hosts are killed after the
/// first one, three more strikes and two trials are not too many.
const STORED_ENDS_MIN: usize = 2;
/// The same from which on no trial follows soon.
const EARLY_ENDS_MAX: usize = 6;
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Delay of all further trials.
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(3600);
/// Time since the last strike after which a record is dropped.
pub(super) const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time within which two records of an instance are one end: looks, messages and a host that stands still take that long.
pub(super) const SAME_END: Duration = Duration::from_millis(2500);
/// Strikes that are kept, the newest ones.
const STRIKES_KEPT: usize = 16;

/// An end of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strike {
    pub at: Time,
    pub target: TargetId,
    /// Start time of the instance in Unix milliseconds.
    pub started_ms: u64,
}

impl Strike {
    /// Whether both are one end. Hosts see it at different times and by different clocks. An instance that fell silent may be
    /// back as it was, and one that was started again may still be registered as it was before.
    fn is_same(&self, other: &Self) -> bool {
        self.target == other.target
            && self.started_ms == other.started_ms
            && self.at.abs_diff(other.at) < SAME_END
    }

    /// Adds what another host has seen of the same end. The first one saw it best.
    fn join(&mut self, other: &Self) {
        self.at = self.at.min(other.at);
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
/// few seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// In order of time.
    pub strikes: Vec<Strike>,
    /// Successes after strikes. The record with more of them is the newer one.
    pub clears: u64,
    /// Last event of the run that got furthest among those under which a target ended.
    pub furthest: u64,
    /// Ends that gave no strike.
    pub passes: u32,
    /// Start of the last trial.
    pub(super) tried_at: Option<Time>,
    /// Last ends that gave no strike, in order of time.
    pub passed: Vec<Strike>,
}

impl Record {
    pub fn new(mut strikes: Vec<Strike>, clears: u64, furthest: u64, passes: u32) -> Self {
        strikes.sort();
        Self { strikes, clears, furthest, passes, ..Self::default() }
    }

    /// Adds ends that gave no strike.
    pub fn with_passed(mut self, mut passed: Vec<Strike>) -> Self {
        passed.sort();
        self.passed = passed;
        self
    }

    /// Whether the run of an end made progress: it got further than any before, and the next one may go on from there. A run that
    /// starts at the beginning after another one has ended does the same work once more, so how far it gets says nothing.
    pub(super) fn is_progress(&self, run: Run) -> bool {
        let is_first = self.is_clear();
        run.resumable
            && (run.from > 0 || is_first)
            && run.reached > run.from
            && run.reached > self.furthest
    }

    /// Adds the strike that the end of a run gives.
    pub(super) fn strike(&mut self, end: Strike, run: Run) {
        self.furthest = self.furthest.max(run.reached);
        self.add(end);
    }

    /// Lets an end give no strike, unless that has happened a few times: some contents may end their targets after any event.
    pub(super) fn pass(&mut self, end: Strike, run: Run) -> bool {
        if self.passes >= PASSES_MAX {
            return false;
        }
        self.passes += 1;
        self.furthest = self.furthest.max(run.reached);
        self.add_passed(end);
        true
    }

    /// Adds an end that gave no strike. Returns whether it is news.
    fn add_passed(&mut self, end: Strike) -> bool {
        if self.passed.iter().any(|known| known.is_same(&end)) {
            return false;
        }
        // What one host excuses counts on no other.
        self.strikes.retain(|strike| !strike.is_same(&end));
        let position = self.passed.partition_point(|known| *known < end);
        self.passed.insert(position, end);
        if self.passed.len() <= PASSES_MAX as usize {
            return true;
        }
        self.passed.remove(0);
        position > 0
    }

    /// What is known of an end.
    pub(super) fn effect(&self, end: &Strike) -> Option<Effect> {
        let is_in = |ends: &[Strike]| ends.iter().any(|known| known.is_same(end));
        if is_in(&self.strikes) {
            return Some(Effect::Known);
        }
        is_in(&self.passed).then_some(Effect::Passed)
    }

    pub fn verdict(&self, now: Time) -> Verdict {
        let Some(last) = self.strikes.last().filter(|_| self.strikes.len() >= STRIKES_MAX) else {
            return if self.strikes.is_empty() { Verdict::Free } else { Verdict::Suspect };
        };
        let is_early =
            self.strikes.len() < STRIKES_MAX + EARLY_TRIALS && self.ends() < EARLY_ENDS_MAX;
        let delay = if is_early { EARLY_TRIAL_DELAY } else { LATE_TRIAL_DELAY };
        // A trial is due some time after the last one, or after the last strike.
        let due = self.tried_at.unwrap_or(last.at).max(last.at) + delay;
        if now < due { Verdict::Held(due) } else { Verdict::Trial }
    }

    /// Ends of targets that are known, with those that gave no strike.
    fn ends(&self) -> usize {
        self.strikes.len() + usize::try_from(self.passes).unwrap_or(usize::MAX / 2)
    }

    /// Whether the record is kept in the store, for hosts that are all started anew.
    pub fn is_stored(&self) -> bool {
        self.ends() >= STORED_ENDS_MIN
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
        if self.passed.iter().any(|known| known.is_same(&strike)) {
            return false;
        }
        if let Some(known) = self.strikes.iter_mut().find(|known| known.is_same(&strike)) {
            known.join(&strike);
            self.strikes.sort();
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

    /// Whether nothing is held against the content.
    pub(super) fn is_clear(&self) -> bool {
        self.strikes.is_empty() && self.passes == 0 && self.furthest == 0
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
        let is_newer = other.clears > self.clears;
        if is_newer {
            *self = Self { clears: other.clears, ..Self::default() };
        }
        let is_further = other.furthest > self.furthest || other.passes > self.passes;
        self.furthest = self.furthest.max(other.furthest);
        self.passes = self.passes.max(other.passes);
        let mut is_news = is_newer || is_further;
        for strike in without_doubles(other.strikes) {
            is_news |= self.add(strike);
        }
        for end in without_doubles(other.passed) {
            is_news |= self.add_passed(end);
        }
        // Two hosts may each have let other ends pass.
        self.passes = self.passes.max(u32::try_from(self.passed.len()).unwrap_or(u32::MAX));
        is_news
    }
}

/// Ends of a record, which are in order of time, without those that follow another one of their instance closely. This build
/// keeps no such ends, but an earlier one may list one end several times, the last time long after the first.
fn without_doubles(ends: Vec<Strike>) -> Vec<Strike> {
    let is_double =
        |(number, end): (usize, &Strike)| ends[..number].iter().any(|before| before.is_same(end));
    let doubles: Vec<bool> = ends.iter().enumerate().map(is_double).collect();
    ends.into_iter().zip(doubles).filter(|(_, double)| !double).map(|(end, _)| end).collect()
}
