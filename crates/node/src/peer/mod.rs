//! Requests between hosts about jobs.
//!
//! The leader of a service has its jobs in memory, so other hosts ask it instead of the store. A host that gets no
//! answer turns to the store itself; no request relies on the leader.

mod client;
mod frame;
mod server;

pub use client::Client;
pub use frame::{Body, End, Kind, Request, Response, Results, Submitted, millis};
pub use server::{Handler, serve};
