//! Deflate compression of host lists and configurations sent between hosts.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

pub fn deflate(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default().into()
}

/// Inflates data. Returns `None` if it is invalid or inflates to more than `max` bytes.
pub fn inflate(bytes: &[u8], max: usize) -> Option<Vec<u8>> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(max as u64 + 1);
    decoder.read_to_end(&mut inflated).ok()?;
    (inflated.len() <= max).then_some(inflated)
}
