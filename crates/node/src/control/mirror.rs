//! Copy of a prefix of the store: read once, then kept up to date by a watch.

use std::{collections::BTreeMap, sync::Arc};

use log::{info, warn};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    clock,
    freshness::Freshness,
    prelude::*,
    store::{self, Change, Entry, Error, WatchResponse},
};

/// Longest wait of one watch, shorter than the history that the store keeps. Silence of the connection is found by probes of
/// the transport, not by this time.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Pause before the store is asked again after a failure; doubles up to the maximum while it goes on.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);

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
    /// Failed calls in a row.
    failures: u32,
}

impl Mirror {
    pub fn new(number: usize, prefix: &str, pace: Pace) -> Self {
        Self { number, prefix: prefix.into(), pace, known: BTreeMap::new(), failures: 0 }
    }

    /// Follows the prefix for as long as somebody listens.
    pub async fn follow(mut self, store: store::Handle, updates: mpsc::UnboundedSender<Update>) {
        let mut at = None;
        loop {
            let begun = clock::now();
            let result = self.step(store.as_ref(), at, &updates).await;
            match result {
                Ok(next) => {
                    at = next;
                    if at.is_some() {
                        self.rest(begun, &updates).await;
                    }
                }
                Err(error) => {
                    self.fails(&error, &updates);
                    let pause = RETRY_PAUSE.saturating_mul(1 << (self.failures - 1).min(8));
                    sleep(pause.min(RETRY_PAUSE_MAX)).await;
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
            self.answers(updates);
            for change in self.compare(entries, revision) {
                // The listener has ended with the process.
                let _ = updates.send(Update::Changed(change));
            }
            let _ = updates.send(Update::Synced { mirror: self.number });
            return Ok(Some(revision));
        };
        let watched = store.watch(&self.prefix, after, self.wait()).await?;
        self.answers(updates);
        match watched {
            WatchResponse::Changes { changes, revision } => {
                for change in changes {
                    if self.note(&change) {
                        let _ = updates.send(Update::Changed(change));
                    }
                }
                Ok(Some(revision.max(after)))
            }
            WatchResponse::Compacted => {
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

    /// Told before the changes, as entries that lapsed during an outage may come back shortly after it.
    fn answers(&mut self, updates: &mpsc::UnboundedSender<Update>) {
        if std::mem::take(&mut self.failures) > 0 {
            info!(prefix = &*self.prefix; "store answers again");
            let _ = updates.send(Update::Regained { mirror: self.number });
        }
    }

    fn fails(&mut self, error: &Error, updates: &mpsc::UnboundedSender<Update>) {
        if let Pace::OnDemand(freshness) = &self.pace {
            freshness.failed();
        }
        self.failures += 1;
        if self.failures == 1 {
            warn!(prefix = &*self.prefix, reason:% = error; "store does not answer");
            let _ = updates.send(Update::Lost { mirror: self.number });
        }
    }
}
