//! Links between peers: TCP connections with length-delimited frames of prost messages.
//!
//! A connection carries messages in one direction, from the host that opened it. Both sides send `Hello` first. The
//! accepting side sends its own only after it has checked the other's, so that an unauthenticated client never sees the
//! token.

use std::{
    collections::{HashMap, hash_map::Entry},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message as _;
use subtle::ConstantTimeEq;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{Semaphore, mpsc},
    time::{Instant, timeout},
};
use tokio_util::codec::{
    Encoder, Framed, LengthDelimitedCodec, length_delimited::LengthDelimitedCodecError,
};

use crate::{
    core::{Event, peer},
    metrics::Metrics,
    prelude::*,
    wire::{self, Body, Codec, Hello, Message},
};

/// Largest frame accepted before the other side is authenticated.
const HELLO_MAX_BYTES: usize = 4096;

/// Connection whose other side is not authenticated yet.
type Handshake = Framed<TcpStream, LengthDelimitedCodec>;

/// Limits of the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub connect_timeout: Duration,
    /// Time for the whole exchange of `Hello`.
    pub hello_timeout: Duration,
    /// Time to write one frame, which the other side may delay by not reading.
    pub write_timeout: Duration,
    /// An outgoing connection without messages is closed after this time. The accepting side waits twice as long for
    /// the next complete frame, so that it does not close a healthy connection first.
    pub idle_timeout: Duration,
    /// Maximum number of messages queued for one peer.
    pub queue_messages: usize,
    /// Maximum number of outgoing connections.
    pub outgoing_max: usize,
    /// Maximum number of accepted connections.
    pub incoming_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            hello_timeout: Duration::from_secs(2),
            write_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            queue_messages: 256,
            outgoing_max: 16,
            incoming_max: 128,
        }
    }
}

/// Identity that this host sends on each connection.
#[derive(Clone, Debug)]
pub struct Identity {
    pub deployment: Box<str>,
    pub token: Box<str>,
    pub host: HostId,
    pub incarnation: Incarnation,
    pub zone: ZoneId,
}

impl Identity {
    fn hello(&self) -> Message {
        Message {
            body: Some(Body::Hello(Hello {
                deployment: self.deployment.to_string(),
                token: self.token.to_string(),
                host: self.host.to_string(),
                incarnation: self.incarnation,
                zone: self.zone.to_string(),
            })),
        }
    }

    /// Whether the other side has the deployment's name and token.
    fn is_same_deployment(&self, hello: &Hello) -> bool {
        let token = self.token.as_bytes().ct_eq(hello.token.as_bytes());
        bool::from(token) && *self.deployment == *hello.deployment
    }
}

/// Reason why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Error {
    Refused(Code),
    Io(io::ErrorKind),
    Timeout,
    Closed,
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        match error {
            wire::Error::Io { source } => Self::Io(source.kind()),
            error => Self::Refused(error.code()),
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.get_ref() {
            Some(inner) if inner.is::<LengthDelimitedCodecError>() => {
                Self::Refused(Code::FrameTooLarge)
            }
            _ => Self::Io(error.kind()),
        }
    }
}

/// Outgoing connection.
struct Outgoing {
    address: Box<str>,
    queue: mpsc::Sender<Message>,
    last_used: Instant,
}

/// Links of this host to its peers.
pub struct Link {
    identity: Identity,
    settings: Settings,
    events: mpsc::Sender<Event>,
    metrics: Arc<Metrics>,
    runtime: Handle,
    outgoing: Mutex<HashMap<HostId, Outgoing>>,
}

impl Link {
    /// Creates links that report to `events` and run their tasks on `runtime`.
    pub fn new(
        identity: Identity,
        settings: Settings,
        events: mpsc::Sender<Event>,
        metrics: Arc<Metrics>,
        runtime: Handle,
    ) -> Self {
        Self { identity, settings, events, metrics, runtime, outgoing: Mutex::default() }
    }

    /// Queues a message without waiting. If the queue is full, the message is dropped and `LinkLost` reported.
    pub fn send(self: &Arc<Self>, to: &HostId, address: &str, message: Message) {
        let mut outgoing = self.outgoing.lock().unwrap_or_else(PoisonError::into_inner);
        let message = match outgoing.entry(to.clone()) {
            Entry::Occupied(mut entry) if *entry.get().address == *address => {
                entry.get_mut().last_used = Instant::now();
                match entry.get().queue.try_send(message) {
                    Ok(()) => return,
                    Err(mpsc::error::TrySendError::Full(_)) => return self.report_link_lost(to),
                    Err(mpsc::error::TrySendError::Closed(message)) => message,
                }
            }
            _ => message,
        };
        outgoing.remove(to);
        if outgoing.len() >= self.settings.outgoing_max {
            let least_recent =
                outgoing.iter().min_by_key(|(_, it)| it.last_used).map(|(id, _)| id.clone());
            // Its task sends the messages still queued and then ends.
            least_recent.map(|id| outgoing.remove(&id));
        }
        let (queue, messages) = mpsc::channel(self.settings.queue_messages);
        if queue.try_send(message).is_err() {
            return self.report_link_lost(to);
        }
        let connection = Outgoing { address: address.into(), queue, last_used: Instant::now() };
        outgoing.insert(to.clone(), connection);
        drop(outgoing);
        let (link, to, address) = (Arc::clone(self), to.clone(), Box::from(address));
        self.runtime.spawn(async move {
            if let Err(error) = link.run_outgoing(&to, &address, messages).await {
                log::info!("peer={to} address={address} link closed: {error:?}");
                let _ = link.events.send(Event::Peer(peer::Event::LinkLost { to })).await;
            }
        });
    }

