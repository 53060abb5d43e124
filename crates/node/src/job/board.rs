//! Open jobs of a leader: states of their items, the order in which items run, and rows that wait to be kept.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::{
    events::Progress,
    job::{Engines, Record, Row, Saved, Spec, Wish},
    prelude::*,
};

/// Time for which the text of an ended job's items is remembered, as unfinished groups come back in a later job.
const CARRY_MEMORY: Duration = Duration::from_secs(20);
/// Shorter texts are generated again as fast as they are read from the store.
const SAVED_EVENTS_MIN: u64 = 10;
/// Time by which a job goes behind one that is a rank more urgent and due at the same time.
const PRIORITY_DELAY: Duration = Duration::from_millis(1500);
/// Time for which an item waits for a place on an engine that is not slow.
const PATIENCE: Duration = Duration::from_millis(700);
/// Time until an item whose judge could not be reached is tried again.
const JUDGE_RETRY: Duration = Duration::from_millis(300);

/// State of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
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
struct Slot {
    state: State,
    progress: Progress,
    /// The whole text was generated; only the score is missing.
    whole: bool,
    /// Answers that count as failed attempts.
    failures: u32,
    /// Target that broke or slowed the last run.
    avoid: Option<TargetId>,
}

/// An open job.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<Spec>,
    pub record: Record,
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
    begun: Time,
    slots: Vec<Slot>,
    /// Items in the order in which they start.
    order: Vec<usize>,
    /// Fencing number of the write in progress.
    writing: Option<Revision>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The text is whole, with its score if the item has a judge.
    Scored(Option<Box<str>>),
    /// The text is whole, but its judge gave no score.
    Unjudged,
    /// The judge failed as often as the route allows.
    JudgeFailed,
    /// The engine did not run it.
    NotRun,
    /// The connection or the stream broke.
    Broken,
    /// The engine was slower than the others.
    Slow,
    /// The engine answered with a failure of its own.
    Failed,
    /// The engine says that the item can never be done.
    Rejected,
    /// The run was stopped here.
    Stopped,
}

impl Ended {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Unjudged => "unjudged",
            Self::JudgeFailed => "judge_failed",
            Self::NotRun => "not_run",
            Self::Broken => "broken",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
            Self::Stopped => "stopped",
        }
    }
}

/// End of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub job: JobId,
    pub item: usize,
    pub item_id: ItemId,
    pub target: Option<TargetId>,
    pub ended: Ended,
    pub progress: Progress,
    pub whole: bool,
    /// Time per event, if there was any.
    pub pace: Option<Duration>,
}

/// Order to run an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    pub job: JobId,
    pub item: usize,
    /// `None` if only the score is missing.
    pub target: Option<TargetId>,
    pub progress: Progress,
    /// No other engine has a place, so the item stays however slow it is.
    pub last_resort: bool,
}

