//! Messages of gossip and of the configuration's way from host to host.

use bytes::Bytes;

/// What the sender knows of each owner, and the sender's own host row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digest {
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<KnownVersion>,
    /// Lets the receiver learn of a host that it has not heard of.
    #[prost(message, optional, tag = "2")]
    pub sender: Option<Row>,
}

/// Highest row version known of one owner. The owner is named by a hash of its host id, a fleet-wide row by a hash of
/// its key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownVersion {
    #[prost(fixed32, tag = "1")]
    pub owner: u32,
    /// Low half of the incarnation; of a fleet-wide row a hash of its content.
    #[prost(fixed32, tag = "2")]
    pub incarnation: u32,
    /// All rows of the owner up to this version are known.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Highest heartbeat heard of the owner.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
}

/// Rows that the other side may lack.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
    /// Up to which version the receiver now has all rows of an owner, and heartbeats that are higher than its own.
    #[prost(message, repeated, tag = "2")]
    pub known: Vec<KnownVersion>,
}

/// One row with its owner and version; a higher version replaces a lower one of the same incarnation. An empty owner
/// repeats owner and incarnation of the row before. Fleet-wide rows have no owner.
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
    /// 0 reports, 1 leaves, 2 unreachable, 3 well without a report.
    #[prost(uint32, tag = "6")]
    pub outcome: u32,
}

/// A content that crashed targets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Strike {
    #[prost(fixed64, tag = "1")]
    pub content: u64,
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
    /// Times that the content ran well after a strike, which forgot the targets of before.
    #[prost(uint64, tag = "3")]
    pub clears: u64,
    /// Time since the last change, as the sender knows it.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
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
    /// Up to eight hosts below the highest revision of the zone.
    #[prost(string, repeated, tag = "4")]
    pub lagging: Vec<String>,
}

/// Hosts of a zone that are not leaving. Other zones need all of them, to reach the issuer of a key and to rank stream
/// owners as the zone itself does; the row changes only with the membership.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

/// One host of a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Gets no new roles, but still answers for its keys.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}

/// Targets of a zone that get no work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UnavailableTargets {
    #[prost(string, tag = "1")]
    pub zone: String,
    /// They said so themselves.
    #[prost(string, repeated, tag = "2")]
    pub leaving: Vec<String>,
    #[prost(string, repeated, tag = "3")]
    pub quarantined: Vec<String>,
}

/// Highest fencing number known of a lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    #[prost(string, tag = "1")]
    pub lease: String,
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// A starting host asks for the newest head. The answer is a `Config` without a body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeadRequest {
    /// Lets the receiver learn of a host that it has not heard of.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<Row>,
}

/// Asks for a configuration body.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRequest {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// A configuration body, deflated. Without one it only names the head in force, if there is one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    #[prost(message, optional, tag = "1")]
    pub head: Option<Head>,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}
