//! What a mirror tells, before a store whose answers a test lays down.

mod common;

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    control::{Mirror, Pace, Update},
    prelude::*,
    store::{Change, Entry, Error, Outcome, Page, Store, Txn, WatchResponse},
};
use tokio::sync::mpsc;

/// Store with one entry, whose watches are answered in turn and then no more.
struct Script {
    watches: RefCell<VecDeque<Result<WatchResponse, Error>>>,
}

#[async_trait(?Send)]
impl Store for Script {
    async fn get(&self, _: &str) -> Result<(Option<Entry>, Revision), Error> {
        Ok((None, 0))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Error> {
        let entry = Entry { key: "a/1".into(), value: Bytes::new(), revision: 1 };
        Ok(Page { entries: vec![entry], revision: 1, more: false })
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<WatchResponse, Error> {
        let next = self.watches.borrow_mut().pop_front();
        match next {
            Some(answer) => answer,
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

/// Guards against taking targets as gone whose registrations lapsed while the store was away: the end of the outage has
/// to be known before the removals that came with it.
#[test]
fn the_end_of_an_outage_is_told_before_its_removals() {
    let removed = Change::Removed { key: "a/1".into(), revision: 2 };
    let watches = RefCell::new(VecDeque::from([
        Err(Error::Refused { status: 503 }),
        Ok(WatchResponse::Changes { changes: vec![removed], revision: 2 }),
    ]));
    let (updates, mut told) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mirror = Mirror::new(0, "a/", Pace::Follow(ms(1)));
        tokio::task::spawn_local(mirror.follow(Rc::new(Script { watches }), updates));
        assert_matches!(told.recv().await, Some(Update::Changed(Change::Put(_))));
        assert_matches!(told.recv().await, Some(Update::Synced { mirror: 0 }));
        assert_matches!(told.recv().await, Some(Update::Lost { mirror: 0 }));
        assert_matches!(told.recv().await, Some(Update::Regained { mirror: 0 }));
        assert_matches!(told.recv().await, Some(Update::Changed(Change::Removed { .. })));
    });
}
