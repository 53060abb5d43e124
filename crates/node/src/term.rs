//! Terms of the leaders of services, as far as this host knows that they are over.
//!
//! A term is named by the fencing token of its leadership, the revision at which the leader key was written. A later term
//! has a higher token, and so has any term that begins after a leader key was removed. One revision for each service
//! therefore says which terms are over; it never falls. Whoever acts as a leader, or lets one act through this host, asks
//! first.

use std::collections::BTreeMap;

use tokio::sync::watch;

use crate::prelude::*;

/// Revisions before which all terms are over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Bounds {
    services: BTreeMap<ServiceId, Revision>,
    /// For the services without a leader key when the keys were first read.
    others: Revision,
}

impl Bounds {
    fn of(&self, service: &str) -> Revision {
        self.services.get(service).copied().unwrap_or(self.others)
    }
}

/// Terms that are over, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Table {
    bounds: watch::Sender<Bounds>,
}

impl Table {
    /// Records that a leader has a fencing token, so that all earlier terms are over.
    pub fn begin(&self, service: &str, fence: Revision) {
        self.raise(service, fence);
    }

    /// Records that no leader key existed at a revision.
    pub fn end(&self, service: &str, revision: Revision) {
        self.raise(service, revision.saturating_add(1));
    }

    /// Records that all leader keys were read at a revision. Those that exist were recorded before.
    pub fn read_at(&self, revision: Revision) {
        let bound = revision.saturating_add(1);
        self.bounds.send_if_modified(|bounds| {
            let rises = bounds.others < bound;
            bounds.others = bounds.others.max(bound);
            rises
        });
    }

    /// Whether the leader with a fencing token is known to lead no longer.
    pub fn is_over(&self, service: &str, fence: Revision) -> bool {
        fence < self.bound(service)
    }

    /// Earliest token that a leader may still have.
    pub fn bound(&self, service: &str) -> Revision {
        self.bounds.borrow().of(service)
    }

    /// Returns once the leader with a fencing token is known to lead no longer.
    pub async fn over(&self, service: &str, fence: Revision) {
        let mut bounds = self.bounds.subscribe();
        if bounds.wait_for(|bounds| fence < bounds.of(service)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn raise(&self, service: &str, bound: Revision) {
        self.bounds.send_if_modified(|bounds| {
            let rises = bounds.of(service) < bound || !bounds.services.contains_key(service);
            let known = bounds.services.entry(service.into()).or_default();
            *known = bound.max(*known);
            rises
        });
    }
}
