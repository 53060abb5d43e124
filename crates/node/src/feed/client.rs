//! Source that asks the reader of the zone, and the store if there is no reader or no good answer.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use async_trait::async_trait;
use prost::Message;
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    clock,
    feed::{ChangesRequest, Direct, Page, Snapshot, Source, Watched},
    job,
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

/// Client of the reader of a zone, for one thread.
pub struct Client {
    direct: Direct,
    peers: peer::Client,
    /// Address of the zone's reader; `None` if there is none or this host is the reader.
    reader: watch::Receiver<Option<SocketAddr>>,
    started: Instant,
    /// Longest wait for changes, so that a reader that is gone is noticed in time.
    wait_max: Duration,
    /// Age up to which what the reader knows serves a request without a wait.
    max_age: Duration,
    recovered_at: Cell<Option<Time>>,
}

impl Client {
    pub fn new(
        direct: Direct,
        reader: watch::Receiver<Option<SocketAddr>>,
        wait_max: Duration,
        max_age: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            direct,
            peers: peer::Client::default(),
            reader,
            started: Instant::now(),
            wait_max,
            max_age,
            recovered_at: Cell::default(),
        })
    }

    /// Asks the reader; `None` if there is none or it has no young enough answer.
    async fn ask(
        &self,
        prefix: &str,
        after: Option<Revision>,
        wait: Duration,
        max_age: Option<Duration>,
    ) -> Option<(Page, Time)> {
        let reader = (*self.reader.borrow())?;
        let request = ChangesRequest {
            prefix: prefix.to_owned(),
            after,
            wait_ms: peer::millis(wait),
            max_age_ms: max_age.map(peer::millis),
        };
        let asked_at = clock::now();
        let limit = if wait.is_zero() { ON_DEMAND_TIMEOUT } else { wait + RESPONSE_TIMEOUT };
        let response = self.peers.call(reader, Kind::Changes(request), limit).await?;
        let page = Page::decode(response.body).ok().filter(|_| response.served)?;
        let is_young = max_age.is_none_or(|max_age| page.age() <= max_age);
        METERS.feed(if is_young { "served" } else { "outdated" });
        // The reader has answered after the request was sent, so its knowledge is at least as young as this.
        let current_at = asked_at.saturating_sub(page.age());
        is_young.then_some((page, current_at))
    }

    /// Waits for a reader for a limited time after the start, when all hosts would read at once.
    async fn wait_for_reader(&self) {
        let mut reader = self.reader.clone();
        // Without a reader by then, this host reads from the store.
        let _ = timeout_at(self.started + READER_WAIT, reader.wait_for(Option::is_some)).await;
    }

    /// Whether a page tells of an outage of the store that is not known yet.
    fn is_recovery(&self, page: &Page) -> bool {
        let Some(ago) = page.recovered_ms.map(Duration::from_millis) else {
            return false;
        };
        let at = clock::now().saturating_sub(ago);
        let is_new = self.recovered_at.get().is_none_or(|known| at > known + SAME_RECOVERY);
        if is_new {
            self.recovered_at.set(Some(at));
        }
        is_new
    }
}

#[async_trait(?Send)]
impl Source for Client {
    async fn read(&self, prefix: &str) -> Result<Snapshot, Error> {
        // The leader keys tell who reads for the zone, so they are read without one.
        if prefix != job::LEADERS {
            self.wait_for_reader().await;
        }
        let Some((page, current_at)) = self.ask(prefix, None, READ_WAIT, Some(self.max_age)).await
        else {
            return self.direct.read(prefix).await;
        };
        let entries = page.changes.into_iter().filter_map(|raw| match Change::from(raw) {
            Change::Put(entry) => Some(entry),
            Change::Removed { .. } => None,
        });
        let entries: Vec<Entry> = entries.collect();
        Ok(Snapshot { entries, revision: page.revision, current_at })
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched, Error> {
        // A prefix that is read on demand needs young answers; for one that is followed, the reader passes changes on.
        let max_age = wait.is_zero().then_some(self.max_age);
        let asked = self.ask(prefix, Some(after), wait.min(self.wait_max), max_age).await;
        let Some((page, current_at)) = asked else {
            // The reader may have lost the store just now, and a watch that begins in that moment can be lost without
            // notice. So it is a short one, after which the reader is asked again.
            let has_reader = self.reader.borrow().is_some();
            let wait = if has_reader { wait.min(self.wait_max / 2) } else { wait };
            return self.direct.watch(prefix, after, wait).await;
        };
        if page.compacted {
            return Ok(Watched::Compacted);
        }
        let recovered = self.is_recovery(&page);
        let revision = page.revision;
        let changes = page.changes.into_iter().map(Change::from).collect();
        Ok(Watched::Changes { changes, revision, current_at, recovered })
    }
}
