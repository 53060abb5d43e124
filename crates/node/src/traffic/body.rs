//! Bodies of requests and responses, read with a limit for each and for all of them together.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{body::Body, body::Incoming};
use snafu::Snafu;
use tokio::time::timeout;

use crate::prelude::*;

/// Time for which the body of a request that is refused is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest part of such a body that is read.
const DISCARD_BYTES_MAX: usize = 1 << 20;

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not read the body: it has more than {limit} bytes"))]
    TooLarge { limit: usize },
    #[snafu(display("could not read the body: too many bytes of others are being read"))]
    NoBudget,
    #[snafu(display("could not read the body: {source}"))]
    Broken { source: hyper::Error },
}

/// Bytes that all bodies of a kind may take while they are read.
#[derive(Debug)]
pub struct Budget {
    free: Cell<usize>,
}

impl Budget {
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(bytes) })
    }
}

/// Bytes taken from a budget until dropped.
#[derive(Debug)]
pub struct Taken {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Taken {
    pub fn new(budget: &Rc<Budget>) -> Self {
        Self { budget: Rc::clone(budget), bytes: 0 }
    }

    /// Changes the number of bytes taken. Returns `false`, without a change, if the budget has not so many.
    pub fn set(&mut self, bytes: usize) -> bool {
        let free = self.budget.free.get() + self.bytes;
        if bytes > free {
            return false;
        }
        self.budget.free.set(free - bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.budget.free.set(self.budget.free.get() + self.bytes);
    }
}

/// Reads and drops the body of a request that is refused, up to a limit and for a limited time. A connection that is closed
/// with unread bytes is reset, and the response may be lost.
pub async fn discard(mut body: Incoming) {
    let rest = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > DISCARD_BYTES_MAX {
                return;
            }
        }
    };
    // The response follows either way.
    let _ = timeout(DISCARD_TIMEOUT, rest).await;
}

/// Reads a body of at most `limit` bytes.
pub async fn read(body: Incoming, limit: usize, budget: &Rc<Budget>) -> Result<Bytes, Error> {
    read_held(body, limit, budget).await.map(|(bytes, _)| bytes)
}

/// Reads a body of at most `limit` bytes, which count as taken from the budget for as long as the second value is held.
pub async fn read_held(
    mut body: Incoming,
    limit: usize,
    budget: &Rc<Budget>,
) -> Result<(Bytes, Taken), Error> {
    if body.size_hint().lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    let (mut bytes, mut taken) = (BytesMut::new(), Taken::new(budget));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| Error::Broken { source })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        if !taken.set(bytes.len() + data.len()) {
            return NoBudgetSnafu.fail();
        }
        bytes.extend_from_slice(data);
    }
    Ok((bytes.freeze(), taken))
}
