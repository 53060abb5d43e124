//! Connections to targets through other hosts, for a host that has lost its links.
//!
//! Another host only carries bytes: the choice of the target, the attempts, the time left and the answer stay with the host
//! that took the request. It connects to the target by itself or refuses, so nothing is passed on twice. A tunnel carries
//! one request, as the host between cannot tell whether it may carry another.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use log::debug;
use prost::Message;
use rand::seq::SliceRandom;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, copy_bidirectional},
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};
use tokio_io_timeout::TimeoutStream;

use crate::{
    clock,
    fleet::Target,
    links::{self, Links},
    metrics::METERS,
    peer::{
        self, Frames, Kind, Request, Tunnel,
        tunnel::{self, Reply, Stream},
    },
    prelude::*,
    traffic::{
        Endpoint, channel::Channel, connect::CONNECT_TIMEOUT, ended::SETTLE_TIME, serve::Traffic,
    },
};

/// Time for another host to connect to the target and answer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);
/// Other hosts that are asked for a tunnel.
const HOSTS_MAX: usize = 4;
/// Hosts that cannot connect to a target either, from which on the target counts as down.
const HOSTS_FOR_DOWN: usize = 2;
/// Tunnels that this host carries at the same time for each core it has.
const TUNNELS_PER_CORE: f64 = 400.0;
const TUNNELS_MIN: usize = 16;
/// Time for which a host is asked last after it was cut off or did not answer, and after it took no tunnel.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1000);
const REFUSAL_BACKOFF: Duration = Duration::from_millis(200);
/// Minimum time between two questions to a host that took no tunnel.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Names no target: the host that is asked refuses unless it is cut off.
const NO_TARGET: &str = "";

/// What this host knows of tunnels.
#[derive(Debug, Default)]
pub struct Tunnels {
    /// Tunnels that this host carries for others.
    carried: Cell<usize>,
    /// Hosts that took no tunnel, with the time of that and the time until which they are asked last.
    avoided: RefCell<HashMap<SocketAddr, (Instant, Instant)>>,
}

impl Tunnels {
    pub fn carried(&self) -> usize {
        self.carried.get()
    }

    fn avoid(&self, host: SocketAddr, time: Duration) {
        let now = Instant::now();
        self.avoided.borrow_mut().insert(host, (now, now + time));
    }

    fn is_avoided(&self, host: SocketAddr) -> bool {
        self.avoided.borrow().get(&host).is_some_and(|(_, until)| *until > Instant::now())
    }

    /// Whether a host was asked too short a time ago to say anything else now.
    fn was_just_asked(&self, host: SocketAddr) -> bool {
        self.avoided.borrow().get(&host).is_some_and(|(asked, _)| asked.elapsed() < ASK_INTERVAL)
    }

    /// Drops what has run out.
    pub fn sweep(&self) {
        self.avoided.borrow_mut().retain(|_, (_, until)| *until > Instant::now());
    }
}

/// Connects to a target through another host; `None` if no host does so.
pub async fn open(traffic: &Traffic, target: &TargetId, deadline: Instant) -> Option<Channel> {
    let request = request(target);
    let (mut asked, mut answered, mut unreachable) = (0, false, 0);
    for host in hosts(traffic, target) {
        asked += 1;
        let by = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let (reply, channel) = open_at(host, request.clone(), by).await;
        answered |= reply.is_some();
        METERS.tunnel("opener", name(reply));
        debug!(target_id = &**target, host:% = host, reply = name(reply); "tunnel asked for");
        match reply {
            Some(Reply::Opened) if channel.is_some() => {
                traffic.links.others_reach(clock::now());
                return channel;
            }
            Some(Reply::Unreachable) => {
                unreachable += 1;
                if unreachable == HOSTS_FOR_DOWN {
                    traffic.links.is_down(target, clock::now());
                    break;
                }
            }
            Some(Reply::Refused) => traffic.tunnels.avoid(host, REFUSAL_BACKOFF),
            _ => traffic.tunnels.avoid(host, FAILURE_BACKOFF),
        }
        if Instant::now() >= deadline {
            break;
        }
    }
    let knows_hosts = !traffic.hosts.all().is_empty();
    if !knows_hosts || (asked > 0 && !answered) {
        // Shortly after the start of many hosts, none may know the others.
        traffic.hosts.request_refresh();
    }
    debug!(target_id = &**target, asked, answered; "target unreachable through other hosts");
    None
}

/// Asks a host for a tunnel. Returns its answer, and the tunnel if it has opened one.
async fn open_at(
    host: SocketAddr,
    request: Bytes,
    by: Instant,
) -> (Option<Reply>, Option<Channel>) {
    match timeout_at(by, ask(host, request)).await.ok().flatten() {
        Some((Reply::Opened, frames)) => {
            (Some(Reply::Opened), Channel::through(host, Stream::new(frames)).await)
        }
        Some((reply, _)) => (Some(reply), None),
        None => (None, None),
    }
}

