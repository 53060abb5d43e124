//! What the leader of a service decides: which items run where, which rows are kept, which engines load what.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use crate::{
    control::{
        orders::Load,
        role::Standing,
        rollout::{self, Rollout},
    },
    fleet::Target,
    job::{Assignment, Checkpoint, Chunk, Engines, Job, Queue, Record, Requirement, Row, Spec},
    prelude::*,
    traffic::{Command, Report, Run},
};

/// Events over which the pace of a run is judged.
const PACED_EVENTS: u64 = 6;
/// The same for an item that found a place only on the engine that slowed it before.
const LAST_RESORT_EVENTS: u64 = 18;
/// Text bytes of one chunk.
const CHUNK_BYTES: usize = 500 << 10;
/// Shortest time between two writes of rows, so that rows share a write.
const KEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which a row waits for the rest of its group. A trainer uses whole groups; while nothing is listed, its
/// read waits and gets the next group at once.
const GROUP_WAIT: Duration = Duration::from_millis(1500);
/// Shortest time between two moves, so that the effect of one is seen before the next.
const MOVE_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which a run stays where it began; shorter ones are over before a move pays.
const MOVE_AGE_MIN: Duration = Duration::from_millis(500);
/// Jobs whose texts are saved at once; a transaction of the store takes 32 entries.
const SAVED_JOBS_MAX: usize = 30;
/// Events after which an item counts as one of the longest of its step.
const LONG_EVENTS: u64 = 40;
/// Interval at which unfinished texts are saved.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// A chunk to be written.
#[derive(Clone, Debug)]
pub struct Write {
    pub job: JobId,
    pub fence: Revision,
    pub number: u64,
    pub chunk: Chunk,
}

/// Unfinished texts to be saved.
#[derive(Clone, Debug)]
pub struct Save {
    pub service: ServiceId,
    pub fence: Revision,
    pub texts: Vec<(JobId, Vec<Checkpoint>)>,
}

/// A run in progress.
#[derive(Clone, Debug)]
struct Placed {
    job: JobId,
    item: usize,
    target: Option<TargetId>,
    since: Time,
}

/// State of a service that this host leads.
pub struct Leader {
    pub service: ServiceId,
    pub standing: Standing,
    pub board: Queue,
    engines: Engines,
    rollout: Rollout,
    runs: HashMap<u64, Placed>,
    /// Jobs that are being read from the store.
    loading: HashSet<JobId>,
    /// Fencing number under which an engine refused an order.
    fenced_at: Option<Revision>,
    next_run: u64,
    kept_at: Time,
    saved_at: Time,
    moved_at: Time,
}

impl Leader {
    pub fn new(service: ServiceId, first_run: u64) -> Self {
        Self {
            service,
            standing: Standing::default(),
            board: Queue::default(),
            engines: Engines::default(),
            rollout: Rollout::default(),
            runs: HashMap::new(),
            loading: HashSet::new(),
            fenced_at: None,
            next_run: first_run,
            kept_at: Time::ZERO,
            saved_at: Time::ZERO,
            moved_at: Time::ZERO,
        }
    }

    /// Takes the registered targets and the named versions. Runs on targets that are gone end by themselves.
    pub fn sync(
        &mut self,
        targets: &BTreeMap<TargetId, Arc<Target>>,
        named: &BTreeMap<ModelId, Version>,
    ) {
        let ours = targets.values().filter(|target| target.service == self.service);
        for target in ours {
            self.engines.put(Arc::clone(target));
        }
        let gone: Vec<TargetId> = self
            .engines
            .iter()
            .map(|engine| engine.target.id.clone())
            .filter(|id| !targets.contains_key(id))
            .collect();
        for id in gone {
            self.engines.remove(&id);
        }
        self.rollout.sync(named);
    }

    /// Whether a run is one of this leader's.
    pub fn runs(&self, run: u64) -> bool {
        self.runs.contains_key(&run)
    }

    /// Whether a job has to be read from the store now.
    pub fn wants(&mut self, id: &JobId) -> bool {
        self.standing.fence.is_some()
            && self.board.get(id).is_none()
            && self.loading.insert(id.clone())
    }

    /// Takes a job that was read from the store.
    pub fn loaded(&mut self, read: Read, times: Times) {
        let Read { spec, record, chunks, saved } = read;
        self.loading.remove(&spec.id);
        let (id, rows) = (spec.id.clone(), chunks.iter().flat_map(|chunk| &chunk.rows));
        let rows: Vec<Row> = rows.cloned().collect();
        if self.board.get(&id).is_none() {
            let mut job = Job::new(Arc::new(spec), record, times.due, times.expires);
            job.max_attempts = times.max_attempts;
            job.priority = times.priority;
            job.single_version = times.single_version;
            self.rollout.note_work(&job);
            self.board.insert(job);
        }
        if let Some(job) = self.board.get_mut(&id) {
            job.restore(&rows, chunks.len() as u64);
            job.resume(saved);
        }
    }

