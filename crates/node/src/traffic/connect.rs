//! Connections to targets: kept ones, new ones, or through another host while the links of this one are lost.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};

use crate::{
    clock, links,
    prelude::*,
    traffic::{
        channel::{self, Channel, Demand, Liveness, Route},
        exchange::ExchangeError,
        serve::Traffic,
        tunnel,
    },
};

/// Time for a target to accept a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a byte of a response after which the link to the target is checked.
const CHECK_DELAY: Duration = Duration::from_millis(250);
/// Time after a check without an answer until the next one, so that one lost packet decides nothing.
const RECHECK_DELAY: Duration = Duration::from_millis(250);
/// Time without a byte of a response after which its target may count as silent: both checks, and the times before them.
const MOVE_ON_DELAY: Duration = Duration::from_millis(800);
/// Pause between the probes of a host that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What follows if the link to a target turns out to be lost while a response is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnLoss {
    /// The request is given up, as it may be made again.
    GiveUp,
    /// The same, also if only this target does not answer any more, as another one can go on.
    MoveOn,
    /// The response is waited for, as the request must not be made again.
    Wait,
}

/// Takes an idle connection to a target, opens a new one, or has another host open one.
pub async fn connect(
    traffic: &Traffic,
    to: (&TargetId, SocketAddr),
    demand: Demand<'_>,
    deadline: Instant,
) -> Result<Channel, ExchangeError> {
    let mut channel = match traffic.channels.take(to.1, demand, deadline).await {
        Some(channel) => channel,
        None => open_any(traffic, to, deadline).await?,
    };
    channel.begin(demand.request);
    Ok(channel)
}

/// Opens a connection to a target, or has another host open one.
async fn open_any(
    traffic: &Traffic,
    (id, address): (&TargetId, SocketAddr),
    deadline: Instant,
) -> Result<Channel, ExchangeError> {
    let has_link = traffic.links.has_link(id, clock::now());
    if has_link {
        let direct = open(traffic, id, address, deadline).await;
        if direct.is_some() || traffic.links.cut_since().is_none() {
            return direct.ok_or(ExchangeError::Unsent);
        }
    }
    let mut channel = tunnel::open(traffic, id, deadline).await;
    if channel.is_none() && !has_link {
        // Targets that ended together look like a cut to all hosts, and come back one by one.
        channel = open(traffic, id, address, deadline).await;
    }
    channel.ok_or(ExchangeError::Unsent)
}

/// Opens a connection to a target and records whether there is a link.
async fn open(
    traffic: &Traffic,
    id: &TargetId,
    address: SocketAddr,
    deadline: Instant,
) -> Option<Channel> {
    let began = Instant::now();
    let connect_by = began + CONNECT_TIMEOUT;
    let result = Channel::open(address, Liveness::Deadline, deadline.min(connect_by)).await;
    let now = clock::now();
    let error = match result {
        Ok(channel) => {
            traffic.links.opened(id, now);
            if let Some(target) = traffic.view.load().targets.get(id) {
                traffic.pool.borrow_mut().record_connection(&target.zone, began.elapsed());
            }
            return Some(channel);
        }
        Err(error) => error,
    };
    info!(target_id = &**id, reason:% = error; "target unreachable");
    // A time-out that the caller's deadline has cut short says nothing about the link.
    if matches!(error, channel::Error::ConnectTimeout) && deadline < connect_by {
        return None;
    }
    let failure = error.failure();
    traffic.links.failed(id, failure, now);
    match failure {
        links::Failure::Silent if traffic.links.cut_since().is_some() => {
            traffic.channels.close_all_idle();
        }
        links::Failure::Silent => traffic.channels.close_idle(address),
        // Open connections may live on while new ones are refused.
        links::Failure::Refused => {}
    }
    None
}

/// Sends a request and waits for the head of its response, or until the link turns out to be lost.
pub async fn send(
    traffic: &Rc<Traffic>,
    (id, address): (&TargetId, SocketAddr),
    channel: &mut Channel,
    request: Request<Full<Bytes>>,
    deadline: Instant,
    on_loss: OnLoss,
) -> Result<Response<Incoming>, channel::Error> {
    let route = channel.route();
    let sending = channel.send(request, deadline);
    let mut sending = std::pin::pin!(sending);
    let lost = async {
        match on_loss {
            OnLoss::MoveOn => target_lost(traffic, route, id, address).await,
            OnLoss::GiveUp | OnLoss::Wait => link_lost(traffic, route, id, address).await,
        }
    };
    let response = tokio::select! {
        response = &mut sending => response,
        () = lost => match on_loss {
            OnLoss::GiveUp | OnLoss::MoveOn => Err(channel::Error::LinkLost),
            OnLoss::Wait => sending.await,
        }
    };
    if response.is_ok() {
        traffic.links.heard(id, clock::now());
    }
    response
}

/// Returns once the link to a target is known to be lost that has a response, or the next part of one, to send. After a
/// time without a sign of life the link is checked. A tunnel does not use the link.
pub async fn link_lost(traffic: &Rc<Traffic>, route: Route, id: &TargetId, address: SocketAddr) {
    if route == Route::Tunnel {
        std::future::pending::<()>().await;
    }
    sleep(CHECK_DELAY).await;
    begin_check(traffic, id, address);
    traffic.links.lost(id).await;
}

/// The same, and returns as well once only this target accepts no connections any more and sends nothing on open ones.
pub async fn target_lost(traffic: &Rc<Traffic>, route: Route, id: &TargetId, address: SocketAddr) {
    if route == Route::Tunnel {
        std::future::pending::<()>().await;
    }
    let check = async {
        loop {
            sleep(CHECK_DELAY).await;
            begin_check(traffic, id, address);
        }
    };
    let silent = async {
        // Requests that could not connect may have found it silent between two events of this response.
        sleep(MOVE_ON_DELAY).await;
        traffic.links.silent(id).await;
    };
    tokio::select! {
        () = link_lost(traffic, route, id, address) => {}
        () = silent => {}
        () = check => {}
    }
}

/// Checks the link to a target from which nothing was heard lately, unless that has just been done. A second check follows
/// one without an answer.
fn begin_check(traffic: &Rc<Traffic>, id: &TargetId, address: SocketAddr) {
    if !traffic.links.begin_check(id, clock::now()) {
        return;
    }
    let (traffic, id) = (Rc::clone(traffic), id.clone());
    tokio::task::spawn_local(async move {
        check(&traffic, &id, address).await;
        if !traffic.links.has_link(&id, clock::now()) {
            sleep(RECHECK_DELAY).await;
            check(&traffic, &id, address).await;
        }
    });
}

/// Opens a connection to a target, which is kept for a later request.
async fn check(traffic: &Rc<Traffic>, id: &TargetId, address: SocketAddr) {
    if let Some(channel) = open(traffic, id, address, Instant::now() + 2 * CONNECT_TIMEOUT).await {
        traffic.channels.keep(address, channel, None);
    }
}

/// While the host is cut off, or may be, tries to connect to one target after the other, and asks other hosts whether they
/// are cut off as well.
pub async fn probe(traffic: Rc<Traffic>) {
    loop {
        traffic.links.suspected().await;
        let view = traffic.view.load_full();
        let targets = view.targets.values().filter(|target| !target.draining);
        if let Some(target) = targets.choose(&mut rand::rng()) {
            check(&traffic, &target.id, target.address).await;
        }
        if traffic.links.cut_since().is_some() {
            tunnel::ask_others(&traffic).await;
        }
        sleep(PROBE_INTERVAL).await;
    }
}
