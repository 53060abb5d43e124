//! Open jobs of a leader and the order in which their items start.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use log::warn;

use crate::{
    config::Config,
    dialect::Strategy,
    events::Progress,
    job::{
        Assignment, Claim, End, Engines, Job, Origin, Outcome, Record, Row,
        isolation::{Isolated, guard},
        status::State,
        triage::{self, Load},
    },
    length::{self, Estimate},
    prelude::*,
    scale::Step,
};

/// Time for which the partial texts of an ended job are retained, because its unfinished groups come back in a later
/// job.
const TEXT_RETENTION: Duration = Duration::from_secs(20);
/// Interval at which it is decided anew which jobs are deferred.
const TRIAGE_INTERVAL: Duration = Duration::from_millis(200);

/// Open jobs.
#[derive(Debug, Default)]
pub struct Queue {
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Jobs in the order in which their items start.
    order: Vec<JobId>,
    /// The jobs have changed since the order was determined.
    order_outdated: bool,
    triaged_at: Time,
    isolated: Isolated,
    lengths: length::Table,
    /// Texts of unfinished items of ended jobs, with their expiry and whether the text is complete.
    retained: HashMap<Origin, (Time, Progress, bool)>,
}

impl Queue {
    pub fn insert(&mut self, mut job: Job) {
        let mut resubmitted = BTreeSet::new();
        for item in 0..job.spec.items.len() {
            let origin = job.origin(item);
            if let Some((_, progress, text_complete)) = self.retained.remove(&origin) {
                job.resume_item(&origin, progress, text_complete);
                resubmitted.insert(item);
            }
        }
        if !resubmitted.is_empty() {
            job.set_resubmitted(resubmitted);
        }
        self.jobs.insert(job.spec.id.clone(), job);
        self.order_outdated = true;
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
        self.order_outdated = true;
        for (item, status) in job.statuses.iter().enumerate() {
            if status.state != State::Listed && status.progress.last_event > 0 {
                let progress = status.progress.clone();
                let text = (now + TEXT_RETENTION, progress, status.text_complete);
                self.retained.insert(job.origin(item), text);
            }
        }
    }

    /// Applies a configuration to the jobs that do not know it yet.
    pub fn update_policies(&mut self, config: &Config) {
        for job in self.jobs.values_mut() {
            self.order_outdated |= update_policy(job, config);
        }
    }

