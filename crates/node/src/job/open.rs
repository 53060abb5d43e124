//! An open job: the state of its items and the rows that are not persisted yet.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use crate::{
    events::Progress,
    job::{
        Checkpoint, Doubt, Policy, Record, Row, Spec,
        status::{ItemStatus, State},
    },
    length::{Estimate, Trainer},
    prelude::*,
};

/// Minimum length of a checkpoint; a shorter text is generated again as fast as it is read from the store.
const CHECKPOINT_EVENTS_MIN: u64 = 10;
/// Delay of a job's due time for each rank of lower priority.
const PRIORITY_DELAY: Duration = Duration::from_millis(1500);
/// Tolerated clock skew between hosts when items expire.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(4);

/// Waiting items, indexed by what they wait for.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Items that may not start before a time.
    pub(super) delayed: BTreeSet<(Time, usize)>,
    /// Positions in the start order of items that need an engine.
    pub(super) ready: BTreeSet<usize>,
    /// Items that need only their score.
    pub(super) unjudged: BTreeSet<usize>,
}

impl Waiting {
    pub(super) fn len(&self) -> usize {
        self.delayed.len() + self.ready.len() + self.unjudged.len()
    }
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<Spec>,
    pub record: Arc<Record>,
    pub policy: Policy,
    pub(super) submitted_at: Time,
    /// Time at which the results are due.
    pub due: Time,
    /// Time at which waiting items expire.
    expires: Time,
    /// Rows in the store, which trainers can list.
    pub listed: u64,
    /// Chunks in the store.
    pub chunks: u64,
    /// It cannot be complete in time, so it gets only slots that no other job can use.
    pub(super) deferred: bool,
    /// Lengths of the trainer's texts, once any are known.
    pub(super) lengths: Option<Estimate>,
    /// It has no workspace and needs one, so runners would refuse its items.
    pub(super) unowned: bool,
    /// Time at which its first item could start.
    pub(super) started_at: Time,
    pub(super) statuses: Vec<ItemStatus>,
    /// Group number of each item.
    pub(super) groups: Vec<usize>,
    /// Items without a result, by group number.
    open_in_group: BTreeMap<usize, usize>,
    /// Items that an earlier job of the trainer did not complete.
    pub(super) resubmitted: BTreeSet<usize>,
    /// Items in start order.
    pub(super) order: Vec<usize>,
    /// Position of each item in the start order.
    pub(super) positions: Vec<usize>,
    pub(super) waiting: Waiting,
    /// Items whose rows are not being written yet.
    finished: BTreeSet<usize>,
    /// Items whose rows are being written.
    in_write: Vec<usize>,
    /// Fencing token of the write in progress.
    pub(super) writing: Option<Revision>,
}

impl Job {
    pub fn new(spec: Arc<Spec>, record: Record, policy: Policy, submitted_at: Time) -> Self {
        let status = ItemStatus {
            state: State::Waiting { not_before: Time::ZERO },
            progress: Progress::default(),
            events_at_runner: 0,
            text_complete: false,
            failures: 0,
            judge_failures: 0,
            avoid: None,
            is_unreached: false,
            doubt: Doubt::default(),
            finished_at: Time::ZERO,
            contact_at: Time::ZERO,
            attempts: 0,
        };
        let statuses = vec![status; spec.items.len()];
        let groups = group_numbers(&spec);
        let mut open_in_group = BTreeMap::new();
        for group in &groups {
            *open_in_group.entry(*group).or_default() += 1;
        }
        let delayed = (0..spec.items.len()).map(|item| (Time::ZERO, item)).collect();
        let mut job = Self {
            groups,
            open_in_group,
            spec,
            record: Arc::new(record),
            policy,
            submitted_at,
            lengths: None,
            due: Time::ZERO,
            expires: Time::ZERO,
            listed: 0,
            chunks: 0,
            deferred: false,
            unowned: false,
            started_at: Time::MAX,
            statuses,
            resubmitted: BTreeSet::new(),
            order: Vec::new(),
            positions: Vec::new(),
            waiting: Waiting { delayed, ..Waiting::default() },
            finished: BTreeSet::new(),
            in_write: Vec::new(),
            writing: None,
        };
        job.set_policy(policy);
        job.sort();
        job
    }

