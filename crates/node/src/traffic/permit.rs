//! Permits for requests to targets that name a limit.
//!
//! The limit holds for all hosts together, so one host at a time grants the requests: the leader of an engine service,
//! which also starts the items there, and for any other target the reader of the target's zone. Both hold a lease of the
//! store, so no two hosts grant at once. While the holder does not answer, the hosts of the target's zone turn to one of
//! their number, a stand-in, which grants a small part of the limit: also with two stand-ins, the sum of what is granted
//! stays within one and a half times the limit.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};

use prost::Message;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock, feed,
    fleet::Target,
    metrics::METERS,
    peer::{self, Kind, Permit, PermitReply},
    prelude::*,
    rate::Quota,
    relay::Peer,
    traffic::{Report, serve::Traffic},
};

/// Time for the holder of a quota to answer.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Share of the limit that a stand-in grants.
const STAND_IN_SHARE: f64 = 0.2;
/// Time after which to ask again if no host answers.
const UNANSWERED_RETRY: Duration = Duration::from_millis(500);

/// Refusal of a target's quota.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// Requests of this priority and less urgent ones are refused.
    priority: u32,
    until: Instant,
}

/// Quotas that this host has, and refusals that it got from others.
#[derive(Debug, Default)]
pub struct Permits {
    quotas: RefCell<HashMap<TargetId, Quota>>,
    refusals: RefCell<HashMap<TargetId, Refusal>>,
}

impl Permits {
    fn refused_for(&self, target: &str, priority: u32) -> Option<Duration> {
        let refusals = self.refusals.borrow();
        let refusal = refusals.get(target).filter(|refusal| priority >= refusal.priority)?;
        refusal.until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
    }

    fn refuse(&self, target: &TargetId, priority: u32, retry_after: Duration) {
        let refusal = Refusal { priority, until: Instant::now() + retry_after };
        self.refusals.borrow_mut().insert(target.clone(), refusal);
    }

    /// Drops what is known of the targets that are not to be kept.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.quotas.borrow_mut().retain(|target, _| keep(target));
        self.refusals.borrow_mut().retain(|target, _| keep(target));
    }
}

/// Time for which a target is known to take no requests of a priority; `None` if it may take one now.
pub fn refused_for(traffic: &Traffic, target: &str, priority: u32) -> Option<Duration> {
    traffic.limits.limit(target)?;
    traffic.permits.refused_for(target, priority)
}

/// Waits for the permit to send a request to a target, or returns the time after which to try again. A target without
/// a limit needs none.
pub async fn acquire(
    traffic: &Rc<Traffic>,
    target: &Arc<Target>,
    priority: u32,
) -> Result<(), Duration> {
    if traffic.limits.limit(&target.id).is_none() {
        return Ok(());
    }
    if let Some(left) = refused_for(traffic, &target.id, priority) {
        return Err(left);
    }
    let granted = ask(traffic, target, priority).await.unwrap_or(Err(UNANSWERED_RETRY));
    METERS.limited_request(if granted.is_ok() { "granted" } else { "refused" });
    if let Err(retry_after) = granted {
        traffic.permits.refuse(&target.id, priority, retry_after);
    }
    granted
}

/// Asks the holder of the quota, and a stand-in if that does not answer.
async fn ask(
    traffic: &Rc<Traffic>,
    target: &Target,
    priority: u32,
) -> Option<Result<(), Duration>> {
    let (name, address) = holder(traffic, target);
    let news = traffic.limits.news(&target.id)?;
    let permit = Permit {
        limit: Some(peer::Limit::new(&target.id, news)),
        holder: name.into(),
        priority,
        stand_in: false,
    };
    let held = match address {
        Some(address) => ask_host(traffic, address, permit.clone()).await,
        None => None,
    };
    if held.is_some() {
        return held;
    }
    let hosts = traffic.hosts.all();
    match stand_in(traffic, &hosts, target, address) {
        Some(address) => ask_host(traffic, address, Permit { stand_in: true, ..permit }).await,
        None => grant(traffic, &Permit { stand_in: true, ..permit }).await?.granted().into(),
    }
}

