//! Guards against outdated, lost or repeated changes when a host reads the store through the reader of its zone.

mod common;

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    clock,
    contact::{Contact, Outage},
    feed::{
        ChangesRequest, Checked, Client, Direct, Feed, MaxAge, Readers, Renewed, Snapshot, Source,
        Wait, Watched,
    },
    peer::{self, Frames, Handler, Kind, Lead, Request, Response, Tunnel},
    prelude::*,
    store::{Change, Entry, Error, Outcome, Page, Store, Txn, WatchResponse},
};
use prost::Message;
use tokio::{net::TcpListener, sync::watch};

const PREFIX: &str = "a/";

/// Store that counts its reads and watches.
#[derive(Default)]
struct Counter {
    calls: Cell<u32>,
    /// Watches are refused.
    is_down: Cell<bool>,
    last_wait: Cell<Duration>,
}

#[async_trait(?Send)]
impl Store for Counter {
    async fn get(&self, _: &str) -> Result<(Option<Entry>, Revision), Error> {
        Ok((None, 0))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Error> {
        self.calls.set(self.calls.get() + 1);
        Ok(Page::default())
    }

    async fn watch(
        &self,
        _: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, Error> {
        self.calls.set(self.calls.get() + 1);
        self.last_wait.set(wait);
        if self.is_down.get() {
            return Err(Error::Refused { status: 503 });
        }
        Ok(WatchResponse::Changes { changes: Vec::new(), revision: after })
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

/// Host that serves a feed.
struct Reader(Arc<Feed>);

impl Handler for Reader {
    async fn handle(&self, request: Request) -> Response {
        let Some(Kind::Changes(request)) = request.kind else {
            return Response::not_served();
        };
        let page = self.0.serve(&request).await;
        page.map_or_else(Response::not_served, |page| Response::served(page.encode_to_vec().into()))
    }

    async fn serve_leader(&self, _: Lead, _: Frames) {}

    async fn serve_tunnel(&self, _: Tunnel, _: Frames) {}
}

fn entry(key: &str, revision: Revision) -> Entry {
    Entry { key: key.into(), value: Bytes::from_static(b"v"), revision }
}

/// Feed of a reader that has read two entries at revision 5.
fn feed(current_at: Option<Time>) -> Arc<Feed> {
    let feed = Arc::new(Feed::default());
    feed.set_serving(true);
    let entries = vec![entry("a/1", 3), entry("a/2", 5)];
    let snapshot = Snapshot { entries, revision: 5, current_at: clock::now(), proven_at: None };
    feed.reset(PREFIX, &snapshot, current_at);
    feed
}

fn zone_reader(address: SocketAddr) -> Readers {
    Readers { zone: watch::channel(Some(address)).1, primary: watch::channel(None).1 }
}

/// Serves a feed, and returns the address.
async fn serve(feed: &Arc<Feed>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(peer::serve(listener, Rc::new(Reader(Arc::clone(feed)))));
    address
}

fn direct(store: Rc<dyn Store>) -> Direct {
    Direct { store, contact: Arc::default() }
}

async fn client(feed: &Arc<Feed>, store: &Rc<Counter>) -> Rc<Client> {
    let address = serve(feed).await;
    Client::new(direct(Rc::clone(store) as Rc<dyn Store>), zone_reader(address), ms(200), ms(300))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn keys(changes: &[Change]) -> Vec<String> {
    let key = |change: &Change| match change {
        Change::Put(entry) => format!("+{}", entry.key),
        Change::Removed { key, .. } => format!("-{key}"),
    };
    changes.iter().map(key).collect()
}

#[test]
fn changes_come_from_the_reader_without_a_call_of_the_store() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let snapshot = client.read(PREFIX).await.unwrap();
        assert_eq!((snapshot.entries.len(), snapshot.revision), (2, 5));
        let removed = Change::Removed { key: "a/1".into(), revision: 7 };
        feed.extend(PREFIX, &[removed, Change::Put(entry("a/3", 8))], 8, clock::now());
        let watched = client.watch(PREFIX, 5, ms(5_000).into()).await.unwrap();
        assert_matches!(watched, Watched::Changes { changes, revision: 8, .. } => {
            assert_eq!(keys(&changes), ["-a/1", "+a/3"]);
        });
        assert_eq!(store.calls.get(), 0);
    });
}

/// Guards against removals that are lost, because they came before the reader's copy.
#[test]
fn changes_before_the_readers_copy_are_not_made_up() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        assert_matches!(client.watch(PREFIX, 4, ms(100).into()).await, Ok(Watched::Compacted));
    });
}

