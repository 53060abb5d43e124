//! The ways to the store, and checks of the direct one.

use std::{cell::Cell, rc::Rc};

use async_trait::async_trait;
use log::info;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    prelude::*,
    relay::{
        frame::{Answer, Call},
        path::Path,
    },
    store::Error,
};

/// Longest time for the answer that shows, after a call without one, whether the direct way works.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which the direct way is tried while calls go through other hosts, and the time for its answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The direct way to the store.
#[async_trait(?Send)]
pub trait Transport {
    /// Makes a call. `Error::Refused` means that the store did not take it, `Error::NoAnswer` that it may have.
    async fn call(&self, call: &Call) -> Result<Answer, Error>;
    /// A call that changes nothing.
    fn probe(&self) -> Call;
}

/// State of the ways to the store, for one thread.
pub(super) struct Ways {
    pub(super) direct: Rc<dyn Transport>,
    path: Cell<Path>,
    /// Whether calls go through other hosts, for calls that wait.
    relayed: watch::Sender<bool>,
    /// The direct way is being checked.
    checking: Cell<bool>,
}

impl Ways {
    pub(super) fn new(direct: Rc<dyn Transport>) -> Rc<Self> {
        let (path, checking) = (Cell::default(), Cell::new(false));
        Rc::new(Self { direct, path, relayed: watch::Sender::new(false), checking })
    }

    pub(super) fn path(&self) -> Path {
        self.path.get()
    }

    pub(super) fn relayed(&self) -> watch::Receiver<bool> {
        self.relayed.subscribe()
    }

    /// Changes the state; the direct way is tried for as long as calls go another way.
    pub(super) fn update(self: &Rc<Self>, change: impl FnOnce(&mut Path)) {
        let before = self.path.get();
        let mut path = before;
        change(&mut path);
        self.path.set(path);
        if before.is_relayed() == path.is_relayed() {
            return;
        }
        info!(relayed = path.is_relayed(); "way to the store changed");
        self.relayed.send_replace(path.is_relayed());
        if path.is_relayed() {
            tokio::task::spawn_local(Rc::clone(self).probe());
        }
    }

    /// Finds out after a call without an answer whether the direct way works, so that no other call has to.
    pub(super) fn check(self: &Rc<Self>) {
        if self.path.get().is_relayed() || self.checking.replace(true) {
            return;
        }
        let ways = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let works = ways.works(CHECK_TIMEOUT).await;
            ways.checking.set(false);
            ways.update(if works { Path::answered } else { Path::lost });
        });
    }

    /// Tries the direct way until it works or calls go that way again.
    async fn probe(self: Rc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if !self.path.get().is_relayed() {
                return;
            }
            if self.works(PROBE_TIMEOUT).await {
                self.update(Path::answered);
                return;
            }
        }
    }

    async fn works(&self, longest: Duration) -> bool {
        matches!(timeout(longest, self.direct.call(&self.direct.probe())).await, Ok(Ok(_)))
    }
}
