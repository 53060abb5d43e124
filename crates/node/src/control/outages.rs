//! Whether the store was away, or only did not answer this host.
//!
//! Registrations expire while the store is away, and come back. While it turns away single hosts they do not expire, so what is
//! removed is gone. The other hosts can tell the two apart.

use std::net::SocketAddr;

use futures::{StreamExt, stream::FuturesUnordered};
use log::info;

use crate::{
    clock,
    contact::Outage,
    control::{
        state::Control,
        tasks::{Completion, send_completion},
    },
    peer::{self, Client, ContactRequest, Kind},
    prelude::*,
};

/// Time for other hosts to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest number of hosts that are asked: the store may not have answered a third of them either.
const HOSTS_MAX: usize = 8;
/// Longest time for which a question travels. The store may have come back in that time.
const TRAVEL_MARGIN: Duration = Duration::from_millis(50);

impl Control {
    /// Starts the grace period after an outage, and asks the other hosts whether the store was there.
    pub(super) fn store_recovered(&mut self, outage: Outage) {
        if !self.store_state.fleet.store_recovered(&outage) {
            return;
        }
        let (hosts, completions) = (self.witnesses(), self.completions.clone());
        tokio::task::spawn_local(async move {
            if was_there(hosts, &outage).await {
                send_completion(&completions, Completion::OutageRefuted { outage });
            }
        });
    }

    /// Ends the grace period, as the store has answered other hosts meanwhile.
    pub(super) fn refute_outage(&mut self, outage: &Outage) {
        let expired = self.store_state.fleet.refute(outage);
        self.feed.refute_outage(outage);
        info!(outage_ms = crate::logging::ms(outage.length()), targets = expired.len(); "store was there for other hosts; registrations that are missing are gone");
        self.store_state.changed |= !expired.is_empty();
    }

    /// Hosts that are asked: the readers of other zones, which call the store most often, and some others.
    fn witnesses(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer;
        let readers = self.store_state.reader_addresses.values().copied();
        let mut hosts: Vec<SocketAddr> = readers.filter(|host| Some(*host) != own).collect();
        for host in self.peers.sample_peers(HOSTS_MAX) {
            if !hosts.contains(&host) {
                hosts.push(host);
            }
        }
        hosts.truncate(HOSTS_MAX);
        hosts
    }
}

/// Whether the store has answered one of some hosts in an outage.
async fn was_there(hosts: Vec<SocketAddr>, outage: &Outage) -> bool {
    let (client, now) = (Client::default(), clock::now());
    let before = |at: Time| now.saturating_sub(at);
    let (from, to) = (before(outage.began_at), before(outage.lost_at) + TRAVEL_MARGIN);
    let request = ContactRequest { from_ms: peer::millis(from), to_ms: peer::millis(to) };
    let ask = |host| client.call(host, Kind::Contact(request), ANSWER_TIMEOUT);
    let mut answers: FuturesUnordered<_> = hosts.into_iter().map(ask).collect();
    while let Some(response) = answers.next().await {
        if response.is_some_and(|response| response.served) {
            return true;
        }
    }
    false
}
