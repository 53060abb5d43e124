//! Mirror of a prefix of the store: read once, then updated by watches.

use std::{collections::BTreeMap, sync::Arc};

use log::{info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    backoff::doubled,
    clock,
    contact::Outage,
    control::{schedule::Schedule, update::Update},
    feed::{self, Checked, Feed, MaxAge, Renewed, Source, Wait, Watched},
    prelude::*,
    store::{Change, Entry, Error},
    workspace::Upkeep,
};

/// Maximum duration of a watch; shorter than the history that the store retains.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// Backoff after a failed call; doubles with each consecutive failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time without an answer from which registrations may have expired; targets renew them several times within their lease.
const OUTAGE_MIN: Duration = Duration::from_millis(1000);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(600);

/// Most requests for a proof that a reader gets in an interval between proofs; it may answer each at once.
const PROOF_REQUESTS_PER_PERIOD: u32 = 4;

/// Returns once something else is to keep the mirror current.
async fn upkeep_changed(upkeep: &mut Option<watch::Receiver<Option<Upkeep>>>) {
    let is_changed = match upkeep {
        Some(upkeep) => upkeep.changed().await.is_ok(),
        None => false,
    };
    if !is_changed {
        std::future::pending::<()>().await;
    }
}

/// Mirror of a prefix.
pub struct Mirror {
    /// Index among the mirrors that must be synced before this host serves; `usize::MAX` for any other mirror.
    pub number: usize,
    pub prefix: Box<str>,
    pub schedule: Schedule,
    /// Revision of each key, to drop changes that are older than what was sent.
    revisions: BTreeMap<Box<str>, Revision>,
    /// Consecutive failed calls.
    failures: u32,
    /// Time of the first of them.
    failed_at: Time,
    /// What keeps the mirror current; the inner `None` means that its age does not count.
    upkeep: Option<watch::Receiver<Option<Upkeep>>>,
    /// Time of the last proof.
    proven_at: Option<Time>,
    /// Minimum interval until the next proof, if the last call was for one.
    pace: Option<Duration>,
}

impl Mirror {
    pub fn new(number: usize, prefix: &str, schedule: Schedule) -> Self {
        Self {
            number,
            prefix: prefix.into(),
            schedule,
            revisions: BTreeMap::new(),
            failures: 0,
            failed_at: Time::ZERO,
            upkeep: None,
            proven_at: None,
            pace: None,
        }
    }

    /// The same mirror, which is kept current and tells of its age. A watch that waits shows nothing.
    pub fn with_upkeep(self, upkeep: watch::Receiver<Option<Upkeep>>) -> Self {
        Self { upkeep: Some(upkeep), ..self }
    }

    /// Follows the prefix until the receiver of updates is closed.
    pub async fn follow(
        mut self,
        source: feed::Handle,
        feed: Arc<Feed>,
        updates: mpsc::UnboundedSender<Update>,
    ) {
        let (mut at, prefix, mut upkeep) = (None, self.prefix.clone(), self.upkeep.clone());
        loop {
            let begun = clock::now();
            if feed.lacks(&self.prefix) {
                at = None;
            }
            let result = tokio::select! {
                result = self.step(source.as_ref(), &feed, at, &updates) => result,
                // What this host has to read for its zone, it reads at once.
                () = feed.wait_until_lacking(&prefix), if at.is_some() => Ok(None),
                // A watch in progress would last too long.
                () = upkeep_changed(&mut upkeep), if at.is_some() => continue,
            };
            match result {
                Ok(Some((revision, current_at))) => {
                    at = Some(revision);
                    tokio::select! {
                        () = self.wait_until_due(begun, current_at, &feed, &updates) => {}
                        // Proofs are due at once from the moment in which they are needed.
                        () = upkeep_changed(&mut upkeep) => {}
                    }
                }
                Ok(None) => at = None,
                Err(error) => {
                    feed.fail(&self.prefix);
                    self.record_failure(&error, &updates);
                    sleep(doubled(RETRY_DELAY, self.failures - 1, RETRY_DELAY_MAX)).await;
                    // Without a first read this host serves nothing, so nothing would request one.
                    if let Schedule::OnDemand(freshness) = &self.schedule
                        && at.is_some()
                    {
                        freshness.refresh_requested().await;
                    }
                }
            }
            if updates.is_closed() {
                return;
            }
        }
    }

    /// Waits until the next call is due, after a successful call that began at `begun`.
    async fn wait_until_due(
        &self,
        begun: Time,
        current_at: Time,
        feed: &Feed,
        updates: &mpsc::UnboundedSender<Update>,
    ) {
        match &self.schedule {
            Schedule::Follow { interval, .. } => {
                let interval = self.pace.unwrap_or(*interval);
                sleep(interval.saturating_sub(clock::now().saturating_sub(begun))).await;
            }
            Schedule::OnDemand(freshness) => {
                let _ = updates.send(Update::Refreshed { at: current_at });
                tokio::select! {
                    () = freshness.refresh_requested() => {}
                    () = feed.refresh_requested() => {}
                }
            }
        }
    }

