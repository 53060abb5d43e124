//! Makes calls to the store, directly or through another host.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use log::info;
use prost::Message;
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    clock,
    metrics::METERS,
    prelude::*,
    relay::{
        frame::{Answer, Call, codec},
        path::Path,
        peers::Peers,
    },
    store::Error,
    traffic::guard,
};

/// Longest time to open a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a call takes on its way through another host.
const DETOUR: Duration = Duration::from_millis(200);
/// Hosts through which one call is tried.
const TRIES: usize = 2;
/// Time after which an idle connection to a host is not used any more.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Interval at which the direct way is tried while calls go through other hosts, and the time for its answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls that wait longer than this are begun again when the way changes.
const LONG_CALL: Duration = Duration::from_secs(3);

/// The direct way to the store.
#[async_trait(?Send)]
pub trait Direct {
    /// Makes a call. `Error::Refused` means that the store did not take it, `Error::NoAnswer` that it may have.
    async fn call(&self, call: &Call) -> Result<Answer, Error>;
    /// A call that changes nothing.
    fn probe(&self) -> Call;
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A connection to a host.
struct Link {
    peer: SocketAddr,
    frames: Frames,
    used: Instant,
}

/// Way to the store, for one thread.
pub struct Client {
    direct: Rc<dyn Direct>,
    peers: Peers,
    zone: ZoneId,
    path: Rc<Cell<Path>>,
    /// Whether calls go through other hosts, for calls that wait.
    relayed: Rc<watch::Sender<bool>>,
    idle: RefCell<Vec<Link>>,
}

impl Client {
    pub fn new(direct: Rc<dyn Direct>, peers: Peers, zone: ZoneId) -> Self {
        Self {
            direct,
            peers,
            zone,
            path: Rc::default(),
            relayed: Rc::new(watch::Sender::new(false)),
            idle: RefCell::default(),
        }
    }

    /// Whether calls go through other hosts now. A call that waits there is lost without notice if the other host loses
    /// the store, so it should be short.
    pub fn is_relayed(&self) -> bool {
        self.path.get().is_relayed()
    }

    /// Makes a call the way that works.
    pub async fn call(&self, call: &Call) -> Result<Answer, Error> {
        if self.is_relayed()
            && let Some(result) = self.relay(call).await
        {
            return result;
        }
        let result = self.direct(call).await;
        match &result {
            Ok(_) => self.update(Path::answered),
            Err(Error::NoAnswer { .. }) => self.update(Path::silent),
            Err(Error::Refused { .. }) if self.path.get().may_relay(clock::now()) => {
                let Some(relayed) = self.relay(call).await else {
                    return result;
                };
                if relayed.is_ok() {
                    self.update(Path::relay_answered);
                }
                return relayed;
            }
            Err(_) => {}
        }
        result
    }

    /// A call that waits long ends when the direct way is lost meanwhile.
    async fn direct(&self, call: &Call) -> Result<Answer, Error> {
        if call.timeout() < LONG_CALL {
            return self.direct.call(call).await;
        }
        let mut relayed = self.relayed.subscribe();
        tokio::select! {
            result = self.direct.call(call) => result,
            _ = relayed.wait_for(|relayed| *relayed) => {
                Err(Error::NoAnswer { reason: "the direct way is lost".into() })
            }
        }
    }

    /// Makes a call through another host; `None` if none of those that were tried reaches the store.
    async fn relay(&self, call: &Call) -> Option<Result<Answer, Error>> {
        for peer in self.candidates() {
            let Some(mut link) = self.link(peer).await else {
                METERS.relay("unreachable");
                continue;
            };
            let longest = call.timeout() + DETOUR;
            match timeout(longest, exchange(&mut link.frames, call)).await {
                Ok(Some(answer)) => {
                    METERS.relay(if answer.refused { "refused" } else { "answered" });
                    let refused = answer.refused;
                    link.used = Instant::now();
                    self.idle.borrow_mut().push(link);
                    if !refused {
                        return Some(Ok(answer));
                    }
                    self.forget(peer);
                }
                Ok(None) | Err(_) => {
                    METERS.relay("no_answer");
                    self.forget(peer);
                    let reason = "no answer through another host".into();
                    return Some(Err(Error::NoAnswer { reason }));
                }
            }
        }
        self.update(|path| path.relay_refused(clock::now()));
        None
    }

    /// Hosts to try: the one that was used last, then others.
    fn candidates(&self) -> Vec<SocketAddr> {
        let last = self.idle.borrow().last().map(|link| link.peer);
        let others = self.peers.some(&self.zone, TRIES).into_iter();
        let others = others.filter(|peer| Some(*peer) != last);
        last.into_iter().chain(others).take(TRIES).collect()
    }

    async fn link(&self, peer: SocketAddr) -> Option<Link> {
        self.idle.borrow_mut().retain(|link| link.used.elapsed() < IDLE_MAX);
        let kept = {
            let mut idle = self.idle.borrow_mut();
            let at = idle.iter().position(|link| link.peer == peer);
            at.map(|at| idle.remove(at))
        };
        if kept.is_some() {
            return kept;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.ok()?.ok()?;
        guard(&stream).ok()?;
        Some(Link { peer, frames: Framed::new(stream, codec()), used: Instant::now() })
    }

    fn forget(&self, peer: SocketAddr) {
        self.idle.borrow_mut().retain(|link| link.peer != peer);
    }

    /// Changes the state of the ways; tells and probes if calls go another way now.
    fn update(&self, change: impl FnOnce(&mut Path)) {
        let before = self.path.get();
        let mut path = before;
        change(&mut path);
        self.path.set(path);
        if before.is_relayed() == path.is_relayed() {
            return;
        }
        info!(relayed = path.is_relayed(); "way to the store changed");
        self.relayed.send_replace(path.is_relayed());
        if path.is_relayed() {
            let (direct, state) = (Rc::clone(&self.direct), Rc::clone(&self.path));
            tokio::task::spawn_local(probe(direct, state, Rc::clone(&self.relayed)));
        }
    }
}

/// Tries the direct way until it works or calls go that way again.
async fn probe(direct: Rc<dyn Direct>, path: Rc<Cell<Path>>, relayed: Rc<watch::Sender<bool>>) {
    let call = direct.probe();
    loop {
        sleep(PROBE_INTERVAL).await;
        let mut state = path.get();
        if !state.is_relayed() {
            return;
        }
        if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, direct.call(&call)).await {
            state.answered();
            path.set(state);
            relayed.send_replace(false);
            info!("the direct way to the store works again");
            return;
        }
    }
}

async fn exchange(frames: &mut Frames, call: &Call) -> Option<Answer> {
    frames.send(Bytes::from(call.encode_to_vec())).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Answer::decode(frame).ok()
}
