//! Messages between hosts.
//!
//! Hosts exchange protobuf messages in length-prefixed frames. The types derive their encoding with prost, so there are
//! no `.proto` files and no code generation. Tags of removed fields are not reused.

mod codec;
mod gossip;

use bytes::Bytes;

pub use self::{
    codec::{Codec, Error},
    gossip::{
        Config, ConfigRequest, Delta, Desired, Digest, Fence, Head, HeadRequest, Host, Item,
        KnownVersion, Listing, Load, Member, Members, Row, Strike, UnavailableTargets, Zone,
    },
};

/// Maximum size of the message in a frame.
pub const FRAME_MAX_BYTES: usize = 1024 * 1024;

/// Message of a frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Digest(Digest),
    /// Rows that the sender of a digest lacks, in reply to the digest.
    #[prost(message, tag = "3")]
    Delta(Delta),
    /// New rows, sent without a digest.
    #[prost(message, tag = "4")]
    Push(Delta),
    #[prost(message, tag = "5")]
    ConfigRequest(ConfigRequest),
    #[prost(message, tag = "6")]
    Config(Config),
    #[prost(message, tag = "7")]
    Forward(Forward),
    #[prost(message, tag = "8")]
    Reply(Reply),
    #[prost(message, tag = "9")]
    HeadRequest(HeadRequest),
}

/// First message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub deployment: String,
    #[prost(string, tag = "2")]
    pub token: String,
    #[prost(string, tag = "3")]
    pub host: String,
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// Request forwarded to the host that is responsible for its key or stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Id of the request at the sender; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "Request", tags = "2, 3")]
    pub request: Option<Request>,
}

/// Forwarded request.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Request {
    #[prost(message, tag = "2")]
    Call(Call),
    #[prost(message, tag = "3")]
    Pull(Pull),
}

/// Request with an idempotency key: a call of a plain service, or a generation if `model` is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub method: String,
    #[prost(string, tag = "4")]
    pub path: String,
    #[prost(string, tag = "5")]
    pub content_type: String,
    #[prost(bytes = "bytes", tag = "6")]
    pub body: Bytes,
    #[prost(uint64, tag = "7")]
    pub deadline_ms: u64,
    #[prost(string, tag = "8")]
    pub model: String,
    #[prost(string, tag = "9")]
    pub prompt: String,
    #[prost(uint32, tag = "10")]
    pub max_tokens: u32,
    #[prost(string, tag = "11")]
    pub params: String,
}

/// Pull of a trainer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    #[prost(string, tag = "1")]
    pub trainer: String,
    #[prost(string, tag = "2")]
    pub cursor: String,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Number of times that the pull was forwarded before.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
}

/// Reply to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the result code, 0 on success.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    #[prost(string, tag = "3")]
    pub message: String,
    #[prost(oneof = "Payload", tags = "4, 5, 6")]
    pub payload: Option<Payload>,
}

/// Payload of a successful reply.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    #[prost(message, tag = "4")]
    Response(Response),
    #[prost(message, tag = "5")]
    Batch(Batch),
    #[prost(message, tag = "6")]
    Text(Text),
}

/// Response of a plain service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(string, tag = "2")]
    pub content_type: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// Batch of complete groups, sent in one or more parts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    #[prost(string, tag = "1")]
    pub cursor: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(message, repeated, tag = "3")]
    pub groups: Vec<Group>,
    /// Index of this part, from 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Number of parts of the batch.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
}

/// All samples of one prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Group {
    #[prost(uint64, tag = "1")]
    pub prompt_index: u64,
    #[prost(string, tag = "2")]
    pub prompt: String,
    #[prost(message, repeated, tag = "3")]
    pub samples: Vec<Sample>,
}

/// Sample of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sample {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(message, optional, tag = "2")]
    pub text: Option<Text>,
    #[prost(double, optional, tag = "3")]
    pub reward: Option<f64>,
}

/// Generated text.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Text {
    #[prost(string, tag = "1")]
    pub text: String,
    #[prost(message, repeated, tag = "2")]
    pub segments: Vec<Segment>,
    #[prost(string, tag = "3")]
    pub finish_reason: String,
}

/// Consecutive tokens generated by one weight version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Segment {
    #[prost(uint64, optional, tag = "1")]
    pub version: Option<u64>,
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}
