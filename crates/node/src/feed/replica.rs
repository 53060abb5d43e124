//! Copies of prefixes that the reader of a zone keeps for the other hosts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{
    clock,
    contact::Outage,
    feed::{ChangesRequest, Page, Snapshot},
    peer,
    prelude::*,
    store::{Change, Entry},
};

/// Largest number of removed keys of a prefix that are remembered.
const REMOVED_MAX: usize = 2000;
/// Time for which an outage of the store is reported after its end.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2500);
/// Time for which a request waits until the reader's knowledge is young enough.
const REFRESH_WAIT: Duration = Duration::from_millis(40);

/// A proof is newer than another only if it is so by more than the time for which messages between hosts travel.
const PROOF_MARGIN_MS: i64 = 50;

/// Milliseconds of a message as a signed number. No host has been up for longer than the limit.
fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}

/// Replica of a prefix.
#[derive(Debug)]
struct Replica {
    entries: BTreeMap<Box<str>, Entry>,
    /// Removed keys by the revision of their removal.
    removed: VecDeque<(Revision, Box<str>)>,
    /// Revision from which on all removed keys are known.
    complete_from: Revision,
    revision: Revision,
    /// Time at which the copy was current; `None` if the prefix is followed.
    current_at: Option<Time>,
    /// Time up to which the copy has all changes.
    heard_at: Time,
    /// Time at which a read of the store proved the copy.
    proven_at: Option<Time>,
}

#[derive(Debug, Default)]
struct State {
    /// This host reads for its zone.
    serving: bool,
    /// Copies of the prefixes that the store has answered for last.
    copies: BTreeMap<Box<str>, Replica>,
    /// Last outage of the store.
    outage: Option<Outage>,
}

/// Copies shared by the control thread, which fills them, and the traffic thread, which serves them.
#[derive(Debug, Default)]
pub struct Feed {
    state: Mutex<State>,
    changed: Notify,
    refresh: Notify,
}