    /// Applies a configuration to one job.
    pub fn update_policy(&mut self, id: &str, config: &Config) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.order_outdated |= update_policy(job, config);
        }
    }

    /// Assigns the next item to an engine: jobs by due time and priority, and within a job the longest item first.
    pub fn assign_next(&mut self, now: Time, engines: &mut Engines) -> Option<Assignment> {
        engines.advance(now);
        if self.order_outdated || now >= self.triaged_at + TRIAGE_INTERVAL {
            self.update_order(now, engines);
        }
        for id in &self.order {
            let job = self.jobs.get_mut(id)?;
            if let Some(assignment) = job.assign_next(now, engines) {
                return Some(assignment);
            }
        }
        None
    }

    /// Jobs with waiting items whose items start before those of a job.
    pub(super) fn jobs_ahead(&self, id: &str) -> usize {
        let before = self.order.iter().take_while(|other| ***other != *id);
        before.filter(|other| self.get(other).is_some_and(Job::has_waiting)).count()
    }

    /// Decides which jobs are deferred, and sorts all jobs.
    fn update_order(&mut self, now: Time, engines: &mut Engines) {
        let mut min_versions: BTreeMap<ModelId, Version> = BTreeMap::new();
        for job in self.jobs.values() {
            let min = min_versions.entry(job.spec.model.clone()).or_insert(job.spec.min_version);
            *min = job.spec.min_version.min(*min);
        }
        engines.set_demand(&min_versions);
        let loads = self.loads(engines.typical_pace());
        let deferred = deferred(now, &engines.slots_by_model(&min_versions), loads);
        let mut ranks = Vec::with_capacity(self.jobs.len());
        for (id, job) in &mut self.jobs {
            let lengths = self.lengths.estimate(&job.trainer());
            let rank = guard(id, || {
                job.set_deferred(deferred.contains(id));
                job.lengths = lengths;
                job.rank()
            });
            match rank {
                Some(rank) => ranks.push((rank, id.clone())),
                None => _ = self.isolated.insert(id.clone()),
            }
        }
        ranks.sort();
        self.order = ranks.into_iter().map(|(_, id)| id).collect();
        self.jobs.retain(|id, _| !self.isolated.contains(id));
        self.order_outdated = false;
        self.triaged_at = now;
    }

    /// Work of all jobs, by model; none before any text was finished.
    fn loads(&mut self, pace: Duration) -> BTreeMap<ModelId, Vec<Load>> {
        let mut loads: BTreeMap<ModelId, Vec<Load>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let Some(lengths) = self.lengths.estimate(&job.trainer()) else {
                return BTreeMap::new();
            };
            match guard(id, || job.load(pace, &lengths)) {
                Some(load) => loads.entry(job.spec.model.clone()).or_default().push(load),
                None => _ = self.isolated.insert(id.clone()),
            }
        }
        self.jobs.retain(|id, _| !self.isolated.contains(id));
        loads
    }

    /// Sets a job aside that this host cannot handle.
    pub fn isolate(&mut self, id: &JobId) {
        self.jobs.remove(id);
        self.isolated.insert(id.clone());
        self.order_outdated = true;
    }

    /// Whether a job is set aside.
    pub fn is_isolated(&self, id: &str) -> bool {
        self.isolated.contains(id)
    }

    /// Lengths of the texts of a job's trainer; `None` before any text was finished.
    fn lengths_of(&self, job: &Job) -> Option<Estimate> {
        self.lengths.estimate(&job.trainer())
    }

    /// Events that a job claims, and whether its trainer's own texts show it.
    pub fn claim(&self, job: &Job) -> Claim {
        let lengths = self.lengths_of(job).unwrap_or_default();
        Claim { events: job.whole_events(&lengths), is_measured: lengths.is_own }
    }

    /// The jobs as consumers of slots; none before a text was finished, as the events of a unit of a hint are unknown until then.
    pub fn steps(&self, engines: &Engines) -> Vec<Step> {
        let pace = engines.typical_pace();
        let step = |(id, job): (&JobId, &Job)| {
            let lengths = self.lengths_of(job)?;
            guard(id, || job.step(pace, &lengths))
        };
        self.jobs.iter().filter_map(step).collect()
    }

    /// Events that a running item's text is expected to lack; `None` before any text was finished.
    pub fn rest_events(&self, job: &str, item: usize) -> Option<f64> {
        let job = self.jobs.get(job)?;
        Some(job.rest_events(item, &self.lengths_of(job)?))
    }

    /// Gives the run of an assignment its id.
    pub fn begin_run(&mut self, assignment: &Assignment, id: u64) {
        if let Some(job) = self.jobs.get_mut(&assignment.job) {
            job.begin_run(assignment.item, id);
        }
    }

    /// Applies the outcome of a run to its engine and, if it is the present run of its item, to the item. Any other run
    /// ended late, and its text is offered to the item.
    pub fn finish_run(&mut self, outcome: Outcome, now: Time, engines: &mut Engines) {
        if let Some(target) = outcome.target.as_ref().filter(|_| outcome.holds_slot) {
            let failed = matches!(outcome.end, End::NotRun | End::Broken);
            // The pace of a run that failed would end the series of failures by which the backoff grows.
            engines.finish_run(target, now, outcome.pace.filter(|_| !failed));
            if failed {
                engines.back_off(target, now);
            } else if matches!(outcome.end, End::Failed | End::Rejected) {
                engines.heard(target, now);
            }
        }
        match self.jobs.get_mut(&outcome.job) {
            Some(job) => {
                let is_present = job.has_run(outcome.item, outcome.run);
                if matches!(outcome.end, End::Scored(_)) {
                    let hint = job.spec.items.get(outcome.item).and_then(|item| item.length_hint);
                    self.lengths.record(&job.trainer(), hint, outcome.progress.last_event);
                }
                if is_present {
                    job.finish_run(outcome, now);
                } else {
                    self.retain_text(outcome, now);
                }
            }
            None => self.retain_text(outcome, now),
        }
    }

    /// Retains the text of a run that was stopped because its job ended or was read again.
    fn retain_text(&mut self, outcome: Outcome, now: Time) {
        if outcome.progress.last_event > 0 {
            self.resume_item(outcome.origin, outcome.progress, outcome.text_complete, now);
        }
    }

    /// Continues an item from a text. If no open job has an item of this origin, the text is retained for a later one.
    pub fn resume_item(&mut self, origin: Origin, progress: Progress, complete: bool, now: Time) {
        let resumed = |job: &mut Job| job.resume_item(&origin, progress.clone(), complete);
        // The item may have been resubmitted before its run had stopped.
        if !self.jobs.values_mut().any(resumed) {
            self.retained.insert(origin, (now + TEXT_RETENTION, progress, complete));
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
            let State::Finished(row) = &job.statuses[item].state else {
                continue;
            };
            bytes += row.text.len();
            if bytes > bytes_max && !rows.is_empty() {
                break;
            }
            rows.extend(job.begin_write(item, fence));
        }
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
        let count = job.finish_write(persisted);
        if persisted {
            job.listed += count;
            job.chunks += 1;
        }
    }

    /// Whether a finished row is not persisted yet.
    pub fn has_unpersisted_rows(&self) -> bool {
        self.jobs.values().any(Job::has_unpersisted_rows)
    }

    /// Jobs with a finished row that no write in progress may precede.
    pub fn jobs_to_write(&self) -> Vec<JobId> {
        let is_due =
            |(_, job): &(&JobId, &Job)| job.writing.is_none() && job.has_unpersisted_rows();
        self.jobs.iter().filter(is_due).map(|(id, _)| id.clone()).collect()
    }

    /// Whether an item is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        self.jobs.values().any(Job::has_waiting)
    }

    /// How engines treat their runs when a new version is loaded.
    pub fn strategy(&self) -> Strategy {
        let single = self.jobs.values().any(|job| job.policy.single_version);
        if single { Strategy::Wait } else { Strategy::Keep }
    }
}

/// Jobs that cannot be complete in time, with the slots for each model. The slots of an engine count in equal parts for the
/// models that it serves.
fn deferred(
    now: Time,
    slots: &BTreeMap<ModelId, f64>,
    loads: BTreeMap<ModelId, Vec<Load>>,
) -> BTreeSet<JobId> {
    let of_model = |(model, loads): (ModelId, Vec<Load>)| {
        triage::deferred(now, slots.get(&model).copied().unwrap_or_default(), loads)
    };
    loads.into_iter().flat_map(of_model).collect()
}

/// Applies a configuration to a job. Returns whether its policy has changed.
fn update_policy(job: &mut Job, config: &Config) -> bool {
    let Record { host, path, workspace, .. } = &*job.record;
    let unowned = workspace.is_none() && config.needs_workspace(host, path);
    if unowned && !job.unowned {
        warn!(job = &*job.spec.id; "items of a job are not started: an earlier build has accepted it without a workspace");
    }
    job.unowned = unowned;
    let later = config.job_policy(&job.record).filter(|later| later.config > job.policy.config);
    later.inspect(|later| job.set_policy(job.policy.updated(*later))).is_some()
}
