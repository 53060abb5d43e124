//! Bodies of requests and responses, read with a limit for each and for all of them together.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body::Body, body::Incoming};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::prelude::*;

/// Time for which the body of a request that is refused is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest part of such a body that is read.
const DISCARD_BYTES_MAX: usize = 1 << 20;
/// Divisor of the memory of a body that is by how much it grows at once, if the length of the body is not known. A smaller one
/// leaves more memory unused, a larger one copies the body more often.
const GROWTH_DIVISOR: usize = 2;

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

/// Bytes of a body that arrive in parts. All memory that it allocates counts as taken from a budget, not only the part in use.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    bytes_max: usize,
    taken: Taken,
}

impl Buffer {
    /// A buffer for at most `bytes_max` bytes.
    pub fn new(bytes_max: usize, budget: &Rc<Budget>) -> Self {
        Self { bytes: Vec::new(), bytes_max, taken: Taken::new(budget) }
    }

    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) -> Result<(), Error> {
        let (len, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if len > self.bytes_max {
            return TooLargeSnafu { limit: self.bytes_max }.fail();
        }
        if len > capacity {
            let grown = (capacity + capacity / GROWTH_DIVISOR).min(self.bytes_max).max(len);
            if !self.taken.set(grown) {
                return NoBudgetSnafu.fail();
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Bytes of memory that the buffer uses.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }
}

/// Reads and drops the body of a request that is refused, up to a limit and for a limited time. A connection that is closed
/// with unread bytes is reset, and the response may be lost.
pub async fn discard(body: Incoming) {
    // The response follows either way.
    let _ = timeout(DISCARD_TIMEOUT, skip(body, DISCARD_BYTES_MAX)).await;
}

/// Reads a body of at most `limit` bytes to its end, and keeps none of them.
pub async fn skip(mut body: Incoming, limit: usize) -> Result<(), Error> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame.context(BrokenSnafu)?.data_ref().map_or(0, Bytes::len);
        if bytes > limit {
            return TooLargeSnafu { limit }.fail();
        }
    }
    Ok(())
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
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    // A body of a known length takes no more memory than that.
    let bytes_max = size.upper().map_or(limit, |upper| limit.min(upper as usize));
    let mut buffer = Buffer::new(bytes_max, budget);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.context(BrokenSnafu)?.data_ref() {
            buffer.push(data)?;
        }
    }
    Ok((buffer.bytes.into(), buffer.taken))
}