#[test]
fn a_waiting_request_gets_a_change_at_once() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let changed = Arc::clone(&feed);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(ms(50)).await;
            changed.extend(PREFIX, &[Change::Put(entry("a/1", 9))], 9, clock::now());
        });
        let begun = std::time::Instant::now();
        let watched = client.watch(PREFIX, 5, ms(5_000).into()).await.unwrap();
        assert_matches!(watched, Watched::Changes { changes, .. } => assert_eq!(changes.len(), 1));
        assert!(begun.elapsed() < ms(150), "{:?}", begun.elapsed());
    });
}

/// Guards against a target that counts as up to date although its reader has not read it for too long.
#[test]
fn what_a_reader_knew_too_long_ago_is_read_from_the_store() {
    run(async {
        let store = Rc::new(Counter::default());
        let old = feed(Some(clock::now().saturating_sub(ms(400))));
        let client = client(&old, &store).await;
        client.watch(PREFIX, 5, Duration::ZERO.into()).await.unwrap();
        assert_eq!(store.calls.get(), 1);
    });
}

#[test]
fn the_age_of_the_readers_knowledge_is_passed_on() {
    run(async {
        let store = Rc::new(Counter::default());
        let young = feed(Some(clock::now().saturating_sub(ms(200))));
        let client = client(&young, &store).await;
        let watched = client.watch(PREFIX, 5, Duration::ZERO.into()).await.unwrap();
        assert_matches!(watched, Watched::Changes { current_at, .. } => {
            assert!(clock::now().saturating_sub(current_at) >= ms(200));
        });
    });
}

/// Guards against a change that a host misses for the length of a watch at the store, which it began in the moment in
/// which its reader had lost the store.
#[test]
fn a_reader_that_has_lost_the_store_is_replaced_by_short_watches() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        feed.fail(PREFIX);
        client.watch(PREFIX, 5, ms(15_000).into()).await.unwrap();
        assert_eq!((store.calls.get(), store.last_wait.get()), (1, ms(100)));
    });
}

/// Outage of two seconds that has just ended.
fn outage() -> Outage {
    let ended_at = clock::now();
    let before = |time| ended_at.saturating_sub(time);
    Outage { began_at: before(ms(2_000)), lost_at: before(ms(300)), ended_at }
}

/// Guards against targets that are removed because their registrations expired while only the reader saw the outage.
#[test]
fn an_outage_of_the_store_is_reported_once() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        feed.record_outage(outage());
        let mut reported = Vec::new();
        for revision in [6, 7] {
            feed.extend(PREFIX, &[Change::Put(entry("a/1", revision))], revision, clock::now());
            let watched = client.watch(PREFIX, revision - 1, ms(100).into()).await.unwrap();
            assert_matches!(watched, Watched::Changes { outage, .. } => reported.push(outage.is_some()));
        }
        assert_eq!(reported, [true, false]);
    });
}

#[test]
fn a_host_that_is_not_the_reader_serves_nothing() {
    run(async {
        let feed = feed(None);
        feed.set_serving(false);
        let request = ChangesRequest { prefix: PREFIX.into(), ..ChangesRequest::default() };
        assert_eq!(feed.serve(&request).await, None);
    });
}

/// Guards against a request that is sent to a leaving target, because a reader that does not answer held up the news for
/// longer than a request waits for it (hunt of 4 December, Huon, trouble-2 --seed 287247480966).
#[test]
fn a_reader_that_does_not_answer_holds_up_no_request() {
    run(async {
        let store = Rc::new(Counter::default());
        // Connections are accepted by the kernel, and nobody reads from them.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let readers = zone_reader(silent.local_addr().unwrap());
        let client =
            Client::new(direct(Rc::clone(&store) as Rc<dyn Store>), readers, ms(200), ms(300));
        let begun = std::time::Instant::now();
        client.watch(PREFIX, 5, Duration::ZERO.into()).await.unwrap();
        assert_eq!(store.calls.get(), 1);
        assert!(begun.elapsed() < ms(100), "{:?}", begun.elapsed());
    });
}

