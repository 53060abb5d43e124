//! Messages between the reader of a zone and the other hosts.

use bytes::Bytes;

use crate::{
    peer,
    prelude::*,
    store::{Change, Entry},
};

/// Requests the changes of a prefix.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangesRequest {
    #[prost(string, tag = "1")]
    pub prefix: String,
    /// Revision after which changes are requested; absent to request all entries.
    #[prost(uint64, optional, tag = "2")]
    pub after: Option<u64>,
    /// Time for which the response may wait for a change.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// Age up to which the reader's knowledge serves.
    #[prost(uint64, optional, tag = "4")]
    pub max_age_ms: Option<u64>,
}

/// An entry or, without a value, a removed key.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RawChange {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// Changes of a prefix, or all its entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Page {
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<RawChange>,
    /// Revision of the store from which the next request continues.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Time since the reader's knowledge was current.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The changes are not known any more; all entries have to be requested.
    #[prost(bool, tag = "4")]
    pub compacted: bool,
    /// Time since the store has answered the reader again after an outage.
    #[prost(uint64, optional, tag = "5")]
    pub recovered_ms: Option<u64>,
}

impl Page {
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Sets the times of a page that is sent at `now`.
    pub(super) fn set_times(&mut self, now: Time, current_at: Time, recovered_at: Option<Time>) {
        self.age_ms = peer::millis(now.saturating_sub(current_at));
        self.recovered_ms = recovered_at.map(|at| peer::millis(now.saturating_sub(at)));
    }
}

impl From<&Change> for RawChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Put(entry) => Self {
                key: entry.key.to_string(),
                value: Some(entry.value.clone()),
                revision: entry.revision,
            },
            Change::Removed { key, revision } => {
                Self { key: key.to_string(), value: None, revision: *revision }
            }
        }
    }
}

impl From<RawChange> for Change {
    fn from(raw: RawChange) -> Self {
        let (key, revision) = (raw.key.into(), raw.revision);
        match raw.value {
            Some(value) => Self::Put(Entry { key, value, revision }),
            None => Self::Removed { key, revision },
        }
    }
}
