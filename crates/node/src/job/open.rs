//! An open job: the state of its items and the rows that are not persisted yet.

use std::{collections::HashMap, sync::Arc};

use crate::{
    events::Progress,
    job::{Assignment, Checkpoint, End, Engines, Outcome, Record, Requirement, Row, Spec},
    prelude::*,
};

/// Minimum length of a checkpoint; a shorter text is generated again as fast as it is read from the store.
const CHECKPOINT_EVENTS_MIN: u64 = 10;
/// Time for which an item waits for a slot on an engine that is not slow.
const SLOT_WAIT_MAX: Duration = Duration::from_millis(700);
/// Time until an item whose judge returned no score is retried.
const JUDGE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay of a job's due time for each rank of lower priority.
const PRIORITY_DELAY: Duration = Duration::from_millis(1500);

/// State of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    Waiting {
        not_before: Time,
    },
    Running {
        target: Option<TargetId>,
    },
    /// Its row is not written yet.
    Finished(Box<Row>),
    /// Its row is being written.
    Writing(Box<Row>),
    /// Its row is in the store.
    Listed,
}

/// Status of an item of an open job.
#[derive(Clone, Debug)]
pub(super) struct ItemStatus {
    pub(super) state: State,
    pub(super) progress: Progress,
    /// The text is complete; only its score is missing.
    pub(super) text_complete: bool,
    /// Failed attempts on engines.
    pub(super) failures: u32,
    /// Status 500 responses of its judge.
    judge_failures: u32,
    /// Target of the last run, if that failed, broke, was slow or was not executed.
    pub(super) avoid: Option<TargetId>,
    pub(super) finished_at: Time,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<Spec>,
    pub record: Arc<Record>,
    pub single_version: bool,
    pub max_attempts: u32,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time at which the results are due.
    pub due: Time,
    /// Time at which waiting items expire.
    pub expires: Time,
    /// Rows in the store, which trainers can list.
    pub listed: u64,
    /// Chunks in the store.
    pub chunks: u64,
    /// Time at which its first item could start.
    pub(super) started_at: Time,
    pub(super) statuses: Vec<ItemStatus>,
    /// Group number of each item.
    groups: Vec<usize>,
    /// Items in start order.
    pub(super) order: Vec<usize>,
    /// Fencing token of the write in progress.
    pub(super) writing: Option<Revision>,
}

impl Job {
    pub fn new(spec: Arc<Spec>, record: Record, due: Time, expires: Time) -> Self {
        let status = ItemStatus {
            state: State::Waiting { not_before: Time::ZERO },
            progress: Progress::default(),
            text_complete: false,
            failures: 0,
            judge_failures: 0,
            avoid: None,
            finished_at: Time::ZERO,
        };
        let statuses = vec![status; spec.items.len()];
        let mut order: Vec<usize> = (0..spec.items.len()).collect();
        // Long items determine when a group is complete, so they start first.
        order.sort_by_key(|&item| std::cmp::Reverse(spec.items[item].length_hint));
        Self {
            groups: group_numbers(&spec),
            spec,
            record: Arc::new(record),
            single_version: false,
            max_attempts: 1,
            priority: 0,
            due,
            expires,
            listed: 0,
            chunks: 0,
            started_at: Time::MAX,
            statuses,
            order,
            writing: None,
        }
    }

    /// Marks the items of persisted rows as listed. A write in progress no longer counts.
    pub fn restore(&mut self, rows: &[Row], chunks: u64) {
        self.chunks = chunks;
        self.writing = None;
        self.listed = rows.len() as u64;
        let index: HashMap<&str, usize> =
            self.spec.items.iter().enumerate().map(|(at, item)| (&*item.id, at)).collect();
        for status in &mut self.statuses {
            if let State::Writing(row) = &status.state {
                status.state = State::Finished(row.clone());
            }
        }
        for row in rows {
            if let Some(&at) = index.get(&*row.item) {
                self.statuses[at].state = State::Listed;
            }
        }
    }

    /// Applies checkpoints of an earlier leader to waiting items whose own text is shorter.
    pub fn resume(&mut self, checkpoints: Vec<Checkpoint>) {
        for checkpoint in checkpoints {
            let Some(status) = self.status_mut(&checkpoint.item) else {
                continue;
            };
            let waiting = matches!(status.state, State::Waiting { .. });
            if waiting && checkpoint.progress.last_event > status.progress.last_event {
                (status.progress, status.text_complete) =
                    (checkpoint.progress, checkpoint.text_complete);
            }
        }
    }

    /// Events of an item's text, as last reported.
    pub fn events(&self, item: usize) -> u64 {
        self.statuses.get(item).map_or(0, |status| status.progress.last_event)
    }

    /// Replaces the text of a running item.
    pub fn set_progress(&mut self, item: usize, progress: Progress) {
        if let Some(status) = self.statuses.get_mut(item)
            && matches!(status.state, State::Running { .. })
        {
            status.progress = progress;
        }
    }

    /// Checkpoints of unfinished items, up to `bytes_max` of text.
    pub fn checkpoints(&self, bytes_max: usize) -> Vec<Checkpoint> {
        let mut bytes = 0;
        let open = self.spec.items.iter().zip(&self.statuses).filter(|(_, status)| {
            matches!(status.state, State::Waiting { .. } | State::Running { .. })
                && status.progress.last_event >= CHECKPOINT_EVENTS_MIN
        });
        let checkpoints = open.map(|(item, status)| Checkpoint {
            item: item.id.clone(),
            progress: status.progress.clone(),
            text_complete: status.text_complete,
        });
        checkpoints
            .take_while(|checkpoint| {
                bytes += checkpoint.progress.text.len();
                bytes <= bytes_max
            })
            .collect()
    }

