//! HTTP/1 client connections, each with one request at a time, and a pool of idle ones for reuse.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    rc::Rc,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu, ensure};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout_at},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    dialect::Answer,
    links,
    peer::tunnel::Stream,
    prelude::*,
    traffic::{
        head_limit::{Head, HeadLimit},
        pool::Connection,
    },
};

/// Idle time after which TCP keep-alive probes start, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle timeout of a connection whose target states none.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Divisor of a target's idle timeout: an idle connection is not reused in that last part, as the target may close it.
const IDLE_MARGIN_DIVISOR: u32 = 4;
/// Largest number of idle connections per target.
const IDLE_CHANNELS_MAX: usize = 16;
/// Largest number of bytes that a connection reads ahead.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Status codes of final answers in HTTP.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Requests that a connection remembers to have carried.
const CARRIED_MAX: usize = 64;

/// Why an exchange has no response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing was sent.
    #[snafu(display("could not connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("could not connect in time"))]
    ConnectTimeout,
    /// The peer may have received the request.
    #[snafu(display("could not read an answer: {source}"))]
    Broken { source: hyper::Error },
    /// The peer may have run the request.
    #[snafu(display("could not read an answer: {status} is not the status of a final answer"))]
    InvalidStatus { status: u16 },
    #[snafu(display("could not get a response in time"))]
    Timeout,
    #[snafu(display("could not get a response: the link to the target is lost"))]
    LinkLost,
}

impl Error {
    /// What a connection that could not be opened says of the link.
    pub fn failure(&self) -> links::Failure {
        match self {
            Self::ConnectTimeout | Self::Timeout | Self::LinkLost => links::Failure::Silent,
            Self::Connect { .. } | Self::Broken { .. } | Self::InvalidStatus { .. } => {
                links::Failure::Refused
            }
        }
    }
}

/// How a dead peer of a connection is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// By TCP keep-alive probes, for long polls. The kernel then drops the connection without a reset.
    Keepalive,
    /// By the deadlines of requests. A missed deadline resets the connection, so that the abandoned request never
    /// arrives.
    Deadline,
}

/// A request that needs a connection.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Id of the request.
    pub request: &'a str,
    /// Longest time for which a reused connection may have been idle.
    pub idle_max: Duration,
    /// A second copy of an earlier refusal may be taken for its answer.
    pub allows_doubt: bool,
}

impl Demand<'static> {
    /// Demand of a request without an id, whose answers bear none.
    pub const UNNAMED: Self = Self { request: "", idle_max: Duration::MAX, allows_doubt: true };
}

/// An open connection.
pub struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    last_used: Instant,
    route: Route,
    /// Hashes of the ids of the requests that it has carried. A second response to one of them could not be told from the
    /// response to the same request sent again.
    carried: VecDeque<u64>,
    /// Counts the bytes of the head that is due.
    head: Head,
    /// A refusal without an id has come. A second copy of it would be taken for the response to any request.
    had_unnamed: bool,
}

/// How a connection reaches its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    Direct,
    /// Through another host; for one request.
    Tunnel,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Channel {
    pub async fn open(
        address: SocketAddr,
        liveness: Liveness,
        deadline: Instant,
    ) -> Result<Self, Error> {
        let opening = async {
            let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
            match liveness {
                Liveness::Keepalive => set_ack_timeout(&stream).context(ConnectSnafu)?,
                Liveness::Deadline => stream.set_nodelay(true).context(ConnectSnafu)?,
            }
            // Resets the connection on close: bytes buffered during a network partition must not deliver an abandoned
            // request.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).context(ConnectSnafu)?;
            Self::over(address, stream, Route::Direct).await
        };
        timeout_at(deadline, opening).await.unwrap_or(ConnectTimeoutSnafu.fail())
    }

    /// Uses a tunnel that another host has opened; `None` if it broke.
    pub async fn through(host: SocketAddr, stream: Stream) -> Option<Self> {
        Self::over(host, stream, Route::Tunnel).await.ok()
    }

    async fn over<S>(address: SocketAddr, stream: S, route: Route) -> Result<Self, Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let head = Head::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(HeadLimit::new(stream, head.clone())))
            .await
            .context(BrokenSnafu)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::trace!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            driver,
            last_used: Instant::now(),
            route,
            carried: VecDeque::new(),
            head,
            had_unnamed: false,
        })
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    pub fn route(&self) -> Route {
        self.route
    }

    /// Remembers that the connection carries a request.
    pub fn begin(&mut self, request: &str) {
        if self.carried.len() == CARRIED_MAX {
            self.carried.pop_front();
        }
        self.carried.push_back(xxh3_64(request.as_bytes()));
    }

    /// Whether a refusal without an id could be a second copy of an earlier one.
    pub fn is_doubtful(&self) -> bool {
        self.had_unnamed
    }

    /// Whether the connection has not been idle for too long for a demand, and a response on it would certainly be the
    /// response to the request, unless the demand allows doubt.
    fn suits(&self, demand: Demand<'_>) -> bool {
        self.last_used.elapsed() <= demand.idle_max
            && (demand.allows_doubt || !self.had_unnamed)
            && !self.carried.contains(&xxh3_64(demand.request.as_bytes()))
    }

    /// Sends a request and waits for the head of the response. A status that is none of a final answer is an error, and
    /// the connection is not to be used again.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        self.head.begin();
        let response = timeout_at(deadline, self.sender.send_request(request)).await;
        self.head.end();
        let Ok(response) = response else {
            return TimeoutSnafu.fail();
        };
        let response = response.context(BrokenSnafu)?;
        // The client reads any three digits from 100 on, and takes 101 for a final answer although no request asks for it.
        let status = response.status().as_u16();
        ensure!(FINAL_STATUSES.contains(&status), InvalidStatusSnafu { status });
        Ok(response)
    }

    /// Whether the connection can take another request.
    async fn is_reusable(&mut self, deadline: Instant) -> bool {
        !self.sender.is_closed()
            && matches!(timeout_at(deadline, self.sender.ready()).await, Ok(Ok(())))
    }
}

