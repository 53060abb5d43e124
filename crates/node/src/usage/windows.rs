//! Numbering of the windows of true time.

use crate::prelude::*;

/// Windows of one length; window `n` begins `n` lengths after the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Windows of a length, which is a millisecond at least.
    pub fn new(length: Duration) -> Self {
        Self { length_ms: crate::peer::millis(length).max(1) }
    }

    /// Window at a time.
    pub fn at(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Time at which a window ends.
    pub fn end_ms(self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }

    /// Number of windows that cover a time.
    pub fn covering(self, time: Duration) -> u64 {
        crate::peer::millis(time).div_ceil(self.length_ms)
    }
}