    /// A job could not be read; it is tried again.
    pub fn not_loaded(&mut self, id: &JobId) {
        self.loading.remove(id);
    }

    /// Ends a job. Gives the orders to stop its runs.
    pub fn end(&mut self, id: &JobId, now: Time) -> Vec<Command> {
        self.board.end(id, now);
        self.stops(|placed| placed.job == *id)
    }

    fn stops(&self, which: impl Fn(&Placed) -> bool) -> Vec<Command> {
        let chosen = self.runs.iter().filter(|(_, placed)| which(placed));
        chosen.map(|(run, _)| Command::Stop { run: *run }).collect()
    }

    /// Orders to stop all runs.
    pub fn stop_all(&self) -> Vec<Command> {
        self.stops(|_| true)
    }

    /// Whether a run is in progress or a row waits to be kept.
    pub fn is_unsettled(&self) -> bool {
        self.standing.fence.is_some() && (!self.runs.is_empty() || self.board.has_rows())
    }

    /// Orders to stop the runs on an engine, so that they go on elsewhere, if other engines have places for them.
    pub fn clear(&self, target: &TargetId, now: Time) -> Vec<Command> {
        let stops = self.stops(|placed| placed.target.as_ref() == Some(target));
        let model = self.rollout.loads_model(target).map_or("", |model| &**model);
        if self.engines.free(model, now) < stops.len() { Vec::new() } else { stops }
    }

    /// Another host leads: drops all jobs. Gives the orders to stop the runs.
    pub fn drop_all(&mut self, now: Time) -> Vec<Command> {
        self.loading.clear();
        self.board.ids().iter().flat_map(|id| self.end(id, now)).collect()
    }

    /// Items that start now.
    pub fn starts(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.standing.fence.is_none() {
            return commands;
        }
        while let Some(start) = self.board.next(now, &mut self.engines) {
            if let Some(command) = self.command(start, now) {
                commands.push(command);
            }
        }
        commands
    }

    fn command(&mut self, start: Assignment, now: Time) -> Option<Command> {
        let job = self.board.get(&start.job)?;
        let target = start.target.as_ref().and_then(|id| self.engines.get(id));
        let target = target.map(|engine| Arc::clone(&engine.target));
        self.next_run += 1;
        let placed = Placed {
            job: start.job.clone(),
            item: start.item,
            target: start.target.clone(),
            since: now,
        };
        self.runs.insert(self.next_run, placed);
        Some(Command::Run(Box::new(Run {
            id: self.next_run,
            spec: Arc::clone(&job.spec),
            record: Arc::clone(&job.record),
            target,
            single_version: job.single_version,
            pace_max: self.engines.pace_max(),
            pace_window: if start.last_resort { LAST_RESORT_EVENTS } else { PACED_EVENTS },
            assignment: start,
        })))
    }

    /// Orders to stop the longest item that would finish sooner on an engine with a free place; it goes on there. Nothing is
    /// moved while an item waits for a place.
    pub fn moves(&mut self, now: Time) -> Vec<Command> {
        if self.board.waits() || now < self.moved_at + MOVE_INTERVAL {
            return Vec::new();
        }
        let movable = self.runs.iter().filter(|(_, placed)| self.is_movable(placed, now));
        let hint = |placed: &Placed| {
            let job = self.board.get(&placed.job);
            job.and_then(|job| job.spec.items[placed.item].length_hint)
        };
        let Some((&run, _)) = movable.max_by_key(|(_, placed)| hint(placed)) else {
            return Vec::new();
        };
        self.moved_at = now;
        vec![Command::Stop { run }]
    }

    fn is_movable(&self, placed: &Placed, now: Time) -> bool {
        let (Some(job), Some(target)) = (self.board.get(&placed.job), &placed.target) else {
            return false;
        };
        let wish = Requirement {
            model: &job.spec.model,
            min_version: job.spec.min_version,
            avoid: Some(target),
            urgent: false,
        };
        now >= placed.since + MOVE_AGE_MIN && self.engines.has_faster(now, &wish, target)
    }

