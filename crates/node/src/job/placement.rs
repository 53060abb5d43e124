//! Choice of the engine for an item: the first suitable one in the order of cost, or the one on which the item ends first if
//! items are placed by the prompts that engines hold.

use std::collections::BTreeMap;

use crate::{
    dry_run::Exclusion,
    job::{Engine, Engines, Requirement},
    prefix::{self, Candidate, Sent, Work},
    prelude::*,
};

/// Minimum speed-up for which an item is moved to another engine.
const FASTER_FACTOR: f64 = 1.2;
/// Engines that are weighed from the head of the order, beside those that hold a part of the prompt.
const HEAD_ENGINES: usize = 4;

/// An engine chosen for an item.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    pub engine: &'a Engine,
    /// Engine that is chosen without regard to prompts.
    pub first: &'a Engine,
}

impl Engines {
    /// Places items by the prompts that engines hold.
    pub fn enable_prefixes(&mut self, settings: prefix::Settings) {
        self.prefixes = Some(prefix::Table::new(settings));
    }

    /// Whether items are placed by the prompts that engines hold.
    pub fn has_prefixes(&self) -> bool {
        self.prefixes.is_some()
    }

    /// Sets the tokens that an engine keeps, if they are known.
    pub fn set_cache_tokens(&mut self, tokens: Option<u64>) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.set_capacity(tokens);
        }
    }

    /// Drops what all engines hold.
    pub fn forget_all_prompts(&mut self) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.forget_all();
        }
    }

    /// Drops what an engine holds of one model.
    pub(super) fn forget_prompts(&mut self, id: &str, model: &str) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.forget_model(id, model);
        }
    }

    /// Drops what an engine holds of the models whose versions differ from those before, as another leader ordered the loads.
    pub(super) fn forget_loaded(&mut self, id: &str, before: BTreeMap<ModelId, Version>) {
        for (model, version) in before {
            let present = self.get(id).and_then(|engine| engine.version(&model));
            if present != Some(version) {
                self.forget_prompts(id, &model);
            }
        }
    }

    /// Open engine on which an item would finish first; those that failed lately or that an item in doubt has come after the
    /// others. Unless the requirement allows slow engines, a slow engine runs one item at a time, as a probe of whether it
    /// has recovered.
    pub fn choose(&self, requirement: &Requirement) -> Option<&Engine> {
        self.place(requirement).map(|placement| placement.engine)
    }

    /// Free slots of the open engines on which an item may start.
    pub fn free_slots_for(&self, requirement: &Requirement) -> usize {
        let engines = self.ranked(requirement.model);
        let qualified = engines.filter(|engine| self.qualifies(engine, requirement));
        qualified.map(|engine| engine.free_slots() as usize).sum()
    }

    /// Open engines for a model, in the order in which they are chosen.
    fn ranked(&self, model: &str) -> impl Iterator<Item = &Engine> {
        let ranks = self.open.get(model).map(|open| &open.ranks);
        ranks.into_iter().flatten().filter_map(|(_, _, id)| self.get(id))
    }

    /// Whether an item may start on an open engine.
    fn qualifies(&self, engine: &Engine, requirement: &Requirement) -> bool {
        self.unfit(engine, requirement).is_none()
    }

    /// Why an item may not start on an open engine, if so.
    pub(super) fn unfit(&self, engine: &Engine, requirement: &Requirement) -> Option<Exclusion> {
        let min = requirement.min_version;
        let Some(version) = engine.version(requirement.model) else {
            return Some(Exclusion::NoModel);
        };
        let is_other = |software: &str| *software != *engine.target.software;
        if version < min {
            Some(Exclusion::Outdated { version, min })
        } else if requirement.avoid == Some(&engine.target.id) {
            Some(Exclusion::Avoided)
        } else if requirement.software.is_some_and(is_other) {
            Some(Exclusion::OtherSoftware)
        } else if !requirement.evidence.holds_for(engine) {
            Some(Exclusion::Unproven)
        } else if requirement.idle && engine.in_flight > 0 {
            Some(Exclusion::NotIdle)
        } else if requirement.spares_fast && self.is_fast(engine) {
            Some(Exclusion::SparedFast)
        } else if !requirement.allow_slow && engine.in_flight > 0 && self.is_slow(engine) {
            Some(Exclusion::Slow)
        } else {
            None
        }
    }

    /// The engine of `choose`, beside the one that is chosen without regard to prompts.
    pub fn place(&self, requirement: &Requirement) -> Option<Placement<'_>> {
        let qualifies = |engine: &&Engine| self.qualifies(engine, requirement);
        let mut ranked = self.ranked(requirement.model);
        let first = ranked.by_ref().find(qualifies)?;
        let Some((table, work)) = self.prefixes.as_ref().zip(requirement.work) else {
            return Some(Placement { engine: first, first });
        };
        let holders = table.holders(requirement.model, work.prompt).filter_map(|id| self.get(id));
        let holders = holders.filter(|engine| engine.is_open(requirement.model, self.now));
        let head = ranked.take(HEAD_ENGINES - 1);
        let others = head.chain(holders).filter(qualifies);
        let candidate = |engine| (engine, self.candidate(engine, requirement.model, &work, table));
        let candidates = std::iter::once(first).chain(others).map(candidate);
        let engine = prefix::weigh(&work, candidates)?;
        Some(Placement { engine, first })
    }

    fn candidate(
        &self,
        engine: &Engine,
        model: &str,
        work: &Work<'_>,
        table: &prefix::Table,
    ) -> Candidate {
        let id = &engine.target.id;
        let (pace, cached) = (self.cost(engine), table.cached(id, model, work.prompt, self.now));
        Candidate {
            comes_last: engine.comes_last(self.now),
            pace,
            cached,
            tokens_per_ms: table.tokens_per_ms(id),
            wait: table.wait(id, work, cached, work.text_time(pace)),
        }
    }

    /// Expected time until the text of an item would be complete on an engine.
    pub(super) fn expected(
        &self,
        engine: &Engine,
        requirement: &Requirement,
        work: &Work,
    ) -> Duration {
        match self.prefixes.as_ref().zip(requirement.work) {
            Some((table, work)) => {
                self.candidate(engine, requirement.model, &work, table).time(&work)
            }
            None => work.text_time(self.cost(engine)),
        }
    }

    /// Records that an item is sent to an engine. Returns what is expected of its cache, if items are placed by it.
    pub fn record_prompt(
        &mut self,
        id: &TargetId,
        model: &ModelId,
        work: &Work<'_>,
    ) -> Option<Sent> {
        let now = self.now;
        Some(self.prefixes.as_mut()?.begin_run(id, model, work, now))
    }

    /// Records the time to the first event of a run.
    pub fn record_first_event(&mut self, id: &str, sent: &Sent, took: Duration) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.record_first_event(id, sent, took);
        }
    }

    /// Time that an item saves with each event on the best open engine, if that is much faster than `current`.
    pub fn saving(&self, requirement: &Requirement, current: &str) -> Option<Duration> {
        let (pace, best) = (self.pace(self.get(current)?), self.pace(self.choose(requirement)?));
        (pace > best.mul_f64(FASTER_FACTOR)).then(|| pace - best)
    }
}
