//! Interface to the platform's key-value store: linearizable reads, watches, conditional transactions and leases.

use std::rc::Rc;

use async_trait::async_trait;
use bytes::Bytes;
use snafu::Snafu;

use crate::prelude::*;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Box<str>,
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
}

/// Change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Entry),
    Removed { key: Box<str>, revision: Revision },
}

/// A page of keys under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Page {
    pub entries: Vec<Entry>,
    /// Revision of the store at which the page was read.
    pub revision: Revision,
    /// Whether more keys follow the last one.
    pub more: bool,
}

/// Response to a watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    Changes {
        changes: Vec<Change>,
        /// Revision from which the next watch continues.
        revision: Revision,
    },
    /// The history from the requested revision on was compacted; the prefix has to be read again.
    Compacted,
}

/// A write of a key, optionally bound to a lease.
#[derive(Clone, Debug)]
pub struct Put {
    pub key: Box<str>,
    pub value: Bytes,
    pub lease: Option<u64>,
}

/// An atomic transaction: takes effect only if every expected revision matches.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Expected revision of the last change of each key; 0 means that the key does not exist.
    pub expected: Vec<(Box<str>, Revision)>,
    pub puts: Vec<Put>,
    pub removes: Vec<Box<str>>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Committed(Revision),
    /// An expected revision does not match. Holds the present entries of the expected keys.
    Conflict(Vec<Entry>),
    /// The lease of a put has expired.
    NoLease,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store refused the call; it had no effect.
    #[snafu(display("could not call the store: refused with status {status}"))]
    Refused { status: u16 },
    /// No response arrived; the call may have taken effect or may still do so.
    #[snafu(display("could not get a response from the store: {reason}"))]
    NoResponse { reason: Box<str> },
    /// The response could not be decoded.
    #[snafu(display("could not decode a response of the store: {reason}"))]
    Malformed { reason: Box<str> },
}

/// The platform's key-value store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<(Option<Entry>, Revision), Error>;
    /// Reads a page of the keys under a prefix that follow `after`.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Error>;
    /// Waits up to `wait` for changes under a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, Error>;
    /// Commits a transaction.
    async fn commit(&self, txn: &Txn) -> Result<Outcome, Error>;
    /// Grants a lease.
    async fn grant(&self, ttl: Duration) -> Result<u64, Error>;
    /// Renews a lease; `false` if it has expired.
    async fn renew(&self, lease: u64) -> Result<bool, Error>;
    /// Revokes a lease and removes its keys.
    async fn revoke(&self, lease: u64) -> Result<(), Error>;
}

/// Handle of the store, one per thread.
pub type Handle = Rc<dyn Store>;

/// Reads all keys under a prefix. Returns the revision of the first page, as the pages are not a consistent snapshot.
pub async fn read_all(store: &dyn Store, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
    read_after(store, prefix, None).await
}

/// Reads the keys under a prefix that follow `after`.
pub async fn read_after(
    store: &dyn Store,
    prefix: &str,
    after: Option<&str>,
) -> Result<(Vec<Entry>, Revision), Error> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut revision = None;
    loop {
        let after = entries.last().map(|entry| &*entry.key).or(after);
        let page = store.range(prefix, after).await?;
        revision.get_or_insert(page.revision);
        let more = page.more && !page.entries.is_empty();
        entries.extend(page.entries);
        if !more {
            return Ok((entries, revision.unwrap_or_default()));
        }
    }
}
