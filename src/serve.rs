//! HTTP server that limits the number of connections and the time of each request head and write.
//!
//! Requests are routed by volo-http. Its accept loop is not used, because it has no timeout for the head of a request
//! and stops accepting on the first signal, while a draining host still has to answer requests.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Instant, Sleep, sleep},
};
use volo::{Service, net::Address};
use volo_http::{body::Body, context::ServerContext, server::Router};

use crate::{prelude::*, settings::Limits};

/// Response to a connection above the limit, sent before any request is read from it.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nconnection: close\r\n\
    content-length: 77\r\n\r\n{\"error\":{\"code\":\"LY-201\",\"kind\":\"not_run\",\"message\":\"too many connections\"}}";

/// Number of open connections of one port.
#[derive(Debug, Default)]
pub struct Connections(AtomicUsize);

impl Connections {
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one connection until dropped.
struct ConnectionGuard(Arc<Connections>);

impl ConnectionGuard {
    fn new(connections: &Arc<Connections>) -> Self {
        connections.0.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a port until the process ends. Once `stop` is set, each connection closes after its response in progress.
pub async fn run(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    connections: Arc<Connections>,
    stop: watch::Receiver<bool>,
) {
    let router = Arc::new(router);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.header_timeout);
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // Accepting fails when file descriptors run out; the delay lets other connections close.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            // The send buffer of a new socket has room, so one attempt suffices; a caller that has closed needs no
            // response.
            let _ = stream.try_write(REFUSAL);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let router = Arc::clone(&router);
        let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
            let router = Arc::clone(&router);
            async move {
                let mut context = ServerContext::new(Address::from(from));
                router.call(&mut context, request.map(Body::from_incoming)).await
            }
        });
        let io = TokioIo::new(TimeoutStream::new(stream, limits.write_timeout));
        let connection = builder.serve_connection(io, service);
        let (guard, mut stop) = (ConnectionGuard::new(&connections), stop.clone());
        tokio::spawn(async move {
            let _held = (permit, guard);
            let mut connection = std::pin::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = stopped(&mut stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log::debug!("address={from} connection ended: {error}");
            }
        });
    }
}

/// Waits until `stop` is set.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}

/// Stream whose writes fail when the other side accepts no byte for `timeout`.
struct TimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl TimeoutStream {
    fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream, timeout, timer: Box::pin(sleep(timeout)), stalled: false }
    }

    /// Returns the result of a write. The timer starts when a write is pending and fails it after `timeout`.
    fn apply_timeout<T>(
        &mut self,
        result: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = false;
            return result;
        }
        if !self.stalled {
            self.stalled = true;
            self.timer.as_mut().reset(Instant::now() + self.timeout);
        }
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply_timeout(result, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply_timeout(result, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
