//! Which software version began which stream.
//!
//! A caller whose stream broke off takes it up at any host. What two versions generate does not fit together, so that
//! host has to know the version that began the stream. The host that passes the first event on keeps it, and tells two
//! others that the id of the stream selects; a host that is asked to take up a stream asks those. If none of them knows
//! it, as after a restart of all hosts, the stream may still be one of the only version that was in service lately
//! (`control::software`). Otherwise the take-up is refused.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use futures::future::join_all;
use log::info;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock, job,
    peer::{Kind, Origin},
    prelude::*,
    software::History,
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
/// Time for which the history of a service is used once it was read.
const HISTORY_TTL: Duration = Duration::from_secs(1);

/// Origins of streams, oldest first.
#[derive(Debug, Default)]
pub struct Origins {
    software: RefCell<HashMap<Box<str>, Software>>,
    order: RefCell<VecDeque<(Instant, Box<str>)>>,
    histories: RefCell<HashMap<ServiceId, (Instant, History)>>,
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

/// The version of a service, if no other one can have begun a stream that is still taken up.
async fn only_version(traffic: &Rc<Traffic>, service: &ServiceId) -> Option<Software> {
    let history = history(traffic, service).await?;
    let view = traffic.view.load();
    let registered = view.targets.values().filter(|target| target.service == *service);
    history.only(registered.map(|target| &target.software), clock::unix_ms())
}

async fn history(traffic: &Rc<Traffic>, service: &ServiceId) -> Option<History> {
    let known = traffic.origins.histories.borrow().get(service).cloned();
    if let Some((read_at, history)) = known
        && read_at.elapsed() < HISTORY_TTL
    {
        return Some(history);
    }
    let (entry, _) = traffic.store.get(&job::software_key(service)).await.ok()?;
    let history = History::decode(&entry?.value)?;
    let read = (Instant::now(), history.clone());
    traffic.origins.histories.borrow_mut().insert(service.clone(), read);
    Some(history)
}
