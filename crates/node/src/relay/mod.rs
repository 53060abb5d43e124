//! Calls to the store through another host, for a host that the store turns away or that has lost its way to it.
//!
//! A call goes directly as long as that works. A call that the store refuses is tried through another host; if that host
//! gets an answer, all calls go that way until the direct one works again. After a call without an answer, which may have
//! taken effect and is not made again, a check of the direct way decides for the calls that follow. Hosts find each other
//! by keys of the store that each keeps in memory.

mod client;
mod frame;
mod path;
mod peers;
mod server;
mod ways;

pub use client::Client;
pub use frame::{Answer, Call};
pub use path::Path;
pub use peers::{Peer, Peers, discover};
pub use server::serve;
pub use ways::Transport;
