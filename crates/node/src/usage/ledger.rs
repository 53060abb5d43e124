//! Settled windows, as stored under one key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{cloud::UsageReport, usage::Counts};

/// A settled window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    pub window: u64,
    pub counts: Counts,
}

impl From<Settled> for UsageReport {
    fn from(settled: Settled) -> Self {
        Self { window: settled.window, counts: settled.counts }
    }
}

/// Which windows are settled, and which of them the platform may not have received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// First window that is not settled.
    pub next: u64,
    /// Settled windows that are not known to be received, in order. Their counts never change.
    pub unsent: Vec<Settled>,
}

impl Ledger {
    /// Value under which it is stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a value; `None` if another program has written it.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Ledger in which further windows are settled, in order. Windows that need not be sent again are left out.
    pub fn settle(&self, counts: BTreeMap<u64, Counts>, done: impl Fn(u64) -> bool) -> Self {
        let next =
            counts.last_key_value().map_or(self.next, |(window, _)| window.saturating_add(1));
        let open = self.unsent.iter().filter(|settled| !done(settled.window)).cloned();
        let added = counts.into_iter().map(|(window, counts)| Settled { window, counts });
        Self { next: next.max(self.next), unsent: open.chain(added).collect() }
    }
}
