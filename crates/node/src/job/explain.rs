//! Explains which engine the next waiting item of a job would get. The choice is made by the functions that start items
//! (`assign`, `placement`), without the changes that a start makes.

use std::collections::BTreeSet;

use crate::{
    dry_run::{self, Candidate, EngineInputs, Exclusion, Inputs, Plan, Wait},
    job::{Engine, Engines, Job, Queue, Requirement, assign::BLOCKED_ITEMS_MAX, wait},
    prefix::Work,
    prelude::*,
};

/// Reason of the items of a job without the workspace that it needs.
const UNOWNED: &str = "no_workspace";
/// Reason of a job of which no item needs an engine.
const NOTHING_WAITS: &str = "no_item_waits_for_an_engine";

impl Queue {
    /// Adds to a plan what a job waits for.
    pub fn explain(&self, id: &str, now: Time, engines: &Engines, plan: &mut Plan) {
        if let Some(job) = self.get(id) {
            job.explain(now, engines, plan);
            if let Some(job) = &mut plan.job {
                job.jobs_ahead = self.jobs_ahead(id);
            }
        }
    }
}

impl Job {
    /// Items that need an engine and may start, in the order in which they are tried.
    fn startable(&self, now: Time) -> Vec<usize> {
        let due = self.waiting.delayed.iter().take_while(|(not_before, _)| *not_before <= now);
        let due = due.filter(|(_, item)| !self.statuses[*item].text_complete);
        let due = due.map(|(_, item)| self.positions[*item]);
        let ready: BTreeSet<usize> = due.chain(self.waiting.ready.iter().copied()).collect();
        ready.into_iter().take(BLOCKED_ITEMS_MAX).map(|position| self.order[position]).collect()
    }

    /// Item that waits for a time, if none may start.
    fn next_delayed(&self) -> Option<usize> {
        let mut delayed = self.waiting.delayed.iter();
        let next = delayed.find(|(_, item)| !self.statuses[*item].text_complete);
        next.map(|(_, item)| *item)
    }

    fn explain(&self, now: Time, engines: &Engines, plan: &mut Plan) {
        let items = self.startable(now);
        let needed = |item| engines.has_prefixes().then(|| self.work(item));
        let found = items.iter().find_map(|&item| {
            let (requirement, placement) = self.find_start(item, now, needed(item), engines)?;
            Some((item, requirement, placement.engine))
        });
        let found = found.filter(|_| !self.unowned);
        let next = found.map(|(item, ..)| item).or_else(|| items.first().copied());
        let next = next.or_else(|| self.next_delayed());
        plan.chosen = found.map(|(_, _, engine)| engine.target.id.clone());
        plan.wait = match (found, next) {
            (Some(_), _) => None,
            _ if self.unowned => Some(Wait::new(UNOWNED)),
            (None, Some(item)) => Some(Wait::from(&wait::reason(self, item, engines, now))),
            (None, None) => Some(Wait::new(NOTHING_WAITS)),
        };
        // An item that finds no engine is explained by the last and widest of its requirements.
        let requirement = found.map(|(_, requirement, _)| requirement).or_else(|| {
            let item = next?;
            self.requirements(item, now, needed(item), engines).last()
        });
        plan.candidates = match next.zip(requirement) {
            Some((item, requirement)) => {
                engines.explain_for(&requirement, &self.work(item), plan.chosen.as_ref(), now)
            }
            None => engines.explain(now),
        };
        plan.job = Some(dry_run::Job {
            id: self.spec.id.clone(),
            model: self.spec.model.clone(),
            min_version: self.spec.min_version,
            priority: self.policy.priority,
            deferred: self.deferred,
            waiting: self.waiting.len(),
            jobs_ahead: 0,
            next_item: next.map(|item| self.spec.items[item].id.clone()),
        });
        plan.workspace.clone_from(&self.record.workspace);
    }
}

impl Engines {
    /// All engines, with what keeps items of any model from them.
    pub fn explain(&self, now: Time) -> Vec<Candidate> {
        let all = self.iter().map(|engine| self.explained(engine, engine.closed("", now), None));
        sorted(all, None)
    }

    /// All engines as they count for an item, with what keeps it from them.
    fn explain_for(
        &self,
        requirement: &Requirement,
        work: &Work,
        chosen: Option<&TargetId>,
        now: Time,
    ) -> Vec<Candidate> {
        let all = self.iter().map(|engine| {
            let closed = || engine.closed(requirement.model, now);
            let has_model = engine.version(requirement.model).is_some();
            let exclusion = closed().filter(|_| has_model);
            let exclusion = exclusion.or_else(|| self.unfit(engine, requirement));
            self.explained(engine, exclusion, Some(self.expected(engine, requirement, work)))
        });
        sorted(all, chosen)
    }

    fn explained(
        &self,
        engine: &Engine,
        exclusion: Option<Exclusion>,
        expected: Option<Duration>,
    ) -> Candidate {
        let inputs = Inputs::Engine(EngineInputs {
            versions: engine.versions(),
            software: engine.target.software.clone(),
            in_flight: engine.in_flight,
            slots: engine.target.slots,
            free_slots: engine.free_slots(),
            pace: self.pace(engine),
            cost: self.cost(engine),
            expected,
            comes_last: engine.comes_last(self.now),
        });
        let (id, zone) = (engine.target.id.clone(), engine.target.zone.clone());
        Candidate { id, zone, exclusion, inputs }
    }
}

/// The chosen engine first, and excluded ones last.
fn sorted(all: impl Iterator<Item = Candidate>, chosen: Option<&TargetId>) -> Vec<Candidate> {
    let mut all: Vec<Candidate> = all.collect();
    all.sort_by_key(|candidate| {
        let (comes_last, cost) = match &candidate.inputs {
            Inputs::Engine(engine) => (engine.comes_last, engine.cost),
            Inputs::Target(target) => (false, target.expected),
        };
        (chosen != Some(&candidate.id), candidate.exclusion.is_some(), comes_last, cost)
    });
    all
}
