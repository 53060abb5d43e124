//! Body of a response whose parts arrive one by one.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use snafu::Snafu;
use tokio::sync::mpsc;

/// The sender has given up, so the response must not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("could not complete the response: the stream broke off"))]
pub struct BrokenOff;

/// Part of a body.
#[derive(Debug)]
pub enum Part {
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body that ends with an error unless its sender says that it is complete.
#[derive(Debug)]
pub struct EventBody {
    parts: mpsc::Receiver<Part>,
    ended: bool,
}

impl EventBody {
    pub fn new(parts: mpsc::Receiver<Part>) -> Self {
        Self { parts, ended: false }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(context));
        self.ended = !matches!(part, Some(Part::Data(_)));
        Poll::Ready(match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None => Some(Err(BrokenOff)),
        })
    }
}
