//! Source that asks the reader of the zone, and the store if there is no reader or no good answer.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use async_trait::async_trait;
use log::info;
use prost::Message;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    contact::Outage,
    feed::{
        ChangesRequest, Checked, Direct, MaxAge, Page, Renewed, Snapshot, Source, Wait, Watched,
    },
    job, logging,
    metrics::METERS,
    peer::{self, Kind},
    prelude::*,
    store::{Change, Entry, Error},
};

/// Time after the start for which a host waits for a reader instead of reading from the store.
const READER_WAIT: Duration = Duration::from_millis(1500);
/// Time for which a reader may wait before it answers with all entries.
const READ_WAIT: Duration = Duration::from_millis(100);
/// Time for a response, in addition to the time for which it may wait for changes.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a response that a request of a caller waits for.
const ON_DEMAND_TIMEOUT: Duration = Duration::from_millis(60);
/// Two recoveries that are closer than this are the same one, reported twice.
const SAME_RECOVERY: Duration = Duration::from_millis(500);

/// Age of a reader's proof, in intervals between proofs, from which it is not used.
const PROOF_PERIODS: u32 = 2;
/// Interval at which a reader that has lost the store is asked again.
const LOST_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause between calls of the store while its reader and this host get no answer from it.
const LOST_PAUSE_MAX: Duration = Duration::from_secs(4);

/// Answer of the reader of the zone.
enum Answer {
    /// Changes, and the time up to which they are complete.
    Page(Page, Time),
    /// The reader does not get answers from the store.
    Lost,
    /// There is no reader, or no young enough answer in time.
    None,
}

/// Whether a page without changes is young enough, if all changes up to `current_at` are in it.
fn is_within(max_age: MaxAge, page: &Page, current_at: Time) -> bool {
    !page.changes.is_empty() || max_age.admits(clock::now().saturating_sub(current_at))
}

/// Pause of this host's own calls of the store while its reader has lost it: the store is probably down for all hosts of
/// the zone, and their calls would be many.
#[derive(Clone, Copy, Debug)]
struct Pause {
    next_call: Time,
    length: Duration,
}

/// Addresses of readers that a host asks.
#[derive(Clone, Debug)]
pub struct Readers {
    /// Reader of the host's zone; `None` if there is none or the host is the reader.
    pub zone: watch::Receiver<Option<SocketAddr>>,
    /// Reader with which a host that reads from the store checks what it knows; `None` if there is none or the host is that
    /// reader.
    pub primary: watch::Receiver<Option<SocketAddr>>,
}

/// Client of the reader of a zone, for one thread.
pub struct Client {
    direct: Direct,
    peers: peer::Client,
    readers: Readers,
    started: Instant,
    /// Longest wait for changes, so that a reader that is gone is noticed in time.
    wait_max: Duration,
    /// Age up to which what the reader knows serves a request without a wait.
    max_age: Duration,
    /// End of the last outage that a reader has told of.
    recovered_at: Cell<Option<Time>>,
    /// Pauses by prefix.
    pauses: RefCell<HashMap<Box<str>, Pause>>,
}

