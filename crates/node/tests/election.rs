//! Bounds within which a leader may assume that no other host leads, against a store with a lease of its own.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    clock,
    control::{Election, LeaderKey, Leadership},
    holder::Holder,
    links::Links,
    prelude::*,
    store::{Entry, Error, Outcome, Page, Store, Txn, WatchResponse},
};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time::timeout,
};

const FENCE: Revision = 5;
const TTL: Duration = Duration::from_millis(300);
const INTERVAL: Duration = Duration::from_millis(30);

/// What the store does with renewals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Renewals {
    #[default]
    Answered,
    /// They are lost on their way.
    Lost,
    /// They have effect, but the host stands still for longer than the lease before it gets the answer.
    Slow,
}

/// Store whose leader key stays, so that a read shows it, whenever its lease was last extended.
#[derive(Default)]
struct Leased {
    renewals: Cell<Renewals>,
    /// Time of the last grant or renewal that took effect.
    extended_at: Cell<Time>,
    /// Reads of the key.
    reads: Cell<u32>,
}

#[async_trait(?Send)]
impl Store for Leased {
    async fn get(&self, key: &str) -> Result<(Option<Entry>, Revision), Error> {
        self.reads.set(self.reads.get() + 1);
        let entry = Entry { key: key.into(), value: Bytes::new(), revision: FENCE };
        Ok((Some(entry), FENCE))
    }

    async fn range(&self, _: &str, _: Option<&str>) -> Result<Page, Error> {
        Err(Error::Refused { status: 503 })
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<WatchResponse, Error> {
        Err(Error::Refused { status: 503 })
    }

    async fn commit(&self, _: &Txn) -> Result<Outcome, Error> {
        Ok(Outcome::Committed(FENCE))
    }

    async fn grant(&self, _: Duration) -> Result<u64, Error> {
        self.extended_at.set(clock::now());
        Ok(1)
    }

    async fn renew(&self, _: u64) -> Result<bool, Error> {
        if self.renewals.get() == Renewals::Lost {
            return Err(Error::NoResponse { reason: "lost".into() });
        }
        self.extended_at.set(clock::now());
        if self.renewals.get() == Renewals::Slow {
            std::thread::sleep(TTL + INTERVAL);
        }
        Ok(true)
    }

    async fn revoke(&self, _: u64) -> Result<(), Error> {
        Ok(())
    }
}

struct Case {
    store: Rc<Leased>,
    leaderships: mpsc::UnboundedReceiver<(ServiceId, Leadership)>,
    _senders: (watch::Sender<LeaderKey>, watch::Sender<bool>, watch::Sender<Revision>),
}

impl Case {
    /// Starts an election that this host wins.
    fn start() -> Self {
        Self::start_not_before(Time::ZERO)
    }

    /// The same, for a host that does not compete before a time.
    fn start_not_before(time: Time) -> Self {
        let store = Rc::new(Leased::default());
        let (sender, leaderships) = mpsc::unbounded_channel();
        let (key, leader_key) = watch::channel(LeaderKey::Absent);
        let (stop, stopping) = watch::channel(false);
        let (release, released) = watch::channel(Revision::default());
        let election = Election {
            service: "llm".into(),
            holder: Holder { host: "h".into(), peer: None },
            ttl: TTL,
            renewal_interval: INTERVAL,
            delay: Duration::ZERO,
            store: store.clone(),
            leader_key,
            leaderships: sender,
            stopping,
            released,
            not_before: watch::channel(time).1,
            links: Arc::new(Links::default()),
        };
        tokio::task::spawn_local(election.run());
        Self { store, leaderships, _senders: (key, stop, release) }
    }

    /// Checks each leadership for a time, against the lease in the store. Returns the last.
    async fn check(&mut self, time: Duration) -> Option<Leadership> {
        let (end, mut last) = (Instant::now() + time, None);
        while let Ok(Some((_, leadership))) =
            timeout(end.saturating_duration_since(Instant::now()), self.leaderships.recv()).await
        {
            let lease_end = self.store.extended_at.get() + TTL;
            let Leadership { fence, exclusive_until, orders_until } = leadership;
            assert_eq!(fence, Some(FENCE));
            assert!(exclusive_until < lease_end, "{:?} late", exclusive_until - lease_end);
            assert!(orders_until < lease_end - TTL / 3, "orders {orders_until:?}, {lease_end:?}");
            last = Some(leadership);
        }
        last
    }
}

async fn run<F: Future<Output = ()>>(case: F) {
    LocalSet::new().run_until(case).await;
}

/// Guards against a leader that answers for a service of which another host may be the leader, as a read that shows its key
/// counts as a renewal of its lease.
#[tokio::test]
async fn a_read_of_the_leader_key_extends_nothing() {
    run(async {
        let mut case = Case::start();
        assert!(case.check(ms(500)).await.is_some(), "not the leader");
        case.store.renewals.set(Renewals::Lost);
        case.check(TTL * 3).await;
        assert!(case.store.reads.get() > 0, "the key was not read");
    })
    .await;
}

/// Guards against a leader that never renews its lease again after it could not for longer than that lasts.
#[tokio::test]
async fn renewals_go_on_once_they_are_answered() {
    run(async {
        let mut case = Case::start();
        case.check(ms(500)).await;
        case.store.renewals.set(Renewals::Lost);
        case.check(TTL * 2).await;
        case.store.renewals.set(Renewals::Answered);
        let last = case.check(TTL).await.expect("no renewal");
        assert!(last.exclusive_until > clock::now());
    })
    .await;
}

/// Guards against a bound that counts from the end of a renewal, during which the host stood still.
#[tokio::test]
async fn the_bound_counts_from_the_beginning_of_a_renewal() {
    run(async {
        let mut case = Case::start();
        case.check(ms(500)).await;
        case.store.renewals.set(Renewals::Slow);
        let last = case.check(TTL * 3).await.expect("no renewal");
        assert!(last.exclusive_until < clock::now());
    })
    .await;
}

/// Guards against hosts that take turns: one that has held a role takes it again before its time.
#[tokio::test]
async fn a_host_does_not_compete_before_its_time() {
    run(async {
        let not_before = clock::now() + ms(800);
        let mut case = Case::start_not_before(not_before);
        assert_eq!(case.check(ms(700)).await, None);
        assert!(case.check(ms(700)).await.is_some(), "does not compete");
        assert!(clock::now() >= not_before);
    })
    .await;
}
