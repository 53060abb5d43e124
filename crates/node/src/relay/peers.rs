//! Hosts through which calls to the store may go.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use log::{info, warn};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    job,
    prelude::*,
    store::{self, Entry, Error, Put, Txn},
};

/// Pause before the list is read again: after the start, when others start as well, and later on.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A host that takes calls for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    pub zone: ZoneId,
    pub address: SocketAddr,
}

/// Known hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    all: Arc<ArcSwap<Vec<Peer>>>,
}

impl Peers {
    pub fn set(&self, peers: Vec<Peer>) {
        self.all.store(Arc::new(peers));
    }

    /// Some hosts in a random order, those of an availability zone first.
    pub fn some(&self, zone: &str, count: usize) -> Vec<SocketAddr> {
        let mut peers = self.all.load().as_ref().clone();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|peer| &*peer.zone != zone);
        peers.into_iter().take(count).map(|peer| peer.address).collect()
    }
}

/// Registers this host and keeps the list of the others.
pub async fn discover(store: store::Handle, host: HostId, own: Peer, peers: Peers) {
    let mut pause = FIRST_PAUSE;
    loop {
        match sync(store.as_ref(), &host, &own, &peers).await {
            Ok(()) => {
                sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
                pause = PAUSE;
            }
            Err(error) => {
                info!(reason:% = error; "could not read the hosts");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn sync(
    store: &dyn store::Store,
    host: &HostId,
    own: &Peer,
    peers: &Peers,
) -> Result<(), Error> {
    let (entries, _) = store::read_all(store, job::HOSTS).await?;
    let key = job::host_key(host);
    let registered = entries.iter().find(|entry| entry.key == key);
    if registered.and_then(peer).as_ref() != Some(own) {
        let value = serde_json::to_vec(own).unwrap_or_default().into();
        let txn = Txn {
            expected: vec![(key.clone(), registered.map_or(0, |entry| entry.revision))],
            puts: vec![Put { key: key.clone(), value, lease: None }],
            removes: Vec::new(),
        };
        // A conflict means that an earlier try took effect; the next reading shows it.
        store.commit(&txn).await?;
    }
    peers.set(entries.iter().filter(|entry| entry.key != key).filter_map(peer).collect());
    Ok(())
}

fn peer(entry: &Entry) -> Option<Peer> {
    match serde_json::from_slice(&entry.value) {
        Ok(peer) => Some(peer),
        Err(error) => {
            warn!(key = &*entry.key, reason:% = error; "host skipped");
            None
        }
    }
}
