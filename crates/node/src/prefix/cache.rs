//! Estimate of one engine's cache.

use std::collections::{BTreeMap, HashMap};

use crate::{
    prefix::{
        Work,
        prompt::{PartId, Prompt},
    },
    prelude::*,
};

/// Parts kept of one engine. The least recently used ones are dropped beyond it.
const PARTS_MAX: usize = 64;
/// Time after its last use for which a part counts as held. The engine also serves others, of whom this leader knows nothing.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// A part that an engine probably holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    sent_at: Time,
    used_at: Time,
    /// Number of the last use; the least is dropped first.
    used: u64,
}

/// What an engine holds of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    pub(super) tokens: u64,
    /// Time since the least recently used of the parts was used.
    pub(super) age: Duration,
    /// Time since the part that was sent last was first sent.
    pub(super) newest: Option<Duration>,
}

/// Estimate of an engine's cache.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    by_model: BTreeMap<ModelId, HashMap<PartId, Held>>,
    /// Tokens and number of all parts.
    tokens: u64,
    count: usize,
    uses: u64,
    /// Runs in progress, and the tokens that their texts are expected to take.
    running: u32,
    reserved: u64,
    /// Tokens of the prompts of these runs, each part counted once.
    prompts: u64,
}

impl Cache {
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Tokens that runs in progress take.
    pub(super) fn taken(&self) -> u64 {
        self.reserved.saturating_add(self.prompts)
    }

    /// What the engine holds of a prompt: its parts up to the first one that is missing.
    pub(super) fn share(&self, model: &str, prompt: &Prompt, now: Time) -> Share {
        let Some(parts) = self.by_model.get(model) else {
            return Share::default();
        };
        let held = prompt
            .parts()
            .iter()
            .map_while(|part| parts.get(&part.id).filter(|held| now <= held.used_at + HOLD_TIME));
        held.fold(Share::default(), |share, held| {
            let newest = now.saturating_sub(held.sent_at);
            Share {
                tokens: share.tokens + u64::from(held.tokens),
                age: share.age.max(now.saturating_sub(held.used_at)),
                newest: Some(share.newest.map_or(newest, |known| known.min(newest))),
            }
        })
    }

    /// Records that a prompt was sent. Returns the parts dropped for lack of capacity.
    pub(super) fn begin_run(
        &mut self,
        model: &ModelId,
        work: &Work<'_>,
        capacity: Option<u64>,
        now: Time,
    ) -> Vec<(ModelId, PartId)> {
        let prompt = work.prompt;
        self.running += 1;
        self.reserved = self.reserved.saturating_add(work.output_tokens());
        let cached = self.share(model, prompt, now).tokens;
        self.prompts = self.prompts.saturating_add(prompt.tokens().saturating_sub(cached));
        if !prompt.is_empty() {
            let parts = self.by_model.entry(model.clone()).or_default();
            // The first part counts as used last, as the others are of no use without it.
            for part in prompt.parts().iter().rev() {
                self.uses += 1;
                let fresh = Held { tokens: 0, sent_at: now, used_at: now, used: 0 };
                let held = parts.entry(part.id).or_insert(fresh);
                if now > held.used_at + HOLD_TIME {
                    held.sent_at = now;
                }
                self.count += usize::from(held.used == 0);
                self.tokens = self.tokens + u64::from(part.tokens) - u64::from(held.tokens);
                (held.tokens, held.used_at, held.used) = (part.tokens, now, self.uses);
            }
        }
        self.evict(capacity)
    }

    /// Records that a run has ended, which took an average share of the tokens of all runs.
    pub(super) fn end_run(&mut self) {
        let before = u64::from(self.running.max(1));
        self.running = self.running.saturating_sub(1);
        for tokens in [&mut self.reserved, &mut self.prompts] {
            *tokens = if self.running == 0 { 0 } else { *tokens - *tokens / before };
        }
    }

    /// Drops the parts that do not fit beside the runs, the least recently used ones first.
    fn evict(&mut self, capacity: Option<u64>) -> Vec<(ModelId, PartId)> {
        let mut dropped = Vec::new();
        while self.count > PARTS_MAX
            || capacity.is_some_and(|capacity| self.tokens.saturating_add(self.reserved) > capacity)
        {
            let parts = self.by_model.iter().flat_map(|(model, parts)| {
                parts.iter().map(move |(id, held)| (held.used, model, *id))
            });
            let Some((_, model, id)) = parts.min() else {
                break;
            };
            let model = model.clone();
            self.remove(&model, id);
            dropped.push((model, id));
        }
        dropped
    }

    fn remove(&mut self, model: &str, id: PartId) {
        let Some(parts) = self.by_model.get_mut(model) else {
            return;
        };
        if let Some(held) = parts.remove(&id) {
            self.count -= 1;
            self.tokens -= u64::from(held.tokens);
        }
        if parts.is_empty() {
            self.by_model.remove(model);
        }
    }

    /// Drops the parts of one model. Returns them.
    pub(super) fn forget_model(&mut self, model: &str) -> Vec<(ModelId, PartId)> {
        let Some((model, parts)) = self.by_model.remove_entry(model) else {
            return Vec::new();
        };
        self.count -= parts.len();
        self.tokens -= parts.values().map(|held| u64::from(held.tokens)).sum::<u64>();
        parts.into_keys().map(|id| (model.clone(), id)).collect()
    }

    /// Drops all parts. Returns them.
    pub(super) fn forget_all(&mut self) -> Vec<(ModelId, PartId)> {
        let models: Vec<ModelId> = self.by_model.keys().cloned().collect();
        models.iter().flat_map(|model| self.forget_model(model)).collect()
    }
}
