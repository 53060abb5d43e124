//! What a new leader learns of failed items from the other hosts, and what it tells them.

use std::{net::SocketAddr, sync::Arc};

use futures::future::join_all;
use log::info;
use prost::Message;

use crate::{
    clock,
    control::{
        leader::{ActiveRun, Leader},
        state::Control,
        tasks::{Completion, send_completion},
    },
    job::{Failures, Outcome},
    peer::{Client, FailedItem, FailedItems, FailuresRequest, Kind},
    prelude::*,
};

/// Time for the other hosts to answer. No item starts meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

impl Control {
    /// Asks the other hosts which failed items they know. The items of a new leader wait for the answers.
    pub(super) fn ask_for_failures(&mut self, service: &ServiceId, fence: Revision) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        leader.awaits_failures = true;
        let (failures, completions) = (Arc::clone(&self.failures), self.completions.clone());
        let (hosts, service) = (self.hosts(), service.clone());
        tokio::task::spawn_local(async move {
            let unknown = read_failures(&hosts, &failures).await;
            send_completion(&completions, Completion::FailuresRead { service, fence });
            if !unknown.is_empty() {
                tell_failures(hosts, FailedItems { items: unknown }).await;
            }
        });
    }

    /// Tells another host of failed items of which no other host is known to know.
    pub(super) fn tell_failures(&mut self, service: &ServiceId) {
        let untold = self.leaders.get_mut(service).map(|leader| std::mem::take(&mut leader.untold));
        if let Some(items) = untold.filter(|items| !items.is_empty()) {
            tokio::task::spawn_local(tell_failures(self.hosts(), FailedItems { items }));
        }
    }

    fn hosts(&self) -> Vec<SocketAddr> {
        self.peers.all().iter().filter_map(|host| host.peer).collect()
    }
}

impl Leader {
    /// Applies what all hosts know together, after which items may start.
    pub fn apply_failures(&mut self, now: Time) {
        self.awaits_failures = false;
        for id in self.queue.ids() {
            let known = self.failures.of_job(&id);
            if let Some(job) = self.queue.get_mut(&id) {
                job.apply_failures(&known, now);
            }
        }
    }

    /// Keeps the failure of a run beyond this leadership. One of this host's own runs is told to another host, so that two
    /// hosts know of it before it is in the store.
    pub(super) fn record_failure(&mut self, run: &ActiveRun, outcome: &Outcome, now: Time) {
        let Some((item, failure)) = self.queue.record_failure(outcome, run.failure, now) else {
            return;
        };
        if run.runner.is_none() {
            self.untold.push(FailedItem::new(&item, failure));
        }
        self.failures.record(item, failure, now);
    }
}

/// Asks hosts for the failed items that they know, all at once. Returns those of which only this host knows: the leader that
/// knew of them too may be lost, and this host would be the next one to be lost with them.
async fn read_failures(hosts: &[SocketAddr], failures: &Failures) -> Vec<FailedItem> {
    let client = Client::default();
    let ask = |host| client.call(host, Kind::Failures(FailuresRequest {}), ANSWER_TIMEOUT);
    let responses = join_all(hosts.iter().map(|host| ask(*host))).await;
    let now = clock::now();
    let served = responses.into_iter().flatten().filter(|response| response.served);
    // An answer that cannot be decoded counts as none.
    let answers = served.filter_map(|response| FailedItems::decode(response.body).ok());
    let others = Failures::default();
    for item in answers.flat_map(|answer| answer.items) {
        item.record(&others, now);
        item.record(failures, now);
    }
    let unknown = failures.beyond(&others, now).into_iter();
    unknown.map(|(item, failure)| FailedItem::new(&item, failure)).collect()
}

/// Tells one of some hosts of failed items.
async fn tell_failures(hosts: Vec<SocketAddr>, items: FailedItems) {
    let client = Client::default();
    for host in hosts {
        let kind = Kind::Failed(items.clone());
        let response = client.call(host, kind, ANSWER_TIMEOUT).await;
        if response.is_some_and(|response| response.served) {
            return;
        }
    }
    info!(items = items.items.len(); "no other host could be told of failed items");
}
