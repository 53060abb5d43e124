//! Tells other hosts of limits that targets begin, change or end.
//!
//! A host hears of a limit from answers to its own requests. In a large deployment it sends few requests to each target,
//! so without the others it would learn of most limits too late. What one host hears goes to the holder of the target's
//! quota, and from there to all hosts.

use std::{cell::RefCell, collections::BTreeMap, collections::BTreeSet, net::SocketAddr, rc::Rc};

use futures::StreamExt;
use http::StatusCode;
use tokio::time::interval;

use crate::{
    clock,
    dialect::Answer,
    peer::{Kind, Limit, Limits},
    prelude::*,
    traffic::{Report, permit, serve::Traffic},
};

/// Interval at which changes are sent.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time for a host to answer.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Hosts that are told at the same time.
const CONCURRENT_HOSTS: usize = 16;

/// Targets whose limits have changed since the last announcement.
#[derive(Debug, Default)]
pub struct Changes(RefCell<BTreeSet<TargetId>>);

/// Records what an answer of a target says of its limit. A misdirected request was answered by another target.
pub fn record(
    traffic: &Traffic,
    target: &TargetId,
    status: StatusCode,
    answer: &Answer,
    sent_at: Time,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let changed = traffic.limits.record(target, answer.limit, sent_at, clock::now());
    if changed {
        traffic.limit_changes.0.borrow_mut().insert(target.clone());
    }
    if changed || answer.limit.is_some() {
        report(traffic, target);
    }
}

/// Adopts limits that another host knows, and tells the other hosts if it is for this one to do so.
pub fn apply(traffic: &Traffic, limits: Limits) {
    for limit in limits.limits {
        let (target, news) = limit.into();
        if !traffic.limits.merge(&target, news) {
            continue;
        }
        report(traffic, &target);
        if limits.forward {
            traffic.limit_changes.0.borrow_mut().insert(target);
        }
    }
}

/// Tells the control thread, which starts items on engines.
fn report(traffic: &Traffic, target: &TargetId) {
    if let Some(news) = traffic.limits.news(target)
        && traffic.reports.send(Report::Limit { target: target.clone(), news }).is_err()
    {
        log::debug!("control thread has ended");
    }
}

/// Sends the changes until the process ends.
pub async fn run(traffic: Rc<Traffic>) {
    let mut ticks = interval(INTERVAL);
    loop {
        ticks.tick().await;
        let changed = std::mem::take(&mut *traffic.limit_changes.0.borrow_mut());
        if !changed.is_empty() {
            send(&traffic, &changed).await;
        }
    }
}

async fn send(traffic: &Rc<Traffic>, changed: &BTreeSet<TargetId>) {
    let mut messages: BTreeMap<SocketAddr, Limits> = BTreeMap::new();
    let own = traffic.settings.peer;
    for target in changed {
        let Some(news) = traffic.limits.news(target) else {
            continue;
        };
        let known = traffic.view.load().targets.get(target).cloned();
        let holder = known.and_then(|target| permit::holder(traffic, &target).1);
        match holder.filter(|holder| Some(*holder) != own) {
            Some(holder) => {
                let message = messages.entry(holder).or_default();
                message.forward = true;
                message.limits.push(Limit::new(target, news));
            }
            None => {
                for host in traffic.hosts.all().iter().filter_map(|host| host.peer) {
                    let message = messages.entry(host).or_default();
                    message.limits.push(Limit::new(target, news));
                }
            }
        }
    }
    let calls = messages.into_iter().map(|(host, message)| async move {
        // A host that misses the news learns of the limit by the answer to its next request.
        let _ = traffic.peers.call(host, Kind::Limits(message), TIMEOUT).await;
    });
    futures::stream::iter(calls).buffer_unordered(CONCURRENT_HOSTS).collect::<Vec<()>>().await;
}
