//! Software versions of a service's targets over time, as the store keeps them.
//!
//! Hosts remember which version began a stream. After a restart of all hosts, the versions that were in service lately
//! tell whether more than one can have begun it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time for which a version that has left counts; longer than a caller waits for a stream, by more than clocks differ.
const RETENTION: Duration = Duration::from_secs(60);

/// Versions of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Time of day in ms at which a version was found to have left, or `None` while it is registered.
    versions: BTreeMap<Software, Option<u64>>,
}

impl History {
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a value; `None` if another program has written it.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// History after the versions at hand were read; `None` if nothing has changed.
    pub fn updated(&self, registered: &BTreeSet<Software>, now_ms: u64) -> Option<Self> {
        let mut next = self.clone();
        for (version, left) in &mut next.versions {
            match registered.contains(version) {
                true => *left = None,
                false => *left = Some(left.unwrap_or(now_ms)),
            }
        }
        for version in registered {
            next.versions.entry(version.clone()).or_insert(None);
        }
        let changed = next != *self;
        next.versions.retain(|_, left| left.is_none_or(|left| !is_over(left, now_ms)));
        changed.then_some(next)
    }

    /// The only version that was in service lately, if it is the only one.
    pub fn only<'a>(
        &'a self,
        registered: impl Iterator<Item = &'a Software>,
        now_ms: u64,
    ) -> Option<Software> {
        let recent =
            self.versions.iter().filter(|(_, left)| left.is_none_or(|left| !is_over(left, now_ms)));
        let all: BTreeSet<&Software> =
            recent.map(|(version, _)| version).chain(registered).collect();
        (all.len() == 1).then(|| all.first().map(|version| (*version).clone())).flatten()
    }
}

fn is_over(left_ms: u64, now_ms: u64) -> bool {
    Duration::from_millis(now_ms.saturating_sub(left_ms)) > RETENTION
}