    /// Number of open outgoing connections.
    pub fn outgoing(&self) -> usize {
        let outgoing = self.outgoing.lock().unwrap_or_else(PoisonError::into_inner);
        outgoing.values().filter(|it| !it.queue.is_closed()).count()
    }

    fn report_link_lost(self: &Arc<Self>, to: &HostId) {
        let (link, to) = (Arc::clone(self), to.clone());
        self.runtime.spawn(async move {
            let _ = link.events.send(Event::Peer(peer::Event::LinkLost { to })).await;
        });
    }

    /// Opens a connection and sends messages until it is idle or replaced by another.
    async fn run_outgoing(
        &self,
        to: &HostId,
        address: &str,
        mut messages: mpsc::Receiver<Message>,
    ) -> Result<(), Error> {
        let settings = &self.settings;
        let connecting = timeout(settings.connect_timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| Error::Timeout)??;
        let mut handshake = handshake(stream);
        let hello = timeout(settings.hello_timeout, async {
            self.write(&mut handshake, encode(&self.identity.hello())).await?;
            read_hello(&mut handshake).await
        });
        let hello = hello.await.map_err(|_| Error::Timeout)??;
        if !self.identity.is_same_deployment(&hello) || *hello.host != **to {
            return Err(Error::Refused(Code::OtherDeployment));
        }
        let mut frames = handshake.map_codec(|_| Codec);
        loop {
            tokio::select! {
                message = timeout(settings.idle_timeout, messages.recv()) => match message {
                    Ok(Some(message)) => {
                        self.metrics.record_peer_bytes(message.encoded_len());
                        self.write(&mut frames, message).await?;
                    }
                    Ok(None) => return Ok(()),
                    // A closed receiver takes no new messages but still yields those already queued.
                    Err(_) => messages.close(),
                },
                // The accepting side sends nothing after `Hello`, so any event here ends the connection.
                _ = frames.next() => return Err(Error::Closed),
            }
        }
    }

    async fn write<C, T>(&self, frames: &mut Framed<TcpStream, C>, item: T) -> Result<(), Error>
    where
        C: Encoder<T>,
        Error: From<C::Error>,
    {
        let sending = timeout(self.settings.write_timeout, frames.send(item));
        Ok(sending.await.map_err(|_| Error::Timeout)??)
    }

    /// Accepts connections until the process ends.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.settings.incoming_max));
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                // Accepting fails when file descriptors run out; the delay lets other connections close.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                log::warn!("address={from} link closed: too many connections");
                continue;
            };
            let link = Arc::clone(&self);
            tokio::spawn(async move {
                let _permit = permit;
                match link.accept(stream, from).await {
                    Ok(()) | Err(Error::Closed) => {}
                    Err(Error::Refused(code)) => {
                        log::warn!("address={from} link closed: {code} {}", code.text());
                    }
                    Err(error) => log::info!("address={from} link closed: {error:?}"),
                }
            });
        }
    }

    async fn accept(&self, stream: TcpStream, from: SocketAddr) -> Result<(), Error> {
        let settings = &self.settings;
        let mut handshake = handshake(stream);
        let hello = timeout(settings.hello_timeout, read_hello(&mut handshake));
        let hello = hello.await.map_err(|_| Error::Timeout)??;
        if !self.identity.is_same_deployment(&hello) {
            let code = Code::OtherDeployment;
            let refusal = wire::Reply {
                code: code as u32,
                message: code.text().into(),
                ..wire::Reply::default()
            };
            let body = Some(Body::Reply(refusal));
            self.write(&mut handshake, encode(&Message { body })).await?;
            return Err(Error::Refused(code));
        }
        self.write(&mut handshake, encode(&self.identity.hello())).await?;
        let mut frames = handshake.map_codec(|_| Codec);
        log::debug!("peer={} address={from} link open", hello.host);
        let host = HostId::from(hello.host);
        loop {
            let read = timeout(settings.idle_timeout * 2, frames.next());
            let message = read.await.map_err(|_| Error::Timeout)?.ok_or(Error::Closed)??;
            let event = peer::Event::Message { from: host.clone(), message: Box::new(message) };
            // While the event channel is full nothing is read, so a busy control thread slows its peers down.
            if self.events.send(Event::Peer(event)).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn handshake(stream: TcpStream) -> Handshake {
    // Gossip messages are small and latency-sensitive, so Nagle's algorithm must not delay them.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(HELLO_MAX_BYTES).new_codec();
    Framed::new(stream, codec)
}

fn encode(message: &Message) -> Bytes {
    message.encode_to_vec().into()
}

/// Reads the first message, which must be `Hello`; a `Reply` in its place carries the code of a refusal.
async fn read_hello(handshake: &mut Handshake) -> Result<Hello, Error> {
    let frame = handshake.next().await.ok_or(Error::Closed)??;
    let message = Message::decode(frame).map_err(|_| Error::Refused(Code::FrameMalformed))?;
    match message.body {
        Some(Body::Hello(hello)) => Ok(hello),
        Some(Body::Reply(reply)) => {
            let code = u16::try_from(reply.code).ok().and_then(Code::from_number);
            Err(Error::Refused(code.unwrap_or(Code::FrameMalformed)))
        }
        _ => Err(Error::Refused(Code::FrameMalformed)),
    }
}