    /// Whether every item is listed.
    pub fn is_complete(&self) -> bool {
        self.statuses.iter().all(|status| status.state == State::Listed)
    }

    /// Due time, delayed by priority. Jobs with a lower rank start first.
    pub(super) fn rank(&self) -> Time {
        self.due + PRIORITY_DELAY.saturating_mul(self.priority)
    }

    pub(super) fn status_mut(&mut self, id: &str) -> Option<&mut ItemStatus> {
        let at = self.spec.items.iter().position(|item| &*item.id == id)?;
        self.statuses.get_mut(at)
    }

    /// Whether an item is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        self.statuses.iter().any(|status| matches!(status.state, State::Waiting { .. }))
    }

    /// Finished items whose rows may be written: those of complete groups and those finished by `finished_by`.
    pub(super) fn listable(&self, finished_by: Time) -> Vec<usize> {
        let mut complete = vec![true; self.statuses.len()];
        for (status, &group) in self.statuses.iter().zip(&self.groups) {
            complete[group] &=
                !matches!(status.state, State::Waiting { .. } | State::Running { .. });
        }
        let listable =
            self.statuses.iter().zip(&self.groups).enumerate().filter(|(_, (status, group))| {
                matches!(status.state, State::Finished(_))
                    && (complete[**group] || status.finished_at <= finished_by)
            });
        listable.map(|(item, _)| item).collect()
    }

    fn finish(&mut self, item: usize, done: bool, score: Option<Box<str>>, now: Time) {
        let row = self.row(item, done, score);
        let status = &mut self.statuses[item];
        status.state = State::Finished(row);
        status.finished_at = now;
    }

    fn row(&self, item: usize, done: bool, score: Option<Box<str>>) -> Box<Row> {
        let progress = &self.statuses[item].progress;
        let (text, versions) = if done {
            (progress.text.as_str().into(), progress.versions.iter().copied().collect())
        } else {
            ("".into(), Vec::new())
        };
        Box::new(Row { item: self.spec.items[item].id.clone(), done, text, versions, score })
    }

    pub(super) fn expire_items(&mut self, now: Time) {
        if now < self.expires {
            return;
        }
        for item in 0..self.statuses.len() {
            if matches!(self.statuses[item].state, State::Waiting { .. }) {
                self.finish(item, false, None, now);
            }
        }
    }
}

impl Job {
    /// Assigns an item to an engine if it is due and an engine qualifies.
    pub(super) fn assign(
        &mut self,
        item: usize,
        now: Time,
        engines: &mut Engines,
    ) -> Option<Assignment> {
        let status = &mut self.statuses[item];
        let waiting_since = match status.state {
            State::Waiting { not_before } if not_before <= now => not_before.max(self.started_at),
            _ => return None,
        };
        let (min, model) = (self.spec.min_version, &self.spec.model);
        if status.text_complete && status.progress.can_continue(min, min, false) {
            status.state = State::Running { target: None };
            return Some(self.assignment(item, None));
        }
        let avoid = status.avoid.as_ref();
        let requirement = Requirement { model, min_version: min, avoid, allow_slow: false };
        let allow_slow = now >= waiting_since + SLOT_WAIT_MAX;
        let engine = engines.choose(now, &requirement).or_else(|| {
            engines
                .choose(now, &Requirement { avoid: None, allow_slow: true, ..requirement })
                .filter(|_| allow_slow)
        })?;
        let (target, version) = (engine.target.id.clone(), engine.version(model)?);
        if status.text_complete || !status.progress.can_continue(min, version, self.single_version)
        {
            status.progress = Progress::default();
            status.text_complete = false;
        }
        status.state = State::Running { target: Some(target.clone()) };
        engines.start_run(&target);
        Some(self.assignment(item, Some(target)))
    }

    fn assignment(&self, item: usize, target: Option<TargetId>) -> Assignment {
        let progress = self.statuses[item].progress.clone();
        let status = &self.statuses[item];
        let last_resort = target.is_some() && target == status.avoid;
        let judge_failures = status.judge_failures;
        Assignment {
            job: self.spec.id.clone(),
            item,
            target,
            progress,
            judge_failures,
            last_resort,
        }
    }

    /// Applies the outcome of a run to its item.
    pub(super) fn finish_run(&mut self, outcome: Outcome, now: Time) {
        let (item, max_attempts) = (outcome.item, self.max_attempts);
        let Some(status) = self.statuses.get_mut(item) else {
            return;
        };
        if !matches!(status.state, State::Running { .. }) {
            return;
        }
        status.progress = outcome.progress;
        status.text_complete = outcome.text_complete;
        status.judge_failures += outcome.judge_failures;
        status.avoid = None;
        status.state = State::Waiting { not_before: now };
        match outcome.end {
            End::Scored(score) => self.finish(item, true, score, now),
            End::JudgeFailed | End::Rejected => self.finish(item, false, None, now),
            End::Failed => {
                status.failures += 1;
                status.avoid = outcome.target;
                if status.failures >= max_attempts {
                    self.finish(item, false, None, now);
                }
            }
            End::Unjudged => status.state = State::Waiting { not_before: now + JUDGE_RETRY_DELAY },
            End::Broken | End::Slow | End::NotRun => status.avoid = outcome.target,
            End::Stopped => {}
        }
    }
}

/// Group number of each item. An item without a group forms its own.
fn group_numbers(spec: &Spec) -> Vec<usize> {
    let mut numbers: HashMap<&str, usize> = HashMap::new();
    let mut of_items = Vec::with_capacity(spec.items.len());
    for (at, item) in spec.items.iter().enumerate() {
        of_items.push(match &*item.group {
            "" => at,
            group => *numbers.entry(group).or_insert(at),
        });
    }
    of_items
}
