//! Prompts of items as their leader sends them: what is logged and counted, and the time to the first event.

use log::debug;

use crate::{
    control::leader::ActiveRun, job::Engines, logging, metrics::METERS, prefix::Sent, prelude::*,
};

/// Records a prompt that is sent to an engine, and whether what engines hold changed the choice.
pub(super) fn record(item: &str, target: &str, sent: &Sent) {
    METERS.prompt(sent.tokens, sent.cached, sent.instead_of.is_some());
    if let Some(other) = &sent.instead_of {
        debug!(item, target_id = target, instead_of = &**other, prompt_tokens = sent.tokens, cached_tokens = sent.cached, tokens_per_s = sent.tokens_per_s, age_ms = logging::ms(sent.age); "engine chosen by its cache");
    }
}

/// Records the time to the first event of a run, if this is its first report.
pub(super) fn first_event(run: &mut ActiveRun, engines: &mut Engines, now: Time) {
    if let Some((sent, target)) = run.sent.take().zip(run.target.as_deref()) {
        engines.record_first_event(target, &sent, now.saturating_sub(run.started_at));
    }
}
