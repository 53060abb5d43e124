//! Updates of the store that call for an action.

use std::rc::Rc;

use crate::{
    clock,
    control::{state::Control, store_state::Effect, tasks::report_retired, update::Update},
    metrics::METERS,
    prelude::*,
    store::{Put, Txn},
};

impl Control {
    /// Applies an update of the store.
    pub(super) fn apply_update(&mut self, update: Update) {
        if let Update::Refreshed { at } = update {
            self.refreshed_at = Some(at);
        }
        if let Update::StoreRecovered { outage, .. } = update {
            self.store_recovered(outage);
        }
        match self.store_state.apply(update, self.dialect.as_ref()) {
            Some(Effect::JobEnded { service, job }) => {
                if let Some(leader) = self.leaders.get_mut(&service) {
                    let stops = leader.drop_job(&job, clock::now());
                    METERS.open_jobs(&service, leader.queue.len());
                    self.outbox.send(&service, stops);
                }
            }
            Some(Effect::LeaderElected { service }) => self.leader_elected(&service),
            Some(Effect::RetireHost { host }) => self.retire_host(host),
            None => {}
        }
    }

    /// Drops the jobs of a service that another host leads now.
    fn leader_elected(&mut self, service: &ServiceId) {
        if let Some(leader) = self.leaders.get_mut(service)
            && leader.leadership.fence.is_none()
        {
            let stops = leader.drop_jobs(clock::now());
            self.outbox.send(service, stops);
            self.outbox.disconnect_all(service);
            leader.clear_runners();
        }
    }

    /// Reports a host as retired. Hosts keep nothing on disk, so there is nothing to move first.
    fn retire_host(&self, host: HostId) {
        let entry = self.dialect.retired_entry(&host);
        let put = Put { key: entry.key.clone(), value: entry.value, lease: None };
        let txn = Txn { expected: vec![(entry.key, 0)], puts: vec![put], removes: Vec::new() };
        tokio::task::spawn_local(report_retired(Rc::clone(&self.store), host, txn));
    }
}
