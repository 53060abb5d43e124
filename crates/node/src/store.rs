//! Border to the platform's key-value store: linearizable reads, watches, conditional transactions and leases.

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

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Put(Entry),
    Removed { key: Box<str>, revision: Revision },
}

/// A page of keys under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Page {
    pub entries: Vec<Entry>,
    /// Revision of the store when the page was read.
    pub revision: Revision,
    /// Whether more keys follow the last one.
    pub more: bool,
}

/// Answer to a watch.
#[derive(Clone, Debug)]
pub enum WatchResponse {
    Changes {
        changes: Vec<Change>,
        /// Revision from which the next watch continues.
        revision: Revision,
    },
    /// The history was discarded; the prefix has to be read again.
    Compacted,
}

/// A value to be written, bound to a lease if one is given.
#[derive(Clone, Debug)]
pub struct Put {
    pub key: Box<str>,
    pub value: Bytes,
    pub lease: Option<u64>,
}

/// A transaction: all of it takes effect if every expected revision holds, else none of it.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Keys with the revision of their last change; 0 means that the key does not exist.
    pub expected: Vec<(Box<str>, Revision)>,
    pub puts: Vec<Put>,
    pub removes: Vec<Box<str>>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Committed(Revision),
    /// A condition does not hold; the present entries of the expected keys.
    Conflict(Vec<Entry>),
    /// The lease of a put has ended.
    NoLease,
}

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store refused the call, so nothing was done.
    #[snafu(display("could not call the store: refused with status {status}"))]
    Refused { status: u16 },
    /// No answer came; the call may have taken effect or still take effect later.
    #[snafu(display("could not get an answer from the store: {reason}"))]
    NoAnswer { reason: Box<str> },
    /// The answer could not be decoded.
    #[snafu(display("could not decode an answer of the store: {reason}"))]
    Malformed { reason: Box<str> },
}

/// The platform's key-value store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<(Option<Entry>, Revision), Error>;
    /// Reads a page of the keys under a prefix, after a key.
    async fn range(&self, prefix: &str, after: Option<&str>) -> Result<Page, Error>;
    /// Waits for changes under a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, Error>;
    /// Makes a conditional change.
    async fn commit(&self, txn: &Txn) -> Result<Outcome, Error>;
    /// Asks for a lease.
    async fn grant(&self, ttl: Duration) -> Result<u64, Error>;
    /// Renews a lease; `false` means that it has ended.
    async fn renew(&self, lease: u64) -> Result<bool, Error>;
    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: u64) -> Result<(), Error>;
}

/// Handle of the store, one per thread.
pub type Handle = Rc<dyn Store>;

/// Reads all keys under a prefix. The revision is that of the first page, as pages are not a snapshot.
pub async fn read_all(store: &dyn Store, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
    read_after(store, prefix, None).await
}

/// Reads the keys under a prefix that follow a key.
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
