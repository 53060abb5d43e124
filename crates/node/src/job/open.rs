//! An open job: the states of its items and the rows that wait to be kept.

use std::{collections::HashMap, sync::Arc};

use crate::{
    events::Progress,
    job::{Assignment, Checkpoint, End, Engines, Outcome, Record, Requirement, Row, Spec},
    prelude::*,
};

/// Shorter texts are generated again as fast as they are read from the store.
const SAVED_EVENTS_MIN: u64 = 10;
/// Time for which an item waits for a place on an engine that is not slow.
const PATIENCE: Duration = Duration::from_millis(700);
/// Time until an item whose judge could not be reached is tried again.
const JUDGE_RETRY: Duration = Duration::from_millis(300);
/// Time by which a job goes behind one that is a rank more urgent and due at the same time.
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
    /// Its row waits to be kept.
    Finished(Box<Row>),
    /// Its row is being written.
    Writing(Box<Row>),
    /// Its row is in the store.
    Listed,
}

/// An item of an open job.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) state: State,
    pub(super) progress: Progress,
    /// The whole text was generated; only the score is missing.
    pub(super) whole: bool,
    /// Answers that count as failed attempts.
    pub(super) failures: u32,
    /// Failures (500) that its judge answered.
    judge_failures: u32,
    /// Target that broke or slowed the last run.
    pub(super) avoid: Option<TargetId>,
    /// Time at which its row was finished.
    pub(super) finished_at: Time,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<Spec>,
    pub record: Arc<Record>,
    pub single_version: bool,
    pub max_attempts: u32,
    /// Rank of the route, 0 is the most urgent.
    pub priority: u32,
    /// Time at which the results are due.
    pub due: Time,
    /// Time at which items are given up.
    pub expires: Time,
    /// Rows in the store.
    pub listed: u64,
    /// Chunks in the store.
    pub chunks: u64,
    /// Time at which its first item could start.
    pub(super) begun: Time,
    pub(super) slots: Vec<Slot>,
    /// Group of each item, by number.
    groups: Vec<usize>,
    /// Items in the order in which they start.
    pub(super) order: Vec<usize>,
    /// Fencing number of the write in progress.
    pub(super) writing: Option<Revision>,
}

impl Job {
    pub fn new(spec: Arc<Spec>, record: Record, due: Time, expires: Time) -> Self {
        let slot = Slot {
            state: State::Waiting { not_before: Time::ZERO },
            progress: Progress::default(),
            whole: false,
            failures: 0,
            judge_failures: 0,
            avoid: None,
            finished_at: Time::ZERO,
        };
        let slots = vec![slot; spec.items.len()];
        let mut order: Vec<usize> = (0..spec.items.len()).collect();
        // Long items decide when a group is whole, so they start first.
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
            begun: Time::MAX,
            slots,
            order,
            writing: None,
        }
    }

    /// Takes rows that are in the store already.
    pub fn restore(&mut self, rows: &[Row], chunks: u64) {
        self.chunks = chunks;
        self.writing = None;
        self.listed = rows.len() as u64;
        let index: HashMap<&str, usize> =
            self.spec.items.iter().enumerate().map(|(at, item)| (&*item.id, at)).collect();
        for slot in &mut self.slots {
            if let State::Writing(row) = &slot.state {
                slot.state = State::Finished(row.clone());
            }
        }
        for row in rows {
            if let Some(&at) = index.get(&*row.item) {
                self.slots[at].state = State::Listed;
            }
        }
    }

    /// Takes texts that an earlier leader saved, where they are longer than those known here.
    pub fn resume(&mut self, saved: Vec<Checkpoint>) {
        for saved in saved {
            let Some(slot) = self.slot_mut(&saved.item) else {
                continue;
            };
            let waits = matches!(slot.state, State::Waiting { .. });
            if waits && saved.progress.last_event > slot.progress.last_event {
                (slot.progress, slot.whole) = (saved.progress, saved.whole);
            }
        }
    }

    /// Events of an item so far, as last told.
    pub fn events(&self, item: usize) -> u64 {
        self.slots.get(item).map_or(0, |slot| slot.progress.last_event)
    }

    /// Takes the text so far of an item that runs.
    pub fn progress(&mut self, item: usize, progress: Progress) {
        if let Some(slot) = self.slots.get_mut(item)
            && matches!(slot.state, State::Running { .. })
        {
            slot.progress = progress;
        }
    }

    /// Unfinished texts that are worth saving, up to a number of bytes.
    pub fn texts(&self, bytes_max: usize) -> Vec<Checkpoint> {
        let mut bytes = 0;
        let open = self.spec.items.iter().zip(&self.slots).filter(|(_, slot)| {
            matches!(slot.state, State::Waiting { .. } | State::Running { .. })
                && slot.progress.last_event >= SAVED_EVENTS_MIN
        });
        let saved = open.map(|(item, slot)| Checkpoint {
            item: item.id.clone(),
            progress: slot.progress.clone(),
            whole: slot.whole,
        });
        saved
            .take_while(|saved| {
                bytes += saved.progress.text.len();
                bytes <= bytes_max
            })
            .collect()
    }

    /// Whether every item is listed.
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.state == State::Listed)
    }

    /// Due time, later for less urgent jobs.
    pub(super) fn rank(&self) -> Time {
        self.due + PRIORITY_DELAY.saturating_mul(self.priority)
    }

    pub(super) fn slot_mut(&mut self, id: &str) -> Option<&mut Slot> {
        let at = self.spec.items.iter().position(|item| &*item.id == id)?;
        self.slots.get_mut(at)
    }

    /// Whether an item waits for a place.
    pub fn waits(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot.state, State::Waiting { .. }))
    }

    /// Items of which the row waits to be listed and may be: those of whole groups, and those that were finished by a time.
    pub(super) fn listable(&self, finished_by: Time) -> Vec<usize> {
        let mut whole = vec![true; self.slots.len()];
        for (slot, &group) in self.slots.iter().zip(&self.groups) {
            whole[group] &= !matches!(slot.state, State::Waiting { .. } | State::Running { .. });
        }
        let listable =
            self.slots.iter().zip(&self.groups).enumerate().filter(|(_, (slot, group))| {
                matches!(slot.state, State::Finished(_))
                    && (whole[**group] || slot.finished_at <= finished_by)
            });
        listable.map(|(item, _)| item).collect()
    }

    fn finish(&mut self, item: usize, done: bool, score: Option<Box<str>>, now: Time) {
        let row = self.row(item, done, score);
        let slot = &mut self.slots[item];
        slot.state = State::Finished(row);
        slot.finished_at = now;
    }

    fn row(&self, item: usize, done: bool, score: Option<Box<str>>) -> Box<Row> {
        let progress = &self.slots[item].progress;
        let (text, versions) = if done {
            (progress.text.as_str().into(), progress.versions.iter().copied().collect())
        } else {
            ("".into(), Vec::new())
        };
        Box::new(Row { item: self.spec.items[item].id.clone(), done, text, versions, score })
    }

    pub(super) fn give_up_expired(&mut self, now: Time) {
        if now < self.expires {
            return;
        }
        for item in 0..self.slots.len() {
            if matches!(self.slots[item].state, State::Waiting { .. }) {
                self.finish(item, false, None, now);
            }
        }
    }
}

