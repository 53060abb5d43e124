//! Rollout service for reinforcement learning: the entry hosts between callers, trainers and targets, and their command
//! line.
//!
//! `core` makes all decisions and does no I/O. Around it, `entry` and `admin` serve HTTP, `link` connects the hosts to
//! each other, `external` has the traits of the external systems, `executor` runs the core's actions and `daemon` the
//! threads. `docs/design.md` gives the reasons for the design.

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod cache;
pub mod cmd;
pub mod code;
pub mod control;
pub mod core;
pub mod daemon;
pub mod engine;
pub mod entry;
pub mod etcd;
pub mod executor;
pub mod external;
pub mod file;
pub mod http_sd;
pub mod ids;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod outbound;
pub mod prelude;
pub mod serve;
pub mod service;
pub mod settings;
pub mod wire;
