//! Comparison of engines for one item, in time.

use crate::{prefix::Prompt, prelude::*};

/// What an item needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    pub prompt: &'a Prompt,
    /// Prompt tokens plus the maximum number of output tokens.
    pub max_total_tokens: u64,
    /// Events that its text is expected to lack.
    pub events: f64,
}

impl Work<'_> {
    /// Tokens that its text is expected to take in an engine's cache, one for each event.
    pub fn output_tokens(&self) -> u64 {
        let limit = self.max_total_tokens.saturating_sub(self.prompt.tokens());
        limit.min(self.events.ceil() as u64)
    }

    /// Time for its text, with `pace` for each event.
    pub fn text_time(&self, pace: Duration) -> Duration {
        duration(pace.as_secs_f64() * self.events)
    }
}

/// Lengths come from trainers and may be out of all range.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// An engine with a free slot, as it counts for an item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// It is chosen after all others, as runs failed there lately or as an item in doubt has it to itself.
    pub comes_last: bool,
    /// Expected time per event beside the runs that it has.
    pub pace: Duration,
    /// Prompt tokens that it holds.
    pub cached: u64,
    /// Prompt tokens that it prefills in a millisecond.
    pub tokens_per_ms: f64,
    /// Time until it has room for the item.
    pub wait: Duration,
}

impl Candidate {
    /// Expected time until the text of an item is complete.
    pub fn time(&self, work: &Work<'_>) -> Duration {
        let missing = work.prompt.tokens().saturating_sub(self.cached);
        let prefill = duration(missing as f64 / self.tokens_per_ms / 1e3);
        prefill.saturating_add(work.text_time(self.pace)).saturating_add(self.wait)
    }
}

/// The engine on which an item is expected to end first; of equal ones the first.
pub fn weigh<T>(
    work: &Work<'_>,
    candidates: impl IntoIterator<Item = (T, Candidate)>,
) -> Option<T> {
    let candidates = candidates.into_iter();
    let best = candidates.min_by_key(|(_, candidate)| (candidate.comes_last, candidate.time(work)));
    best.map(|(engine, _)| engine)
}
