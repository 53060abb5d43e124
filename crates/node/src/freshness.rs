//! Freshness of the target registrations, and refreshes on demand.
//!
//! Targets register each change of their state. On a large deployment a host that followed all registrations would make
//! most of its store calls for changes that it never uses. So a host reads the changes when it chooses the target of a
//! request, and at intervals while it leads a service.

use log::info;
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{clock, prelude::*};

/// Maximum time for which a request waits for a refresh before its target is chosen by the present registrations.
const REFRESH_WAIT: Duration = Duration::from_millis(30);
/// The same if the present registrations are older than the maximum age.
const STALE_REFRESH_WAIT: Duration = Duration::from_millis(150);
/// Refreshes within the maximum age of registrations.
const REFRESHES_PER_MAX_AGE: u32 = 2;
/// Time after a failed refresh during which no request waits for another one.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Times of the last refreshes.
#[derive(Clone, Copy, Debug, Default)]
struct Status {
    /// Time at which the registrations in use were current.
    refreshed_at: Option<Time>,
    /// Time of the last failure, if no refresh has succeeded since.
    failed_at: Option<Time>,
}

impl Status {
    fn is_within(&self, age: Duration) -> bool {
        self.refreshed_at.is_some_and(|at| clock::now() < at + age)
    }

    fn failed_recently(&self) -> bool {
        self.failed_at.is_some_and(|at| clock::now() < at + FAILURE_BACKOFF)
    }
}

/// Freshness shared by the traffic thread, which requests refreshes, and the control thread, which makes them.
#[derive(Debug)]
pub struct Freshness {
    /// Age up to which registrations may be relied on.
    max_age: Duration,
    requested: Notify,
    status: watch::Sender<Status>,
}

impl Freshness {
    /// Registrations up to `max_age` old may be relied on.
    pub fn new(max_age: Duration) -> Self {
        Self { max_age, requested: Notify::new(), status: watch::Sender::new(Status::default()) }
    }

    /// Age at which registrations are refreshed.
    pub fn refresh_age(&self) -> Duration {
        self.max_age / REFRESHES_PER_MAX_AGE
    }

    fn is_fresh(&self) -> bool {
        self.status.borrow().is_within(self.refresh_age())
    }

    /// Requests a refresh if one is due.
    pub fn request_refresh(&self) {
        if !self.is_fresh() {
            self.requested.notify_one();
        }
    }

    /// Requests a refresh if one is due and waits for it for a limited time, but not after a recent failure.
    pub async fn wait_for_refresh(&self) {
        if self.is_fresh() {
            return;
        }
        self.requested.notify_one();
        let mut status = self.status.subscribe();
        let reliable = status.borrow().is_within(self.max_age);
        let wait_max = if reliable { REFRESH_WAIT } else { STALE_REFRESH_WAIT };
        let refresh_age = self.refresh_age();
        let done =
            status.wait_for(|status| status.failed_recently() || status.is_within(refresh_age));
        if timeout(wait_max, done).await.is_err() && !reliable {
            info!("could not refresh registrations in time; using outdated ones");
            self.refresh_failed();
        }
    }

    /// Waits until a refresh is requested and due.
    pub async fn refresh_requested(&self) {
        loop {
            self.requested.notified().await;
            if !self.is_fresh() {
                return;
            }
        }
    }

    /// Records that the registrations in use were current at `at`.
    pub fn refreshed(&self, at: Time) {
        self.status.send_replace(Status { refreshed_at: Some(at), failed_at: None });
    }

    /// Age of the registrations in use; `None` before the first refresh.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.status.borrow().refreshed_at.map(|at| now.saturating_sub(at))
    }

    /// Records a failed refresh.
    pub fn refresh_failed(&self) {
        self.status.send_modify(|status| status.failed_at = Some(clock::now()));
    }
}
