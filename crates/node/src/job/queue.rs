//! Open jobs of a leader and the order in which their items start.

use std::collections::{BTreeMap, HashMap};

use crate::{
    dialect::Strategy,
    events::Progress,
    job::{
        Assignment, End, Engines, Job, Outcome, Row,
        open::{ItemStatus, State},
    },
    prelude::*,
};

/// Time for which the partial texts of an ended job are retained, because its unfinished groups come back in a later
/// job.
const TEXT_RETENTION: Duration = Duration::from_secs(20);

/// Open jobs.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: BTreeMap<JobId, Job>,
    /// Texts of unfinished items of ended jobs, with their expiry and whether the text is complete.
    retained: HashMap<ItemId, (Time, Progress, bool)>,
}

impl Queue {
    pub fn insert(&mut self, mut job: Job) {
        let mut resumed = Vec::new();
        for (at, item) in job.spec.items.iter().enumerate() {
            if let Some((_, progress, text_complete)) = self.retained.remove(&item.id) {
                job.statuses[at].progress = progress;
                job.statuses[at].text_complete = text_complete;
                resumed.push(at);
            }
        }
        // Resubmitted items go first: the trainer waits for their groups, and they have proved to be long.
        job.order.sort_by_key(|at| !resumed.contains(at));
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

    /// Removes a job and retains the texts of its unlisted items.
    pub fn remove(&mut self, id: &str, now: Time) {
        self.retained.retain(|_, (expires, _, _)| *expires > now);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (item, status) in job.spec.items.iter().zip(job.statuses) {
            if status.state != State::Listed && status.progress.last_event > 0 {
                self.retained.insert(
                    item.id.clone(),
                    (now + TEXT_RETENTION, status.progress, status.text_complete),
                );
            }
        }
    }

    /// Assigns the next item to an engine: jobs by due time and priority, and within a job the longest item first.
    pub fn assign_next(&mut self, now: Time, engines: &mut Engines) -> Option<Assignment> {
        let mut ids: Vec<(Time, JobId)> =
            self.jobs.values().map(|job| (job.rank(), job.spec.id.clone())).collect();
        ids.sort_unstable();
        ids.into_iter().find_map(|(_, id)| self.assign_next_of(&id, now, engines))
    }

    fn assign_next_of(
        &mut self,
        id: &JobId,
        now: Time,
        engines: &mut Engines,
    ) -> Option<Assignment> {
        let job = self.jobs.get_mut(id)?;
        job.started_at = job.started_at.min(now);
        job.expire_items(now);
        let order = std::mem::take(&mut job.order);
        let assignment = order.iter().find_map(|&item| job.assign(item, now, engines));
        job.order = order;
        assignment
    }

    /// Applies the outcome of a run to its engine and its item.
    pub fn finish_run(&mut self, outcome: Outcome, now: Time, engines: &mut Engines) {
        if let Some(target) = &outcome.target {
            engines.finish_run(target, now, outcome.pace);
            if matches!(outcome.end, End::NotRun | End::Broken) {
                engines.back_off(target, now);
            }
        }
        match self.jobs.get_mut(&outcome.job) {
            Some(job) => job.finish_run(outcome, now),
            None => self.retain_text(outcome, now),
        }
    }

    /// Retains the text of a run that was stopped because its job ended.
    fn retain_text(&mut self, outcome: Outcome, now: Time) {
        if outcome.progress.last_event == 0 {
            return;
        }
        let text = (now + TEXT_RETENTION, outcome.progress, outcome.text_complete);
        let open = self.jobs.values_mut().find_map(|job| job.status_mut(&outcome.item_id));
        match open {
            // The item was resubmitted before its run had stopped.
            Some(status) if matches!(status.state, State::Waiting { .. }) => {
                (status.progress, status.text_complete) = (text.1, text.2);
            }
            Some(_) => {}
            None => {
                self.retained.insert(outcome.item_id, text);
            }
        }
    }

    /// Takes the rows of the next chunk of a job, to be written under a fencing token: rows of complete groups and rows
    /// finished by `finished_by`, up to `bytes_max` but at least one. Returns none while a write of the job is in
    /// progress.
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
            let status = &mut job.statuses[item];
            let State::Finished(row) = &status.state else {
                continue;
            };
            bytes += row.text.len();
            if bytes > bytes_max && !rows.is_empty() {
                break;
            }
            rows.push((**row).clone());
            status.state = State::Writing(row.clone());
        }
        job.writing = (!rows.is_empty()).then_some(fence);
        rows
    }

    /// Ends the write of chunk `number`: its rows were persisted or (`false`) certainly not. Has no effect on a write
    /// that began before the job was read again.
    pub fn finish_write(&mut self, id: &str, fence: Revision, number: u64, persisted: bool) {
        let is_current = |job: &&mut Job| job.writing == Some(fence) && job.chunks == number;
        let Some(job) = self.jobs.get_mut(id).filter(is_current) else {
            return;
        };
        job.writing = None;
        let mut count = 0;
        for status in &mut job.statuses {
            if let State::Writing(row) = &status.state {
                status.state = if persisted { State::Listed } else { State::Finished(row.clone()) };
                if persisted {
                    status.progress = Progress::default();
                    count += 1;
                }
            }
        }
        if persisted {
            job.listed += count;
            job.chunks += 1;
        }
    }

    /// Whether a finished row is not persisted yet.
    pub fn has_unpersisted_rows(&self) -> bool {
        let unlisted =
            |status: &ItemStatus| matches!(status.state, State::Finished(_) | State::Writing(_));
        self.jobs.values().any(|job| job.statuses.iter().any(unlisted))
    }

    /// Whether an item is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        self.jobs.values().any(Job::has_waiting)
    }

    /// How engines treat their runs when a new version is loaded.
    pub fn strategy(&self) -> Strategy {
        let single = |id: &JobId| self.get(id).is_some_and(|job| job.single_version);
        if self.ids().iter().any(single) { Strategy::Wait } else { Strategy::Keep }
    }
}