    /// Time from which the age of the mirror counts; `None` if it follows the prefix.
    fn age_base(&self, current_at: Time) -> Option<Time> {
        matches!(self.schedule, Schedule::OnDemand(_)).then_some(current_at)
    }

    /// Waits for changes after a revision.
    async fn watch(
        &self,
        source: &dyn Source,
        feed: &Feed,
        after: Revision,
        upkeep: Option<Upkeep>,
    ) -> Result<Watched, Error> {
        let max_age = match self.schedule {
            Schedule::OnDemand(_) => {
                return source.watch(&self.prefix, after, Duration::ZERO.into()).await;
            }
            Schedule::Follow { max_age, .. } => max_age,
        };
        let length = match upkeep {
            Some(Upkeep::Watches(length)) => length,
            Some(Upkeep::Renewal(_)) => WATCH_TIMEOUT,
            None => match self.watch_checked(source, feed, after, max_age).await {
                Some(result) => return result,
                None => WATCH_TIMEOUT,
            },
        };
        let length = length.min(WATCH_TIMEOUT).min(max_age.watch_wait());
        source.watch(&self.prefix, after, Wait { length, max_age }).await
    }

    /// Waits for changes by a long watch, and checks with another reader meanwhile that it has lost no answer. Returns `None` if
    /// there is no such reader, or not any more.
    async fn watch_checked(
        &self,
        source: &dyn Source,
        feed: &Feed,
        after: Revision,
        max_age: MaxAge,
    ) -> Option<Result<Watched, Error>> {
        if max_age == MaxAge::UNBOUNDED {
            return None;
        }
        let prefix = &*self.prefix;
        let Checked::Current(at) = source.check(prefix, after, max_age).await else {
            return None;
        };
        feed.extend(prefix, &[], after, at);
        let mut watch = source.watch(prefix, after, Wait { length: WATCH_TIMEOUT, max_age });
        loop {
            let check = async {
                sleep(max_age.check_interval()).await;
                source.check(prefix, after, max_age).await
            };
            let checked = tokio::select! {
                result = &mut watch => return Some(result),
                checked = check => checked,
            };
            match checked {
                Checked::Current(at) => feed.extend(prefix, &[], after, at),
                Checked::Behind(watched) => {
                    info!(prefix, after; "changes missed by a watch; taken from another reader");
                    return Some(Ok(watched));
                }
                Checked::Unchecked => return None,
            }
        }
    }

    /// Reads the whole prefix if there is no revision to continue from, or else watches for changes. Returns the
    /// revision to continue from, and the time at which the mirror was current.
    async fn step(
        &mut self,
        source: &dyn Source,
        feed: &Feed,
        at: Option<Revision>,
        updates: &mpsc::UnboundedSender<Update>,
    ) -> Result<Option<(Revision, Time)>, Error> {
        let Some(after) = at else {
            let snapshot = source.read(&self.prefix).await?;
            self.record_success(source, feed, updates);
            feed.reset(&self.prefix, &snapshot, self.age_base(snapshot.current_at));
            let (revision, current_at) = (snapshot.revision, snapshot.current_at);
            for change in self.compare(snapshot.entries, revision) {
                // Fails only while the process ends.
                let _ = updates.send(Update::Changed(change));
            }
            let _ = updates.send(Update::Synced { mirror: self.number, revision });
            self.record_age(snapshot.proven_at, current_at, updates);
            return Ok(Some((revision, current_at)));
        };
        let upkeep = self.upkeep.as_ref().and_then(|upkeep| *upkeep.borrow());
        if let Some(Upkeep::Renewal(period)) = upkeep {
            return self.renew(source, feed, (after, period), updates).await;
        }
        self.pace = None;
        let watched = self.watch(source, feed, after, upkeep).await?;
        self.record_success(source, feed, updates);
        match watched {
            Watched::Changes { changes, revision, current_at, outage } => {
                self.report_outage(outage, updates);
                // Without workspaces a watch may have begun 15 s ago. The change that adds them was sent just now, unless the
                // link held it up; the next, shorter watch tells.
                let may_add_them = self.upkeep.is_some() && upkeep.is_none() && !changes.is_empty();
                let heard_at = if may_add_them { clock::now() } else { current_at };
                feed.extend(&self.prefix, &changes, revision, heard_at);
                for change in changes {
                    if self.record(&change) {
                        let _ = updates.send(Update::Changed(change));
                    }
                }
                self.record_age(None, heard_at, updates);
                Ok(Some((revision.max(after), current_at)))
            }
            Watched::Compacted => {
                info!(prefix = &*self.prefix; "watch history compacted; reading the prefix again");
                Ok(None)
            }
        }
    }

