//! Node of a deployment that keeps its state in the platform's key-value store.
//!
//! `control` runs on one thread: it mirrors the store, competes for the leadership of services, and as a leader
//! schedules batch jobs and loads of weights. `traffic` runs on another thread: it serves callers and sends requests
//! and job items to targets. `job` and `weights` hold the decisions and do no input or output. Names and formats on the
//! wire are left to an adapter that implements `store::Store` and `dialect::Dialect`.

pub mod backoff;
pub mod build;
pub mod clock;
pub mod cloud;
pub mod config;
pub mod contact;
pub mod control;
pub mod crash;
pub mod demand;
pub mod dialect;
pub mod dry_run;
pub mod events;
pub mod explain;
pub mod feed;
pub mod fleet;
pub mod freshness;
pub mod holder;
pub mod job;
pub mod length;
pub mod links;
pub mod loads;
pub mod log_limit;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod prefix;
pub mod prelude;
pub mod rate;
pub mod relay;
pub mod scale;
pub mod settings;
pub mod share;
pub mod software;
pub mod store;
pub mod term;
pub mod traffic;
pub mod usage;
pub mod view;
pub mod weights;
pub mod workspace;
