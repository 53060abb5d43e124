//! Items of open jobs that are at no engine, and what each of them waits for.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    job::{Engines, Item, Job, Outcome, Queue, Reason, Requirement, Supply, status::State},
    prelude::*,
};

/// Time at no engine from which an item counts as idle.
pub const IDLE_MIN: Duration = Duration::from_secs(2);
/// Ready items of a job, in start order, whose contents and demands are looked at. The items behind them wait for these.
const READY_ITEMS_MAX: usize = 8;

/// An item that is at no engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait<'a> {
    pub job: &'a JobId,
    pub item: &'a Item,
    /// Host name of the job's route.
    pub host: &'a str,
    /// Time since the leader last heard that an engine had the item, or since it opened the job.
    pub waited: Duration,
    /// Runs in that time that ended without an event.
    pub attempts: u32,
    pub reason: Reason,
}

/// A run that the leader believes to be in progress at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Pending<'a> {
    pub run: u64,
    pub item: usize,
    pub target: &'a TargetId,
    /// Host that runs it; `None` for the leader.
    pub runner: Option<SocketAddr>,
    pub started_at: Time,
}

/// Receives waits one by one, as there may be very many.
pub type Visitor<'v, 'a> = &'v mut dyn FnMut(Wait<'a>);

impl Queue {
    /// Passes on the waiting items that are idle. `blocked` is what keeps the leader from starting any item.
    pub fn visit_idle<'a>(
        &'a self,
        now: Time,
        engines: &Engines,
        blocked: Option<&Reason>,
        visit: Visitor<'_, 'a>,
    ) {
        let mut pass = Pass { now, engines, blocked, supplies: BTreeMap::new() };
        for job in self.jobs.values() {
            pass.visit_job(job, visit);
        }
    }

    /// Records that a run has ended.
    pub fn record_run_end(&mut self, outcome: &Outcome, now: Time) {
        if let Some(job) = self.jobs.get_mut(&outcome.job)
            && job.has_run(outcome.item, outcome.run)
        {
            job.record_run_end(outcome, now);
        }
    }
}

impl Job {
    /// Records that an engine has an item.
    pub fn record_contact(&mut self, item: usize, now: Time) {
        if let Some(status) = self.statuses.get_mut(item) {
            (status.contact_at, status.attempts) = (now, 0);
        }
    }

    fn record_run_end(&mut self, outcome: &Outcome, now: Time) {
        if outcome.pace.is_some() || outcome.end.is_answer() {
            self.record_contact(outcome.item, now);
        } else if let Some(status) = self.statuses.get_mut(outcome.item)
            // The events of a run whose host was lost were reported before.
            && outcome.progress.last_event <= status.progress.last_event
        {
            status.attempts = status.attempts.saturating_add(1);
        }
    }

    /// Wait of an item whose run is in progress, if nothing was heard of it for long, or if it follows runs without an event.
    pub fn pending_wait(&self, pending: &Pending, now: Time) -> Option<Wait<'_>> {
        let status = self.statuses.get(pending.item)?;
        let silent = now.saturating_sub(pending.started_at.max(status.contact_at));
        let is_series = status.attempts > 0
            && status.contact_at < pending.started_at
            && self.waited(pending.item, now) >= IDLE_MIN;
        if silent < IDLE_MIN && !is_series {
            return None;
        }
        let Pending { run, runner, .. } = *pending;
        let target = pending.target.clone();
        Some(self.wait(pending.item, now, Reason::RunInProgress { run, target, runner, silent }))
    }

    fn wait(&self, item: usize, now: Time, reason: Reason) -> Wait<'_> {
        Wait {
            job: &self.spec.id,
            item: &self.spec.items[item],
            host: &self.record.host,
            waited: self.waited(item, now),
            attempts: self.statuses[item].attempts,
            reason,
        }
    }

    fn waited(&self, item: usize, now: Time) -> Duration {
        // A job whose items could not start yet was opened about when it was submitted.
        let opened_at =
            if self.started_at == Time::MAX { self.submitted_at } else { self.started_at };
        now.saturating_sub(self.statuses[item].contact_at.max(opened_at))
    }
}

