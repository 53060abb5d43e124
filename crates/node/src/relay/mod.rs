//! Calls to the store through another host, for a host that the store turns away or that has lost its way to it.
//!
//! A call goes directly as long as that works. When the store refuses a call or does not answer, it is tried through
//! another host; if that host gets an answer, all calls go that way until the direct one works again. Hosts find each
//! other by keys of the store that each keeps in memory.

mod client;
mod frame;
mod path;
mod peers;
mod server;

pub use client::{Client, Direct};
pub use frame::{Answer, Call};
pub use path::Path;
pub use peers::{Peer, Peers, follow};
pub use server::serve;
