//! Failover between direct and relayed calls to the store, with health checks of the direct path.

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
        frame::{Call, Response},
        path::Path,
    },
    store::Error,
};

/// Timeout of the health check after a call without a response.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval and timeout of the health checks while calls are relayed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Direct transport of calls to the store.
#[async_trait(?Send)]
pub trait Transport {
    /// Makes a call. `Error::Refused` means that the store did not execute it, `Error::NoResponse` that it may have.
    async fn call(&self, call: &Call) -> Result<Response, Error>;
    /// Call for health checks, which has no effect on the store.
    fn probe(&self) -> Call;
}

/// Path of the calls of one thread, and the checks that change it.
pub(super) struct Failover {
    pub(super) direct: Rc<dyn Transport>,
    path: Cell<Path>,
    /// Whether calls are relayed; pending long polls watch it.
    relayed: watch::Sender<bool>,
    /// A check after a call without a response is in progress.
    checking: Cell<bool>,
}

impl Failover {
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

    /// Changes the path. If calls are now relayed, the direct path is checked until it works again.
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

    /// Checks the direct path after a call without a response, so that later calls need not time out on a broken path.
    pub(super) fn check(self: &Rc<Self>) {
        if self.path.get().is_relayed() || self.checking.replace(true) {
            return;
        }
        let failover = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let works = failover.direct_works(CHECK_TIMEOUT).await;
            failover.checking.set(false);
            failover.update(if works { Path::direct_answered } else { Path::direct_failed });
        });
    }

    /// Checks the direct path until it works or calls take it again.
    async fn probe(self: Rc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if !self.path.get().is_relayed() {
                return;
            }
            if self.direct_works(PROBE_TIMEOUT).await {
                self.update(Path::direct_answered);
                return;
            }
        }
    }

    async fn direct_works(&self, limit: Duration) -> bool {
        matches!(timeout(limit, self.direct.call(&self.direct.probe())).await, Ok(Ok(_)))
    }
}
