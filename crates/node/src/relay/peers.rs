//! Discovery of the hosts that relay calls to the store.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use log::{info, warn};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    feed, job,
    prelude::*,
    store::{self, Entry, Error, Put, Txn},
};

/// Interval after which the list of hosts is read again. The first one is shorter, as other hosts may have started at
/// the same time.
const FIRST_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between the end of a refresh and the next one on request.
const REQUEST_DELAY: Duration = Duration::from_millis(500);

/// A host that relays calls of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    pub zone: ZoneId,
    /// Address for relayed calls to the store.
    pub address: SocketAddr,
    /// Address for requests about jobs, if the host has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Share of a CPU core.
    #[serde(default)]
    pub cpu_share: f64,
}

/// List of the other hosts, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    all: Arc<ArcSwap<Vec<Peer>>>,
    refresh: Arc<Notify>,
}

impl Peers {
    pub fn set(&self, peers: Vec<Peer>) {
        self.all.store(Arc::new(peers));
    }

    /// All other hosts, as last read.
    pub fn all(&self) -> Arc<Vec<Peer>> {
        self.all.load_full()
    }

    /// Has the list read again soon.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Addresses of up to `count` random hosts for requests about jobs.
    pub fn sample_peers(&self, count: usize) -> Vec<SocketAddr> {
        let all = self.all.load();
        let mut addresses: Vec<SocketAddr> = all.iter().filter_map(|peer| peer.peer).collect();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(count);
        addresses
    }

    /// Up to `count` random hosts, those of an availability zone first.
    pub fn sample(&self, zone: &str, count: usize) -> Vec<SocketAddr> {
        let mut peers = self.all.load().as_ref().clone();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| &*peer.zone != zone);
        peers.into_iter().take(count).map(|peer| peer.address).collect()
    }
}

/// Registers this host in the store and refreshes the list of the others, with jitter of a quarter of the interval.
pub async fn discover(
    source: feed::Handle,
    store: store::Handle,
    host: HostId,
    own: Peer,
    peers: Peers,
) {
    let mut interval = FIRST_REFRESH_INTERVAL;
    loop {
        match refresh(source.as_ref(), store.as_ref(), &host, &own, &peers).await {
            Ok(()) => {
                sleep(REQUEST_DELAY).await;
                let pause = interval.mul_f64(0.75 + 0.5 * rand::random::<f64>());
                // A refresh on request may come before the other hosts have registered, so the short interval stays.
                if timeout(pause, peers.refresh.notified()).await.is_err() {
                    interval = REFRESH_INTERVAL;
                }
            }
            Err(error) => {
                info!(reason:% = error; "could not refresh the list of hosts");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn refresh(
    source: &dyn feed::Source,
    store: &dyn store::Store,
    host: &HostId,
    own: &Peer,
    peers: &Peers,
) -> Result<(), Error> {
    let entries = source.read(job::HOSTS).await?.entries;
    let key = job::host_key(host);
    let registered = entries.iter().find(|entry| entry.key == key);
    if registered.and_then(peer).as_ref() != Some(own) {
        let value = serde_json::to_vec(own).unwrap_or_default().into();
        let txn = Txn {
            expected: vec![(key.clone(), registered.map_or(0, |entry| entry.revision))],
            puts: vec![Put { key: key.clone(), value, lease: None }],
            removes: Vec::new(),
        };
        // A conflict means that an earlier attempt took effect, which the next refresh reads.
        store.commit(&txn).await?;
    }
    peers.set(entries.iter().filter(|entry| entry.key != key).filter_map(peer).collect());
    Ok(())
}

fn peer(entry: &Entry) -> Option<Peer> {
    match serde_json::from_slice(&entry.value) {
        Ok(peer) => Some(peer),
        Err(error) => {
            warn!(key = &*entry.key, reason:% = error; "host skipped: could not decode its registration");
            None
        }
    }
}
