//! Deflate for the few large things that hosts send to each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Deflates.
pub fn deflate(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing into memory does not fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default().into()
}

/// Inflates up to a bound; `None` for garbage and for anything longer.
pub fn inflate(bytes: &[u8], max: usize) -> Option<Vec<u8>> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(max as u64 + 1);
    decoder.read_to_end(&mut inflated).ok()?;
    (inflated.len() <= max).then_some(inflated)
}
