//! Client for calls to the store, directly or through another host.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    clock,
    contact::Contact,
    metrics::METERS,
    prelude::*,
    relay::{
        failover::{Failover, Transport},
        frame::{Call, Response, codec},
        path::Path,
        peers::Peers,
    },
    store::Error,
    traffic::set_ack_timeout,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to a call's timeout when it goes through another host.
const RELAY_OVERHEAD: Duration = Duration::from_millis(200);
/// Number of hosts through which a call is tried.
const RELAY_ATTEMPTS_MAX: usize = 2;
/// Idle time after which a connection to a host is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Calls with at least this timeout are long polls. They fail at once when the direct path is lost, so that the caller
/// repeats them through another host.
const LONG_POLL_TIMEOUT_MIN: Duration = Duration::from_secs(3);

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A connection to another host.
struct Connection {
    peer: SocketAddr,
    frames: Frames,
    last_used: Instant,
}

/// Client for the store, for use on one thread.
pub struct Client {
    failover: Rc<Failover>,
    peers: Peers,
    zone: ZoneId,
    contact: Arc<Contact>,
    idle: RefCell<Vec<Connection>>,
}

impl Client {
    pub fn new(
        direct: Rc<dyn Transport>,
        peers: Peers,
        zone: ZoneId,
        contact: Arc<Contact>,
    ) -> Self {
        Self { failover: Failover::new(direct), peers, zone, contact, idle: RefCell::default() }
    }

    /// Whether calls go through other hosts. Long polls should then have short timeouts: if the other host loses the
    /// store, they get no response and no error.
    pub fn is_relayed(&self) -> bool {
        self.failover.path().is_relayed()
    }

    /// Makes a call on the path that works, and records whether it was answered.
    pub async fn call(&self, call: &Call) -> Result<Response, Error> {
        let begun_at = clock::now();
        let result = self.call_any(call).await;
        match &result {
            Ok(_) => self.contact.record_answer(),
            Err(_) => self.contact.record_loss(begun_at),
        }
        result
    }

    async fn call_any(&self, call: &Call) -> Result<Response, Error> {
        if self.is_relayed()
            && let Some(result) = self.call_relayed(call).await
        {
            return result;
        }
        let result = self.call_direct(call).await;
        match &result {
            Ok(_) => self.failover.update(Path::direct_answered),
            Err(Error::NoResponse { .. }) => self.failover.check(),
            Err(Error::Refused { .. }) if self.failover.path().may_relay(clock::now()) => {
                let Some(relayed) = self.call_relayed(call).await else {
                    return result;
                };
                match &relayed {
                    Ok(_) => self.failover.update(Path::relay_answered),
                    Err(_) => self.failover.check(),
                }
                return relayed;
            }
            Err(_) => {}
        }
        result
    }

    /// Makes a call directly. A long poll fails as soon as the direct path is lost.
    async fn call_direct(&self, call: &Call) -> Result<Response, Error> {
        if call.timeout() < LONG_POLL_TIMEOUT_MIN {
            return self.failover.direct.call(call).await;
        }
        let mut relayed = self.failover.relayed();
        tokio::select! {
            result = self.failover.direct.call(call) => result,
            _ = relayed.wait_for(|relayed| *relayed) => {
                Err(Error::NoResponse { reason: "direct path lost".into() })
            }
        }
    }

    /// Makes a call through another host. Returns `None` if the store did not take the call through any of those tried.
    async fn call_relayed(&self, call: &Call) -> Option<Result<Response, Error>> {
        for peer in self.candidates() {
            let Some(mut connection) = self.connect(peer).await else {
                METERS.relayed_call("unreachable");
                continue;
            };
            let limit = call.timeout() + RELAY_OVERHEAD;
            match timeout(limit, exchange(&mut connection.frames, call)).await {
                Ok(Some(response)) => {
                    METERS.relayed_call(if response.refused { "refused" } else { "answered" });
                    if !response.refused {
                        connection.last_used = Instant::now();
                        self.idle.borrow_mut().push(connection);
                        return Some(Ok(response));
                    }
                    self.close_idle(peer);
                }
                Ok(None) | Err(_) => {
                    METERS.relayed_call("no_answer");
                    self.close_idle(peer);
                    let reason = "no response through another host".into();
                    return Some(Err(Error::NoResponse { reason }));
                }
            }
        }
        self.failover.update(|path| path.relay_refused(clock::now()));
        None
    }

    /// Hosts to try: first the one used last, then random ones.
    fn candidates(&self) -> Vec<SocketAddr> {
        let last = self.idle.borrow().last().map(|connection| connection.peer);
        let others = self.peers.sample(&self.zone, RELAY_ATTEMPTS_MAX).into_iter();
        let others = others.filter(|peer| Some(*peer) != last);
        last.into_iter().chain(others).take(RELAY_ATTEMPTS_MAX).collect()
    }

    /// Takes an idle connection to a host, or opens a new one.
    async fn connect(&self, peer: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().retain(|connection| connection.last_used.elapsed() < IDLE_TIMEOUT);
        let idle_connection = {
            let mut idle = self.idle.borrow_mut();
            let at = idle.iter().position(|connection| connection.peer == peer);
            at.map(|at| idle.remove(at))
        };
        if idle_connection.is_some() {
            return idle_connection;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.ok()?.ok()?;
        set_ack_timeout(&stream).ok()?;
        Some(Connection { peer, frames: Framed::new(stream, codec()), last_used: Instant::now() })
    }

    /// Closes the idle connections to a host.
    fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().retain(|connection| connection.peer != peer);
    }
}

async fn exchange(frames: &mut Frames, call: &Call) -> Option<Response> {
    frames.send(Bytes::from(call.encode_to_vec())).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Response::decode(frame).ok()
}
