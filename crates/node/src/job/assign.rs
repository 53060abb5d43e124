//! Assignment of a job's items to engines, and the outcomes of their runs.

use std::sync::Arc;

use log::info;

use crate::{
    events::Progress,
    job::{
        Assignment, Doubt, End, Engines, Evidence, Job, Outcome, Placement, Policy, Requirement,
        status::State,
    },
    logging::ms,
    prefix::{Sent, Work},
    prelude::*,
};

/// Time for which an item waits for a slot on an engine that is not slow.
const SLOT_WAIT_MAX: Duration = Duration::from_millis(700);
/// Times for which an event of an engine shows that it is alive. The last is longer than the interval at which runs report.
const HEARD_TIMES: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(1500)];
/// Time until an item whose judge returned no score is retried.
const JUDGE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Attempts without an event after which the text of an item is given up for another software version.
const SOFTWARE_ATTEMPTS: u32 = 2;
/// Items of a job that are tried in one pass while none of them finds an engine.
pub(super) const BLOCKED_ITEMS_MAX: usize = 8;

impl Job {
    /// Makes the items ready whose delay is over.
    fn promote(&mut self, now: Time) {
        while let Some(&(not_before, item)) = self.waiting.delayed.first() {
            if not_before > now {
                return;
            }
            self.waiting.delayed.pop_first();
            if self.statuses[item].text_complete {
                self.waiting.unjudged.insert(item);
            } else {
                self.waiting.ready.insert(self.positions[item]);
            }
        }
    }

    /// Assigns the next item: one that needs only its score, or one for which an engine qualifies.
    pub(super) fn assign_next(&mut self, now: Time, engines: &mut Engines) -> Option<Assignment> {
        self.started_at = self.started_at.min(now);
        self.expire_items(now);
        if self.unowned {
            return None;
        }
        self.promote(now);
        while let Some(&item) = self.waiting.unjudged.first() {
            if let Some(assignment) = self.assign_unjudged(item, now, engines) {
                return Some(assignment);
            }
        }
        if self.waiting.ready.is_empty() || !engines.has_open(&self.spec.model) {
            return None;
        }
        let (mut blocked, mut next) = (0, self.waiting.ready.first().copied());
        while let Some(position) = next.filter(|_| blocked < BLOCKED_ITEMS_MAX) {
            let assignment = self.assign(self.order[position], now, engines);
            if assignment.is_some() {
                return assignment;
            }
            blocked += 1;
            next = self.waiting.ready.range(position + 1..).next().copied();
        }
        None
    }

    /// Assigns an item whose text is complete: without an engine, unless the text is too old.
    fn assign_unjudged(
        &mut self,
        item: usize,
        now: Time,
        engines: &mut Engines,
    ) -> Option<Assignment> {
        let min = self.spec.min_version;
        let status = &mut self.statuses[item];
        if status.progress.can_continue(min, min, false) {
            self.set_state(item, State::Running { run: 0, target: None });
            return Some(self.assignment(item, None));
        }
        status.progress = Progress::default();
        status.text_complete = false;
        self.waiting.unjudged.remove(&item);
        self.waiting.ready.insert(self.positions[item]);
        self.assign(item, now, engines)
    }

    /// Assigns a ready item to an engine if one qualifies.
    fn assign(&mut self, item: usize, now: Time, engines: &mut Engines) -> Option<Assignment> {
        // The spec outlives the change of the item's state below.
        let spec = Arc::clone(&self.spec);
        let work = engines.has_prefixes().then(|| self.work(item));
        let work = work.map(|work| Work { prompt: &spec.items[item].prompt, ..work });
        let (_, Placement { engine, first }) = self.find_start(item, now, work, engines)?;
        let (min, model) = (self.spec.min_version, &self.spec.model);
        let instead_of = Some(&first.target.id).filter(|id| **id != engine.target.id).cloned();
        let (target, version) = (engine.target.id.clone(), engine.version(model)?);
        let software = engine.target.software.clone();
        let status = &mut self.statuses[item];
        let progress = &status.progress;
        if !progress.can_continue(min, version, self.policy.single_version)
            || !progress.fits(&software)
        {
            status.progress = Progress::default();
        }
        let begins = status.progress.last_event == 0;
        self.set_state(item, State::Running { run: 0, target: Some(target.clone()) });
        if self.statuses[item].doubt.is_raised() {
            engines.start_doubtful_run(&target);
        } else {
            engines.start_run(&target);
        }
        let sent = work.and_then(|work| engines.record_prompt(&target, &spec.model, &work));
        let sent = sent.map(|sent| {
            let shows_rate = sent.shows_rate && begins;
            Sent { instead_of, shows_rate, ..sent }
        });
        Some(Assignment { sent, ..self.assignment(item, Some(target)) })
    }