impl Feed {
    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or stops to read for the zone.
    pub fn set_serving(&self, serving: bool) {
        let mut state = self.state();
        state.serving = serving;
        state.copies.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether this host reads for its zone and has no copy of a prefix yet.
    pub fn lacks(&self, prefix: &str) -> bool {
        let state = self.state();
        state.serving && !state.copies.contains_key(prefix)
    }

    /// Returns once this host has to read a prefix for its zone.
    pub async fn wait_until_lacking(&self, prefix: &str) {
        loop {
            let changed = self.changed.notified();
            if self.lacks(prefix) {
                return;
            }
            changed.await;
        }
    }

    /// Replaces the copy of a prefix. `current_at` is the time at which a prefix that is not followed was current.
    pub fn reset(&self, prefix: &str, snapshot: &Snapshot, current_at: Option<Time>) {
        let mut state = self.state();
        if !state.serving {
            return;
        }
        let entries = snapshot.entries.iter().map(|entry| (entry.key.clone(), entry.clone()));
        let copy = Replica {
            entries: entries.collect(),
            removed: VecDeque::new(),
            complete_from: snapshot.revision,
            revision: snapshot.revision,
            current_at,
            heard_at: snapshot.current_at,
            proven_at: snapshot.proven_at,
        };
        state.copies.insert(prefix.into(), copy);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Adds the changes up to a time to the copy of a prefix.
    pub fn extend(&self, prefix: &str, changes: &[Change], revision: Revision, heard_at: Time) {
        let mut state = self.state();
        if let Some(copy) = state.copies.get_mut(prefix) {
            changes.iter().for_each(|change| copy.apply(change));
            copy.revision = copy.revision.max(revision);
            copy.heard_at = copy.heard_at.max(heard_at);
            copy.current_at = copy.current_at.map(|at| at.max(heard_at));
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Records that a read of the store has proved the copy of a prefix.
    pub fn prove(&self, prefix: &str, at: Time) {
        if let Some(copy) = self.state().copies.get_mut(prefix) {
            copy.proven_at = copy.proven_at.max(Some(at));
        }
        self.changed.notify_waiters();
    }

    /// Drops the copy of a prefix, because the store does not answer for it.
    pub fn fail(&self, prefix: &str) {
        self.state().copies.remove(prefix);
        self.changed.notify_waiters();
    }

    /// Records an outage of the store that is over.
    pub fn record_outage(&self, outage: Outage) {
        self.state().outage = Some(outage);
    }

    /// Forgets an outage in which the store was there for other hosts.
    pub fn refute_outage(&self, outage: &Outage) {
        self.state().outage.take_if(|known| known.ended_at <= outage.ended_at);
    }

    /// Returns once a request needs younger copies of prefixes that are read on demand.
    pub async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// Serves a request; `None` if this host does not read for its zone or has lost the store.
    pub async fn serve(&self, request: &ChangesRequest) -> Option<Page> {
        let (received_at, known_ms) = (clock::now(), request.proven_ms.map(signed));
        let deadline = Instant::now() + peer::duration(request.wait_ms);
        let refresh_by = Instant::now() + REFRESH_WAIT;
        let max_age = request.max_age_ms.map(Duration::from_millis);
        loop {
            let changed = self.changed.notified();
            let page = self.page(request, received_at)?;
            let is_young = max_age.is_none_or(|max_age| page.age() <= max_age);
            let newer_ms = page.proven_after_ms.zip(known_ms).map(|(at, known)| at + known);
            let has_news = request.after.is_none()
                || page.compacted
                || !page.changes.is_empty()
                || newer_ms.is_some_and(|ms| ms > PROOF_MARGIN_MS);
            let until = match (is_young, has_news) {
                (true, true) => return Some(page),
                (true, false) if Instant::now() >= deadline => return Some(page),
                (true, false) => deadline,
                (false, _) if Instant::now() >= refresh_by => return Some(page),
                (false, _) => {
                    self.refresh.notify_one();
                    refresh_by
                }
            };
            // After a timeout the state is checked in the same way as after a change.
            let _ = timeout_at(until, changed).await;
        }
    }

    fn page(&self, request: &ChangesRequest, received_at: Time) -> Option<Page> {
        let state = self.state();
        let copy = state.copies.get(&*request.prefix).filter(|_| state.serving)?;
        let mut page = copy.page(request.after);
        let now = clock::now();
        let outage = state.outage.filter(|outage| now < outage.ended_at + RECOVERY_PERIOD);
        page.set_times(now, copy.current_at.unwrap_or(now), outage);
        let since = |at: Time| match at.checked_sub(received_at) {
            Some(after) => signed(peer::millis(after)),
            // Rounded away from the present.
            None => -1 - signed(peer::millis(received_at.saturating_sub(at))),
        };
        page.proven_after_ms = copy.proven_at.map(since);
        page.heard_after_ms = copy.current_at.is_none().then(|| since(copy.heard_at));
        Some(page)
    }
}

impl Replica {
    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => {
                let known = self.entries.get(&entry.key).map_or(0, |known| known.revision);
                if entry.revision > known {
                    self.entries.insert(entry.key.clone(), entry.clone());
                }
            }
            Change::Removed { key, revision } => {
                let known = self.entries.get(key).map_or(0, |known| known.revision);
                if *revision >= known && self.entries.remove(key).is_some() {
                    self.removed.push_back((*revision, key.clone()));
                }
                if self.removed.len() > REMOVED_MAX
                    && let Some((revision, _)) = self.removed.pop_front()
                {
                    self.complete_from = revision;
                }
            }
        }
    }

    /// Changes after a revision, or all entries.
    fn page(&self, after: Option<Revision>) -> Page {
        if after.is_some_and(|after| after < self.complete_from) {
            return Page { compacted: true, ..Page::default() };
        }
        let after = after.unwrap_or_default();
        let puts = self.entries.values().filter(|entry| entry.revision > after);
        let removed = self.removed.iter().filter(|(revision, _)| *revision > after);
        let puts = puts.map(|entry| Change::Put(entry.clone()));
        let removed = removed
            .filter(|(_, key)| !self.entries.contains_key(key))
            .map(|(revision, key)| Change::Removed { key: key.clone(), revision: *revision });
        let changes = removed.chain(puts).map(|change| (&change).into()).collect();
        Page { changes, revision: self.revision.max(after), ..Page::default() }
    }
}