impl Job {
    pub(super) fn start(
        &mut self,
        item: usize,
        now: Time,
        engines: &mut Engines,
    ) -> Option<Assignment> {
        let slot = &mut self.slots[item];
        let waiting_since = match slot.state {
            State::Waiting { not_before } if not_before <= now => not_before.max(self.begun),
            _ => return None,
        };
        let (min, model) = (self.spec.min_version, &self.spec.model);
        if slot.whole && slot.progress.can_continue(min, min, false) {
            slot.state = State::Running { target: None };
            return Some(self.order_of(item, None));
        }
        let avoid = slot.avoid.as_ref();
        let wish = Requirement { model, min_version: min, avoid, urgent: false };
        let urgent = now >= waiting_since + PATIENCE;
        let engine = engines.choose(now, &wish).or_else(|| {
            engines
                .choose(now, &Requirement { avoid: None, urgent: true, ..wish })
                .filter(|_| urgent)
        })?;
        let (target, version) = (engine.target.id.clone(), engine.version(model)?);
        if slot.whole || !slot.progress.can_continue(min, version, self.single_version) {
            slot.progress = Progress::default();
            slot.whole = false;
        }
        slot.state = State::Running { target: Some(target.clone()) };
        engines.started(&target);
        Some(self.order_of(item, Some(target)))
    }

    fn order_of(&self, item: usize, target: Option<TargetId>) -> Assignment {
        let progress = self.slots[item].progress.clone();
        let slot = &self.slots[item];
        let last_resort = target.is_some() && target == slot.avoid;
        let judge_failures = slot.judge_failures;
        Assignment {
            job: self.spec.id.clone(),
            item,
            target,
            progress,
            judge_failures,
            last_resort,
        }
    }

    pub(super) fn ended(&mut self, outcome: Outcome, now: Time) {
        let (item, max_attempts) = (outcome.item, self.max_attempts);
        let Some(slot) = self.slots.get_mut(item) else {
            return;
        };
        if !matches!(slot.state, State::Running { .. }) {
            return;
        }
        slot.progress = outcome.progress;
        slot.whole = outcome.text_complete;
        slot.judge_failures += outcome.judge_failures;
        slot.avoid = None;
        slot.state = State::Waiting { not_before: now };
        match outcome.end {
            End::Scored(score) => self.finish(item, true, score, now),
            End::JudgeFailed | End::Rejected => self.finish(item, false, None, now),
            End::Failed => {
                slot.failures += 1;
                slot.avoid = outcome.target;
                if slot.failures >= max_attempts {
                    self.finish(item, false, None, now);
                }
            }
            End::Unjudged => slot.state = State::Waiting { not_before: now + JUDGE_RETRY },
            End::Broken | End::Slow | End::NotRun => slot.avoid = outcome.target,
            End::Stopped => {}
        }
    }
}

/// Number of each item's group. An item without a group is one by itself.
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
