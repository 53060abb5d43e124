//! Updates of a mirror, against a store with scripted responses.

mod common;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    control::{Mirror, Schedule, Update},
    feed::{ChangesRequest, Direct, Feed, MaxAge},
    freshness::Freshness,
    prelude::*,
    store::{Change, Entry, Error, Outcome, Page, Store, Txn, WatchResponse},
    workspace::Upkeep,
};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, timeout_at},
};

/// Store without entries whose first read fails.
struct FailingOnce {
    failed: Cell<bool>,
}

#[async_trait(?Send)]
impl Store for FailingOnce {
    async fn get(&self, _: &str) -> Result<(Option<Entry>, Revision), Error> {
        Ok((None, 0))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Error> {
        if self.failed.replace(true) {
            Ok(Page::default())
        } else {
            Err(Error::Refused { status: 503 })
        }
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<WatchResponse, Error> {
        std::future::pending().await
    }

    async fn commit(&self, _: &Txn) -> Result<Outcome, Error> {
        Err(Error::Refused { status: 503 })
    }

    async fn grant(&self, _: Duration) -> Result<u64, Error> {
        Err(Error::Refused { status: 503 })
    }

    async fn renew(&self, _: u64) -> Result<bool, Error> {
        Ok(false)
    }

    async fn revoke(&self, _: u64) -> Result<(), Error> {
        Ok(())
    }
}

/// Store with one entry. Watches return the scripted responses in order, then block.
#[derive(Default)]
struct ScriptedStore {
    watches: RefCell<VecDeque<Result<WatchResponse, Error>>>,
    /// Time that each watch takes.
    delay: Duration,
    /// Longest wait of a watch.
    wait_max: Cell<Duration>,
}

#[async_trait(?Send)]
impl Store for ScriptedStore {
    async fn get(&self, _: &str) -> Result<(Option<Entry>, Revision), Error> {
        Ok((None, 0))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Error> {
        let entry = Entry { key: "a/1".into(), value: Bytes::new(), revision: 1 };
        Ok(Page { entries: vec![entry], revision: 1, more: false })
    }

    async fn watch(&self, _: &str, _: Revision, wait: Duration) -> Result<WatchResponse, Error> {
        self.wait_max.set(wait.max(self.wait_max.get()));
        let next = self.watches.borrow_mut().pop_front();
        tokio::time::sleep(self.delay).await;
        match next {
            Some(response) => response,
            None => std::future::pending().await,
        }
    }

    async fn commit(&self, _: &Txn) -> Result<Outcome, Error> {
        Ok(Outcome::NoLease)
    }

    async fn grant(&self, _: Duration) -> Result<u64, Error> {
        Ok(1)
    }

    async fn renew(&self, _: u64) -> Result<bool, Error> {
        Ok(false)
    }

    async fn revoke(&self, _: u64) -> Result<(), Error> {
        Ok(())
    }
}

/// Follows a prefix of which no rule bounds the age.
fn follow(interval: Duration) -> Schedule {
    Schedule::Follow { interval, max_age: MaxAge::UNBOUNDED }
}

fn direct(store: Rc<dyn Store>) -> Direct {
    Direct { store, contact: Arc::default() }
}

/// Updates of a mirror whose watch fails a number of times and then returns a removal, up to that.
fn updates_after_failures(failures: usize) -> Vec<Update> {
    let removed = Change::Removed { key: "a/1".into(), revision: 2 };
    let failed = (0..failures).map(|_| Err(Error::Refused { status: 503 }));
    let answered = Ok(WatchResponse::Changes { changes: vec![removed], revision: 2 });
    let watches = RefCell::new(failed.chain([answered]).collect());
    let (updates, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mirror = Mirror::new(0, "a/", follow(ms(1)));
        let source =
            Rc::new(direct(Rc::new(ScriptedStore { watches, ..ScriptedStore::default() })));
        tokio::task::spawn_local(mirror.follow(source, Arc::default(), updates));
        let mut all = Vec::new();
        while !matches!(all.last(), Some(Update::Changed(Change::Removed { .. }))) {
            all.push(receiver.recv().await.expect("the mirror has ended"));
        }
        all
    })
}

/// Guards against removing targets whose registrations expired while the store was unavailable: the recovery must be
/// sent before the removals.
#[test]
fn recovery_of_the_store_is_sent_before_removals() {
    // The retries take over a second.
    let updates = updates_after_failures(4);
    assert_matches!(
        &updates[..],
        [
            Update::Changed(Change::Put(_)),
            Update::Synced { mirror: 0, .. },
            Update::StoreUnavailable { mirror: 0 },
            Update::StoreRecovered { mirror: 0, .. },
            Update::Changed(Change::Removed { .. }),
        ]
    );
}

/// Guards against removals that are held back because a host has changed its way to the store: nothing expires in that time.
#[test]
fn a_short_failure_is_no_outage() {
    let updates = updates_after_failures(1);
    assert_matches!(
        &updates[..],
        [
            Update::Changed(Change::Put(_)),
            Update::Synced { mirror: 0, .. },
            Update::StoreUnavailable { mirror: 0 },
            Update::Changed(Change::Removed { .. }),
        ]
    );
}

/// Guards against a host that never becomes ready: nothing requests a refresh of its registrations before it has read
/// them once.
#[test]
fn a_first_read_that_fails_is_repeated_without_a_request() {
    let store = FailingOnce { failed: Cell::new(false) };
    let (updates, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let freshness = Arc::new(Freshness::new(ms(1_000)));
        let mirror = Mirror::new(0, "a/", Schedule::OnDemand(freshness));
        let source = Rc::new(direct(Rc::new(store)));
        tokio::task::spawn_local(mirror.follow(source, Arc::default(), updates));
        let synced = async {
            while let Some(update) = receiver.recv().await {
                if matches!(update, Update::Synced { .. }) {
                    return;
                }
            }
        };
        assert!(tokio::time::timeout(ms(2_000), synced).await.is_ok());
    });
}

/// Guards against a host that trusts its configuration without a proof, and against one that goes on reading it when that is
/// not needed any more.
#[test]
fn a_mirror_proves_that_it_is_current_as_long_as_that_is_asked_for() {
    let store = ScriptedStore::default();
    let (updates, mut receiver) = mpsc::unbounded_channel();
    let (renewal, renewed) = watch::channel(None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mirror = Mirror::new(3, "a/", follow(ms(1))).with_upkeep(renewed);
        let source = Rc::new(direct(Rc::new(store)));
        tokio::task::spawn_local(mirror.follow(source, Arc::default(), updates));
        let mut proofs = async || {
            let (mut all, end) = (Vec::new(), Instant::now() + ms(220));
            while let Ok(Some(update)) = timeout_at(end, receiver.recv()).await {
                if let Update::Known { mirror: 3, proven_at, .. } = update {
                    all.push(proven_at.expect("a time"));
                }
            }
            all
        };
        assert_eq!(proofs().await.len(), 1, "the first read; the watch waits");
        renewal.send(Some(Upkeep::Renewal(ms(40)))).unwrap();
        let all = proofs().await;
        assert!((4..=7).contains(&all.len()) && all.is_sorted(), "{all:?}");
        renewal.send(None).unwrap();
        assert!(proofs().await.len() <= 1);
    });
}

