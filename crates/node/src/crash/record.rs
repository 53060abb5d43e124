//! What is known of one content.

use crate::{
    crash::{Background, Effect, Evidence, Run, ends::Ends},
    prelude::*,
};

/// Strikes from which on a content may be held.
const STRIKES_MAX: usize = 3;
/// Ends that give no strike because their run got further than any before, or because other targets ended with them.
const PASSES_MAX: u32 = 3;
/// Trials that follow soon, as a content may only have been beside the one that ended the targets.
const EARLY_TRIALS: usize = 2;
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Delay of the next trials of an item, which may not be at no engine for 5 s.
const NEXT_TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Time after its third end from which on a content may end few targets more.
const LEARN_TIME: Duration = Duration::from_secs(3);
/// Such ends that trials of an item may cause, how many more once a target has ended without it, and how many there may be in
/// all.
const LATE_ENDS: usize = 1;
const DOUBT_ENDS: usize = 1;
const LATE_ENDS_MAX: usize = 3;
/// Delay of all further trials.
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(3600);
/// Time since the last strike after which a record is dropped.
pub(super) const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time within which two records of an instance are one end: looks, messages and a host that stands still take that long.
pub(super) const SAME_END: Duration = Duration::from_millis(2500);
/// Time within which targets end together.
const SAME_MOMENT: Duration = Duration::from_millis(1000);
/// Strikes that are kept, the newest ones.
const STRIKES_KEPT: usize = 16;

/// An end of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strike {
    pub at: Time,
    pub target: TargetId,
    /// Start time of the instance in Unix milliseconds.
    pub started_ms: u64,
    /// Time for which the target had run the content, up to its last sign of life.
    pub ran: Duration,
}

impl Strike {
    /// Whether both are one end. Hosts see it at different times and by different clocks. An instance that fell silent may be
    /// back as it was, and one that was started again may still be registered as it was before.
    fn is_same(&self, other: &Self) -> bool {
        self.is_of(&other.target, other.started_ms) && self.at.abs_diff(other.at) < SAME_END
    }

    /// Adds what another host has seen of the same end. The first one saw it best.
    fn join(&mut self, other: &Self) {
        self.at = self.at.min(other.at);
        self.ran = self.ran.max(other.ran);
    }

    /// Whether it is the end of an instance.
    pub(super) fn is_of(&self, target: &TargetId, started_ms: u64) -> bool {
        self.target == *target && self.started_ms == started_ms
    }

    /// Whether it happened at a moment.
    pub(super) fn is_at(&self, moment: Time) -> bool {
        self.at.abs_diff(moment) < SAME_MOMENT
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
    /// Start of the last trial, unless it reached no target.
    pub(super) tried_at: Option<Time>,
    /// Time of runs that ended while their target went on, as far as this host knows.
    pub(super) survived: Duration,
    /// Last ends that gave no strike, in order of time.
    pub passed: Vec<Strike>,
    /// Most ends without the content that a host knew at a strike.
    pub background: Background,
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

    /// Adds what a host knew of ends without the content.
    pub fn with_background(self, background: Background) -> Self {
        Self { background, ..self }
    }

    /// Whether the run of an end got further than any before. One that ends its target does so at the same event again.
    pub(super) fn is_further(&self, run: Run) -> bool {
        run.reached > run.from && run.reached > self.furthest
    }

    /// Lets an end give no strike, unless that has happened a few times: some contents may end their targets after any event,
    /// or when others do.
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
        let is_early = self.strikes.len() < STRIKES_MAX + EARLY_TRIALS;
        let delay = if is_early { EARLY_TRIAL_DELAY } else { LATE_TRIAL_DELAY };
        self.verdict_after(delay, now)
    }

    /// Evidence that speaks against the content.
    pub(super) fn suspicion(&self, ends: &Ends) -> Option<Evidence> {
        let is_judged = self.strikes.len() >= STRIKES_MAX;
        is_judged.then(|| ends.evidence(self)).filter(Evidence::speaks_against)
    }

    /// The same without the strikes that other records explain.
    pub(super) fn without(&self, others: &[&Self]) -> Self {
        let is_explained = |strike: &Strike| {
            others.iter().any(|other| other.knows_instance(&strike.target, strike.started_ms))
        };
        let (explained, strikes) = self.strikes.iter().cloned().partition(is_explained);
        // Explained ends were neither caused by the content nor without it.
        let passed = self.passed.iter().cloned().chain::<Vec<Strike>>(explained).collect();
        Self { strikes, passed, ..self.clone() }
    }

    /// Verdict on an item against which the evidence speaks.
    pub(super) fn held_verdict(&self, ends: &Ends, now: Time) -> Verdict {
        let delay = match self.strikes.len() {
            _ if !self.may_end_late(ends) => LATE_TRIAL_DELAY,
            strikes if strikes < STRIKES_MAX + EARLY_TRIALS => EARLY_TRIAL_DELAY,
            _ => NEXT_TRIAL_DELAY,
        };
        self.verdict_after(delay, now)
    }

    /// Whether a trial of an item may end a target late.
    fn may_end_late(&self, ends: &Ends) -> bool {
        let late = self.late_ends();
        if self.tried_at.is_some() {
            let doubt = if self.is_doubted(ends) { DOUBT_ENDS } else { 0 };
            return late < LATE_ENDS + doubt;
        }
        // With more, chance explained the ends until now, so the item has one trial; with as many, none is left.
        late != LATE_ENDS_MAX
    }

    /// A trial is due some time after the last one, or after the last strike.
    fn verdict_after(&self, delay: Duration, now: Time) -> Verdict {
        let Some(last) = self.strikes.last().filter(|_| self.strikes.len() >= STRIKES_MAX) else {
            return if self.strikes.is_empty() { Verdict::Free } else { Verdict::Suspect };
        };
        let due = self.tried_at.unwrap_or(last.at).max(last.at) + delay;
        if now < due { Verdict::Held(due) } else { Verdict::Trial }
    }

    /// Whether a target has ended without the content since its last strike, so that something else ends them.
    fn is_doubted(&self, ends: &Ends) -> bool {
        self.last_strike().is_some_and(|at| ends.has_later(self, at))
    }

    /// Number of ends that came later than the content was known by.
    fn late_ends(&self) -> usize {
        let mut times: Vec<Time> =
            self.strikes.iter().chain(&self.passed).map(|end| end.at).collect();
        times.sort();
        let known_by = times.get(STRIKES_MAX - 1).map_or(Time::MAX, |at| *at + LEARN_TIME);
        times.iter().filter(|at| **at > known_by).count()
    }

    /// Whether an instance ended under the content.
    pub(super) fn knows_instance(&self, target: &TargetId, started_ms: u64) -> bool {
        self.strikes.iter().chain(&self.passed).any(|end| end.is_of(target, started_ms))
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
        self.background = self.background.max(other.background);
        let is_further = other.furthest > self.furthest || other.passes > self.passes;
        self.furthest = self.furthest.max(other.furthest);
        self.passes = self.passes.max(other.passes);
        let mut is_news = is_newer || is_further;
        for strike in other.strikes {
            is_news |= self.add(strike);
        }
        for end in other.passed {
            is_news |= self.add_passed(end);
        }
        is_news
    }
}
