//! Contents under which targets ended.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use log::{info, warn};

use crate::{
    crash::{Content, Evidence, Record, Strike, Verdict, ends::Ends, record::RETENTION},
    fleet::Target,
    logging::ms,
    prelude::*,
};

/// Records kept at most; with more, the one with the fewest strikes goes, and among those the oldest.
const RECORDS_MAX: usize = 4096;
/// Time for which a target that has ended is not looked at again: it may stay listed.
const LISTED_TIME: Duration = Duration::from_millis(1500);
/// Time for which a cleared record is kept, so that no delayed message brings its strikes back.
const CLEARED_RETENTION: Duration = Duration::from_secs(120);

/// Events of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Last event before the run; 0 for a run from the start, and for requests without events.
    pub from: u64,
    /// Last event of the run.
    pub reached: u64,
    /// Time from the start of the run to the last sign of life of its target.
    pub time: Duration,
}

/// What an end of a target means for a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The strike that it gives is known already.
    Known,
    /// It gives no strike.
    Passed,
    Struck,
}

impl Effect {
    /// Label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Passed => "passed",
            Self::Struck => "struck",
        }
    }
}

#[derive(Debug, Default)]
struct Entry {
    record: Record,
    touched_at: Time,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<Content, Entry>,
    ends: Ends,
}

/// Records by content, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
}

