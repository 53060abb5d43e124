//! Messages of gossip and of the distribution of configurations.
//!
//! The gossiped state consists of rows. A host owns rows about itself and the targets that it polls; fleet-wide rows
//! have no owner. A digest lists the versions that a host holds, and a delta returns the rows that it lacks.

use bytes::Bytes;

/// Versions held by the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<KnownVersion>,
    /// Host row of the sender, for receivers that do not have it yet.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<Row>,
}

/// Version up to which all rows of an owner are held, or the version of a fleet-wide row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownVersion {
    /// Hash of the owner's host id, or of the key of a fleet-wide row.
    #[prost(fixed32, tag = "1")]
    pub owner: u32,
    /// Lower 32 bits of the owner's incarnation, or a hash of the content of a fleet-wide row.
    #[prost(fixed32, tag = "2")]
    pub incarnation: u32,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Highest heartbeat received from the owner.
    #[prost(uint64, tag = "4")]
    pub heartbeat: u64,
}

/// Rows that the receiver may lack.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
    /// Versions up to which the receiver holds all rows after this delta, and newer heartbeats.
    #[prost(message, repeated, tag = "2")]
    pub known: Vec<KnownVersion>,
}

/// Row of gossip. A higher version replaces a lower one of the same incarnation.
///
/// An empty owner stands for the owner and incarnation of the previous row, or for none in a fleet-wide row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    #[prost(string, tag = "1")]
    pub owner: String,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub version: u64,
    #[prost(oneof = "Item", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
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
    #[prost(message, tag = "11")]
    Members(Members),
    #[prost(message, tag = "12")]
    Fence(Fence),
    #[prost(message, tag = "13")]
    UnavailableTargets(UnavailableTargets),
}

/// State that a host publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Host {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Result of the last poll of a target.
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
    /// Version of the loaded weights.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// 0 load reported, 1 leaving, 2 unreachable, 3 healthy without a load report.
    #[prost(uint32, tag = "6")]
    pub outcome: u32,
}

/// Request content that crashed targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Strike {
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
    /// How often the content succeeded after a strike. Each success discards the targets recorded before.
    #[prost(uint64, tag = "3")]
    pub clears: u64,
    /// Time since the last change known to the sender.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Desired weights of a model.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Desired {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(string, tag = "3")]
    pub weights: String,
}

/// Host list of a zone, compressed with deflate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Listing {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub entries: Bytes,
}

/// Identity of the newest known configuration.
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
    /// Up to eight hosts below the highest revision in the zone.
    #[prost(string, repeated, tag = "4")]
    pub lagging: Vec<String>,
}

/// Hosts of a zone that are not dead. Other zones need all of them to reach the issuer of a key and to rank the owners
/// of streams in the same order. The row changes only with the membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

/// Host of a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Gets no new roles, but still serves the keys that it issued.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}

/// Targets of a zone that receive no requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UnavailableTargets {
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Targets that announced their shutdown.
    #[prost(string, repeated, tag = "2")]
    pub leaving: Vec<String>,
    #[prost(string, repeated, tag = "3")]
    pub quarantined: Vec<String>,
}

/// Highest known fencing token of a lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    #[prost(string, tag = "1")]
    pub lease: String,
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Request of a starting host for the newest head. The reply is a `Config` without a body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeadRequest {
    /// Host row of the sender, for receivers that do not have it yet.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Row>,
}

/// Request for the body of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// Configuration body, compressed with deflate. The reply to a `HeadRequest` has no body, and no head either if the
/// sender has no configuration in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    #[prost(message, optional, tag = "1")]
    pub head: Option<Head>,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
