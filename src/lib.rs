//! Rollout service for reinforcement learning: all processes between callers, trainers and targets.
//!
//! `core` decides, everything else carries: `entry` and `admin` take HTTP, `link` talks to peers, `border` names the
//! outside systems and `daemon` runs the threads. `docs/design.md` gives the reasons.

pub mod border;
pub mod cmd;
pub mod code;
pub mod core;
pub mod file;
pub mod ids;
pub mod prelude;
pub mod wire;
