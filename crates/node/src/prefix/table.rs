//! Estimate of what the engines of a service hold, and of how fast they prefill.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    prefix::{
        Prompt, Rate, Sent, Settings, Work,
        cache::{Cache, Share},
        prompt::PartId,
    },
    prelude::*,
};

/// Engines that are considered as they hold a part of a prompt. Those that hold the longest part of it come first.
const HOLDERS_MAX: usize = 32;
/// Time for which a part may still be being prefilled, so that a run that shares it says nothing of the rate.
const PREFILL_TIME_MAX: Duration = Duration::from_secs(2);
/// Largest factor between a measured rate and the one of the settings.
const RATE_FACTOR_MAX: f64 = 8.0;

/// What is known of one engine.
#[derive(Debug, Default)]
struct Entry {
    cache: Cache,
    rate: Rate,
}

/// Estimate for all engines of a service.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    /// Tokens that an engine keeps of running requests and of prompts; `None` if it is not known.
    capacity: Option<u64>,
    engines: BTreeMap<TargetId, Entry>,
    /// Engines that hold a part.
    holders: BTreeMap<ModelId, HashMap<PartId, BTreeSet<TargetId>>>,
    /// Rate of all engines together, for those that have run little.
    rate: Rate,
}

impl Table {
    /// An estimate without engines.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            capacity: None,
            engines: BTreeMap::new(),
            holders: BTreeMap::new(),
            rate: Rate::default(),
        }
    }

    /// Sets the tokens that an engine keeps; `None` if they are not known. Applies from the next run on.
    pub fn set_capacity(&mut self, capacity: Option<u64>) {
        self.capacity = capacity;
    }

    /// Engines that hold a part of a prompt, the longest common beginning first. An engine may come more than once.
    pub fn holders(&self, model: &str, prompt: &Prompt) -> impl Iterator<Item = &TargetId> {
        let parts = self.holders.get(model);
        let longest_first = prompt.parts().iter().rev();
        let holders = longest_first.filter_map(move |part| parts?.get(&part.id)).flatten();
        holders.take(HOLDERS_MAX)
    }

    fn share(&self, engine: &str, model: &str, prompt: &Prompt, now: Time) -> Share {
        let entry = self.engines.get(engine);
        entry.map_or_else(Share::default, |entry| entry.cache.share(model, prompt, now))
    }

    /// Tokens of a prompt that an engine is expected to hold.
    pub fn cached(&self, engine: &str, model: &str, prompt: &Prompt, now: Time) -> u64 {
        self.share(engine, model, prompt, now).tokens
    }

    /// Tokens that an engine prefills in a millisecond.
    pub fn tokens_per_ms(&self, engine: &str) -> f64 {
        let default = self.settings.tokens_per_ms;
        let own = self.engines.get(engine).and_then(|entry| entry.rate.tokens_per_ms());
        let measured = own.or_else(|| self.rate.tokens_per_ms()).unwrap_or(default);
        measured.clamp(default / RATE_FACTOR_MAX, default * RATE_FACTOR_MAX)
    }

    /// Time until an engine has room for an item beside its runs, if each of these lasts for `run_time`.
    pub fn wait(&self, engine: &str, work: &Work<'_>, cached: u64, run_time: Duration) -> Duration {
        let Some((entry, capacity)) = self.engines.get(engine).zip(self.capacity) else {
            return Duration::ZERO;
        };
        let added = work.prompt.tokens().saturating_sub(cached);
        let added = added.saturating_add(work.output_tokens());
        match entry.cache.running() {
            running if running > 0 && entry.cache.taken().saturating_add(added) > capacity => {
                run_time / running
            }
            _ => Duration::ZERO,
        }
    }

    /// Records that an item is sent to an engine, whose prompt counts as held there from now on: members of a group start
    /// together, and one that follows waits for the prefill in progress no longer than for its own elsewhere.
    pub fn begin_run(
        &mut self,
        engine: &TargetId,
        model: &ModelId,
        work: &Work<'_>,
        now: Time,
    ) -> Sent {
        let share = self.share(engine, model, work.prompt, now);
        let entry = self.engines.entry(engine.clone()).or_default();
        let dropped = entry.cache.begin_run(model, work, self.capacity, now);
        if !work.prompt.is_empty() {
            let holders = self.holders.entry(model.clone()).or_default();
            for part in work.prompt.parts() {
                holders.entry(part.id).or_default().insert(engine.clone());
            }
        }
        self.unindex(engine, dropped);
        Sent {
            tokens: work.prompt.tokens(),
            cached: share.tokens,
            age: share.age,
            tokens_per_s: (self.tokens_per_ms(engine) * 1e3) as u64,
            instead_of: None,
            shows_rate: share.newest.is_none_or(|newest| newest >= PREFILL_TIME_MAX),
        }
    }

    /// Records that a run on an engine has ended.
    pub fn end_run(&mut self, engine: &str) {
        if let Some(entry) = self.engines.get_mut(engine) {
            entry.cache.end_run();
        }
    }

    /// Records the time to the first event of a run.
    pub fn record_first_event(&mut self, engine: &str, sent: &Sent, took: Duration) {
        if !sent.shows_rate || sent.tokens == 0 {
            return;
        }
        let prefilled = sent.tokens.saturating_sub(sent.cached);
        self.rate.record(prefilled, took);
        if let Some(entry) = self.engines.get_mut(engine) {
            entry.rate.record(prefilled, took);
        }
    }

    /// Drops what an engine holds of one model, as a version is loaded.
    pub fn forget_model(&mut self, engine: &str, model: &str) {
        if let Some(entry) = self.engines.get_mut(engine) {
            let dropped = entry.cache.forget_model(model);
            self.unindex(engine, dropped);
        }
    }

    /// Drops what an engine holds, as a run failed there.
    pub fn forget_prompts(&mut self, engine: &str) {
        if let Some(entry) = self.engines.get_mut(engine) {
            let dropped = entry.cache.forget_all();
            self.unindex(engine, dropped);
        }
    }

    /// Drops an engine that has ended.
    pub fn forget_engine(&mut self, engine: &str) {
        self.forget_prompts(engine);
        self.engines.remove(engine);
    }

    /// Drops what all engines hold, as another host may have led in between.
    pub fn forget_all(&mut self) {
        for entry in self.engines.values_mut() {
            entry.cache.forget_all();
        }
        self.holders.clear();
    }

    /// Removes an engine from the holders of parts that it has dropped.
    fn unindex(&mut self, engine: &str, dropped: Vec<(ModelId, PartId)>) {
        for (model, part) in dropped {
            let Some(parts) = self.holders.get_mut(&model) else {
                continue;
            };
            if let Some(holders) = parts.get_mut(&part) {
                holders.remove(engine);
                if holders.is_empty() {
                    parts.remove(&part);
                }
            }
            if parts.is_empty() {
                self.holders.remove(&model);
            }
        }
    }
}