/// What other hosts say of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Word {
    /// No host has answered.
    NoAnswer,
    /// Those that have answered cannot tell.
    Unsure,
    Unreachable,
    Reached,
}

/// Asks other hosts whether they reach a target that this host does not, `seen` being how it failed.
pub async fn ask_about(traffic: &Traffic, target: &Endpoint, seen: links::Failure) -> Word {
    let mut word = Word::NoAnswer;
    let zone = traffic.view.load().targets.get(&target.id).map(|target| target.zone.clone());
    let others = traffic.hosts.all();
    // If this host is in the target's zone, no cut between zones explains what it sees, and others only confirm it.
    let is_here = zone.as_ref() == Some(&traffic.settings.zone);
    let is_near = |host: SocketAddr| {
        let host = others.iter().find(|other| other.peer == Some(host));
        is_here || host.is_some_and(|host| Some(&host.zone) == zone.as_ref())
    };
    let is_alone =
        zone.is_some() && !is_here && others.iter().all(|other| Some(&other.zone) != zone.as_ref());
    let (id, started_ms) = (target.id.to_string(), target.started_ms);
    let request = message(Tunnel { target: id, probe: true, started_ms });
    for host in hosts(traffic, &target.id) {
        let reply = timeout(OPEN_TIMEOUT, ask(host, request.clone())).await.ok().flatten();
        let reply = reply.map(|(reply, _)| reply);
        debug!(target_id = &*target.id, host:% = host, reply = name(reply), seen:? = seen; "asked whether a target is reached");
        match reply {
            Some(Reply::Opened) => return Word::Reached,
            // Of a target that is silent, hosts of other zones may be cut off as this one is.
            Some(Reply::Unreachable) if seen == links::Failure::Refused || is_near(host) => {
                return Word::Unreachable;
            }
            // No host is near. A single one may be cut off as this one is, so the others are asked as well.
            Some(Reply::Unreachable) if is_alone => word = word.max(Word::Unreachable),
            // Targets that end one after the other look like a cut to the host that is asked.
            Some(Reply::CutOff) if seen == links::Failure::Refused => word = Word::Unreachable,
            Some(Reply::Unreachable | Reply::Refused | Reply::CutOff) => {
                word = word.max(Word::Unsure);
            }
            None => {}
        }
    }
    word
}

/// Asks another host whether it is cut off as well.
pub async fn ask_others(traffic: &Traffic) {
    let Some(host) = hosts(traffic, NO_TARGET).into_iter().next() else {
        return;
    };
    match timeout(OPEN_TIMEOUT, ask(host, request(NO_TARGET))).await.ok().flatten() {
        Some((Reply::CutOff, _)) | None => traffic.tunnels.avoid(host, FAILURE_BACKOFF),
        Some(_) => traffic.links.others_reach(clock::now()),
    }
}

fn request(target: &str) -> Bytes {
    message(Tunnel { target: target.to_owned(), ..Tunnel::default() })
}

fn message(tunnel: Tunnel) -> Bytes {
    Request { kind: Some(Kind::Tunnel(tunnel)) }.encode_to_vec().into()
}

fn name(reply: Option<Reply>) -> &'static str {
    match reply {
        Some(Reply::Opened) => "opened",
        Some(Reply::Refused) => "refused",
        Some(Reply::CutOff) => "cut_off",
        Some(Reply::Unreachable) => "unreachable",
        None => "no_answer",
    }
}

async fn ask(host: SocketAddr, request: Bytes) -> Option<(Reply, Frames)> {
    let mut frames = peer::connect(host).await?;
    // A connection that is given up is reset: bytes that a partition holds up must not reach the target later.
    SockRef::from(frames.get_ref()).set_linger(Some(Duration::ZERO)).ok()?;
    let reply = tunnel::ask(&mut frames, request).await?;
    Some((reply, frames))
}

/// Hosts to ask in turn, in random order. Those of the own zone come last, as they may have lost their links as well, those
/// of the target's zone first.
fn hosts(traffic: &Traffic, target: &str) -> Vec<SocketAddr> {
    let own_zone = &traffic.settings.zone;
    let view = traffic.view.load();
    let zone = view.targets.get(target).map(|target| &target.zone);
    let all = traffic.hosts.all();
    let mut hosts: Vec<_> = all.iter().filter_map(|host| Some((&host.zone, host.peer?))).collect();
    hosts.retain(|(_, host)| !traffic.tunnels.was_just_asked(*host));
    hosts.shuffle(&mut rand::rng());
    hosts.sort_by_key(|(host_zone, host)| {
        let is_near = Some(*host_zone) == zone;
        (traffic.tunnels.is_avoided(*host), *host_zone == own_zone, Reverse(is_near))
    });
    hosts.into_iter().map(|(_, host)| host).take(HOSTS_MAX).collect()
}

