//! Copy of a prefix of the store: read once, then kept up to date by a watch.

use std::{collections::BTreeMap, sync::Arc};

use log::{info, warn};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    clock,
    freshness::Freshness,
    prelude::*,
    store::{self, Change, Entry, Error, Watched},
};

/// Longest wait of one watch, shorter than the history that the store keeps. Silence of the connection is found by probes of
/// the transport, not by this time.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a mirror tells.
#[derive(Clone, Debug)]
pub enum Update {
    Changed(Change),
    /// The prefix was read whole.
    Synced {
        mirror: usize,
    },
    /// The store does not answer.
    Lost {
        mirror: usize,
    },
    /// The store answers again.
    Regained {
        mirror: usize,
    },
    /// The copy of a prefix that is read on demand was current at a time.
    Current {
        at: Time,
    },
}

/// When a mirror asks the store for changes.
#[derive(Clone, Debug)]
pub enum Pace {
    /// All the time, with a shortest time between two calls, so that many changes share a call.
    Follow(Duration),
    /// When somebody needs them.
    OnDemand(Arc<Freshness>),
}

/// Copy of a prefix.
pub struct Mirror {
    pub number: usize,
    pub prefix: Box<str>,
    pub pace: Pace,
    known: BTreeMap<Box<str>, Revision>,
    lost: bool,
}

impl Mirror {
    pub fn new(number: usize, prefix: &str, pace: Pace) -> Self {
        Self { number, prefix: prefix.into(), pace, known: BTreeMap::new(), lost: false }
    }

    /// Follows the prefix for as long as somebody listens.
    pub async fn follow(mut self, store: store::Handle, updates: mpsc::UnboundedSender<Update>) {
        let mut at = None;
        loop {
            let begun = clock::now();
            let result = self.step(store.as_ref(), at, &updates).await;
            match result {
                Ok(next) => {
                    self.answers(&updates);
                    at = next;
                    if at.is_some() {
                        self.rest(begun, &updates).await;
                    }
                }
                Err(error) => {
                    self.fails(&error, &updates);
                    sleep(RETRY_PAUSE).await;
                    if let Pace::OnDemand(freshness) = &self.pace {
                        freshness.due().await;
                    }
                }
            }
            if updates.is_closed() {
                return;
            }
        }
    }

    /// Waits until the next call is due, after one that was begun at `begun` and answered.
    async fn rest(&self, begun: Time, updates: &mpsc::UnboundedSender<Update>) {
        match &self.pace {
            Pace::Follow(pace) => {
                sleep(pace.saturating_sub(clock::now().saturating_sub(begun))).await;
            }
            Pace::OnDemand(freshness) => {
                let _ = updates.send(Update::Current { at: begun });
                freshness.due().await;
            }
        }
    }

    /// Time for which a watch waits for the first change.
    fn wait(&self) -> Duration {
        match self.pace {
            Pace::Follow(_) => WATCH_WAIT,
            Pace::OnDemand(_) => Duration::ZERO,
        }
    }

    /// Reads the prefix if it was not read yet, or else waits for changes. Gives the revision to continue from.
    async fn step(
        &mut self,
        store: &dyn store::Store,
        at: Option<Revision>,
        updates: &mpsc::UnboundedSender<Update>,
    ) -> Result<Option<Revision>, Error> {
        let Some(after) = at else {
            let (entries, revision) = store::read_all(store, &self.prefix).await?;
            for change in self.compare(entries, revision) {
                // The listener has ended with the process.
                let _ = updates.send(Update::Changed(change));
            }
            let _ = updates.send(Update::Synced { mirror: self.number });
            return Ok(Some(revision));
        };
        match store.watch(&self.prefix, after, self.wait()).await? {
            Watched::Changes { changes, revision } => {
                for change in changes {
                    if self.note(&change) {
                        let _ = updates.send(Update::Changed(change));
                    }
                }
                Ok(Some(revision.max(after)))
            }
            Watched::Compacted => {
                info!(prefix = &*self.prefix; "history discarded, reading the prefix again");
                Ok(None)
            }
        }
    }

    /// Changes between what was known and what was read at a revision.
    pub fn compare(&mut self, entries: Vec<Entry>, revision: Revision) -> Vec<Change> {
        let present: std::collections::BTreeSet<&str> =
            entries.iter().map(|entry| &*entry.key).collect();
        let removed: Vec<Box<str>> = self
            .known
            .iter()
            .filter(|(key, known)| !present.contains(&***key) && **known <= revision)
            .map(|(key, _)| key.clone())
            .collect();
        let removed = removed.into_iter().map(|key| Change::Removed { key, revision });
        let changes: Vec<Change> = removed.chain(entries.into_iter().map(Change::Put)).collect();
        changes.into_iter().filter(|change| self.note(change)).collect()
    }

    /// Takes note of a change; `false` if it is older than what is known.
    fn note(&mut self, change: &Change) -> bool {
        match change {
            Change::Put(entry) => {
                let known = self.known.insert(entry.key.clone(), entry.revision);
                if known.is_some_and(|known| known >= entry.revision) {
                    self.known.insert(entry.key.clone(), known.unwrap_or_default());
                    return false;
                }
                true
            }
            Change::Removed { key, revision } => match self.known.get(key) {
                Some(known) if known <= revision => self.known.remove(key).is_some(),
                _ => false,
            },
        }
    }

    fn answers(&mut self, updates: &mpsc::UnboundedSender<Update>) {
        if std::mem::take(&mut self.lost) {
            info!(prefix = &*self.prefix; "store answers again");
            let _ = updates.send(Update::Regained { mirror: self.number });
        }
    }

    fn fails(&mut self, error: &Error, updates: &mpsc::UnboundedSender<Update>) {
        if let Pace::OnDemand(freshness) = &self.pace {
            freshness.failed();
        }
        if !std::mem::replace(&mut self.lost, true) {
            warn!(prefix = &*self.prefix, reason:% = error; "store does not answer");
            let _ = updates.send(Update::Lost { mirror: self.number });
        }
    }
}
