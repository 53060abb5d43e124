//! Frames on a peer connection.

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

/// Why a connection cannot go on. Frames have no marks to find the next one by, so each error ends the connection.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "{}: frame of {bytes} bytes, at most {FRAME_MAX_BYTES} are allowed",
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
    /// Its result code.
    pub fn code(&self) -> Code {
        match self {
            Self::TooLarge { .. } => Code::FrameTooLarge,
            Self::Malformed { .. } | Self::Truncated => Code::FrameMalformed,
            Self::Io { .. } => Code::Internal,
        }
    }
}

/// Codec of frames: a four-byte big-endian length and one message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Message;
    type Error = Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, Error> {
        let Some(head) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*head) as usize;
        // Checked before anything is reserved, so that a wrong length costs no memory.
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
