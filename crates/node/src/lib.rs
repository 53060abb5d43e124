//! Node of a deployment that keeps its state in the platform's key-value store.
//!
//! `control` runs on one thread: it mirrors the store, holds roles, and decides what batch jobs and engines do next.
//! `traffic` runs on another: it serves callers and carries requests and job items to targets. `job` and `weights` hold
//! the decisions without input and output. Names and formats on the wire belong to the adapter, behind `store::Store`
//! and `dialect::Dialect`.

pub mod clock;
pub mod config;
pub mod control;
pub mod dialect;
pub mod events;
pub mod explain;
pub mod fleet;
pub mod freshness;
pub mod job;
pub mod logging;
pub mod metrics;
pub mod prelude;
pub mod relay;
pub mod settings;
pub mod store;
pub mod traffic;
pub mod view;
pub mod weights;
