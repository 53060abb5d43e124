//! Failed runs of an item.

use crate::{
    crash::Content,
    job::{End, Job, Outcome, Queue, status::State},
    prelude::*,
};

/// What is known of the failed runs of an item. All counts are totals over its runs, so that of two records the higher
/// counts hold and none is added up twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failure {
    /// Status 500 responses of engines.
    pub failures: u32,
    /// Status 500 responses of the judge.
    pub judge_failures: u32,
    /// An engine has rejected the item, or its judge has failed as often as its route allows.
    pub given_up: bool,
}

/// An item of a job. Its content tells it from one of another deployment, which may have the same ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    pub job: JobId,
    pub item: ItemId,
    pub content: Content,
}

impl Failure {
    /// Failures of an item after a run.
    pub fn after(self, end: &End, judge_failures: u32) -> Self {
        Self {
            failures: self.failures.saturating_add(u32::from(*end == End::Failed)),
            judge_failures: self.judge_failures.saturating_add(judge_failures),
            given_up: self.given_up || matches!(end, End::Rejected | End::JudgeFailed),
        }
    }

    /// What two hosts know together.
    pub fn merged(self, other: Self) -> Self {
        Self {
            failures: self.failures.max(other.failures),
            judge_failures: self.judge_failures.max(other.judge_failures),
            given_up: self.given_up || other.given_up,
        }
    }

    /// Whether no run has failed.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl Job {
    /// Failures of an item, as far as this leader has counted them.
    pub fn failure(&self, item: usize) -> Failure {
        self.statuses.get(item).map_or(Failure::default(), |status| Failure {
            failures: status.failures,
            judge_failures: status.judge_failures,
            given_up: false,
        })
    }

    /// Identity of an item.
    pub fn identity(&self, item: usize) -> Option<Identity> {
        let item = self.spec.items.get(item)?;
        let content = item.content(&self.record.host);
        Some(Identity { job: self.spec.id.clone(), item: item.id.clone(), content })
    }

    /// Applies what is known of failed runs to the items that wait, and ends those that may run no more. The count of a
    /// running item is not changed, as its end may be part of what is known.
    pub fn apply_failures(&mut self, known: &[(Identity, Failure)], now: Time) {
        for (identity, failure) in known {
            let position = self.spec.items.iter().position(|item| item.id == identity.item);
            let is_same = |item: &usize| self.identity(*item).as_ref() == Some(identity);
            let Some(item) = position.filter(is_same) else {
                continue;
            };
            if matches!(self.statuses[item].state, State::Waiting { .. }) {
                self.merge_failure(item, *failure, now);
            }
        }
    }

    /// Merges what is known of an open item, and ends it if it may run no more.
    fn merge_failure(&mut self, item: usize, failure: Failure, now: Time) {
        let status = &mut self.statuses[item];
        status.failures = status.failures.max(failure.failures);
        status.judge_failures = status.judge_failures.max(failure.judge_failures);
        if failure.given_up || status.failures >= self.policy.max_attempts {
            self.finish(item, false, None, now);
        }
    }
}

impl Queue {
    /// Failures of an item after a run, if the run adds to them; `before` are those known when it began. Those of a run that
    /// is not the present one of the item are merged into what the item has, as the job may have been read with them. Those
    /// of the present run count when that is finished.
    pub fn record_failure(
        &mut self,
        outcome: &Outcome,
        before: Failure,
        now: Time,
    ) -> Option<(Identity, Failure)> {
        let job = self.jobs.get_mut(&outcome.job)?;
        let identity = job.identity(outcome.item).filter(|it| it.item == outcome.origin.item)?;
        let is_present = job.has_run(outcome.item, outcome.run);
        let before = if is_present { job.failure(outcome.item) } else { before };
        let failure = before.after(&outcome.end, outcome.judge_failures);
        if failure == before {
            return None;
        }
        if !is_present && job.statuses[outcome.item].state.is_open() {
            job.merge_failure(outcome.item, failure, now);
        }
        Some((identity, failure))
    }
}
