//! Messages between hosts.
//!
//! prost derives encode them, so no generator is needed. A frame is a four-byte big-endian length and one `Message`.
//! Numbers of removed fields are not used again.

use bytes::Bytes;

/// Longest frame accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 1024 * 1024;

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Digest(Digest),
    #[prost(message, tag = "3")]
    Delta(Delta),
    #[prost(message, tag = "4")]
    Push(Delta),
    #[prost(message, tag = "5")]
    ConfigAsk(ConfigAsk),
    #[prost(message, tag = "6")]
    Config(Config),
    #[prost(message, tag = "7")]
    Forward(Forward),
    #[prost(message, tag = "8")]
    Reply(Reply),
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

/// Highest row version known of each owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<Known>,
}

/// Highest row version known of one owner, which is named by a hash of its host id.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Known {
    #[prost(fixed32, tag = "1")]
    pub owner: u32,
    #[prost(fixed32, tag = "2")]
    pub incarnation: u32,
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Rows that the other side may lack.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
}

/// One row with its owner and version; a higher (incarnation start, version) replaces a lower one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    #[prost(string, tag = "1")]
    pub owner: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    #[prost(oneof = "Item", tags = "4, 5, 6, 7, 8, 9, 10")]
    pub item: Option<Item>,
}

/// Content of a row.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Item {
    #[prost(message, tag = "4")]
    Host(Host),
    #[prost(message, tag = "5")]
    Load(Load),
    #[prost(message, tag = "6")]
    Strike(Strike),
    #[prost(message, tag = "7")]
    Desired(Desired),
    #[prost(message, tag = "8")]
    Listing(Listing),
    #[prost(message, tag = "9")]
    Head(Head),
    #[prost(message, tag = "10")]
    Zone(Zone),
}

/// A host as it describes itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Host {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint64, tag = "3")]
    pub beat: u64,
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Load of a target as its poller saw it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    #[prost(string, tag = "1")]
    pub target: String,
    #[prost(uint32, tag = "2")]
    pub running: u32,
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    #[prost(uint32, tag = "4")]
    pub kv_used_percent: u32,
    /// Version of the pool's model.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// 0 reports, 1 leaves, 2 unreachable.
    #[prost(uint32, tag = "6")]
    pub outcome: u32,
}

/// A content that crashed a target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Strike {
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    #[prost(string, tag = "2")]
    pub target: String,
}

/// Wanted weights of a model.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Desired {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(string, tag = "3")]
    pub weights: String,
}

/// Host list of a zone, deflated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Listing {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub entries: Bytes,
}

/// Newest configuration known.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    #[prost(string, tag = "3")]
    pub apply_id: String,
}

/// Summary of a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Zone {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(uint32, tag = "2")]
    pub hosts: u32,
    #[prost(uint64, tag = "3")]
    pub lowest_revision: u64,
    #[prost(string, repeated, tag = "4")]
    pub lagging: Vec<String>,
    /// Up to three hosts as `id=address`.
    #[prost(string, repeated, tag = "5")]
    pub contacts: Vec<String>,
}

/// Asks for a configuration body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigAsk {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// A configuration body, deflated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    #[prost(message, optional, tag = "1")]
    pub head: Option<Head>,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A request passed on to the host that must decide it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Forward {
    /// Id of the sender, repeated in the reply.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "Ask", tags = "2, 3")]
    pub ask: Option<Ask>,
}

/// What is passed on.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Ask {
    #[prost(message, tag = "2")]
    Call(Call),
    #[prost(message, tag = "3")]
    Pull(Pull),
}

/// A keyed request: a call of a plain service, or a generation when `model` is set.
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

/// A trainer's pull.
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
    /// Times that it was passed on before.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
}

/// Answer to a forwarded request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the result code, 0 when done.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    #[prost(string, tag = "3")]
    pub message: String,
    #[prost(oneof = "Done", tags = "4, 5, 6")]
    pub done: Option<Done>,
}

/// Content of a successful reply.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Done {
    #[prost(message, tag = "4")]
    Response(Response),
    #[prost(message, tag = "5")]
    Batch(Batch),
    #[prost(message, tag = "6")]
    Text(Text),
}

/// Answer of a plain service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Response {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(string, tag = "2")]
    pub content_type: String,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A batch of whole groups.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    #[prost(string, tag = "1")]
    pub cursor: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(message, repeated, tag = "3")]
    pub groups: Vec<Group>,
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

/// One sample.
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

/// Tokens in a row of one weight version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Segment {
    #[prost(uint64, optional, tag = "1")]
    pub version: Option<u64>,
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}