    /// Proves that the mirror is current, by a read of the store or of its reader. Returns like `step`.
    async fn renew(
        &mut self,
        source: &dyn Source,
        feed: &Feed,
        (after, period): (Revision, Duration),
        updates: &mpsc::UnboundedSender<Update>,
    ) -> Result<Option<(Revision, Time)>, Error> {
        let renewed = source.renew(&self.prefix, after, self.proven_at, period).await?;
        self.record_success(source, feed, updates);
        let (changes, revision, proven_at) = match renewed {
            Renewed::Read(snapshot) => {
                self.pace = Some(period);
                let proven_at = snapshot.proven_at.unwrap_or(snapshot.current_at);
                let changes = self.compare(snapshot.entries, snapshot.revision);
                (changes, snapshot.revision, proven_at)
            }
            Renewed::Changes { changes, revision, proven_at, outage } => {
                self.report_outage(outage, updates);
                // The reader answers when it has a newer proof.
                self.pace = Some(period / PROOF_REQUESTS_PER_PERIOD);
                let changes = changes.into_iter().filter(|change| self.record(change));
                (changes.collect(), revision, proven_at)
            }
            Renewed::Compacted => return Ok(None),
        };
        feed.extend(&self.prefix, &changes, revision, proven_at);
        for change in changes {
            // Fails only while the process ends.
            let _ = updates.send(Update::Changed(change));
        }
        feed.prove(&self.prefix, proven_at);
        self.record_age(Some(proven_at), proven_at, updates);
        Ok(Some((revision.max(after), proven_at)))
    }

    /// Publishes the age. Must be called after the changes of the same response were sent, as receivers then count as current.
    fn record_age(
        &mut self,
        proven_at: Option<Time>,
        heard_at: Time,
        updates: &mpsc::UnboundedSender<Update>,
    ) {
        self.proven_at = self.proven_at.max(proven_at);
        if self.upkeep.is_some() {
            let _ = updates.send(Update::Known { mirror: self.number, proven_at, heard_at });
        }
    }

    /// Changes between the mirrored state and the entries read at a revision.
    pub fn compare(&mut self, entries: Vec<Entry>, revision: Revision) -> Vec<Change> {
        let present: std::collections::BTreeSet<&str> =
            entries.iter().map(|entry| &*entry.key).collect();
        let removed: Vec<Box<str>> = self
            .revisions
            .iter()
            .filter(|(key, known)| !present.contains(&***key) && **known <= revision)
            .map(|(key, _)| key.clone())
            .collect();
        let removed = removed.into_iter().map(|key| Change::Removed { key, revision });
        let changes: Vec<Change> = removed.chain(entries.into_iter().map(Change::Put)).collect();
        changes.into_iter().filter(|change| self.record(change)).collect()
    }

    /// Records the revision of a change; `false` if the change is not newer than the recorded one.
    fn record(&mut self, change: &Change) -> bool {
        match change {
            Change::Put(entry) => {
                let known = self.revisions.insert(entry.key.clone(), entry.revision);
                if known.is_some_and(|known| known >= entry.revision) {
                    self.revisions.insert(entry.key.clone(), known.unwrap_or_default());
                    return false;
                }
                true
            }
            Change::Removed { key, revision } => match self.revisions.get(key) {
                Some(known) if known <= revision => self.revisions.remove(key).is_some(),
                _ => false,
            },
        }
    }

    /// Must be called before the changes of a response are sent: entries whose leases expired during an outage may come
    /// back shortly after it. A shorter failure, such as a change of the way to the store, has let no lease expire.
    fn record_success(
        &mut self,
        source: &dyn Source,
        feed: &Feed,
        updates: &mpsc::UnboundedSender<Update>,
    ) {
        if std::mem::take(&mut self.failures) == 0 {
            return;
        }
        let outage = source.outage_since(self.failed_at);
        let after_ms = crate::logging::ms(clock::now().saturating_sub(self.failed_at));
        let outage_ms = crate::logging::ms(outage.length());
        info!(prefix = &*self.prefix, after_ms, outage_ms; "store answers again");
        if outage.length() >= OUTAGE_MIN {
            feed.record_outage(outage);
            self.report_outage(Some(outage), updates);
        }
    }

    fn report_outage(&self, outage: Option<Outage>, updates: &mpsc::UnboundedSender<Update>) {
        if let Some(outage) = outage {
            // Fails only while the process ends.
            let _ = updates.send(Update::StoreRecovered { mirror: self.number, outage });
        }
    }

    fn record_failure(&mut self, error: &Error, updates: &mpsc::UnboundedSender<Update>) {
        if let Schedule::OnDemand(freshness) = &self.schedule {
            freshness.refresh_failed();
        }
        self.failures += 1;
        if self.failures == 1 {
            self.failed_at = clock::now();
            warn!(prefix = &*self.prefix, reason:% = error; "store does not answer");
            let _ = updates.send(Update::StoreUnavailable { mirror: self.number });
        }
    }
}
