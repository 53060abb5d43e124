//! How current the registrations of targets are known to be.
//!
//! Targets register each change of their state, so on a large deployment a host that follows them all makes most of its
//! calls to the store for changes that it never uses. The changes are read when a request is to be placed instead, and at
//! intervals where a service is led.

use log::info;
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{clock, prelude::*};

/// Longest time that a request waits for a refresh; it is then placed by what is known.
const WAIT: Duration = Duration::from_millis(30);
/// The same if what is known is too old to be relied on.
const WAIT_STALE: Duration = Duration::from_millis(150);
/// Refreshes within the time for which what is known may be relied on.
const REFRESHES: u32 = 2;
/// Time after a failed refresh in which no request waits for another.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// What is known of the last refreshes.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Time at which what is known was current.
    at: Option<Time>,
    /// Time at which a refresh last failed.
    failed_at: Option<Time>,
}

impl Known {
    fn is_within(&self, age: Duration) -> bool {
        self.at.is_some_and(|at| clock::now() < at + age)
    }

    fn failed_lately(&self) -> bool {
        self.failed_at.is_some_and(|at| clock::now() < at + FAILURE_MEMORY)
    }
}

/// Shared by the control thread, which refreshes, and the traffic thread, which asks for it.
#[derive(Debug)]
pub struct Freshness {
    /// Age up to which what is known may be relied on.
    reliable: Duration,
    asked: Notify,
    known: watch::Sender<Known>,
}

impl Freshness {
    /// Registrations may be relied on for `reliable` after they were current.
    pub fn new(reliable: Duration) -> Self {
        Self { reliable, asked: Notify::new(), known: watch::Sender::new(Known::default()) }
    }

    fn is_fresh(&self) -> bool {
        self.known.borrow().is_within(self.reliable / REFRESHES)
    }

    /// Asks for a refresh if one is due.
    pub fn ask(&self) {
        if !self.is_fresh() {
            self.asked.notify_one();
        }
    }

    /// Asks for a refresh if one is due and waits for it, unless the store does not answer.
    pub async fn wait_for_refresh(&self) {
        if self.is_fresh() {
            return;
        }
        self.asked.notify_one();
        let mut known = self.known.subscribe();
        let reliable = known.borrow().is_within(self.reliable);
        let longest = if reliable { WAIT } else { WAIT_STALE };
        let age_max = self.reliable / REFRESHES;
        let done = known.wait_for(|known| known.failed_lately() || known.is_within(age_max));
        if timeout(longest, done).await.is_err() && !reliable {
            info!("registrations could not be refreshed in time; a request is placed by old ones");
            self.failed();
        }
    }

    /// Returns when a refresh is asked for and still due.
    pub async fn due(&self) {
        loop {
            self.asked.notified().await;
            if !self.is_fresh() {
                return;
            }
        }
    }

    /// What was current at `at` is in use.
    pub fn refreshed(&self, at: Time) {
        self.known.send_replace(Known { at: Some(at), failed_at: None });
    }

    /// A refresh failed.
    pub fn failed(&self) {
        self.known.send_modify(|known| known.failed_at = Some(clock::now()));
    }
}