/// Counts a tunnel that this host carries until dropped.
struct Carried<'a>(&'a Tunnels);

impl<'a> Carried<'a> {
    fn new(tunnels: &'a Tunnels) -> Self {
        tunnels.carried.set(tunnels.carried.get() + 1);
        Self(tunnels)
    }
}

impl Drop for Carried<'_> {
    fn drop(&mut self) {
        self.0.carried.set(self.0.carried.get() - 1);
    }
}

/// Connects another host to a target, and carries the bytes until either side closes.
pub async fn serve(traffic: &Rc<Traffic>, tunnel: &Tunnel, mut frames: Frames) {
    let target = &*tunnel.target;
    if tunnel.probe {
        let reply = probe(traffic, tunnel).await;
        METERS.tunnel("prober", name(Some(reply)));
        // Without an answer, the other host asks elsewhere.
        let _ = tunnel::answer(&mut frames, reply).await;
        return;
    }
    let _carried = Carried::new(&traffic.tunnels);
    let connected = connect(traffic, target).await;
    let reply = connected.as_ref().err().copied().unwrap_or(Reply::Opened);
    METERS.tunnel("carrier", name(Some(reply)));
    if tunnel::answer(&mut frames, reply).await.is_err() {
        return;
    }
    let Ok(stream) = connected else {
        return;
    };
    let started = Instant::now();
    let idle_timeout = traffic.idle_timeout();
    let mut here = with_write_timeout(Stream::new(frames), idle_timeout);
    let mut there = with_write_timeout(stream, idle_timeout);
    let result = copy_bidirectional(&mut here, &mut there).await;
    let broke = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
    debug!(target_id = target, took_ms = crate::logging::ms(started.elapsed()), broke = &*broke; "tunnel ended");
}

/// Whether this host reaches an instance of a target. Its end says nothing about the links of this host, which asks nobody else.
async fn probe(traffic: &Traffic, tunnel: &Tunnel) -> Reply {
    traffic.freshness.wait_for_refresh().await;
    let view = traffic.view.load_full();
    let is_meant =
        |target: &&Arc<Target>| !target.draining && target.started_ms == tunnel.started_ms;
    let Some(target) = view.targets.get(&*tunnel.target).filter(is_meant) else {
        return Reply::Refused;
    };
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await {
        Ok(Ok(stream)) if stays_open(&stream).await => {
            traffic.links.opened(&target.id, clock::now());
            Reply::Opened
        }
        _ if traffic.links.cut_since().is_some() => Reply::CutOff,
        _ => Reply::Unreachable,
    }
}

/// Whether the peer of a new connection does not close it at once, as one that ends may do.
async fn stays_open(stream: &TcpStream) -> bool {
    timeout(SETTLE_TIME, stream.readable()).await.is_err()
}

/// Ends a stream whose peer takes no bytes for a time.
fn with_write_timeout<S>(stream: S, timeout: Duration) -> Pin<Box<TimeoutStream<S>>>
where
    S: AsyncRead + AsyncWrite,
{
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(timeout));
    Box::pin(stream)
}

async fn connect(traffic: &Rc<Traffic>, target: &str) -> Result<TcpStream, Reply> {
    if traffic.links.cut_since().is_some() {
        return Err(Reply::CutOff);
    }
    let limit = (TUNNELS_PER_CORE * traffic.settings.cpu_share) as usize;
    if traffic.tunnels.carried() > limit.max(TUNNELS_MIN) {
        return Err(Reply::Refused);
    }
    traffic.freshness.wait_for_refresh().await;
    let view = traffic.view.load_full();
    let target = view.targets.get(target).filter(|target| !target.draining && !view.stopping);
    let target = target.ok_or(Reply::Refused)?;
    let links: &Links = &traffic.links;
    let result = match timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(_)) => Err(links::Failure::Refused),
        Err(_) => Err(links::Failure::Silent),
    };
    let stream = result.map_err(|failure| {
        links.failed(&target.id, failure, clock::now());
        let cut_off = links.cut_since().is_some();
        if cut_off { Reply::CutOff } else { Reply::Unreachable }
    })?;
    links.opened(&target.id, clock::now());
    // The target is to hear at once that its caller has left.
    let options =
        stream.set_nodelay(true).and(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    options.map_err(|_| Reply::Refused)?;
    Ok(stream)
}
