//! Engines that end under the order to load a version.
//!
//! Some versions end each engine that loads them. Once several engines have ended under one version, it is tried on one engine
//! at a time, with growing pauses, until a load succeeds or a newer version is requested.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Ends from which on engines are tried one at a time.
const ENDS_MAX: u32 = 3;
/// Pause after the last of these, which doubles with each further end.
const PAUSE_MIN: Duration = Duration::from_secs(6);
const PAUSE_MAX: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: Version,
    ends: u32,
    /// Earliest time of the next order.
    next_at: Time,
}

/// Ends by model, under the newest version that has ended an engine.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    by_model: BTreeMap<ModelId, Entry>,
}

impl Ends {
    /// Number of engines, of `free`, that may begin to load a version while `loading` engines load one of the model.
    pub fn limit(
        &self,
        (model, version): (&str, Version),
        (loading, free): (usize, usize),
        now: Time,
    ) -> usize {
        match self.by_model.get(model) {
            Some(entry) if entry.version == version && entry.ends >= ENDS_MAX => {
                if loading > 0 || now < entry.next_at { 0 } else { free.min(1) }
            }
            _ => free,
        }
    }

    /// Records that an engine has ended under the order to load a version.
    pub fn ended(&mut self, model: &ModelId, version: Version, now: Time) {
        let first = Entry { version, ends: 0, next_at: Time::ZERO };
        let entry = self.by_model.entry(model.clone()).or_insert(first);
        if version < entry.version {
            return;
        }
        if version > entry.version {
            *entry = first;
        }
        entry.ends += 1;
        let doublings = entry.ends.saturating_sub(ENDS_MAX).min(u32::BITS - 1);
        entry.next_at = now + PAUSE_MIN.saturating_mul(1 << doublings).min(PAUSE_MAX);
    }

    /// Records that an engine has loaded a version.
    pub fn loaded(&mut self, model: &str, version: Version) {
        if self.by_model.get(model).is_some_and(|entry| entry.version <= version) {
            self.by_model.remove(model);
        }
    }
}
