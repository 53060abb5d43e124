//! Which software version began which stream.
//!
//! A caller whose stream broke off takes it up at any host. What two versions generate does not fit together, so that
//! host has to know the version that began the stream. The host that passes the first event on keeps it, and tells two
//! others that the id of the stream selects; a host that is asked to take up a stream asks those. If none of them knows
//! it, as after a restart of all hosts, the stream may still be one of the only version that was in service lately: the store
//! has the registrations and the versions that have left (`control::software`). Otherwise the take-up is refused.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use futures::future::join_all;
use log::info;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock,
    dialect::{PlatformChange, Subject},
    job,
    peer::{Kind, Origin},
    prelude::*,
    software::History,
    store::{self, Change},
    traffic::serve::Traffic,
};

/// Time for which an origin is kept; longer than a caller waits for a stream.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of origins.
const ORIGINS_MAX: usize = 20_000;
/// Hosts that are told of an origin, and that are asked for one: host lists may differ a little.
const HOSTS_TOLD: usize = 2;
const HOSTS_ASKED: usize = 3;
/// Time for a host to answer.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the store to tell which versions are in service.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Origins of streams, oldest first.
#[derive(Debug, Default)]
pub struct Origins {
    software: RefCell<HashMap<Box<str>, Software>>,
    order: RefCell<VecDeque<(Instant, Box<str>)>>,
}

impl Origins {
    /// Version that began a stream, if this host knows it.
    pub fn get(&self, stream: &str) -> Option<Software> {
        self.software.borrow().get(stream).cloned()
    }

    pub fn insert(&self, stream: &str, software: &str) {
        let (mut known, mut order) = (self.software.borrow_mut(), self.order.borrow_mut());
        if known.insert(stream.into(), software.into()).is_none() {
            order.push_back((Instant::now(), stream.into()));
        }
        while order.len() > ORIGINS_MAX
            || order.front().is_some_and(|(at, _)| at.elapsed() > RETENTION)
        {
            if let Some((_, stream)) = order.pop_front() {
                known.remove(&stream);
            }
        }
    }
}

/// Records which version begins a stream, before its first event is passed on.
pub fn record(traffic: &Rc<Traffic>, stream: &str, software: &Software) {
    traffic.origins.insert(stream, software);
    let origin = Origin { stream: stream.to_owned(), software: Some(software.to_string()) };
    for host in hosts(traffic, stream).into_iter().take(HOSTS_TOLD) {
        if Some(host) == traffic.settings.peer {
            continue;
        }
        let (traffic, origin) = (Rc::clone(traffic), origin.clone());
        tokio::task::spawn_local(async move {
            // Without an answer the origin is known to fewer hosts, and a take-up may be refused.
            let _ = traffic.peers.call(host, Kind::Origin(origin), TIMEOUT).await;
        });
    }
}

/// Finds the version that began a stream of a service; `None` if it cannot be told.
pub async fn find(traffic: &Rc<Traffic>, stream: &str, service: &ServiceId) -> Option<Software> {
    if let Some(software) = traffic.origins.get(stream) {
        return Some(software);
    }
    let found = ask(traffic, stream).await;
    let (software, source) = match found.as_slice() {
        [] => (only_version(traffic, service).await, "history"),
        [first, others @ ..] if others.iter().all(|other| other == first) => {
            (Some(first.clone()), "hosts")
        }
        _ => (None, "hosts that disagree"),
    };
    info!(stream, service = &**service, software = software.as_deref().unwrap_or(""), source; "origin of a stream looked up");
    software
}

async fn ask(traffic: &Rc<Traffic>, stream: &str) -> Vec<Software> {
    let hosts = hosts(traffic, stream).into_iter().take(HOSTS_ASKED);
    let others = hosts.filter(|host| Some(*host) != traffic.settings.peer);
    let request = Origin { stream: stream.to_owned(), software: None };
    let answers = others.map(|host| {
        let kind = Kind::Origin(request.clone());
        async move {
            let response = traffic.peers.call(host, kind, TIMEOUT).await?;
            let body = response.served.then_some(response.body)?;
            String::from_utf8(body.to_vec()).ok().map(Software::from)
        }
    });
    join_all(answers).await.into_iter().flatten().collect()
}

/// Hosts in the order in which they are to know of a stream.
fn hosts(traffic: &Traffic, stream: &str) -> Vec<SocketAddr> {
    let others = traffic.hosts.all();
    let others = others.iter().filter_map(|host| host.peer);
    let mut hosts: Vec<SocketAddr> = others.chain(traffic.settings.peer).collect();
    hosts.sort_by_cached_key(|host| xxh3_64(format!("{host} {stream}").as_bytes()));
    hosts
}

/// The version of a service, if no other one can have begun a stream that is still taken up. What this host knows of the
/// targets may be older than the stream, so it reads both from the store.
async fn only_version(traffic: &Rc<Traffic>, service: &ServiceId) -> Option<Software> {
    let read = async {
        let registered = registered(traffic, service).await?;
        let (entry, _) = traffic.store.get(&job::software_key(service)).await.ok()?;
        let history = History::decode(&entry?.value)?;
        history.only(registered.iter(), clock::unix_ms())
    };
    timeout(STORE_TIMEOUT, read).await.ok().flatten()
}

/// Versions of a service's targets that are registered at this moment.
async fn registered(traffic: &Traffic, service: &ServiceId) -> Option<BTreeSet<Software>> {
    let prefixes = traffic.dialect.prefixes().iter();
    let mut prefixes = prefixes.filter(|(_, subject)| *subject == Subject::Targets);
    let (prefix, _) = prefixes.next()?;
    let (entries, _) = store::read_all(traffic.store.as_ref(), prefix).await.ok()?;
    let decoded =
        entries.into_iter().map(|entry| traffic.dialect.decode_change(&Change::Put(entry)));
    let software = decoded.filter_map(|change| match change {
        Ok(PlatformChange::Target(target)) if target.service == *service => Some(target.software),
        _ => None,
    });
    Some(software.collect())
}