impl Client {
    pub fn new(
        direct: Direct,
        readers: Readers,
        wait_max: Duration,
        max_age: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            direct,
            peers: peer::Client::default(),
            readers,
            started: Instant::now(),
            wait_max,
            max_age,
            recovered_at: Cell::default(),
            pauses: RefCell::default(),
        })
    }

    /// Sends a request to the zone's reader. The error is the answer without a page.
    async fn call_reader(&self, request: ChangesRequest, limit: Duration) -> Result<Page, Answer> {
        let reader = *self.readers.zone.borrow();
        self.call(reader.ok_or(Answer::None)?, request, limit).await
    }

    /// Sends a request to a reader. The error is the answer without a page.
    async fn call(
        &self,
        reader: SocketAddr,
        request: ChangesRequest,
        limit: Duration,
    ) -> Result<Page, Answer> {
        let response = self.peers.call(reader, Kind::Changes(request), limit).await;
        let response = response.ok_or(Answer::None)?;
        if !response.served {
            METERS.feed("lost");
            return Err(Answer::Lost);
        }
        Page::decode(response.body).map_err(|_| Answer::None)
    }

    /// Asks the reader for what it knows.
    async fn ask(
        &self,
        prefix: &str,
        after: Option<Revision>,
        wait: Duration,
        max_age: Option<Duration>,
    ) -> Answer {
        let request = ChangesRequest {
            prefix: prefix.to_owned(),
            after,
            wait_ms: peer::millis(wait),
            max_age_ms: max_age.map(peer::millis),
            proven_ms: None,
        };
        let asked_at = clock::now();
        let limit = if wait.is_zero() { ON_DEMAND_TIMEOUT } else { wait + RESPONSE_TIMEOUT };
        let page = match self.call_reader(request, limit).await {
            Ok(page) => page,
            Err(failure) => return failure,
        };
        let is_young = max_age.is_none_or(|max_age| page.age() <= max_age);
        METERS.feed(if is_young { "served" } else { "outdated" });
        // The reader has answered after the request was sent, so its knowledge is at least as young as this.
        let young_at = asked_at.saturating_sub(page.age());
        // The reader of a prefix that is followed tells no age of it, although its own watch may hang.
        let current_at = page.heard_at(asked_at).unwrap_or(young_at);
        if is_young { Answer::Page(page, current_at) } else { Answer::None }
    }

    /// Asks the reader for a proof of a prefix that is newer than the last one. The time in the answer is that of the proof.
    async fn ask_for_proof(
        &self,
        prefix: &str,
        after: Revision,
        proven_at: Option<Time>,
        period: Duration,
    ) -> Answer {
        let asked_at = clock::now();
        let known = proven_at.map_or(Duration::MAX, |at| asked_at.saturating_sub(at));
        let request = ChangesRequest {
            prefix: prefix.to_owned(),
            after: Some(after),
            wait_ms: peer::millis(period),
            max_age_ms: None,
            proven_ms: Some(peer::millis(known)),
        };
        let page = match self.call_reader(request, period + RESPONSE_TIMEOUT).await {
            Ok(page) => page,
            Err(failure) => return failure,
        };
        // A reader of an earlier build has no proof.
        let proven_at = page.proven_at(asked_at);
        let is_young = |at: &Time| clock::now() < *at + period * PROOF_PERIODS;
        let young = proven_at.filter(|at| page.compacted || is_young(at));
        METERS.feed(if young.is_some() { "served" } else { "outdated" });
        young.map_or(Answer::None, |at| Answer::Page(page, at))
    }

    /// Whether the store may be called for a prefix whose reader has lost it. The first call comes after a short time in
    /// which the reader may recover.
    fn may_call(&self, prefix: &str) -> bool {
        let now = clock::now();
        let mut pauses = self.pauses.borrow_mut();
        let pause = pauses.entry(prefix.into()).or_insert_with(|| {
            let length = self.wait_max / 2;
            Pause { next_call: now + length.mul_f64(0.5 + rand::random::<f64>()), length }
        });
        now >= pause.next_call
    }

    /// Records and returns the result of a call of the store: the pause ends with an answer and doubles without one.
    fn record_call<T>(&self, prefix: &str, result: Result<T, Error>) -> Result<T, Error> {
        let mut pauses = self.pauses.borrow_mut();
        if let Some(pause) = pauses.get_mut(prefix) {
            let now = clock::now();
            if result.is_ok() {
                pause.next_call = now;
                return result;
            }
            pause.length = (pause.length * 2).min(LOST_PAUSE_MAX);
            pause.next_call = now + pause.length.mul_f64(0.5 + 0.5 * rand::random::<f64>());
        }
        result
    }

    /// Asks the reader for changes. While it has lost the store it is asked again until this host may call the store.
    async fn ask_for_changes(&self, prefix: &str, after: Revision, wait: Wait) -> Answer {
        let Wait { length, max_age } = wait;
        // A prefix that is read on demand needs young answers; for one that is followed, the reader passes changes on.
        let page_age = length.is_zero().then_some(self.max_age);
        loop {
            let answer = self.ask(prefix, Some(after), length.min(self.wait_max), page_age).await;
            match answer {
                Answer::Lost if !length.is_zero() && !self.may_call(prefix) => {
                    sleep(LOST_POLL_INTERVAL).await;
                }
                // The reader's own watch may hang.
                Answer::Page(page, at) if !is_within(max_age, &page, at) => {
                    METERS.feed("outdated");
                    return Answer::None;
                }
                Answer::Page(..) | Answer::Lost | Answer::None => return answer,
            }
        }
    }

    /// Waits for a reader for a limited time after the start, when all hosts would read at once.
    async fn wait_for_reader(&self) {
        let mut reader = self.readers.zone.clone();
        // Without a reader by then, this host reads from the store.
        let _ = timeout_at(self.started + READER_WAIT, reader.wait_for(Option::is_some)).await;
    }

    /// Records that the reader has answered, and decodes its changes, with the outage of the store that they follow if it is not
    /// known yet; `None` if it no longer has the changes.
    fn accept(&self, prefix: &str, page: Page) -> Option<(Vec<Change>, Option<Outage>)> {
        self.pauses.borrow_mut().remove(prefix);
        if page.compacted {
            return None;
        }
        let outage = self.new_outage(&page);
        Some((page.changes.into_iter().map(Change::from).collect(), outage))
    }

    /// Outage of the store of which a page tells, unless it is known already or the store has answered this host meanwhile: it
    /// was then away for the reader alone, and let no registration expire.
    fn new_outage(&self, page: &Page) -> Option<Outage> {
        let outage = page.outage(clock::now())?;
        let is_known = |known: Time| outage.ended_at <= known + SAME_RECOVERY;
        if self.recovered_at.get().is_some_and(is_known) {
            return None;
        }
        self.recovered_at.set(Some(outage.ended_at));
        let was_there = self.direct.contact.has_answered(outage.began_at, outage.lost_at);
        info!(lost_ms = logging::ms(outage.length()), was_there; "reader has got no answers from the store");
        (!was_there).then_some(outage)
    }
}