/// Guards against a host that counts its configuration as current while its watch hangs.
#[test]
fn a_watch_that_hangs_lets_the_age_grow() {
    let empty = || Ok(WatchResponse::Changes { changes: Vec::new(), revision: 1 });
    let watches = RefCell::new([empty(), empty()].into());
    let store = ScriptedStore { watches, ..ScriptedStore::default() };
    let (updates, mut receiver) = mpsc::unbounded_channel();
    let (_upkeep, upkept) = watch::channel(Some(Upkeep::Watches(ms(40))));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mirror = Mirror::new(3, "a/", follow(ms(20))).with_upkeep(upkept);
        let source = Rc::new(direct(Rc::new(store)));
        let begun = lagoonyard_node::clock::now();
        tokio::task::spawn_local(mirror.follow(source, Arc::default(), updates));
        let (mut heard, end) = (Vec::new(), Instant::now() + ms(300));
        while let Ok(Some(update)) = timeout_at(end, receiver.recv()).await {
            if let Update::Known { heard_at, .. } = update {
                heard.push(heard_at);
            }
        }
        // The read and the two watches that were answered.
        assert!(heard.len() == 3 && heard.is_sorted(), "{heard:?}");
        assert!(heard[2] < begun + ms(200), "{heard:?}");
    });
}

/// Guards against a host that shows registrations to its zone as younger than they are, after a store that answered slowly. They
/// are as old as the beginning of the call.
#[test]
fn changes_read_on_demand_are_as_old_as_their_call() {
    let changed = Change::Removed { key: "a/1".into(), revision: 2 };
    let answered = Ok(WatchResponse::Changes { changes: vec![changed], revision: 2 });
    let watches = RefCell::new([answered].into());
    let store = ScriptedStore { watches, delay: ms(200), ..ScriptedStore::default() };
    let (updates, mut receiver) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (freshness, feed) = (Arc::new(Freshness::new(ms(1_000))), Arc::new(Feed::default()));
        feed.set_serving(true);
        let mirror = Mirror::new(0, "a/", Schedule::OnDemand(Arc::clone(&freshness)));
        let source = Rc::new(direct(Rc::new(store)));
        tokio::task::spawn_local(mirror.follow(source, Arc::clone(&feed), updates));
        let mut is_removed = false;
        while !is_removed {
            match receiver.recv().await.expect("the mirror has ended") {
                Update::Refreshed { .. } => freshness.request_refresh(),
                update => is_removed = matches!(update, Update::Changed(Change::Removed { .. })),
            }
        }
        let request = ChangesRequest { prefix: "a/".into(), ..ChangesRequest::default() };
        let page = feed.serve(&request).await.expect("a page");
        assert!(page.age() >= ms(200), "{:?}", page.age());
    });
}

/// Guards against a change that is unknown for many seconds, as the answer of a long watch was lost.
#[test]
fn a_watch_of_which_the_age_is_bounded_is_short() {
    let empty = Ok(WatchResponse::Changes { changes: Vec::new(), revision: 1 });
    let watches = RefCell::new([empty].into());
    let store = Rc::new(ScriptedStore { watches, ..ScriptedStore::default() });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let max_age = MaxAge::new(ms(1_000));
        let mirror = Mirror::new(0, "a/", Schedule::Follow { interval: ms(1), max_age });
        let source = Rc::new(direct(Rc::clone(&store) as Rc<dyn Store>));
        let (updates, _receiver) = mpsc::unbounded_channel();
        let follow = mirror.follow(source, Arc::default(), updates);
        let _ = tokio::time::timeout(ms(100), follow).await;
    });
    assert!((ms(1)..=ms(500)).contains(&store.wait_max.get()), "{:?}", store.wait_max.get());
}
