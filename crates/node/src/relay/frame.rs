//! Messages between hosts: length-delimited Protocol Buffers frames, with one call at a time on a connection.

use bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

use crate::prelude::*;

/// Largest frame; it leaves room for a response of the store with a page of one megabyte in base64.
const FRAME_BYTES_MAX: usize = 8 << 20;

/// A call to the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Call {
    #[prost(string, tag = "1")]
    pub method: String,
    /// Path with query.
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    #[prost(uint64, tag = "4")]
    pub timeout_ms: u64,
}

impl Call {
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// The store's response to a call.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Response {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
    /// The store refused the call and did not execute it.
    #[prost(bool, tag = "3")]
    pub refused: bool,
}

pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
