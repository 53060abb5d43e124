//! Contents under which targets ended.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use log::{info, warn};

use crate::{
    crash::{Content, Record, Strike, Verdict, record::RETENTION},
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

#[derive(Debug, Default)]
struct Entry {
    record: Record,
    touched_at: Time,
}

/// Records by content, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Table {
    entries: Mutex<HashMap<Content, Entry>>,
}

impl Table {
    /// Whether no content is known, so that none needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    pub fn verdict(&self, content: Content, now: Time) -> Verdict {
        self.lock().get(&content).map_or(Verdict::Free, |entry| entry.record.verdict(now))
    }

    /// Begins a trial if one is due. Returns whether it is.
    pub fn begin_trial(&self, content: Content, now: Time) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&content) else {
            return false;
        };
        let is_due = entry.record.verdict(now) == Verdict::Trial;
        if is_due {
            entry.record.tried_at = Some(now);
            info!(content:% = content, strikes = entry.record.strikes.len(); "trial of a held content");
        }
        is_due
    }

    /// Takes back a trial that reached no target.
    pub fn cancel_trial(&self, content: Content) {
        if let Some(entry) = self.lock().get_mut(&content) {
            entry.record.tried_at = None;
        }
    }

    /// Records that a target ended under a content.
    pub fn ended(&self, content: Content, strike: Strike, run: Run, now: Time) -> Effect {
        let mut entries = self.lock();
        let entry = entry(&mut entries, content, now);
        if entry.record.pass(run) {
            return Effect::Passed;
        }
        let target = strike.target.clone();
        if !entry.record.add(strike) {
            return Effect::Known;
        }
        let (strikes, verdict) = (entry.record.strikes.len(), entry.record.verdict(now));
        warn!(content:% = content, target_id = &*target, strikes, verdict:? = verdict; "a target ended under a content");
        Effect::Struck
    }

    /// Records that a target has answered a content. Returns what it was before if that is news.
    pub fn answered(&self, content: Content, now: Time) -> Option<Verdict> {
        let mut entries = self.lock();
        let entry = entries.get_mut(&content).filter(|it| it.record != cleared(&it.record))?;
        let before = entry.record.verdict(now);
        info!(content:% = content, strikes = entry.record.strikes.len(); "content cleared by an answer");
        entry.record.clear();
        entry.touched_at = now;
        Some(before)
    }

    /// Adds what another host knows of a content. Returns whether that is news.
    pub fn merge(&self, content: Content, record: Record, now: Time) -> bool {
        let mut entries = self.lock();
        let is_news = entry(&mut entries, content, now).record.merge(record);
        if is_news {
            let record = &entries[&content].record;
            info!(content:% = content, strikes = record.strikes.len(), clears = record.clears; "another host told of a content");
        }
        is_news
    }

    pub fn record(&self, content: Content) -> Option<Record> {
        self.lock().get(&content).map(|entry| entry.record.clone())
    }

    /// All records.
    pub fn all(&self) -> Vec<(Content, Record)> {
        let entries = self.lock();
        entries.iter().map(|(content, entry)| (*content, entry.record.clone())).collect()
    }

    /// Number of contents that are held.
    pub fn held(&self, now: Time) -> usize {
        let entries = self.lock();
        let is_held =
            |entry: &&Entry| matches!(entry.record.verdict(now), Verdict::Held(_) | Verdict::Trial);
        entries.values().filter(is_held).count()
    }

    /// Drops what is too old.
    pub fn sweep(&self, now: Time) {
        self.lock().retain(|_, entry| {
            let (since, time) = match entry.record.last_strike() {
                Some(at) => (at, RETENTION),
                None => (entry.touched_at, CLEARED_RETENTION),
            };
            now < since + time
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Content, Entry>> {
        // The state is consistent between any two statements that change it.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Record as it is after a success, without a further one.
fn cleared(record: &Record) -> Record {
    Record { clears: record.clears, ..Record::default() }
}

/// Entry of a content, which takes the place of another one if there are too many.
fn entry(entries: &mut HashMap<Content, Entry>, content: Content, now: Time) -> &mut Entry {
    if entries.len() >= RECORDS_MAX && !entries.contains_key(&content) {
        let least = entries.iter().min_by_key(|(content, entry)| {
            (entry.record.strikes.len(), entry.touched_at, **content)
        });
        if let Some(least) = least.map(|(content, _)| *content) {
            entries.remove(&least);
        }
    }
    let entry = entries.entry(content).or_default();
    entry.touched_at = now;
    entry
}