    /// Takes what the traffic thread tells of a run.
    pub fn report(&mut self, report: Report, now: Time) {
        match report {
            Report::Progress { run, progress } => {
                let Some(placed) = self.runs.get(&run) else {
                    return;
                };
                if let Some(job) = self.board.get_mut(&placed.job) {
                    job.progress(placed.item, progress);
                }
            }
            Report::Ended { run, outcome } => {
                if self.runs.remove(&run).is_some() {
                    self.board.ended(outcome, now, &mut self.engines);
                }
            }
        }
    }

    /// Unfinished texts to save now.
    pub fn saves(&mut self, now: Time) -> Option<Save> {
        (now >= self.saved_at + SAVE_INTERVAL).then(|| self.saves_now(now)).flatten()
    }

    /// Unfinished texts, whenever they were saved last.
    pub fn saves_now(&mut self, now: Time) -> Option<Save> {
        let fence = self.standing.fence?;
        self.saved_at = now;
        let of_job = |id: JobId| {
            let saved = self.board.get(&id)?.texts(CHUNK_BYTES);
            (!saved.is_empty()).then_some((id, saved))
        };
        let texts: Vec<(JobId, Vec<Checkpoint>)> =
            self.board.ids().into_iter().filter_map(of_job).take(SAVED_JOBS_MAX).collect();
        let service = self.service.clone();
        (!texts.is_empty()).then_some(Save { service, fence, texts })
    }

    /// Chunks to write now.
    pub fn writes(&mut self, now: Time) -> Vec<Write> {
        self.writes_of(now, now.saturating_sub(GROUP_WAIT))
    }

    /// Chunks with all rows, whole groups or not.
    pub fn last_writes(&mut self, now: Time) -> Vec<Write> {
        self.writes_of(now, now)
    }

    fn writes_of(&mut self, now: Time, finished_by: Time) -> Vec<Write> {
        let Some(fence) = self.standing.fence else {
            return Vec::new();
        };
        if now < self.kept_at + KEEP_INTERVAL {
            return Vec::new();
        }
        let mut writes = Vec::new();
        for id in self.board.ids() {
            let rows = self.board.take_rows(&id, fence, finished_by, CHUNK_BYTES);
            let Some(job) = self.board.get(&id).filter(|_| !rows.is_empty()) else {
                continue;
            };
            let chunk = Chunk { total: job.spec.items.len(), first: job.listed, rows };
            writes.push(Write { job: id, fence, number: job.chunks, chunk });
            self.kept_at = now;
        }
        writes
    }

    /// Loads to order now, with the fencing number under which they go.
    pub fn loads(&mut self, now: Time, host: &HostId) -> Option<(Revision, Vec<Load>)> {
        let may_order = now < self.standing.orders_until && self.standing.fence != self.fenced_at;
        let fence = self.standing.fence.filter(|_| may_order)?;
        let (calm, long) = (!self.board.waits(), self.with_long_items());
        let steps = self.rollout.next(now, &mut self.engines, calm, &long);
        let strategy = self.board.strategy();
        let load = |step: rollout::Step| {
            let target = Arc::clone(&self.engines.get(&step.target)?.target);
            let (model, version) = (step.model, step.version);
            Some(Load { target, model, version, strategy, host: host.clone(), fence })
        };
        let loads: Vec<Load> = steps.into_iter().filter_map(load).collect();
        (!loads.is_empty()).then_some((fence, loads))
    }

    /// Engines on which an item runs that is among the longest of its step.
    fn with_long_items(&self) -> HashSet<TargetId> {
        let long = self.runs.values().filter(|it| {
            let job = self.board.get(&it.job);
            job.is_some_and(|job| job.events(it.item) >= LONG_EVENTS)
        });
        long.filter_map(|it| it.target.clone()).collect()
    }

    /// Takes the end of a load.
    pub fn load_ended(&mut self, id: &TargetId, version: Option<Version>, now: Time) {
        self.rollout.ended(id, version, now, &mut self.engines);
    }

    /// An engine has seen a newer leader, so no further order goes out under this fencing number.
    pub fn fenced(&mut self) {
        self.fenced_at = self.standing.fence;
    }

    /// Whether anything is to be done soon.
    pub fn is_busy(&self) -> bool {
        !self.board.is_empty() || !self.rollout.is_idle()
    }
}

/// A job as read from the store.
#[derive(Debug)]
pub struct Read {
    pub spec: Spec,
    pub record: Record,
    pub chunks: Vec<Chunk>,
    pub saved: Vec<Checkpoint>,
}

/// Times and limits of a job by its route.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub due: Time,
    pub expires: Time,
    pub max_attempts: u32,
    pub priority: u32,
    pub single_version: bool,
}
