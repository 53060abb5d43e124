//! Messages between the reader of a zone and the other hosts.

use bytes::Bytes;

use crate::{
    contact::Outage,
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
    /// Time since what the requester knows was proven, if the response shall come as soon as the reader has a newer proof.
    #[prost(uint64, optional, tag = "5")]
    pub proven_ms: Option<u64>,
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
    /// Time from the arrival of the request until the reader's knowledge was proven by a read of the store; negative if that was
    /// before. A response that waits thus loses nothing of its age to the wait.
    #[prost(sint64, optional, tag = "6")]
    pub proven_after_ms: Option<i64>,
    /// The same for the time up to which the reader of a prefix that it follows has all changes. A reader of an earlier build
    /// does not tell.
    #[prost(sint64, optional, tag = "7")]
    pub heard_after_ms: Option<i64>,
    /// Time since the reader's last call without an answer began, in that outage. A reader of an earlier build does not tell.
    #[prost(uint64, optional, tag = "8")]
    pub lost_ms: Option<u64>,
    /// Time since the reader's first call without an answer had failed, in that outage.
    #[prost(uint64, optional, tag = "9")]
    pub outage_ms: Option<u64>,
}

/// Time that is some milliseconds after the arrival of a request that was sent at `asked_at`, or shortly before.
fn time_after(asked_at: Time, after_ms: i64) -> Option<Time> {
    let distance = Duration::from_millis(after_ms.unsigned_abs());
    if after_ms < 0 { asked_at.checked_sub(distance) } else { asked_at.checked_add(distance) }
}

impl Page {
    /// Time at which the reader's knowledge was proven, or some time before, if the request was sent at `asked_at`.
    pub fn proven_at(&self, asked_at: Time) -> Option<Time> {
        time_after(asked_at, self.proven_after_ms?)
    }

    /// Time up to which the reader has all changes, or some time before, if the request was sent at `asked_at`.
    pub fn heard_at(&self, asked_at: Time) -> Option<Time> {
        self.heard_after_ms.map(|after| time_after(asked_at, after).unwrap_or_default())
    }

    /// Age of the reader's knowledge.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }

    /// Sets the times of a page that is sent at `now`.
    pub(super) fn set_times(&mut self, now: Time, current_at: Time, outage: Option<Outage>) {
        let since = |at: Time| peer::millis(now.saturating_sub(at));
        self.age_ms = since(current_at);
        self.recovered_ms = outage.map(|outage| since(outage.ended_at));
        self.lost_ms = outage.map(|outage| since(outage.lost_at));
        self.outage_ms = outage.map(|outage| since(outage.began_at));
    }

    /// Outage of the store that the reader has seen, if the page has just arrived.
    pub fn outage(&self, now: Time) -> Option<Outage> {
        let before = |ms| now.saturating_sub(Duration::from_millis(ms));
        let ended_at = before(self.recovered_ms?);
        Some(Outage {
            began_at: self.outage_ms.map_or(ended_at, before),
            lost_at: self.lost_ms.map_or(ended_at, before),
            ended_at,
        })
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