/// Guards against an outage of the store in which each host of a zone calls it several times a second.
#[test]
fn hosts_whose_reader_has_lost_the_store_call_it_less_and_less() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        feed.fail(PREFIX);
        store.is_down.set(true);
        let watches = async {
            loop {
                let _ = client.watch(PREFIX, 5, ms(15_000).into()).await;
                tokio::time::sleep(ms(50)).await;
            }
        };
        let _ = tokio::time::timeout(ms(3_000), watches).await;
        assert!((1..=5).contains(&store.calls.get()), "{} calls in 3 s", store.calls.get());
        // An answer of the store ends the pauses.
        store.is_down.set(false);
        client.watch(PREFIX, 5, ms(15_000).into()).await.unwrap();
        let begun = std::time::Instant::now();
        client.watch(PREFIX, 5, ms(15_000).into()).await.unwrap();
        assert!(begun.elapsed() < ms(100), "{:?}", begun.elapsed());
    });
}

/// Guards against a proof that a host dates later than the reader's read of the store, or much earlier because its request
/// waited for the proof.
#[test]
fn a_proof_of_the_reader_keeps_its_age() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let first = clock::now().saturating_sub(ms(120));
        feed.prove(PREFIX, first);
        let renewed = client.renew(PREFIX, 5, None, ms(400)).await.unwrap();
        let known = assert_matches!(renewed, Renewed::Changes { proven_at, .. } => proven_at);
        assert!(known <= first && known + ms(60) > first, "{known:?} {first:?}");
        // The next answer comes with the next proof.
        let proven = Arc::clone(&feed);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(ms(150)).await;
            proven.prove(PREFIX, clock::now());
        });
        let begun = clock::now();
        let renewed = client.renew(PREFIX, 5, Some(known), ms(400)).await.unwrap();
        let waited = clock::now().saturating_sub(begun);
        assert!(waited >= ms(140) && waited < ms(350), "{waited:?}");
        let known = assert_matches!(renewed, Renewed::Changes { proven_at, .. } => proven_at);
        assert!(known <= begun + waited && known + ms(60) > begun + ms(150), "{known:?}");
        assert_eq!(store.calls.get(), 0);
    });
}

/// Guards against a host that counts as current by a reader that proves nothing: it has lost the store, hangs, or is of an
/// earlier build.
#[test]
fn without_a_young_proof_of_the_reader_the_store_is_read() {
    run(async {
        let store = Rc::new(Counter::default());
        for (calls, proven_ms) in [(1, None), (2, Some(900))] {
            let feed = feed(None);
            if let Some(age) = proven_ms {
                feed.prove(PREFIX, clock::now().saturating_sub(ms(age)));
            }
            let client = client(&feed, &store).await;
            let begun = clock::now();
            let renewed = client.renew(PREFIX, 5, Some(begun), ms(200)).await.unwrap();
            let proven_at = assert_matches!(renewed, Renewed::Read(snapshot) => snapshot.proven_at);
            assert!(proven_at >= Some(begun));
            assert_eq!(store.calls.get(), calls);
        }
    });
}

/// Guards against a host that counts its configuration as current since its reader, whose own watch hangs, answers.
#[test]
fn the_age_of_what_a_reader_follows_is_passed_on() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let read_by = clock::now();
        let heard = async |revision| {
            let watched = client.watch(PREFIX, revision, ms(60).into()).await.unwrap();
            assert_matches!(watched, Watched::Changes { current_at, .. } => current_at)
        };
        for _ in 0..3 {
            assert!(heard(5).await <= read_by);
        }
        // The time to which its watch has been answered without a change.
        let answered_at = clock::now();
        feed.extend(PREFIX, &[], 5, answered_at);
        let age = answered_at.abs_diff(heard(5).await);
        assert!(age < ms(10), "{age:?}");
        assert_eq!(store.calls.get(), 0);
    });
}

/// Guards against a copy that counts as proved by a watch, which shows nothing while it waits.
#[test]
fn changes_prove_nothing() {
    run(async {
        let feed = feed(None);
        feed.extend(PREFIX, &[Change::Put(entry("a/1", 9))], 9, clock::now());
        let request = ChangesRequest { prefix: PREFIX.into(), ..ChangesRequest::default() };
        assert_eq!(feed.serve(&request).await.unwrap().proven_after_ms, None);
    });
}

