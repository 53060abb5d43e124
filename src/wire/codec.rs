//! Frames of a connection between hosts.
//!
//! A frame is a four-byte big-endian length, followed by one encoded `Message` of that length.

use std::io;

use bytes::{Buf, BufMut, BytesMut};
use prost::Message as _;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder};

use crate::{
    prelude::*,
    wire::{FRAME_MAX_BYTES, Message},
};

const LENGTH_BYTES: usize = 4;

/// Error of a connection. Every error closes it: the stream has no markers by which to find the next frame.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "{}: frame has {bytes} bytes, the maximum is {FRAME_MAX_BYTES}",
        Code::FrameTooLarge
    ))]
    TooLarge { bytes: usize },
    #[snafu(display("{}: could not decode the frame: {source}", Code::FrameMalformed))]
    Malformed { source: prost::DecodeError },
    #[snafu(display("{}: connection ended within a frame", Code::FrameMalformed))]
    Truncated,
    #[snafu(display("could not read or write the frame: {source}"), context(false))]
    Io { source: io::Error },
}

impl Error {
    pub fn code(&self) -> Code {
        match self {
            Self::TooLarge { .. } => Code::FrameTooLarge,
            Self::Malformed { .. } | Self::Truncated => Code::FrameMalformed,
            Self::Io { .. } => Code::Internal,
        }
    }
}

/// Encodes and decodes frames.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Message;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, Error> {
        let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*length) as usize;
        // Checked before buffer space is reserved, so that an invalid length allocates no memory.
        if bytes > FRAME_MAX_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        if buffer.len() < LENGTH_BYTES + bytes {
            buffer.reserve(LENGTH_BYTES + bytes - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let message = Message::decode(buffer.split_to(bytes).freeze()).context(MalformedSnafu)?;
        Ok(Some(message))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, Error> {
        match self.decode(buffer)? {
            Some(message) => Ok(Some(message)),
            None if buffer.is_empty() => Ok(None),
            None => TruncatedSnafu.fail(),
        }
    }
}

impl Encoder<Message> for Codec {
    type Error = Error;

    fn encode(&mut self, message: Message, buffer: &mut BytesMut) -> Result<(), Error> {
        let bytes = message.encoded_len();
        if bytes > FRAME_MAX_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        buffer.reserve(LENGTH_BYTES + bytes);
        buffer.put_u32(bytes as u32);
        message.encode_raw(buffer);
        Ok(())
    }
}
