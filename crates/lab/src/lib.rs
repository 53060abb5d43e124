//! Scripted scenarios and measurements of the control core.
//!
//! `Fleet` runs several control cores under a simulated clock, together with a simulated platform, targets, trainers
//! and callers. Everything happens in one thread as scheduled tasks with seeded random numbers, so a run repeats
//! exactly. The network model is a fixed delay or a cut between two places, and an engine is a token counter with
//! slots, so results do not predict the performance of a real cluster.
//!
//! `script` runs rhai scenario files, with random faults from `faults` if wanted, and `check` watches each run for
//! violations of the promises P1 to P9. `measure` runs a fixed load and collects figures.
//!
//! The promises:
//! - P1: each sample names the weight versions that produced its tokens.
//! - P2: no delivered sample is older than the trainer's staleness bound.
//! - P3: a trainer gets each prompt and each sample once, in complete groups.
//! - P4: an answer is complete and belongs to its request.
//! - P5: a request that was answered with "not run" never runs.
//! - P6: a call that is not idempotent runs at most once.
//! - P7: a target that is leaving gets no new work.
//! - P8: a host that is stopped finishes its open requests before it exits.
//! - P9: no host returns to an older configuration revision while a live host within reach has a newer one in force.

pub mod action;
pub mod answer;
pub mod caller;
pub mod check;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod measure;
pub mod plan;
pub mod poison;
pub mod script;
pub mod service;
pub mod store;
pub mod store_call;
pub mod target;
pub mod ticket;
pub mod trainer;

pub use self::{
    engine::Engine, fleet::Fleet, plan::Plan, service::Service, store::Store, trainer::Trainer,
};
