//! Decisions of a service's leader: which items run on which engines, which rows are written to the store, and which
//! engines load which version. Does no input or output; `control::actions` executes the decisions.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    control::{
        election::Leadership,
        orders::{Load, LoadResult},
        prompts,
        rollout::{self, Rollout},
        stored::StoredJob,
    },
    fleet::Target,
    job::{
        Engine, Engines, Failure, Failures, Job, Leaving, Pending, Policy, Queue, Reason, Row,
        Visitor, guard,
        homes::{Homes, Runner, Streams},
    },
    peer::FailedItem,
    prefix::Sent,
    prelude::*,
    rate::Limit,
    term,
    traffic::{Command, RunReport},
};

/// Events from which an item counts as one of the longest of its step.
const LONG_ITEM_EVENTS: u64 = 40;
/// Minimum interval between decisions on loads.
const PLAN_INTERVAL: Duration = Duration::from_millis(40);

/// A run in progress.
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
    pub(super) job: JobId,
    pub(super) item: usize,
    pub(super) target: Option<TargetId>,
    pub(super) started_at: Time,
    /// Failures of the item before it.
    pub(super) failure: Failure,
    /// What was expected of the engine's cache, until the first event.
    pub(super) sent: Option<Sent>,
    /// Host that runs it; `None` for this one.
    pub(super) runner: Option<SocketAddr>,
}

/// State of a service that this host leads.
pub struct Leader {
    pub service: ServiceId,
    pub leadership: Leadership,
    terms: Arc<term::Table>,
    pub queue: Queue,
    pub(super) engines: Engines,
    rollout: Rollout,
    pub(super) runs: HashMap<u64, ActiveRun>,
    pub(super) homes: Homes,
    /// Hosts that take items.
    pub(super) runners: BTreeSet<SocketAddr>,
    /// Failed items that this host knows.
    pub(super) failures: Arc<Failures>,
    /// Items wait until the other hosts have said which failed items they know.
    pub(super) awaits_failures: bool,
    /// Failed items of which another host is to be told.
    pub(super) untold: Vec<FailedItem>,
    /// Jobs being read from the store.
    reading: HashSet<JobId>,
    /// Fencing token that an engine refused as outdated.
    refused_fence: Option<Revision>,
    pub(super) next_run: u64,
    pub(super) written_at: Time,
    pub(super) checkpointed_at: Time,
    pub(super) moved_at: Time,
    /// Ends that draining engines have named.
    pub(super) leaving: Leaving,
    /// Runs that were stopped because their engine ends.
    pub(super) displaced: HashSet<u64>,
    /// Time of the last decision on loads.
    planned_at: Time,
}

impl Leader {
    pub fn new(
        service: ServiceId,
        first_run: u64,
        terms: &Arc<term::Table>,
        failures: &Arc<Failures>,
    ) -> Self {
        Self {
            service,
            leadership: Leadership::default(),
            terms: Arc::clone(terms),
            queue: Queue::default(),
            engines: Engines::default(),
            rollout: Rollout::default(),
            runs: HashMap::new(),
            homes: Homes::default(),
            runners: BTreeSet::new(),
            failures: Arc::clone(failures),
            awaits_failures: false,
            untold: Vec::new(),
            reading: HashSet::new(),
            refused_fence: None,
            next_run: first_run,
            written_at: Time::ZERO,
            checkpointed_at: Time::ZERO,
            moved_at: Time::ZERO,
            leaving: Leaving::default(),
            displaced: HashSet::new(),
            planned_at: Time::ZERO,
        }
    }

    /// Fencing token under which this host may act for the service. There is none as soon as anything that this host has
    /// heard says that its term is over, although its election may not have noticed yet.
    pub fn fence(&self) -> Option<Revision> {
        self.leadership.fence.filter(|fence| !self.terms.is_over(&self.service, *fence))
    }

    /// Whether this host may act for the service.
    pub fn leads(&self) -> bool {
        self.fence().is_some()
    }

    /// Updates the engines and the requested versions. Runs on removed targets end by themselves.
    pub fn sync(
        &mut self,
        targets: &BTreeMap<TargetId, Arc<Target>>,
        requested: &BTreeMap<ModelId, Version>,
        now: Time,
    ) {
        self.leaving.sync(targets, now);
        let ours = targets.values().filter(|target| target.service == self.service);
        for target in ours {
            self.engines.put(Arc::clone(target));
        }
        let removed: Vec<TargetId> = self
            .engines
            .iter()
            .map(|engine| engine.target.id.clone())
            .filter(|id| !targets.contains_key(id))
            .collect();
        for id in removed {
            self.engines.remove(&id);
        }
        self.rollout.sync(requested);
    }

    /// Whether this leader started a run.
    pub fn has_run(&self, run: u64) -> bool {
        self.runs.contains_key(&run)
    }

