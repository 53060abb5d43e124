//! Scripted scenarios and measurements of the control core.
//!
//! `Fleet` joins several cores with small fakes of the platform, the targets, the trainers and the callers on one fake
//! clock. It is no simulator of the users' clusters: there is no network model beyond a delay and a cut between two
//! places, and an engine is a token counter with slots. `script` drives it by rhai files, `measure` by a fixed load.

pub mod ask;
pub mod caller;
pub mod check;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod measure;
pub mod perform;
pub mod plan;
pub mod script;
pub mod service;
pub mod store;
pub mod strike;
pub mod target;
pub mod trainer;
pub mod view;
pub mod watch;

pub use self::{
    engine::Engine, fleet::Fleet, plan::Plan, service::Service, store::Store, trainer::Trainer,
};