/// Enables the detection of dead peers: without it, a connection would stay open for hours after a network partition.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probe = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probe)
}

/// The same, also for bytes that a peer does not acknowledge. Not for a peer that may read slowly: the kernel counts the
/// time for which it takes no bytes as well.
pub fn set_ack_timeout(stream: &TcpStream) -> io::Result<()> {
    set_keepalive(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// An idle connection and its idle timeout.
type IdleChannel = (Channel, Duration);

/// Idle connections by target address.
#[derive(Clone, Default)]
pub struct Channels {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleChannel>>>>,
}

impl Channels {
    /// Takes a connection that suits a request, if there is one.
    pub async fn take(
        &self,
        address: SocketAddr,
        demand: Demand<'_>,
        deadline: Instant,
    ) -> Option<Channel> {
        loop {
            let (mut channel, timeout) = {
                let mut all = self.idle.borrow_mut();
                let channels = all.get_mut(&address)?;
                // One that has been idle for too long for this request may still suit another one.
                let at = channels.iter().rposition(|(channel, _)| channel.suits(demand))?;
                channels.remove(at)
            };
            if channel.last_used.elapsed() <= timeout && channel.is_reusable(deadline).await {
                return Some(channel);
            }
        }
    }

    /// Connection that a request would use.
    pub fn connection(&self, address: SocketAddr, demand: Demand<'_>) -> Connection {
        let all = self.idle.borrow();
        let is_usable = |(channel, timeout): &IdleChannel| {
            channel.suits(demand) && channel.last_used.elapsed() <= *timeout && !channel.is_closed()
        };
        let is_held = all.get(&address).is_some_and(|channels| channels.iter().any(is_usable));
        if is_held { Connection::Idle } else { Connection::New }
    }

    /// Puts a connection back for reuse after an answer that was read to its end, unless it is a tunnel or the next answer
    /// on it could not be told from this one.
    pub fn put(&self, address: SocketAddr, mut channel: Channel, answer: &Answer) {
        if answer.id.is_none() && !answer.not_run {
            return;
        }
        channel.had_unnamed |= answer.id.is_none();
        self.keep(address, channel, answer.idle);
    }

    /// Keeps a connection for reuse unless it is a tunnel, with the idle timeout that its target states, if any.
    pub fn keep(&self, address: SocketAddr, mut channel: Channel, idle: Option<Duration>) {
        if channel.route == Route::Tunnel {
            return;
        }
        let timeout = idle.map_or(IDLE_TIMEOUT_DEFAULT, |idle| idle - idle / IDLE_MARGIN_DIVISOR);
        channel.last_used = Instant::now();
        let mut all = self.idle.borrow_mut();
        let channels = all.entry(address).or_default();
        if channels.len() < IDLE_CHANNELS_MAX {
            channels.push((channel, timeout));
        }
    }

    /// Whether an idle connection to an address is open.
    pub fn has_open(&self, address: SocketAddr) -> bool {
        let all = self.idle.borrow();
        let is_open = |(channel, _): &IdleChannel| !channel.is_closed();
        all.get(&address).is_some_and(|channels| channels.iter().any(is_open))
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that are past their idle timeout or closed by the peer.
    pub fn sweep(&self) {
        let mut all = self.idle.borrow_mut();
        all.retain(|_, channels| {
            channels.retain(|(channel, timeout)| {
                channel.last_used.elapsed() < *timeout && !channel.sender.is_closed()
            });
            !channels.is_empty()
        });
    }
}
