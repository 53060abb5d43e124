//! Limits known to a host.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use log::info;

use crate::{prelude::*, rate::Limit};

/// What is known of a target's limit; `limit` is `None` once the target has ceased to name one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    pub limit: Option<Limit>,
    /// Time at which the target's answer arrived at a host.
    pub heard_at: Time,
}

/// Limits by target, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Table {
    known: Mutex<HashMap<TargetId, News>>,
}

impl Table {
    /// Limit of a target, if it names one.
    pub fn limit(&self, target: &str) -> Option<Limit> {
        self.news(target)?.limit
    }

    /// What is known of a target; `None` if it has named no limit.
    pub fn news(&self, target: &str) -> Option<News> {
        self.lock().get(target).copied()
    }

    /// Records what an answer of a target says; `sent_at` is the time at which its request was sent. Returns whether the
    /// limit has begun, changed or ended.
    pub fn record(&self, target: &str, limit: Option<Limit>, sent_at: Time, now: Time) -> bool {
        let mut known = self.lock();
        let before = known.get(target).copied();
        // Answers overtake each other: one without a limit counts only if its request was sent after the limit was named.
        if limit.is_none() && before.is_none_or(|before| sent_at <= before.heard_at) {
            return false;
        }
        put(&mut known, target, before, News { limit, heard_at: now }, "answer")
    }

    /// Adopts what another host knows of a target, if that is newer. Returns whether the limit has changed.
    pub fn merge(&self, target: &str, news: News) -> bool {
        let mut known = self.lock();
        let before = known.get(target).copied();
        if before.map_or(news.limit.is_none(), |before| news.heard_at <= before.heard_at) {
            return false;
        }
        put(&mut known, target, before, news, "host")
    }

    /// Limits in force, by target.
    pub fn all(&self) -> Vec<(TargetId, News)> {
        let known = self.lock();
        let named = known.iter().filter(|(_, news)| news.limit.is_some());
        named.map(|(target, news)| (target.clone(), *news)).collect()
    }

    /// Forgets the targets that are not to be kept.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().retain(|target, _| keep(target));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetId, News>> {
        // The table is consistent between any two statements that change it.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn put(
    known: &mut HashMap<TargetId, News>,
    target: &str,
    before: Option<News>,
    news: News,
    source: &'static str,
) -> bool {
    known.insert(target.into(), news);
    let before = before.and_then(|before| before.limit);
    if before == news.limit {
        return false;
    }
    let per_second = |limit: Option<Limit>| limit.map_or(-1.0, Limit::per_second);
    info!(target_id = target, limit_per_s = per_second(news.limit), before_per_s = per_second(before), source; "limit of a target has changed; -1 is none");
    true
}