impl Table {
    /// Whether no content is known, so that none needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.lock().entries.is_empty()
    }

    pub fn verdict(&self, content: Content, now: Time) -> Verdict {
        let state = self.lock();
        state.entries.get(&content).map_or(Verdict::Free, |entry| entry.record.verdict(now))
    }

    /// The same for an item.
    pub fn item_verdict(&self, content: Content, now: Time) -> Verdict {
        let state = self.lock();
        let verdict = |entry: &Entry| entry.record.item_verdict(&state.ends, now);
        state.entries.get(&content).map_or(Verdict::Free, verdict)
    }

    /// Begins a trial if one is due. Returns whether it is.
    pub fn begin_trial(&self, content: Content, now: Time) -> bool {
        self.lock().begin_trial(content, now, |record, _| record.verdict(now))
    }

    /// The same for an item.
    pub fn begin_item_trial(&self, content: Content, now: Time) -> bool {
        self.lock().begin_trial(content, now, |record, ends| record.item_verdict(ends, now))
    }

    /// Takes back the trial that began at a time, as it reached no target. A later one goes on.
    pub fn cancel_trial(&self, content: Content, began_at: Time) {
        if let Some(entry) = self.lock().entries.get_mut(&content) {
            entry.record.tried_at = entry.record.tried_at.filter(|at| *at != began_at);
        }
    }

    /// Records that a target ended under a content. That gives no strike, a few times, if the run had got further than any
    /// before.
    pub fn ended(&self, content: Content, end: Strike, run: Run, now: Time) -> Effect {
        let mut state = self.lock();
        let is_further = state.entry(content, now).record.is_further(run);
        state.end(content, end, run, is_further, now)
    }

    /// The same for an item, whose earlier ends are all known here: it gives no strike, a few times, if another target ended
    /// at that moment.
    pub fn item_ended(&self, content: Content, end: Strike, run: Run, now: Time) -> Effect {
        let mut state = self.lock();
        let is_joint = state.has_joint_end(content, &end);
        state.end(content, end, run, is_joint, now)
    }

    /// Records that a target ran a content for a time and went on.
    pub fn survived(&self, content: Content, ran: Duration) {
        if let Some(entry) = self.lock().entries.get_mut(&content) {
            entry.record.survived = entry.record.survived.saturating_add(ran);
        }
    }

    /// Gives a content a strike.
    pub fn strike(&self, content: Content, end: Strike, now: Time) -> Effect {
        self.lock().strike(content, end, now)
    }

    /// Records that a target ended, whatever it ran.
    pub fn target_ended(&self, end: Strike) {
        self.lock().ends.note(&end);
    }

    /// Records a registration.
    pub fn target_registered(&self, target: &Target, now: Time) {
        self.lock().ends.register(target, now);
    }

    /// Records that a registration is gone, so that its target has ended unless it was leaving.
    pub fn target_deregistered(&self, target: &TargetId, now: Time) {
        self.lock().ends.deregister(target, now);
    }

    /// Records that a registration no longer counts, although its target may be alive.
    pub fn target_forgotten(&self, target: &TargetId) {
        self.lock().ends.forget(target);
    }

    /// What speaks for and against a content.
    pub fn evidence(&self, content: Content) -> Evidence {
        let state = self.lock();
        let evidence = |entry: &Entry| state.ends.evidence(&entry.record);
        state.entries.get(&content).map_or(Evidence::default(), evidence)
    }

    /// Whether an instance of a target is known to have ended just now.
    pub fn has_ended(&self, target: &TargetId, started_ms: u64, now: Time) -> bool {
        self.lock().ends.has_since(target, started_ms, now.saturating_sub(LISTED_TIME))
    }

    /// Records that a target has answered a content. Returns what it was before if that is news.
    pub fn answered(&self, content: Content, now: Time) -> Option<Verdict> {
        let mut state = self.lock();
        let entry = state.entries.get_mut(&content).filter(|it| !it.record.is_clear())?;
        let before = entry.record.verdict(now);
        info!(content:% = content, strikes = entry.record.strikes.len(); "content cleared by an answer");
        entry.record.clear();
        entry.touched_at = now;
        Some(before)
    }

    /// Adds what another host knows of a content. Returns whether that is news.
    pub fn merge(&self, content: Content, record: Record, now: Time) -> bool {
        let mut state = self.lock();
        let ends: Vec<Strike> = record.strikes.iter().chain(&record.passed).cloned().collect();
        let known = &mut state.entry(content, now).record;
        let is_news = known.merge(record);
        if is_news {
            info!(content:% = content, strikes = known.strikes.len(), passes = known.passes, clears = known.clears; "another host told of a content");
            for end in &ends {
                info!(content:% = content, target_id = &*end.target, born = end.started_ms, ran_ms = ms(end.ran), age_ms = ms(now.saturating_sub(end.at)); "another host told of an end");
                state.ends.note(end);
            }
        }
        is_news
    }

    pub fn record(&self, content: Content) -> Option<Record> {
        self.lock().entries.get(&content).map(|entry| entry.record.clone())
    }

    /// All records.
    pub fn all(&self) -> Vec<(Content, Record)> {
        let state = self.lock();
        state.entries.iter().map(|(content, entry)| (*content, entry.record.clone())).collect()
    }

    /// Number of contents that are held.
    pub fn held(&self, now: Time) -> usize {
        let state = self.lock();
        // Of a request and of an item alike, as a record does not say which it is.
        let is_held = |entry: &&Entry| {
            let verdicts = [entry.record.verdict(now), entry.record.item_verdict(&state.ends, now)];
            verdicts.iter().all(|it| matches!(it, Verdict::Held(_) | Verdict::Trial))
        };
        state.entries.values().filter(is_held).count()
    }

    /// Drops what is too old.
    pub fn sweep(&self, now: Time) {
        let mut state = self.lock();
        state.entries.retain(|_, entry| {
            let (since, time) = match entry.record.last_strike() {
                Some(at) => (at, RETENTION),
                None => (entry.touched_at, CLEARED_RETENTION),
            };
            now < since + time
        });
        state.ends.sweep(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent between any two statements that change it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Entry of a content, which takes the place of another one if there are too many.
    fn entry(&mut self, content: Content, now: Time) -> &mut Entry {
        if self.entries.len() >= RECORDS_MAX && !self.entries.contains_key(&content) {
            let least = self.entries.iter().min_by_key(|(content, entry)| {
                (entry.record.strikes.len(), entry.touched_at, **content)
            });
            if let Some(least) = least.map(|(content, _)| *content) {
                self.entries.remove(&least);
            }
        }
        let entry = self.entries.entry(content).or_default();
        entry.touched_at = now;
        entry
    }

    fn begin_trial(
        &mut self,
        content: Content,
        now: Time,
        verdict: impl Fn(&Record, &Ends) -> Verdict,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&content) else {
            return false;
        };
        let is_due = verdict(&entry.record, &self.ends) == Verdict::Trial;
        if is_due {
            entry.record.tried_at = Some(now);
            info!(content:% = content, strikes = entry.record.strikes.len(); "trial of a held content");
        }
        is_due
    }

    /// Records an end, which gives no strike if it is excused.
    fn end(
        &mut self,
        content: Content,
        end: Strike,
        run: Run,
        is_excused: bool,
        now: Time,
    ) -> Effect {
        let record = &mut self.entry(content, now).record;
        if let Some(effect) = record.effect(&end) {
            record.add(end);
            return effect;
        }
        if !is_excused || !record.pass(end.clone(), run) {
            return self.strike(content, end, now);
        }
        info!(content:% = content, target_id = &*end.target, born = end.started_ms, ran_ms = ms(end.ran), events = run.reached, passes = record.passes; "a target ended under a content without a strike");
        self.ends.note(&end);
        Effect::Passed
    }

    fn strike(&mut self, content: Content, end: Strike, now: Time) -> Effect {
        let record = &mut self.entry(content, now).record;
        if let Some(effect) = record.effect(&end) {
            record.add(end);
            return effect;
        }
        record.add(end.clone());
        let record = record.clone();
        self.ends.note(&end);
        let evidence = self.ends.evidence(&record);
        let (strikes, verdict) = (record.strikes.len(), record.verdict(now));
        let (ran_ms, age_ms) = (ms(end.ran), ms(now.saturating_sub(end.at)));
        warn!(content:% = content, target_id = &*end.target, born = end.started_ms, ran_ms, age_ms, strikes, verdict:? = verdict, evidence:% = evidence; "a target ended under a content");
        Effect::Struck
    }

    /// Whether a suspected content has an end at the same moment as one of a target that did not run it.
    fn has_joint_end(&self, content: Content, end: &Strike) -> bool {
        let own = self.entries.get(&content).map(|entry| &entry.record);
        let own = own.filter(|record| !record.strikes.is_empty());
        own.is_some_and(|record| self.ends.has_joint(record, end))
    }
}
