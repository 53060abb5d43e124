//! Connections to targets: kept ones are used again, and each carries one request at a time.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use crate::prelude::*;

/// Time without traffic after which the peer of a connection is probed, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time of a kept connection if its target states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Part of the stated idle time after which a connection is not used any more, as a divisor of the rest.
const IDLE_MARGIN: u32 = 4;
/// Idle connections kept per target.
const IDLE_MAX: usize = 16;

/// Why an exchange gave no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing was sent.
    #[snafu(display("could not connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("could not connect in time"))]
    ConnectTimeout,
    /// The request may have been read.
    #[snafu(display("could not read an answer: {source}"))]
    Broken { source: hyper::Error },
    #[snafu(display("could not get an answer in time"))]
    Timeout,
}

/// Who finds out that the peer of a connection is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The transport, for calls that wait long. It drops the connection without a reset.
    Keepalive,
    /// The caller's own time-outs, which reset the connection, so that a request that was given up never arrives.
    Deadline,
}

/// An open connection.
pub struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    used: Instant,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Channel {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, liveness: Liveness, by: Instant) -> Result<Self, Error> {
        let opening = async {
            let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
            match liveness {
                Liveness::Keepalive => set_keepalive(&stream).context(ConnectSnafu)?,
                Liveness::Deadline => stream.set_nodelay(true).context(ConnectSnafu)?,
            }
            // A closed connection is reset: bytes that a cut holds up must not arrive after the request was given up.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).context(ConnectSnafu)?;
            let (sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.context(BrokenSnafu)?;
            let driver = tokio::task::spawn_local(async move {
                if let Err(error) = connection.await {
                    log::trace!("connection to {address} ended: {error}");
                }
            });
            Ok(Self { sender, driver, used: Instant::now() })
        };
        timeout_at(by, opening).await.unwrap_or(ConnectTimeoutSnafu.fail())
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        by: Instant,
    ) -> Result<Response<Incoming>, Error> {
        match timeout_at(by, self.sender.send_request(request)).await {
            Ok(answer) => answer.context(BrokenSnafu),
            Err(_) => TimeoutSnafu.fail(),
        }
    }

    /// Whether the connection can take another request.
    async fn reusable(&mut self, by: Instant) -> bool {
        !self.sender.is_closed() && matches!(timeout_at(by, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// Makes a silent peer known: without it, a connection behind a cut would stay open for hours.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probe = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probe)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// A kept connection and the time for which it may stay idle.
type Kept = (Channel, Duration);

/// Idle connections by target address.
#[derive(Clone, Default)]
pub struct Channels {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Kept>>>>,
}

impl Channels {
    /// Takes an idle connection that was used within `fresh`, if there is one.
    pub async fn take(&self, address: SocketAddr, fresh: Duration, by: Instant) -> Option<Channel> {
        loop {
            let (mut channel, idle) = self.idle.borrow_mut().get_mut(&address)?.pop()?;
            let age = channel.used.elapsed();
            if age <= idle && age <= fresh && channel.reusable(by).await {
                return Some(channel);
            }
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, address: SocketAddr, mut channel: Channel, idle: Option<Duration>) {
        let idle = idle.map_or(IDLE_DEFAULT, |idle| idle - idle / IDLE_MARGIN);
        channel.used = Instant::now();
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(address).or_default();
        if kept.len() < IDLE_MAX {
            kept.push((channel, idle));
        }
    }

    /// Closes all idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let mut all = self.idle.borrow_mut();
        all.retain(|_, kept| {
            kept.retain(|(channel, idle)| {
                channel.used.elapsed() < *idle && !channel.sender.is_closed()
            });
            !kept.is_empty()
        });
    }
}
