//! Makes calls to the store, directly or through another host.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    clock,
    metrics::METERS,
    prelude::*,
    relay::{
        frame::{Answer, Call, codec},
        path::Path,
        peers::Peers,
        ways::{Transport, Ways},
    },
    store::Error,
    traffic::set_keepalive,
};

/// Longest time to open a connection to a host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a call takes on its way through another host.
const DETOUR: Duration = Duration::from_millis(200);
/// Hosts through which one call is tried.
const TRIES: usize = 2;
/// Time after which an idle connection to a host is not used any more.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Calls that wait longer than this are begun again when the way changes.
const LONG_CALL: Duration = Duration::from_secs(3);

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A connection to a host.
struct Link {
    peer: SocketAddr,
    frames: Frames,
    used: Instant,
}

/// Way to the store, for one thread.
pub struct Client {
    ways: Rc<Ways>,
    peers: Peers,
    zone: ZoneId,
    idle: RefCell<Vec<Link>>,
}

impl Client {
    pub fn new(direct: Rc<dyn Transport>, peers: Peers, zone: ZoneId) -> Self {
        Self { ways: Ways::new(direct), peers, zone, idle: RefCell::default() }
    }

    /// Whether calls go through other hosts now. A call that waits there is lost without notice if the other host loses
    /// the store, so it should be short.
    pub fn is_relayed(&self) -> bool {
        self.ways.path().is_relayed()
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
            Ok(_) => self.ways.update(Path::answered),
            Err(Error::NoAnswer { .. }) => self.ways.check(),
            Err(Error::Refused { .. }) if self.ways.path().may_relay(clock::now()) => {
                let Some(relayed) = self.relay(call).await else {
                    return result;
                };
                if relayed.is_ok() {
                    self.ways.update(Path::relay_answered);
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
            return self.ways.direct.call(call).await;
        }
        let mut relayed = self.ways.relayed();
        tokio::select! {
            result = self.ways.direct.call(call) => result,
            _ = relayed.wait_for(|relayed| *relayed) => {
                Err(Error::NoAnswer { reason: "the direct way is lost".into() })
            }
        }
    }

    /// Makes a call through another host; `None` if none of those that were tried reaches the store.
    async fn relay(&self, call: &Call) -> Option<Result<Answer, Error>> {
        for peer in self.candidates() {
            let Some(mut link) = self.link(peer).await else {
                METERS.relayed_call("unreachable");
                continue;
            };
            let longest = call.timeout() + DETOUR;
            match timeout(longest, exchange(&mut link.frames, call)).await {
                Ok(Some(answer)) => {
                    METERS.relayed_call(if answer.refused { "refused" } else { "answered" });
                    if !answer.refused {
                        link.used = Instant::now();
                        self.idle.borrow_mut().push(link);
                        return Some(Ok(answer));
                    }
                    self.forget(peer);
                }
                Ok(None) | Err(_) => {
                    METERS.relayed_call("no_answer");
                    self.forget(peer);
                    let reason = "no answer through another host".into();
                    return Some(Err(Error::NoAnswer { reason }));
                }
            }
        }
        self.ways.update(|path| path.relay_refused(clock::now()));
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
        set_keepalive(&stream).ok()?;
        Some(Link { peer, frames: Framed::new(stream, codec()), used: Instant::now() })
    }

    fn forget(&self, peer: SocketAddr) {
        self.idle.borrow_mut().retain(|link| link.peer != peer);
    }
}

async fn exchange(frames: &mut Frames, call: &Call) -> Option<Answer> {
    frames.send(Bytes::from(call.encode_to_vec())).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Answer::decode(frame).ok()
}