/// Why a waiting item does not start.
pub(super) fn reason(job: &Job, item: usize, engines: &Engines, now: Time) -> Reason {
    match job.statuses[item].state {
        State::Waiting { not_before } if not_before > now => {
            Reason::Delayed { left: not_before - now }
        }
        _ => {
            let supplies = BTreeMap::new();
            Pass { now, engines, blocked: None, supplies }.ready_reason(job, item)
        }
    }
}

/// A pass over all waiting items.
struct Pass<'a, 'e> {
    now: Time,
    engines: &'e Engines,
    blocked: Option<&'e Reason>,
    /// Engines by model and oldest version, as many items need the same.
    supplies: BTreeMap<(&'a str, Version), Supply>,
}

impl<'a> Pass<'a, '_> {
    fn visit_job(&mut self, job: &'a Job, visit: Visitor<'_, 'a>) {
        for (not_before, item) in &job.waiting.delayed {
            if job.statuses[*item].text_complete || job.waited(*item, self.now) < IDLE_MIN {
                continue;
            }
            let reason = match self.blocked {
                Some(reason) => reason.clone(),
                None if *not_before <= self.now => self.supply_reason(job),
                None => Reason::Delayed { left: *not_before - self.now },
            };
            visit(job.wait(*item, self.now, reason));
        }
        for (place, position) in job.waiting.ready.iter().enumerate() {
            let item = job.order[*position];
            if job.waited(item, self.now) < IDLE_MIN {
                continue;
            }
            let reason = match self.blocked {
                Some(reason) => reason.clone(),
                None if place < READY_ITEMS_MAX => self.ready_reason(job, item),
                None => self.supply_reason(job),
            };
            visit(job.wait(item, self.now, reason));
        }
    }

    /// Reason of an item that may start.
    fn ready_reason(&mut self, job: &'a Job, item: usize) -> Reason {
        match self.supply_reason(job) {
            Reason::NotStarted(supply) => {
                self.demand_reason(job, item).unwrap_or(Reason::NotStarted(supply))
            }
            reason => reason,
        }
    }

    /// Reason that all items of a job share.
    fn supply_reason(&mut self, job: &'a Job) -> Reason {
        let (model, min) = (&*job.spec.model, job.spec.min_version);
        let supply = self
            .supplies
            .entry((model, min))
            .or_insert_with(|| Supply::new(self.engines, model, min, self.now));
        match *supply {
            supply if supply.is_outdated() => Reason::NoVersion { min, newest: supply.newest },
            supply if job.deferred => Reason::Deferred(supply),
            supply if supply.open == 0 => Reason::NoEngineOpen(supply),
            supply => Reason::NotStarted(supply),
        }
    }

    /// What an item demands of its engine that no open engine offers.
    fn demand_reason(&self, job: &Job, item: usize) -> Option<Reason> {
        let status = &job.statuses[item];
        let any = Requirement::new(&job.spec.model, job.spec.min_version);
        let any = Requirement { allow_slow: true, ..any };
        self.engines.choose(&any)?;
        let known = status.progress.software.as_deref().filter(|it| self.engines.has_software(it));
        let software = known.filter(|_| status.progress.last_event > 0);
        let same = Requirement { software, ..any };
        if let Some(software) = software
            && self.engines.choose(&same).is_none()
        {
            return Some(Reason::NoSoftware { software: software.into() });
        }
        let avoid = status.avoid.as_ref()?;
        let other = Requirement { avoid: Some(avoid), ..same };
        let is_only = self.engines.choose(&other).is_none();
        is_only.then(|| Reason::OnlyAvoided { target: avoid.clone() })
    }
}