impl Job {
    pub fn new(spec: Arc<Spec>, record: Record, due: Time, expires: Time) -> Self {
        let slot = Slot {
            state: State::Waiting { not_before: Time::ZERO },
            progress: Progress::default(),
            whole: false,
            failures: 0,
            avoid: None,
        };
        let slots = vec![slot; spec.items.len()];
        let mut order: Vec<usize> = (0..spec.items.len()).collect();
        // Long items decide when a group is whole, so they start first.
        order.sort_by_key(|&item| std::cmp::Reverse(spec.items[item].length_hint));
        Self {
            spec,
            record,
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
    pub fn resume(&mut self, saved: Vec<Saved>) {
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

    /// Takes the text so far of an item that runs.
    pub fn progress(&mut self, item: usize, progress: Progress) {
        if let Some(slot) = self.slots.get_mut(item)
            && matches!(slot.state, State::Running { .. })
        {
            slot.progress = progress;
        }
    }

    /// Unfinished texts that are worth saving, up to a number of bytes.
    pub fn texts(&self, bytes_max: usize) -> Vec<Saved> {
        let mut bytes = 0;
        let open = self.spec.items.iter().zip(&self.slots).filter(|(_, slot)| {
            matches!(slot.state, State::Waiting { .. } | State::Running { .. })
                && slot.progress.last_event >= SAVED_EVENTS_MIN
        });
        let saved = open.map(|(item, slot)| Saved {
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
    fn rank(&self) -> Time {
        self.due + PRIORITY_DELAY.saturating_mul(self.priority)
    }

    fn slot_mut(&mut self, id: &str) -> Option<&mut Slot> {
        let at = self.spec.items.iter().position(|item| &*item.id == id)?;
        self.slots.get_mut(at)
    }

    /// Whether an item waits for a place.
    pub fn waits(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot.state, State::Waiting { .. }))
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

    fn give_up_expired(&mut self, now: Time) {
        if now < self.expires {
            return;
        }
        for item in 0..self.slots.len() {
            if matches!(self.slots[item].state, State::Waiting { .. }) {
                self.slots[item].state = State::Finished(self.row(item, false, None));
            }
        }
    }
}

/// Open jobs.
#[derive(Debug, Default)]
pub struct Board {
    jobs: BTreeMap<JobId, Job>,
    /// Texts of items of ended jobs, with the time at which they are forgotten.
    carried: HashMap<ItemId, (Time, Progress, bool)>,
}

impl Board {
    pub fn insert(&mut self, mut job: Job) {
        let mut came_back = Vec::new();
        for (at, item) in job.spec.items.iter().enumerate() {
            if let Some((_, progress, whole)) = self.carried.remove(&item.id) {
                job.slots[at].progress = progress;
                job.slots[at].whole = whole;
                came_back.push(at);
            }
        }
        // The trainer waits for the groups that it asks for again, and their items have proved to be long.
        job.order.sort_by_key(|at| !came_back.contains(at));
        self.jobs.insert(job.spec.id.clone(), job);
    }

    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    pub fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Forgets a job that has ended; the texts of its unlisted items are remembered for a while.
    pub fn end(&mut self, id: &str, now: Time) {
        self.carried.retain(|_, (end, _, _)| *end > now);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (item, slot) in job.spec.items.iter().zip(job.slots) {
            if slot.state != State::Listed && slot.progress.last_event > 0 {
                self.carried
                    .insert(item.id.clone(), (now + CARRY_MEMORY, slot.progress, slot.whole));
            }
        }
    }

    /// The next item to run: jobs go by their due time and priority, and in a job the longest item goes first.
    pub fn next(&mut self, now: Time, engines: &mut Engines) -> Option<Start> {
        let mut ids: Vec<(Time, JobId)> =
            self.jobs.values().map(|job| (job.rank(), job.spec.id.clone())).collect();
        ids.sort_unstable();
        ids.into_iter().find_map(|(_, id)| self.next_of(&id, now, engines))
    }

    fn next_of(&mut self, id: &JobId, now: Time, engines: &mut Engines) -> Option<Start> {
        let job = self.jobs.get_mut(id)?;
        job.begun = job.begun.min(now);
        job.give_up_expired(now);
        let order = std::mem::take(&mut job.order);
        let start = order.iter().find_map(|&item| job.start(item, now, engines));
        job.order = order;
        start
    }

    /// Takes the end of a run.
    pub fn ended(&mut self, outcome: Outcome, now: Time, engines: &mut Engines) {
        if let Some(target) = &outcome.target {
            engines.finished(target, now, outcome.pace);
            if matches!(outcome.ended, Ended::NotRun | Ended::Broken) {
                engines.block(target, now);
            }
        }
        match self.jobs.get_mut(&outcome.job) {
            Some(job) => job.ended(outcome, now),
            None => self.carry(outcome, now),
        }
    }

    /// Remembers the text of a run that was stopped because its job ended.
    fn carry(&mut self, outcome: Outcome, now: Time) {
        if outcome.progress.last_event == 0 {
            return;
        }
        let text = (now + CARRY_MEMORY, outcome.progress, outcome.whole);
        let open = self.jobs.values_mut().find_map(|job| job.slot_mut(&outcome.item_id));
        match open {
            // The item came back before its run had stopped.
            Some(slot) if matches!(slot.state, State::Waiting { .. }) => {
                (slot.progress, slot.whole) = (text.1, text.2);
            }
            Some(_) => {}
            None => {
                self.carried.insert(outcome.item_id, text);
            }
        }
    }

    /// Rows of a job that wait to be kept, as many as fit, to be written under a fencing number. Until the write has
    /// ended, no others are given.
    pub fn take_rows(&mut self, id: &str, fence: Revision, bytes_max: usize) -> Vec<Row> {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.writing.is_none()) else {
            return Vec::new();
        };
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for slot in &mut job.slots {
            let State::Finished(row) = &slot.state else {
                continue;
            };
            bytes += row.text.len();
            if bytes > bytes_max && !rows.is_empty() {
                break;
            }
            rows.push((**row).clone());
            slot.state = State::Writing(row.clone());
        }
        job.writing = (!rows.is_empty()).then_some(fence);
        rows
    }

    /// The rows that were given for chunk `number` are in the store, or (`false`) certainly not. The end of a write that
    /// was begun before the job was read again does not count.
    pub fn wrote(&mut self, id: &str, fence: Revision, number: u64, kept: bool) {
        let begun = |job: &&mut Job| job.writing == Some(fence) && job.chunks == number;
        let Some(job) = self.jobs.get_mut(id).filter(begun) else {
            return;
        };
        job.writing = None;
        let mut count = 0;
        for slot in &mut job.slots {
            if let State::Writing(row) = &slot.state {
                slot.state = if kept { State::Listed } else { State::Finished(row.clone()) };
                if kept {
                    slot.progress = Progress::default();
                    count += 1;
                }
            }
        }
        if kept {
            job.listed += count;
            job.chunks += 1;
        }
    }

    /// Items that run now and their jobs.
    pub fn running(&self) -> usize {
        let running = |slot: &&Slot| matches!(slot.state, State::Running { .. });
        self.jobs.values().map(|job| job.slots.iter().filter(running).count()).sum()
    }

    /// Whether a row waits to be kept or is being written.
    pub fn has_rows(&self) -> bool {
        let open = |slot: &Slot| matches!(slot.state, State::Finished(_) | State::Writing(_));
        self.jobs.values().any(|job| job.slots.iter().any(open))
    }

    /// Whether an item waits for a place.
    pub fn waits(&self) -> bool {
        self.jobs.values().any(Job::waits)
    }
}

impl Job {
    fn start(&mut self, item: usize, now: Time, engines: &mut Engines) -> Option<Start> {
        let slot = &mut self.slots[item];
        let waiting_since = match slot.state {
            State::Waiting { not_before } if not_before <= now => not_before.max(self.begun),
            _ => return None,
        };
        let (min, model) = (self.spec.min_version, &self.spec.model);
        if slot.whole && slot.progress.fits(min, min, false) {
            slot.state = State::Running { target: None };
            return Some(self.order_of(item, None));
        }
        let avoid = slot.avoid.as_ref();
        let wish = Wish { model, min_version: min, avoid, urgent: false };
        let urgent = now >= waiting_since + PATIENCE;
        let engine = engines.choose(now, &wish).or_else(|| {
            engines.choose(now, &Wish { avoid: None, urgent: true, ..wish }).filter(|_| urgent)
        })?;
        let (target, version) = (engine.target.id.clone(), engine.version(model)?);
        if slot.whole || !slot.progress.fits(min, version, self.single_version) {
            slot.progress = Progress::default();
            slot.whole = false;
        }
        slot.state = State::Running { target: Some(target.clone()) };
        engines.started(&target);
        Some(self.order_of(item, Some(target)))
    }

    fn order_of(&self, item: usize, target: Option<TargetId>) -> Start {
        let progress = self.slots[item].progress.clone();
        let last_resort = target.is_some() && target == self.slots[item].avoid;
        Start { job: self.spec.id.clone(), item, target, progress, last_resort }
    }

    fn ended(&mut self, outcome: Outcome, now: Time) {
        let (item, max_attempts) = (outcome.item, self.max_attempts);
        let Some(slot) = self.slots.get_mut(item) else {
            return;
        };
        if !matches!(slot.state, State::Running { .. }) {
            return;
        }
        slot.progress = outcome.progress;
        slot.whole = outcome.whole;
        slot.avoid = None;
        slot.state = State::Waiting { not_before: now };
        match outcome.ended {
            Ended::Scored(score) => {
                self.slots[item].state = State::Finished(self.row(item, true, score));
            }
            Ended::JudgeFailed | Ended::Rejected => {
                self.slots[item].state = State::Finished(self.row(item, false, None));
            }
            Ended::Failed => {
                slot.failures += 1;
                slot.avoid = outcome.target;
                if slot.failures >= max_attempts {
                    self.slots[item].state = State::Finished(self.row(item, false, None));
                }
            }
            Ended::Unjudged => slot.state = State::Waiting { not_before: now + JUDGE_RETRY },
            Ended::Broken | Ended::Slow | Ended::NotRun => slot.avoid = outcome.target,
            Ended::Stopped => {}
        }
    }
}
