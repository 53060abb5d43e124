//! Contents under which targets ended.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use log::{info, warn};

use crate::{
    crash::{Content, Record, Strike, Verdict, record::RETENTION},
    logging::ms,
    prelude::*,
};

/// Records kept at most; with more, the one with the fewest strikes goes, and among those the oldest.
const RECORDS_MAX: usize = 4096;
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
    /// Whether another run may go on after its last event.
    pub resumable: bool,
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

    /// Whether a content may run.
    pub fn verdict(&self, content: Content, now: Time) -> Verdict {
        let state = self.lock();
        state.entries.get(&content).map_or(Verdict::Free, |entry| entry.record.verdict(now))
    }

    /// Begins a trial if one is due. Returns whether it is.
    pub fn begin_trial(&self, content: Content, now: Time) -> bool {
        let mut state = self.lock();
        let entry = state.entries.get_mut(&content);
        let due = entry.filter(|entry| entry.record.verdict(now) == Verdict::Trial);
        let Some(entry) = due else {
            return false;
        };
        entry.record.tried_at = Some(now);
        info!(content:% = content, strikes = entry.record.strikes.len(); "trial of a held content");
        true
    }

    /// Records that a target ended under a content. That gives no strike, a few times, if the run had made progress.
    pub fn ended(&self, content: Content, end: Strike, run: Run, now: Time) -> Effect {
        let mut state = self.lock();
        let record = &mut state.entry(content, now).record;
        if let Some(effect) = record.effect(&end) {
            record.add(end);
            return effect;
        }
        let (target_id, born, ran_ms) = (end.target.clone(), end.started_ms, ms(run.time));
        if record.is_progress(run) && record.pass(end.clone(), run) {
            info!(content:% = content, target_id = &*target_id, born, ran_ms, events = run.reached, passes = record.passes; "a target ended under a content without a strike");
            return Effect::Passed;
        }
        let age_ms = ms(now.saturating_sub(end.at));
        record.strike(end, run);
        let (strikes, verdict) = (record.strikes.len(), record.verdict(now));
        warn!(content:% = content, target_id = &*target_id, born, ran_ms, age_ms, events = run.reached, strikes, verdict:? = verdict; "a target ended under a content");
        Effect::Struck
    }

    /// Records that a target has answered a content. Returns what was known of it if that is news.
    pub fn answered(&self, content: Content, now: Time) -> Option<Record> {
        let mut state = self.lock();
        let entry = state.entries.get_mut(&content).filter(|it| !it.record.is_clear())?;
        let before = entry.record.clone();
        info!(content:% = content, strikes = before.strikes.len(); "content cleared by an answer");
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
                info!(content:% = content, target_id = &*end.target, born = end.started_ms, age_ms = ms(now.saturating_sub(end.at)); "another host told of an end");
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
        let is_held =
            |entry: &&Entry| matches!(entry.record.verdict(now), Verdict::Held(_) | Verdict::Trial);
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
}