#[async_trait(?Send)]
impl Source for Client {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        // The leader keys tell who reads for the zone, so they are read without one.
        if prefix != job::LEADERS {
            self.wait_for_reader().await;
        }
        let asked_at = clock::now();
        let asked = self.ask(prefix, None, READ_WAIT, Some(self.max_age)).await;
        let Answer::Page(page, current_at) = asked else {
            return self.direct.read(prefix).await;
        };
        let proven_at = page.proven_at(asked_at);
        let entries = page.changes.into_iter().filter_map(|raw| match Change::from(raw) {
            Change::Put(entry) => Some(entry),
            Change::Removed { .. } => None,
        });
        let entries: Vec<Entry> = entries.collect();
        Ok(Snapshot { entries, revision: page.revision, current_at, proven_at })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Wait) -> Result<Watched, Error> {
        let Answer::Page(page, current_at) = self.ask_for_changes(prefix, after, wait).await else {
            // The reader may have lost the store just now, and a watch that begins in that moment can be lost without
            // notice. So it is a short one, after which the reader is asked again.
            let has_reader = self.readers.zone.borrow().is_some();
            let length = if has_reader { wait.length.min(self.wait_max / 2) } else { wait.length };
            let result = self.direct.watch(prefix, after, Wait { length, ..wait }).await;
            return self.record_call(prefix, result);
        };
        let revision = page.revision;
        Ok(match self.accept(prefix, page) {
            Some((changes, outage)) => Watched::Changes { changes, revision, current_at, outage },
            None => Watched::Compacted,
        })
    }

    async fn check(&self, prefix: &str, after: Revision, max_age: MaxAge) -> Checked {
        let primary = *self.readers.primary.borrow();
        let (None, Some(primary)) = (*self.readers.zone.borrow(), primary) else {
            return Checked::Unchecked;
        };
        let asked_at = clock::now();
        let request = ChangesRequest {
            prefix: prefix.to_owned(),
            after: Some(after),
            ..ChangesRequest::default()
        };
        let Ok(page) = self.call(primary, request, RESPONSE_TIMEOUT).await else {
            return Checked::Unchecked;
        };
        // A reader of an earlier build does not tell up to when it knows the changes.
        let current_at = page.heard_at(asked_at).unwrap_or_default();
        if page.compacted {
            return Checked::Behind(Watched::Compacted);
        }
        if !page.changes.is_empty() {
            METERS.feed("missed");
            let revision = page.revision;
            let changes = page.changes.into_iter().map(Change::from).collect();
            return Checked::Behind(Watched::Changes {
                changes,
                revision,
                current_at,
                outage: None,
            });
        }
        if max_age.admits(clock::now().saturating_sub(current_at)) {
            return Checked::Current(current_at);
        }
        METERS.feed("outdated");
        Checked::Unchecked
    }

    fn outage_since(&self, began_at: Time) -> Outage {
        self.direct.outage_since(began_at)
    }

    async fn renew(
        &self,
        prefix: &str,
        after: Revision,
        proven_at: Option<Time>,
        period: Duration,
    ) -> Result<Renewed, Error> {
        loop {
            match self.ask_for_proof(prefix, after, proven_at, period).await {
                Answer::Page(page, proven_at) => {
                    let revision = page.revision;
                    return Ok(match self.accept(prefix, page) {
                        Some((changes, outage)) => {
                            Renewed::Changes { changes, revision, proven_at, outage }
                        }
                        None => Renewed::Compacted,
                    });
                }
                Answer::Lost if !self.may_call(prefix) => sleep(LOST_POLL_INTERVAL).await,
                Answer::Lost | Answer::None => break,
            }
        }
        self.record_call(prefix, self.direct.renew(prefix, after, proven_at, period).await)
    }
}
