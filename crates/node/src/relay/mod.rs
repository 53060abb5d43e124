//! Relay of store calls through another host, for a host that the store refuses or that cannot reach it.
//!
//! Calls go directly to the store as long as that works. A call that the store refuses is tried through another host;
//! if the store answers it there, all calls are relayed until the direct path works again. A call without a response
//! may have taken effect, so it is not retried; a health check of the direct path then decides which path later calls
//! take. Hosts discover each other by keys in the store, which each host keeps a copy of in memory.

mod client;
mod failover;
mod frame;
mod path;
mod peers;
mod server;

pub use client::Client;
pub use failover::Transport;
pub use frame::{Call, Response};
pub use path::Path;
pub use peers::{Peer, Peers, discover};
pub use server::serve;