/// Leadership whose holder has the quota of a target, and the holder's address.
pub fn holder(traffic: &Traffic, target: &Target) -> (ServiceId, Option<SocketAddr>) {
    let view = traffic.view.load();
    let is_engine =
        |service: &crate::config::Service| service.engines && service.name == target.service;
    if view.config.as_ref().is_some_and(|config| config.services.iter().any(is_engine)) {
        return (target.service.clone(), view.leaders.get(&target.service).copied());
    }
    // A zone without hosts has no reader, so that of another zone has the quotas of its targets.
    let reader =
        view.readers.get_key_value(&target.zone).or_else(|| view.readers.first_key_value());
    let zone = reader.map_or(&target.zone, |(zone, _)| zone);
    (feed::reader_name(zone), reader.map(|(_, address)| *address))
}

/// Host that stands in for an unreachable holder; `None` for this one.
fn stand_in(
    traffic: &Traffic,
    hosts: &[Peer],
    target: &Target,
    unreachable: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let settings = &traffic.settings;
    let own = settings.peer.map(|address| (&settings.zone, address));
    let others = hosts.iter().filter_map(|host| Some((&host.zone, host.peer?)));
    let all = own.into_iter().chain(others).filter(|(_, address)| Some(*address) != unreachable);
    let rank = |(zone, address): &(&ZoneId, SocketAddr)| {
        (**zone == target.zone, xxh3_64(format!("{address} {}", target.id).as_bytes()))
    };
    let (_, chosen) = all.max_by_key(rank)?;
    (Some(chosen) != settings.peer).then_some(chosen)
}

async fn ask_host(
    traffic: &Rc<Traffic>,
    address: SocketAddr,
    permit: Permit,
) -> Option<Result<(), Duration>> {
    if Some(address) == traffic.settings.peer {
        return Some(grant(traffic, &permit).await?.granted());
    }
    let response = traffic.peers.call(address, Kind::Permit(permit), HOLDER_TIMEOUT).await;
    let body = response.filter(|response| response.served)?.body;
    let reply = PermitReply::decode(body).ok()?;
    if let Some(limit) = reply.limit.clone() {
        let (target, news) = limit.into();
        traffic.limits.merge(&target, news);
    }
    Some(reply.granted())
}

/// Answers a request for a permit; `None` if this host may not grant it.
pub async fn grant(traffic: &Rc<Traffic>, permit: &Permit) -> Option<PermitReply> {
    let (target, news) = permit.limit.clone()?.into();
    traffic.limits.merge(&target, news);
    let known = traffic.limits.news(&target)?;
    let reply = |granted| PermitReply::new(granted, Some(peer::Limit::new(&target, known)));
    let Some(limit) = known.limit else {
        return Some(reply(Ok(())));
    };
    if !permit.stand_in && !traffic.cache.leads(&permit.holder) {
        return None;
    }
    let is_reader = permit.holder.starts_with(crate::job::READERS);
    if !permit.stand_in && !is_reader {
        return Some(reply(ask_leader(traffic, permit, target.clone()).await?));
    }
    let share = if permit.stand_in { STAND_IN_SHARE } else { 1.0 };
    let now = clock::now();
    let mut quotas = traffic.permits.quotas.borrow_mut();
    let quota = quotas.entry(target.clone()).or_insert_with(|| Quota::new(limit, share, now));
    quota.set_limit(limit, share, now);
    Some(reply(quota.take(permit.priority, now)))
}

/// Lets the control thread grant a request for an engine.
async fn ask_leader(
    traffic: &Traffic,
    permit: &Permit,
    target: TargetId,
) -> Option<Result<(), Duration>> {
    let (reply, replied) = oneshot::channel();
    let service = permit.holder.as_str().into();
    let request = Report::PermitRequested { service, target, priority: permit.priority, reply };
    traffic.reports.send(request).ok()?;
    timeout(HOLDER_TIMEOUT, replied).await.ok()?.ok()?
}