    /// Whether a job has to be read from the store now. If so, it counts as being read.
    pub fn begin_read(&mut self, id: &JobId) -> bool {
        let is_known = self.queue.get(id).is_some() || self.queue.is_isolated(id);
        self.leads() && !is_known && self.reading.insert(id.clone())
    }

    /// Adds a job that was read from the store. Returns the command that makes its results available, or `None` if the job
    /// is set aside.
    pub fn finish_read(
        &mut self,
        stored: StoredJob,
        policy: Policy,
        submitted_at: Time,
        now: Time,
    ) -> Option<Command> {
        let id = stored.spec.id.clone();
        self.reading.remove(&id);
        let opened = guard(&id, || self.open_job(stored, policy, submitted_at, now));
        if opened.is_none() {
            self.queue.isolate(&id);
        }
        opened
    }

    fn open_job(
        &mut self,
        stored: StoredJob,
        policy: Policy,
        submitted_at: Time,
        now: Time,
    ) -> Command {
        let StoredJob { spec, record, chunks, checkpoints } = stored;
        let workspace = record.workspace.clone();
        let (id, rows) = (spec.id.clone(), chunks.iter().flat_map(|chunk| &chunk.rows));
        let rows: Vec<Row> = rows.cloned().collect();
        if self.queue.get(&id).is_none() {
            let job = Job::new(Arc::clone(&spec), record, policy, submitted_at);
            self.rollout.record_demand(&job, self.queue.claim(&job));
            self.queue.insert(job);
        }
        if let Some(job) = self.queue.get_mut(&id) {
            job.restore(&rows, chunks.len() as u64);
            job.resume(checkpoints);
            job.apply_failures(&self.failures.of_job(&id), now);
        }
        Command::JobOpened { service: self.service.clone(), workspace, spec, chunks }
    }

    /// Marks a job as unread after a failure, so that the read is retried.
    pub fn fail_read(&mut self, id: &JobId) {
        self.reading.remove(id);
    }

    /// Removes a job from the queue. Returns commands to stop its runs.
    pub fn drop_job(&mut self, id: &JobId, now: Time) -> Vec<Command> {
        self.queue.remove(id, now);
        self.stop_commands(|run| run.job == *id)
    }

    fn stop_commands(&self, predicate: impl Fn(&ActiveRun) -> bool) -> Vec<Command> {
        let chosen = self.runs.iter().filter(|(_, run)| predicate(run));
        chosen.map(|(id, run)| Command::Stop { run: *id, runner: run.runner }).collect()
    }

    /// Commands to stop all runs.
    pub fn stop_all(&self) -> Vec<Command> {
        self.stop_commands(|_| true)
    }

    /// Whether a run is in progress or a row is not persisted yet.
    pub fn has_pending_work(&self) -> bool {
        self.leads() && (!self.runs.is_empty() || self.queue.has_unpersisted_rows())
    }

    /// Commands to stop the runs of the model of which an engine is about to load a version, so that they continue
    /// elsewhere. Empty if the other engines lack the slots. Runs of other models go on undisturbed.
    pub fn clear_engine(&self, target: &TargetId) -> Vec<Command> {
        let model = self.rollout.loading_model(target).map_or("", |model| &**model);
        let is_of_model =
            |run: &ActiveRun| self.queue.get(&run.job).is_none_or(|job| *job.spec.model == *model);
        let stops =
            self.stop_commands(|run| run.target.as_ref() == Some(target) && is_of_model(run));
        if self.engines.free_slots(model) < stops.len() { Vec::new() } else { stops }
    }

    /// Drops all jobs, because another host leads or may have led. Returns commands to stop their runs.
    pub fn drop_jobs(&mut self, now: Time) -> Vec<Command> {
        self.reading.clear();
        self.engines.forget_all_prompts();
        self.queue.ids().iter().flat_map(|id| self.drop_job(id, now)).collect()
    }

    /// Assigns the engines to the hosts at hand. Returns the hosts that have engines.
    pub fn update_homes(&mut self, hosts: &[Runner]) -> BTreeSet<SocketAddr> {
        let streams = |engine: &Engine| Streams {
            engine: engine.target.id.clone(),
            zone: engine.target.zone.clone(),
            slots: engine.target.slots,
        };
        let engines: Vec<Streams> = self.engines.iter().map(streams).collect();
        self.homes.update(&engines, hosts);
        self.homes.hosts()
    }

    /// Records that a host takes items.
    pub fn add_runner(&mut self, host: SocketAddr) {
        self.runners.insert(host);
    }

    /// Records that a host takes no more items.
    pub fn remove_runner(&mut self, host: SocketAddr) {
        self.runners.remove(&host);
    }

    /// Records that no other host takes items.
    pub fn clear_runners(&mut self) {
        self.runners.clear();
    }

