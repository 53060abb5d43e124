//! Guards against frames that are read past their end, buffered without a bound or accepted with malformed content.

use assert_matches::assert_matches;
use bytes::{Bytes, BytesMut};
use lagoonyard::{
    code::Code,
    wire::{Body, Codec, ConfigRequest, Error, FRAME_MAX_BYTES, Message, Reply},
};
use tokio_util::codec::{Decoder, Encoder};

fn message(revision: u64) -> Message {
    Message { body: Some(Body::ConfigRequest(ConfigRequest { revision })) }
}

fn frames(count: u64) -> BytesMut {
    let mut buffer = BytesMut::new();
    for revision in 1..=count {
        Codec.encode(message(revision), &mut buffer).unwrap();
    }
    buffer
}

#[test]
fn frames_are_decoded_from_single_bytes() {
    let encoded = frames(3);
    let (mut buffer, mut read) = (BytesMut::new(), Vec::new());
    for byte in encoded {
        buffer.extend_from_slice(&[byte]);
        read.extend(Codec.decode(&mut buffer).unwrap());
    }
    assert_eq!(read, [message(1), message(2), message(3)]);
    assert_matches!(Codec.decode_eof(&mut buffer), Ok(None));
}

#[test]
fn a_truncated_frame_is_an_error_at_end_of_stream() {
    let mut buffer = frames(1);
    buffer.truncate(buffer.len() - 1);
    assert_matches!(Codec.decode(&mut buffer), Ok(None));
    let error = Codec.decode_eof(&mut buffer).unwrap_err();
    assert_eq!(error.code(), Code::FrameMalformed);
}

#[test]
fn an_oversized_length_is_rejected_before_its_bytes_arrive() {
    let mut buffer = BytesMut::from(&(FRAME_MAX_BYTES as u32 + 1).to_be_bytes()[..]);
    let error = Codec.decode(&mut buffer).unwrap_err();
    assert_eq!(error.code(), Code::FrameTooLarge);
    assert!(buffer.capacity() < 1024);
}

#[test]
fn an_oversized_message_is_not_encoded() {
    let text = "x".repeat(FRAME_MAX_BYTES);
    let message = Message { body: Some(Body::Reply(Reply { message: text, ..Reply::default() })) };
    let mut buffer = BytesMut::new();
    assert_matches!(Codec.encode(message, &mut buffer), Err(Error::TooLarge { .. }));
    assert!(buffer.is_empty());
}

#[test]
fn random_bytes_are_malformed_and_do_not_panic() {
    for seed in 0..2000u64 {
        let noise: Vec<u8> = (0..40u64)
            .map(|i| xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_be_bytes(), seed) as u8)
            .collect();
        let mut buffer = BytesMut::from(&[&[0, 0, 0, 40][..], &noise].concat()[..]);
        if let Err(error) = Codec.decode(&mut buffer) {
            assert_eq!(error.code(), Code::FrameMalformed);
        }
    }
    let mut wrong = BytesMut::from(&Bytes::from_static(&[0, 0, 0, 2, 0xff, 0xff])[..]);
    assert_eq!(Codec.decode(&mut wrong).unwrap_err().code(), Code::FrameMalformed);
}
