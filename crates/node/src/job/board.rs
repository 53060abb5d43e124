//! Open jobs of a leader and the order in which their items run.

use std::collections::{BTreeMap, HashMap};

use crate::{
    dialect::Strategy,
    events::Progress,
    job::{
        Assignment, End, Engines, Job, Outcome, Row,
        open::{Slot, State},
    },
    prelude::*,
};

/// Time for which the text of an ended job's items is remembered, as unfinished groups come back in a later job.
const CARRY_MEMORY: Duration = Duration::from_secs(20);

/// Open jobs.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<JobId, Job>,
    /// Texts of items of ended jobs, with the time at which they are forgotten.
    carried: HashMap<ItemId, (Time, Progress, bool)>,
}

impl Queue {
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

    pub fn len(&self) -> usize {
        self.jobs.len()
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
    pub fn next(&mut self, now: Time, engines: &mut Engines) -> Option<Assignment> {
        let mut ids: Vec<(Time, JobId)> =
            self.jobs.values().map(|job| (job.rank(), job.spec.id.clone())).collect();
        ids.sort_unstable();
        ids.into_iter().find_map(|(_, id)| self.next_of(&id, now, engines))
    }

    fn next_of(&mut self, id: &JobId, now: Time, engines: &mut Engines) -> Option<Assignment> {
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
            if matches!(outcome.end, End::NotRun | End::Broken) {
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
        let text = (now + CARRY_MEMORY, outcome.progress, outcome.text_complete);
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

    /// Rows of a job to be kept now, as many as fit, to be written under a fencing number: those of whole groups and those
    /// that were finished by a time. Until the write has ended, no others are given.
    pub fn take_rows(
        &mut self,
        id: &str,
        fence: Revision,
        finished_by: Time,
        bytes_max: usize,
    ) -> Vec<Row> {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.writing.is_none()) else {
            return Vec::new();
        };
        let (mut rows, mut bytes) = (Vec::new(), 0);
        for item in job.listable(finished_by) {
            let slot = &mut job.slots[item];
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

    /// Whether a row waits to be kept or is being written.
    pub fn has_rows(&self) -> bool {
        let open = |slot: &Slot| matches!(slot.state, State::Finished(_) | State::Writing(_));
        self.jobs.values().any(|job| job.slots.iter().any(open))
    }

    /// Whether an item waits for a place.
    pub fn waits(&self) -> bool {
        self.jobs.values().any(Job::waits)
    }

    /// What engines do with their runs at a change of version.
    pub fn strategy(&self) -> Strategy {
        let single = |id: &JobId| self.get(id).is_some_and(|job| job.single_version);
        if self.ids().iter().any(single) { Strategy::Wait } else { Strategy::Keep }
    }
}
