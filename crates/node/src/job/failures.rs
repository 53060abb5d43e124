//! Failed runs of items that this host knows of.
//!
//! A leader lists a failed item in the store as soon as it can, but may be lost before. The host that ran the item and the
//! leader both keep what they know beyond the leadership, and the next leader asks all hosts before it starts items. If it
//! alone knows of one, it tells another host, so that two hosts know of it again.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::{
    job::{Failure, Identity},
    prelude::*,
};

/// Items kept at most; with more, the one whose last failure is the oldest goes.
const ITEMS_MAX: usize = 2048;
/// Time for which a failure is kept. An item of a lost leader runs again within seconds.
const RETENTION: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Entry {
    failure: Failure,
    changed_at: Time,
}

/// Failures by item, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Failures {
    entries: Mutex<HashMap<Identity, Entry>>,
}

impl Failures {
    /// Adds what is known of an item.
    pub fn record(&self, item: Identity, failure: Failure, now: Time) {
        if failure.is_none() {
            return;
        }
        let mut entries = self.lock();
        if entries.len() >= ITEMS_MAX && !entries.contains_key(&item) {
            make_room(&mut entries, now);
        }
        let known = entries.get(&item).map(|entry| entry.failure).unwrap_or_default();
        entries.insert(item, Entry { failure: known.merged(failure), changed_at: now });
    }

    /// What is known of the items of a job.
    pub fn of_job(&self, job: &str) -> Vec<(Identity, Failure)> {
        let entries = self.lock();
        let of_job = entries.iter().filter(|(item, _)| &*item.job == job);
        of_job.map(|(item, entry)| (item.clone(), entry.failure)).collect()
    }

    /// What is known of all items.
    pub fn all(&self, now: Time) -> Vec<(Identity, Failure)> {
        let mut entries = self.lock();
        entries.retain(|_, entry| entry.is_fresh(now));
        let entries = entries.iter();
        entries.map(|(item, entry)| (item.clone(), entry.failure)).collect()
    }

    /// What is known of items here and not in another table.
    pub fn beyond(&self, other: &Self, now: Time) -> Vec<(Identity, Failure)> {
        let (mut all, others) = (self.all(now), other.lock());
        all.retain(|(item, failure)| {
            others.get(item).is_none_or(|known| known.failure.merged(*failure) != known.failure)
        });
        all
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Identity, Entry>> {
        // The state is consistent between any two statements that change it.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn is_fresh(&self, now: Time) -> bool {
        now < self.changed_at + RETENTION
    }
}

fn make_room(entries: &mut HashMap<Identity, Entry>, now: Time) {
    entries.retain(|_, entry| entry.is_fresh(now));
    if entries.len() < ITEMS_MAX {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, entry)| entry.changed_at);
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}
