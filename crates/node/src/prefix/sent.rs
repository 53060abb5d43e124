//! A prompt that was sent to an engine.

use crate::prelude::*;

/// A prompt that was sent to an engine, with what the engine was expected to hold of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub tokens: u64,
    /// Tokens that the engine was expected to hold.
    pub cached: u64,
    /// Time since these were last sent to the engine.
    pub age: Duration,
    /// Rate at which the engine was expected to prefill the others, in tokens per second.
    pub tokens_per_s: u64,
    /// The engine that would have been chosen without regard to prompts, if that was another one.
    pub instead_of: Option<TargetId>,
    /// The time to the first event shows how fast the engine prefills: no part was still being prefilled, and the text
    /// begins with this run.
    pub shows_rate: bool,
}
