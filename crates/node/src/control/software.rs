//! Keeps the software versions of the services with stream routes in the store.
//!
//! One reader does so for the deployment, whenever a version appears or has left. While it is replaced, what it missed
//! still shows: hosts add the versions that are registered to those that the store names.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use log::info;

use crate::{
    clock,
    config::Kind,
    control::state::Control,
    job,
    prelude::*,
    software::History,
    store::{self, Error, Outcome, Put, Txn},
};

/// Interval at which the versions at hand are compared with those in the store.
const INTERVAL: Duration = Duration::from_millis(500);

/// Versions that this host has written.
#[derive(Debug, Default)]
pub(super) struct Writer {
    written: Rc<RefCell<BTreeMap<ServiceId, BTreeSet<Software>>>>,
    /// Services whose versions are being written. One write at a time, so that an older one does not come last.
    writing: Rc<RefCell<BTreeSet<ServiceId>>>,
    checked_at: Time,
}

impl Control {
    /// Whether this host writes the versions: it reads for the first zone that has a reader.
    fn writes_software(&self) -> bool {
        let first = self.store_state.reader_addresses.first_key_value();
        self.hosts_mirror.is_some()
            && first.is_some_and(|(zone, _)| *zone == self.settings.zone)
            && !self.stream_services().is_empty()
    }

    fn stream_services(&self) -> BTreeSet<ServiceId> {
        let Some(config) = &self.store_state.config else {
            return BTreeSet::new();
        };
        let is_stream = |kind| matches!(kind, Kind::Stream { .. });
        let routes = config.routes().filter(|route| is_stream(route.kind));
        routes.flat_map(|route| &route.services).map(|(service, _)| service.clone()).collect()
    }

    /// Writes the versions of services that have changed.
    pub(super) fn update_software(&mut self, now: Time) {
        if now < self.software.checked_at + INTERVAL {
            return;
        }
        self.software.checked_at = now;
        if !self.writes_software() {
            self.software.written.borrow_mut().clear();
            return;
        }
        self.freshness.request_refresh();
        for service in self.stream_services() {
            let targets = self.store_state.fleet.targets().values();
            let ours = targets.filter(|target| target.service == service);
            let registered: BTreeSet<Software> =
                ours.map(|target| target.software.clone()).collect();
            if !registered.is_empty() {
                self.write_software(service, registered);
            }
        }
    }

    fn write_software(&self, service: ServiceId, registered: BTreeSet<Software>) {
        let Writer { written, writing, .. } = &self.software;
        if written.borrow().get(&service) == Some(&registered)
            || !writing.borrow_mut().insert(service.clone())
        {
            return;
        }
        let (written, writing) = (Rc::clone(written), Rc::clone(writing));
        let store = Rc::clone(&self.store);
        tokio::task::spawn_local(async move {
            match write(store.as_ref(), &service, &registered).await {
                Ok(true) => {
                    written.borrow_mut().insert(service.clone(), registered);
                }
                // The next comparison finds the difference again.
                Ok(false) => {}
                Err(error) => {
                    info!(service = &*service, reason:% = error; "could not write the software versions of a service");
                }
            }
            writing.borrow_mut().remove(&service);
        });
    }
}

/// Returns whether the store has the versions; not so after a conflict.
async fn write(
    store: &dyn store::Store,
    service: &ServiceId,
    registered: &BTreeSet<Software>,
) -> Result<bool, Error> {
    let key = job::software_key(service);
    let (entry, _) = store.get(&key).await?;
    let history =
        entry.as_ref().and_then(|entry| History::decode(&entry.value)).unwrap_or_default();
    let Some(next) = history.updated(registered, clock::unix_ms()) else {
        return Ok(true);
    };
    let revision = entry.map_or(0, |entry| entry.revision);
    let put = Put { key: key.clone(), value: next.encode().into(), lease: None };
    let txn = Txn { expected: vec![(key, revision)], puts: vec![put], removes: Vec::new() };
    let written = matches!(store.commit(&txn).await?, Outcome::Committed(_));
    info!(service = &**service, versions:? = registered, written; "software versions of a service have changed");
    Ok(written)
}
