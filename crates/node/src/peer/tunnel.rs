//! Tunnels: a connection to a target that another host opens, carried as frames.
//!
//! A connection between hosts begins with a request of kind `Tunnel`. If the answer is `Reply::Opened`, the connection
//! carries the bytes from and to the target from then on. The end of the target's bytes has a frame of its own: if the
//! host between ends, the stream breaks off and never looks complete.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use futures::{Sink, SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::peer::frame::Frames;

/// Largest number of bytes in a frame.
const PIECE_BYTES_MAX: usize = 16 << 10;

/// Asks for a connection to a target.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Tunnel {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Only tells whether the target can be reached: no bytes follow.
    #[prost(bool, tag = "2")]
    pub probe: bool,
    /// Start time of the instance that is probed, in Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
}

/// Answer to a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Reply {
    /// The host takes no tunnel for this target now.
    Refused = 0,
    Opened = 1,
    /// The host is cut off itself.
    CutOff = 2,
    /// The host could not connect to this target.
    Unreachable = 3,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Answer {
    #[prost(enumeration = "Reply", tag = "1")]
    reply: i32,
}

/// Part of the bytes of one direction.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Piece {
    #[prost(bytes = "bytes", tag = "1")]
    data: Bytes,
    /// No bytes follow in this direction.
    #[prost(bool, tag = "2")]
    end: bool,
}

/// Sends the answer to a request for a tunnel.
pub async fn answer(frames: &mut Frames, reply: Reply) -> io::Result<()> {
    frames.send(Bytes::from(Answer { reply: reply as i32 }.encode_to_vec())).await
}

/// Asks the host at the other end for a tunnel; `None` if the connection fails.
pub async fn ask(frames: &mut Frames, request: Bytes) -> Option<Reply> {
    frames.send(request).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Some(Answer::decode(frame).ok()?.reply())
}

/// Bytes from and to a target.
pub struct Stream {
    frames: Frames,
    /// Received bytes that were not read yet.
    unread: Bytes,
    ended: bool,
    end_sent: bool,
}

impl Stream {
    pub fn new(frames: Frames) -> Self {
        Self { frames, unread: Bytes::new(), ended: false, end_sent: false }
    }

    fn poll_send(&mut self, context: &mut Context<'_>, piece: &Piece) -> Poll<io::Result<()>> {
        let mut frames = Pin::new(&mut self.frames);
        ready!(Sink::<Bytes>::poll_ready(frames.as_mut(), context))?;
        Poll::Ready(frames.start_send(Bytes::from(piece.encode_to_vec())))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.ended {
            let Some(frame) = ready!(self.frames.poll_next_unpin(context)) else {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            };
            let piece = Piece::decode(frame?).map_err(io::Error::other)?;
            (self.unread, self.ended) = (piece.data, piece.end);
        }
        let count = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = bytes.len().min(PIECE_BYTES_MAX);
        let piece = Piece { data: Bytes::copy_from_slice(&bytes[..count]), end: false };
        ready!(self.poll_send(context, &piece))?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Sink::<Bytes>::poll_flush(Pin::new(&mut self.frames), context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.end_sent {
            ready!(self.poll_send(context, &Piece { data: Bytes::new(), end: true }))?;
            self.end_sent = true;
        }
        self.poll_flush(context)
    }
}
