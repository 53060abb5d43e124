//! Settings of the placement by cached prompts.

/// Settings of a deployment that places items by the prompts that engines hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Prompt tokens that an engine prefills in a millisecond, until runs show its rate.
    pub tokens_per_ms: f64,
}