/// Client of a host that reads from the store itself and checks with the primary reader.
async fn checking_client(feed: &Arc<Feed>, store: &Rc<Counter>) -> Rc<Client> {
    let primary = watch::channel(Some(serve(feed).await)).1;
    let readers = Readers { zone: watch::channel(None).1, primary };
    Client::new(direct(Rc::clone(store) as Rc<dyn Store>), readers, ms(200), ms(300))
}

/// Guards against a reader that misses a change with an answer of the store that was lost, although another reader knows it.
#[test]
fn a_reader_learns_from_the_primary_one_what_it_has_missed() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = checking_client(&feed, &store).await;
        let max_age = MaxAge::new(ms(400));
        assert_matches!(client.check(PREFIX, 5, max_age).await, Checked::Current(_));
        feed.extend(PREFIX, &[Change::Put(entry("a/3", 8))], 8, clock::now());
        let missed = assert_matches!(client.check(PREFIX, 5, max_age).await, Checked::Behind(missed) => missed);
        assert_matches!(missed, Watched::Changes { changes, revision: 8, .. } => {
            assert_eq!(keys(&changes), ["+a/3"]);
        });
        assert_eq!(store.calls.get(), 0);
    });
}

/// Guards against a reader that relies on a primary one whose own watch hangs, or that has lost the store.
#[test]
fn a_check_with_a_reader_that_is_behind_shows_nothing() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = checking_client(&feed, &store).await;
        let max_age = MaxAge::new(ms(100));
        tokio::time::sleep(ms(120)).await;
        assert_matches!(client.check(PREFIX, 5, max_age).await, Checked::Unchecked);
        feed.extend(PREFIX, &[], 5, clock::now());
        assert_matches!(client.check(PREFIX, 5, max_age).await, Checked::Current(_));
        feed.fail(PREFIX);
        assert_matches!(client.check(PREFIX, 5, max_age).await, Checked::Unchecked);
    });
}

/// Guards against a host that waits for changes of a reader whose own watch hangs.
#[test]
fn a_reader_that_is_behind_is_replaced_by_a_watch() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let wait = Wait { length: ms(60), max_age: MaxAge::new(ms(100)) };
        client.watch(PREFIX, 5, wait).await.unwrap();
        assert_eq!(store.calls.get(), 0);
        client.watch(PREFIX, 5, wait).await.unwrap();
        assert_eq!(store.calls.get(), 1);
    });
}

/// Guards against a removed target that a host keeps since its reader alone got no answers from the store, which let no
/// registration expire.
#[test]
fn an_outage_of_the_reader_alone_is_none() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let contact = Arc::<Contact>::default();
        let direct = Direct { store, contact: Arc::clone(&contact) };
        let readers = zone_reader(serve(&feed).await);
        let client = Client::new(direct, readers, ms(200), ms(300));
        let began_at = clock::now();
        tokio::time::sleep(ms(50)).await;
        contact.record_answer();
        tokio::time::sleep(ms(50)).await;
        let lost_at = clock::now();
        feed.record_outage(Outage { began_at, lost_at, ended_at: lost_at + ms(1) });
        feed.extend(PREFIX, &[Change::Put(entry("a/1", 6))], 6, clock::now());
        let watched = client.watch(PREFIX, 5, ms(100).into()).await.unwrap();
        assert_matches!(watched, Watched::Changes { outage: None, .. });
    });
}

/// Guards against a grace period that begins anew at each host that hears of an outage.
#[test]
fn the_end_of_an_outage_is_passed_on() {
    run(async {
        let (feed, store) = (feed(None), Rc::new(Counter::default()));
        let client = client(&feed, &store).await;
        let told = outage();
        feed.record_outage(told);
        tokio::time::sleep(ms(400)).await;
        feed.extend(PREFIX, &[Change::Put(entry("a/1", 6))], 6, clock::now());
        let watched = client.watch(PREFIX, 5, ms(100).into()).await.unwrap();
        let heard =
            assert_matches!(watched, Watched::Changes { outage: Some(outage), .. } => outage);
        for (heard, told) in [
            (heard.began_at, told.began_at),
            (heard.lost_at, told.lost_at),
            (heard.ended_at, told.ended_at),
        ] {
            assert!(heard.abs_diff(told) < ms(50), "{heard:?} {told:?}");
        }
    });
}
