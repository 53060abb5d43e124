//! Limit on the bytes that a target may send before the head of its response is complete.
//!
//! The HTTP client limits one head. Informational responses may come before it, in any number, and each is a head of its
//! own, so all of them are counted together here.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest head of a response, with the informational responses before it.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Bytes received of the head that is due; `None` while none is.
#[derive(Clone, Debug, Default)]
pub struct Head(Rc<Cell<Option<usize>>>);

impl Head {
    /// Begins to count, as a request is sent.
    pub fn begin(&self) {
        self.0.set(Some(0));
    }

    /// Ends the count, as the head has arrived.
    pub fn end(&self) {
        self.0.set(None);
    }
}

/// Connection that fails to be read once a head is too long.
pub struct HeadLimit<S> {
    stream: S,
    head: Head,
}

impl<S> HeadLimit<S> {
    pub fn new(stream: S, head: Head) -> Self {
        Self { stream, head }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // What was read before this was looked at for the end of the head.
        let received = self.head.0.get();
        if received.is_some_and(|bytes| bytes > HEAD_BYTES_MAX) {
            return Poll::Ready(Err(io::Error::other("the head of a response is too long")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.head.0.set(received.map(|bytes| bytes + read));
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
