//! Where a mirror reads a prefix from: the store, or a host that reads it for others.

use std::{rc::Rc, sync::Arc};

use async_trait::async_trait;

use crate::{
    clock,
    contact::{Contact, Outage},
    feed::MaxAge,
    prelude::*,
    store::{self, Change, Entry, Error, WatchResponse},
};

/// All entries of a prefix.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub entries: Vec<Entry>,
    /// Revision of the store from which changes follow.
    pub revision: Revision,
    /// Time at which the entries were current.
    pub current_at: Time,
    /// Time at which the read of the store began that proved them, if that is known.
    pub proven_at: Option<Time>,
}

/// How long a watch waits for a change.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    pub length: Duration,
    /// Bound on the age of what another host answers.
    pub max_age: MaxAge,
}

impl From<Duration> for Wait {
    fn from(length: Duration) -> Self {
        Self { length, max_age: MaxAge::UNBOUNDED }
    }
}

/// What another reader of a prefix tells of what this host knows.
#[derive(Clone, Debug)]
pub enum Checked {
    /// Nothing, or nothing that is young enough.
    Unchecked,
    /// This host knows all changes up to a time.
    Current(Time),
    /// This host has missed these.
    Behind(Watched),
}

/// Result of waiting for changes.
#[derive(Clone, Debug)]
pub enum Watched {
    Changes {
        changes: Vec<Change>,
        revision: Revision,
        /// Time up to which the changes are complete.
        current_at: Time,
        /// Outage of the store that the source has seen and this host may not have.
        outage: Option<Outage>,
    },
    /// The changes are not available any more; the prefix has to be read again.
    Compacted,
}

/// Proof of what is known of a prefix.
#[derive(Clone, Debug)]
pub enum Renewed {
    /// All entries, read from the store.
    Read(Snapshot),
    /// Changes, from a reader that has read the store.
    Changes { changes: Vec<Change>, revision: Revision, proven_at: Time, outage: Option<Outage> },
    /// The changes are not available any more; the prefix has to be read again.
    Compacted,
}

/// Source of a prefix of the store.
#[async_trait(?Send)]
pub trait Source {
    /// Reads all entries under a prefix.
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error>;
    /// Waits for changes under a prefix after a revision.
    async fn watch(&self, prefix: &str, after: Revision, wait: Wait) -> Result<Watched, Error>;
    /// Asks another reader whether there are changes under a prefix after a revision.
    async fn check(&self, prefix: &str, after: Revision, max_age: MaxAge) -> Checked;
    /// Proves what is known of a prefix up to a revision. `proven_at` is the time of the last proof, and `period` the interval
    /// between two of them.
    async fn renew(
        &self,
        prefix: &str,
        after: Revision,
        proven_at: Option<Time>,
        period: Duration,
    ) -> Result<Renewed, Error>;
    /// Outage of the store for this host, if calls failed from a time on and were answered just now.
    fn outage_since(&self, began_at: Time) -> Outage;
}

/// The store itself.
#[derive(Clone)]
pub struct Direct {
    pub store: store::Handle,
    pub contact: Arc<Contact>,
}

#[async_trait(?Send)]
impl Source for Direct {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        let current_at = clock::now();
        let (entries, revision) = store::read_all(self.store.as_ref(), prefix).await?;
        Ok(Snapshot { entries, revision, current_at, proven_at: Some(current_at) })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Wait) -> Result<Watched, Error> {
        let current_at = clock::now();
        Ok(match self.store.watch(prefix, after, wait.length).await? {
            WatchResponse::Changes { changes, revision } => {
                Watched::Changes { changes, revision, current_at, outage: None }
            }
            WatchResponse::Compacted => Watched::Compacted,
        })
    }

    async fn check(&self, _: &str, _: Revision, _: MaxAge) -> Checked {
        Checked::Unchecked
    }

    async fn renew(
        &self,
        prefix: &str,
        _: Revision,
        _: Option<Time>,
        _: Duration,
    ) -> Result<Renewed, Error> {
        self.read(prefix).await.map(Renewed::Read)
    }

    fn outage_since(&self, began_at: Time) -> Outage {
        self.contact.outage_since(began_at)
    }
}

/// Handle of a source, for one thread.
pub type Handle = Rc<dyn Source>;