    /// Engine on which a waiting item may start, with the requirement that the engine meets.
    pub(super) fn find_start<'a>(
        &'a self,
        item: usize,
        now: Time,
        work: Option<Work<'a>>,
        engines: &'a Engines,
    ) -> Option<(Requirement<'a>, Placement<'a>)> {
        if !matches!(self.statuses[item].state, State::Waiting { .. }) {
            return None;
        }
        let mut requirements = self.requirements(item, now, work, engines);
        requirements.find_map(|it| Some((it, engines.place(&it)?)))
    }

    /// Requirements of a waiting item on its engine, in the order in which engines are looked for.
    pub(super) fn requirements<'a>(
        &'a self,
        item: usize,
        now: Time,
        work: Option<Work<'a>>,
        engines: &'a Engines,
    ) -> impl Iterator<Item = Requirement<'a>> {
        let status = &self.statuses[item];
        let waiting_since = match status.state {
            State::Waiting { not_before } => not_before.max(self.started_at.min(now)),
            _ => now,
        };
        let has_waited = now >= waiting_since + SLOT_WAIT_MAX;
        let known = status.progress.software.as_deref().filter(|it| engines.has_software(it));
        let software = known.filter(|_| status.progress.last_event > 0);
        let requirement = Requirement {
            avoid: status.avoid.as_ref(),
            software,
            work: work.filter(|work| !work.prompt.is_empty()),
            ..Requirement::new(&self.spec.model, self.spec.min_version)
        };
        let sparing = Requirement { spares_fast: true, ..requirement };
        let sparing = Some(sparing)
            .filter(|_| engines.has_fast() && self.is_short(item, now, engines.typical_pace()));
        // Several engines may have ended at once, so a second attempt goes where others have just succeeded.
        let heard = HEARD_TIMES.map(|time| Evidence::HeardSince(now.saturating_sub(time)));
        let proven = heard.into_iter().chain([Evidence::NoFailure]);
        let proven = proven.filter(move |_| status.is_unreached);
        let proven = proven.map(move |evidence| Requirement { evidence, ..requirement });
        // An item in doubt may end its engine, so one that runs nothing else is preferred.
        let in_doubt = status.doubt.is_raised();
        let proven = proven.flat_map(move |it| {
            [it.on_idle(), it].into_iter().filter(move |it| in_doubt || !it.idle)
        });
        // An idle engine that has ended refuses at once, but one that fell silent costs a timeout. So an engine that was heard
        // comes first after a silence.
        let any_idle = Requirement { evidence: Evidence::NoFailure, ..requirement.on_idle() };
        let any_idle = Some(any_idle).filter(|_| status.doubt.allows_untested());
        let proven = any_idle.into_iter().chain(proven);
        // All engines of the software version of its text may have ended.
        let heard_lately = Evidence::HeardSince(now.saturating_sub(HEARD_TIMES[1]));
        let other_software = Requirement { software: None, evidence: heard_lately, ..requirement };
        let is_stuck = status.is_unreached && status.attempts >= SOFTWARE_ATTEMPTS;
        let other_software = Some(other_software).filter(|_| software.is_some() && is_stuck);
        let any_pace = Requirement { avoid: None, allow_slow: true, ..requirement };
        let any = Requirement { software: None, ..any_pace };
        let waited = [any_pace, any].into_iter().filter(move |_| has_waited);
        proven.chain(other_software).chain(sparing).chain([requirement]).chain(waited)
    }

    fn assignment(&self, item: usize, target: Option<TargetId>) -> Assignment {
        let progress = self.statuses[item].progress.clone();
        let status = &self.statuses[item];
        let last_resort = target.is_some() && target == status.avoid;
        let judge_failures = status.judge_failures;
        Assignment {
            job: self.spec.id.clone(),
            item,
            origin: self.origin(item),
            target,
            progress,
            judge_failures,
            last_resort,
            sent: None,
        }
    }

    /// Gives the run of an item that has just been assigned its id.
    pub(super) fn begin_run(&mut self, item: usize, id: u64) {
        if let Some(State::Running { run, .. }) =
            self.statuses.get_mut(item).map(|status| &mut status.state)
        {
            *run = id;
        }
    }

    /// Whether a run is the present one of an item. A run that began before the job was read again is not.
    pub fn has_run(&self, item: usize, id: u64) -> bool {
        let state = self.statuses.get(item).map(|status| &status.state);
        matches!(state, Some(State::Running { run, .. }) if *run == id)
    }

    /// Applies the outcome of the present run of an item.
    pub(super) fn finish_run(&mut self, outcome: Outcome, now: Time) {
        let (item, Policy { max_attempts, single_version, .. }) = (outcome.item, self.policy);
        let Some(status) = self.statuses.get_mut(item) else {
            return;
        };
        let has_advanced = outcome.pace.is_some();
        status.progress = outcome.progress;
        status.text_complete = outcome.text_complete;
        status.judge_failures = status.judge_failures.saturating_add(outcome.judge_failures);
        status.avoid = None;
        match outcome.end {
            End::Broken => {}
            // Other engines may have ended as well.
            End::NotRun => status.doubt.forbid_untested(),
            End::Stopped if !has_advanced => {}
            _ => status.doubt = Doubt::default(),
        }
        // A run is also stopped because its host is lost, maybe together with engines.
        status.is_unreached = matches!(outcome.end, End::Broken | End::NotRun | End::Stopped);
        let mut not_before = now;
        match outcome.end {
            // The route did not demand a single version when the run began.
            End::Scored(_) if single_version && status.progress.versions.len() > 1 => {
                status.progress = Progress::default();
                status.text_complete = false;
            }
            End::Scored(score) => return self.finish(item, true, score, now),
            End::JudgeFailed | End::Rejected => return self.finish(item, false, None, now),
            End::Failed => {
                status.failures = status.failures.saturating_add(1);
                status.avoid = outcome.target;
                if status.failures >= max_attempts {
                    return self.finish(item, false, None, now);
                }
            }
            End::Unjudged => not_before += JUDGE_RETRY_DELAY,
            End::Broken => {
                let delay = status.doubt.raise(has_advanced, outcome.connection_broke);
                let events = status.progress.last_event;
                info!(job = &*self.spec.id, item = &*outcome.origin.item, target_id = outcome.target.as_deref(), events, advanced = has_advanced, reset = outcome.connection_broke, breaks = status.doubt.breaks(), delay_ms = ms(delay); "the run of an item broke");
                status.avoid = outcome.target;
                not_before += delay;
            }
            End::Slow | End::NotRun => status.avoid = outcome.target,
            End::Stopped => {}
        }
        self.set_state(item, State::Waiting { not_before });
    }
}
