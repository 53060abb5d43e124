//! Question about the store's answers to another host.

/// Asks whether the store has answered a host in a time. It is served if that is so.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ContactRequest {
    /// Begin of the time, before the arrival of the question.
    #[prost(uint64, tag = "1")]
    pub from_ms: u64,
    /// Its end, likewise.
    #[prost(uint64, tag = "2")]
    pub to_ms: u64,
}