    /// Replaces the policy, and the times that follow from it.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        self.due = self.submitted_at + policy.deadline();
        self.expires = self.submitted_at + policy.item_ttl() + CLOCK_SKEW_MAX;
    }

    /// Marks the items of persisted rows as listed. A write in progress no longer counts.
    pub fn restore(&mut self, rows: &[Row], chunks: u64) {
        self.chunks = chunks;
        self.writing = None;
        self.listed = rows.len() as u64;
        self.finish_write(false);
        let index: HashMap<&str, usize> =
            self.spec.items.iter().enumerate().map(|(at, item)| (&*item.id, at)).collect();
        let listed: Vec<usize> =
            rows.iter().filter_map(|row| index.get(&*row.item).copied()).collect();
        for item in listed {
            self.set_state(item, State::Listed);
        }
    }

    /// Starts the items of an earlier job that was not completed before all others: the trainer waits for their groups,
    /// and they have proved to be long.
    pub(super) fn set_resubmitted(&mut self, items: BTreeSet<usize>) {
        self.resubmitted = items;
        self.sort();
    }

    /// Defers the job or takes the deferral back.
    pub(super) fn set_deferred(&mut self, deferred: bool) {
        if std::mem::replace(&mut self.deferred, deferred) != deferred {
            self.sort();
        }
    }

    /// Trainer of the job, as far as it can be told from others.
    pub(super) fn trainer(&self) -> Trainer {
        (self.record.workspace.clone(), self.spec.model.clone())
    }

    /// Events of an item's text, as last reported.
    pub fn events(&self, item: usize) -> u64 {
        self.statuses.get(item).map_or(0, ItemStatus::events)
    }

    /// Records the number of events of a running item whose text a runner keeps.
    pub fn set_events(&mut self, item: usize, events: u64) {
        if let Some(status) = self.statuses.get_mut(item) {
            status.events_at_runner = events;
        }
    }

    /// Replaces the text of a running item.
    pub fn set_progress(&mut self, item: usize, progress: Progress) {
        if let Some(status) = self.statuses.get_mut(item)
            && matches!(status.state, State::Running { .. })
        {
            status.progress = progress;
        }
    }

    /// Checkpoints of unfinished items, except those whose text another host has, up to `bytes_max` of text.
    pub fn checkpoints(
        &self,
        has_copy: impl Fn(usize) -> bool,
        bytes_max: usize,
    ) -> Vec<Checkpoint> {
        let mut bytes = 0;
        let open = self.statuses.iter().enumerate().filter(|(item, status)| {
            status.state.is_open()
                && status.progress.last_event >= CHECKPOINT_EVENTS_MIN
                && !has_copy(*item)
        });
        let with_item = open.map(|(item, status)| (&self.spec.items[item], status));
        let checkpoints = with_item.map(|(item, status)| Checkpoint {
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

    /// Order among jobs: those with a lower rank start first. A job's due time is delayed by its priority.
    pub(super) fn rank(&self) -> (bool, Time) {
        (self.deferred, self.due + PRIORITY_DELAY.saturating_mul(self.policy.priority))
    }

    /// Whether an item is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        self.waiting.len() > 0
    }

    /// Whether a finished row is not persisted yet.
    pub(super) fn has_unpersisted_rows(&self) -> bool {
        !self.finished.is_empty() || !self.in_write.is_empty()
    }

    /// Finished items whose rows may be written: those of complete groups, those finished by `finished_by`, and those given
    /// up, which run again if this leader is lost before.
    pub(super) fn listable(&self, finished_by: Time) -> Vec<usize> {
        let is_listable = |item: &usize| {
            let status = &self.statuses[*item];
            self.open_in_group.get(&self.groups[*item]) == Some(&0)
                || status.finished_at <= finished_by
                || matches!(&status.state, State::Finished(row) if !row.done)
        };
        self.finished.iter().copied().filter(is_listable).collect()
    }

    /// Begins to write an item's row under a fencing token, and returns the row.
    pub(super) fn begin_write(&mut self, item: usize, fence: Revision) -> Option<Row> {
        let State::Finished(row) = &self.statuses[item].state else {
            return None;
        };
        let row = row.clone();
        self.writing = Some(fence);
        self.set_state(item, State::Writing(row.clone()));
        Some(*row)
    }

    /// Ends the write of rows, which were persisted or certainly not. Returns their number.
    pub(super) fn finish_write(&mut self, persisted: bool) -> u64 {
        let items = std::mem::take(&mut self.in_write);
        let count = items.len() as u64;
        for item in items {
            let status = &mut self.statuses[item];
            let State::Writing(row) = &status.state else {
                continue;
            };
            let state = if persisted { State::Listed } else { State::Finished(row.clone()) };
            if persisted {
                status.progress = Progress::default();
            }
            self.set_state(item, state);
        }
        count
    }

    pub(super) fn finish(&mut self, item: usize, done: bool, score: Option<Box<str>>, now: Time) {
        let row = self.row(item, done, score);
        self.statuses[item].finished_at = now;
        self.set_state(item, State::Finished(row));
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

    /// Changes the state of an item and the indexes that depend on it.
    pub(super) fn set_state(&mut self, item: usize, state: State) {
        self.statuses[item].events_at_runner = 0;
        let before = std::mem::replace(&mut self.statuses[item].state, state);
        match &before {
            State::Waiting { not_before } => {
                self.waiting.delayed.remove(&(*not_before, item));
                self.waiting.ready.remove(&self.positions[item]);
                self.waiting.unjudged.remove(&item);
            }
            State::Finished(_) => {
                self.finished.remove(&item);
            }
            State::Running { .. } | State::Writing(_) | State::Listed => {}
        }
        let after = &self.statuses[item].state;
        let open = self.open_in_group.entry(self.groups[item]).or_default();
        match (before.is_open(), after.is_open()) {
            (true, false) => *open = open.saturating_sub(1),
            (false, true) => *open += 1,
            _ => {}
        }
        match after {
            State::Waiting { not_before } => {
                self.waiting.delayed.insert((*not_before, item));
            }
            State::Finished(_) => {
                self.finished.insert(item);
            }
            State::Writing(_) => self.in_write.push(item),
            State::Running { .. } | State::Listed => {}
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
