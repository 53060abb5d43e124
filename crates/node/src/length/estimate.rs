use crate::length::Hint;

/// Expected length of a text, in events, before any was finished.
const LENGTH_INITIAL: f64 = 100.0;
/// Events that a text may be expected to have whatever texts were finished.
const LENGTH_UNPROVEN_MAX: f64 = 400.0;
/// A text is expected to have at most this many times the events of the longest recent one.
const LONGEST_FACTOR: f64 = 2.0;

/// What is known of the lengths of a trainer's texts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Events for each token of a hint.
    pub events_per_token: f64,
    /// Mean length of a text in events.
    pub mean: f64,
    /// Length in events of the longest recent text.
    pub longest: f64,
    /// Whether it is measured by the trainer's own texts.
    pub is_own: bool,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { events_per_token: 1.0, mean: LENGTH_INITIAL, longest: 0.0, is_own: false }
    }
}

impl Estimate {
    /// Expected length of a text in events, at least one.
    pub fn events(&self, hint: Option<Hint>) -> f64 {
        let max = (self.longest * LONGEST_FACTOR).max(LENGTH_UNPROVEN_MAX);
        let events = hint.map_or(self.mean, |it| f64::from(it.tokens()) * self.events_per_token);
        events.clamp(1.0, max)
    }
}
