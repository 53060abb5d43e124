//! Client for requests to other hosts.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::Framed;

use crate::{
    metrics::METERS,
    peer::frame::{Frames, Kind, Request, Response, codec},
    prelude::*,
    traffic::set_keepalive,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest number of idle connections to a host.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Time for which a host that did not answer gets no further requests.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// An idle connection and the time of its last use.
type IdleConnection = (Frames, Instant);

/// State of one host.
#[derive(Default)]
struct Host {
    idle: Vec<IdleConnection>,
    failed_at: Option<Instant>,
}

/// Client for use on one thread.
#[derive(Default)]
pub struct Client {
    hosts: RefCell<HashMap<SocketAddr, Host>>,
}

impl Client {
    /// Makes a request, which may be repeated. Returns `None` if there is no response within `limit`, or if the host
    /// failed to answer a short time ago.
    pub async fn call(&self, host: SocketAddr, kind: Kind, limit: Duration) -> Option<Response> {
        if self.failed_recently(host) {
            return None;
        }
        let request = Bytes::from(Request { kind: Some(kind) }.encode_to_vec());
        let result = timeout(limit, self.exchange(host, request)).await.ok().flatten();
        METERS.peer_call(match &result {
            Some((response, _)) if response.served => "served",
            Some(_) => "not_served",
            None => "no_answer",
        });
        let mut hosts = self.hosts.borrow_mut();
        let state = hosts.entry(host).or_default();
        let Some((response, frames)) = result else {
            state.idle.clear();
            state.failed_at = Some(Instant::now());
            return None;
        };
        state.failed_at = None;
        if state.idle.len() < IDLE_CONNECTIONS_MAX {
            state.idle.push((frames, Instant::now()));
        }
        Some(response)
    }

    fn failed_recently(&self, host: SocketAddr) -> bool {
        let hosts = self.hosts.borrow();
        let failed_at = hosts.get(&host).and_then(|state| state.failed_at);
        failed_at.is_some_and(|at| at.elapsed() < FAILURE_BACKOFF)
    }

    /// Sends a request on an idle connection, and on a new one if that is closed.
    async fn exchange(&self, host: SocketAddr, request: Bytes) -> Option<(Response, Frames)> {
        while let Some(mut frames) = self.take_idle(host) {
            if let Some(response) = send(&mut frames, request.clone()).await {
                return Some((response, frames));
            }
        }
        let mut frames = connect(host).await?;
        let response = send(&mut frames, request).await?;
        Some((response, frames))
    }

    fn take_idle(&self, host: SocketAddr) -> Option<Frames> {
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&host)?.idle;
        idle.retain(|(_, used_at)| used_at.elapsed() < IDLE_TIMEOUT);
        idle.pop().map(|(frames, _)| frames)
    }
}

/// Opens a connection to a host.
pub async fn connect(host: SocketAddr) -> Option<Frames> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(host)).await.ok()?.ok()?;
    set_keepalive(&stream).ok()?;
    Some(Framed::new(stream, codec()))
}

async fn send(frames: &mut Frames, request: Bytes) -> Option<Response> {
    frames.send(request).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Response::decode(frame).ok()
}