    /// Applies a report of the traffic thread on a run.
    pub fn apply_report(&mut self, report: RunReport, now: Time) {
        match report {
            RunReport::Progress { run: id, progress } => {
                let Some(run) = self.runs.get_mut(&id) else {
                    return;
                };
                prompts::first_event(run, &mut self.engines, now);
                self.engines.heard(run.target.as_deref().unwrap_or_default(), now);
                if let Some(job) = present_job(&mut self.queue, id, run) {
                    job.set_progress(run.item, progress);
                    job.record_contact(run.item, now);
                }
            }
            RunReport::Advanced { run: id, last_event } => {
                let Some(run) = self.runs.get_mut(&id) else {
                    return;
                };
                prompts::first_event(run, &mut self.engines, now);
                self.engines.heard(run.target.as_deref().unwrap_or_default(), now);
                if let Some(job) = present_job(&mut self.queue, id, run) {
                    job.set_events(run.item, last_event);
                    job.record_contact(run.item, now);
                }
            }
            RunReport::Generated { run, pace } => {
                // The judge is called without a slot on the engine.
                if let Some(target) = self.runs.get_mut(&run).and_then(|run| run.target.take()) {
                    self.engines.finish_run(&target, now, pace);
                }
            }
            RunReport::Ended { run, outcome } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.record_failure(&run, &outcome, now);
                    self.queue.record_run_end(&outcome, now);
                    self.queue.finish_run(outcome, now, &mut self.engines);
                }
            }
        }
    }

    /// Passes on the items that are at no engine. `blocked` is what keeps this leader from starting any item.
    pub fn visit_idle<'a>(&'a self, now: Time, blocked: Option<&Reason>, visit: Visitor<'_, 'a>) {
        self.queue.visit_idle(now, &self.engines, blocked, visit);
        for (id, run) in &self.runs {
            let (Some(target), Some(job)) = (&run.target, self.queue.get(&run.job)) else {
                continue;
            };
            let (item, runner, started_at) = (run.item, run.runner, run.started_at);
            let pending = Pending { run: *id, item, target, runner, started_at };
            if job.has_run(item, *id)
                && let Some(wait) = job.pending_wait(&pending, now)
            {
                visit(wait);
            }
        }
    }

    /// Loads to order now, with the fencing token to send.
    pub fn loads(&mut self, now: Time, host: &HostId) -> Option<(Revision, Vec<Load>)> {
        let may_order =
            now < self.leadership.orders_until && self.leadership.fence != self.refused_fence;
        let fence = self.fence().filter(|_| may_order)?;
        if now < self.planned_at + PLAN_INTERVAL {
            return None;
        }
        self.planned_at = now;
        let (queue_empty, long) = (!self.queue.has_waiting(), self.engines_with_long_items());
        let planned = self.rollout.plan(now, &mut self.engines, queue_empty, &long);
        let strategy = self.queue.strategy();
        let load = |planned: rollout::PlannedLoad| {
            let engine = self.engines.get(&planned.target)?;
            Some(Load {
                target: Arc::clone(&engine.target),
                model: planned.model,
                version: planned.version,
                strategy,
                leader: host.clone(),
                fence,
                limit: engine.limit(),
            })
        };
        let loads: Vec<Load> = planned.into_iter().filter_map(load).collect();
        (!loads.is_empty()).then_some((fence, loads))
    }

    /// Engines that run one of the longest items of its step.
    fn engines_with_long_items(&self) -> HashSet<TargetId> {
        let long = self.runs.values().filter(|run| {
            let job = self.queue.get(&run.job);
            run.target.is_some() && job.is_some_and(|job| job.events(run.item) >= LONG_ITEM_EVENTS)
        });
        long.filter_map(|run| run.target.clone()).collect()
    }

    /// Sets the limit that an engine names.
    pub fn set_limit(&mut self, target: &TargetId, limit: Option<Limit>, now: Time) {
        self.engines.set_limit(target, limit, now);
    }

    /// Grants a caller's request for an engine, or returns the time after which to ask again.
    pub fn grant(&mut self, target: &TargetId, priority: u32, now: Time) -> Result<(), Duration> {
        self.engines.grant(target, priority, now)
    }

    /// Ends a load.
    pub fn finish_load(&mut self, id: &TargetId, result: LoadResult, now: Time) {
        self.rollout.finish_load(id, result, now, &mut self.engines);
    }

    /// Sends no further orders under the present fencing token, which an engine refused because it has seen a newer
    /// one.
    pub fn stop_orders(&mut self) {
        self.refused_fence = self.leadership.fence;
    }

    /// Whether a job is open or a load is in progress.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty() || !self.rollout.is_idle()
    }
}

/// Open job of a run, if that is the present one of its item.
fn present_job<'a>(queue: &'a mut Queue, id: u64, run: &ActiveRun) -> Option<&'a mut Job> {
    queue.get_mut(&run.job).filter(|job| job.has_run(run.item, id))
}
