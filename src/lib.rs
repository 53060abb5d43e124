//! Rollout service for reinforcement learning: all processes between callers, trainers and targets.
//!
//! `core` decides, everything else carries: `entry` and `admin` take HTTP, `link` talks to peers, `border` names the
//! outside systems and `daemon` runs the threads. `docs/design.md` gives the reasons.

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
