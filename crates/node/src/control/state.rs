//! The control loop: takes what the store, the traffic thread and finished calls tell, and acts on it.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use bytes::Bytes;
use log::{info, warn};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{interval, sleep},
};

use crate::{
    clock,
    config::Config,
    control::{
        leader::{Leader, Read, Times, Write},
        mirror::{Mirror, Update},
        orders::{Loaded, Orders},
        role::{Role, Seen, Standing},
    },
    dialect::{self, Fact, Subject},
    fleet::Fleet,
    job::{self, Chunk, Key, Record, Saved},
    metrics::METERS,
    prelude::*,
    settings::Settings,
    store::{self, Change, Error, Outcome, Put, Txn},
    traffic::{self, Channels, Command, Report},
    view::{Shared, View},
};

/// Interval of the control loop while jobs are open, and while none is.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICKS: u32 = 10;
/// Shortest time between two watches of a prefix of this program.
const OWN_PACE: Duration = Duration::from_millis(40);
/// Part of the time in which a fact must be acted on that may pass between two watches, as a divisor.
const PACE_DIVISOR: u32 = 2;
/// Longest time in which a stopping leader ends its runs and keeps what they made.
const HAND_OVER_MAX: Duration = Duration::from_millis(800);
/// Interval at which jobs that need not be kept any longer are looked for, and the margin on the time for which they are.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);
const KEPT_MARGIN: Duration = Duration::from_secs(30);
/// Keys removed by one transaction.
const REMOVES_MAX: usize = 30;
/// Pause before a write without an answer is sent again.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// What the control thread gets from the process.
pub struct Parts {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    pub commands: mpsc::UnboundedSender<Command>,
    pub reports: mpsc::UnboundedReceiver<Report>,
    pub stopping: watch::Receiver<bool>,
}

/// What a task of the control thread brings back.
enum Done {
    Read {
        service: ServiceId,
        id: JobId,
        job: Option<Box<Read>>,
    },
    Wrote {
        service: ServiceId,
        id: JobId,
        fence: Revision,
        number: u64,
        rows: usize,
        written: Written,
    },
    Loaded {
        service: ServiceId,
        target: TargetId,
        loaded: Loaded,
    },
}

/// How a chunk was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Kept,
    /// Certainly not written.
    Refused,
    /// The job's chunks in the store are others than known here.
    Differs,
}

struct Control {
    settings: Settings,
    view: Shared,
    dialect: dialect::Handle,
    store: store::Handle,
    commands: mpsc::UnboundedSender<Command>,
    done: mpsc::UnboundedSender<Done>,
    orders: Rc<Orders>,
    config: Option<Arc<Config>>,
    fleet: Fleet,
    heads: BTreeMap<JobId, Record>,
    leads: BTreeMap<ServiceId, Revision>,
    /// Follow what only a leader acts on, while this host leads a service.
    leader_mirrors: Vec<JoinHandle<()>>,
    updates: mpsc::UnboundedSender<Update>,
    seen: BTreeMap<ServiceId, watch::Sender<Seen>>,
    leaders: BTreeMap<ServiceId, Leader>,
    named: BTreeMap<ModelId, Version>,
    standings: mpsc::UnboundedSender<(ServiceId, Standing)>,
    stopping: watch::Receiver<bool>,
    /// Tells the roles to give their leadership back.
    step_down: watch::Sender<bool>,
    /// Time at which leadership is given back at the latest, once the process was told to stop.
    hand_over_by: Option<Time>,
    cleaned_at: Time,
    /// Mirrors that were read whole.
    synced: Vec<bool>,
    changed: bool,
}

/// Runs until the process is told to stop.
pub async fn run(parts: Parts) {
    let (updates, mut updated) = mpsc::unbounded_channel();
    let (done, mut finished) = mpsc::unbounded_channel();
    let (standings, mut standing) = mpsc::unbounded_channel();
    let Parts { settings, view, dialect, store, commands, mut reports, mut stopping } = parts;
    let platform = dialect.prefixes().iter().filter_map(|(prefix, subject)| match subject {
        Subject::Config => Some((*prefix, settings.config_within / PACE_DIVISOR / PACE_DIVISOR)),
        Subject::Targets => Some((*prefix, settings.drain_within / PACE_DIVISOR)),
        Subject::Orders => None,
    });
    let mirrors: Vec<Mirror> = platform
        .chain([(job::LEADS, OWN_PACE)])
        .enumerate()
        .map(|(number, (prefix, pace))| Mirror::new(number, prefix, pace))
        .collect();
    let orders = Rc::new(Orders {
        store: Rc::clone(&store),
        dialect: Arc::clone(&dialect),
        channels: Channels::default(),
    });
    let mut control = Control {
        settings,
        view,
        dialect,
        store,
        commands,
        done,
        orders,
        config: None,
        fleet: Fleet::default(),
        heads: BTreeMap::new(),
        leads: BTreeMap::new(),
        leader_mirrors: Vec::new(),
        updates: updates.clone(),
        seen: BTreeMap::new(),
        leaders: BTreeMap::new(),
        named: BTreeMap::new(),
        standings,
        stopping: stopping.clone(),
        step_down: watch::channel(false).0,
        hand_over_by: None,
        cleaned_at: Time::ZERO,
        synced: vec![false; mirrors.len()],
        changed: false,
    };
    for mirror in mirrors {
        tokio::task::spawn_local(mirror.follow(Rc::clone(&control.store), updates.clone()));
    }
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle = 0;
    loop {
        tokio::select! {
            Some(update) = updated.recv() => {
                control.update(update);
                while let Ok(update) = updated.try_recv() {
                    control.update(update);
                }
            }
            Some(report) = reports.recv() => control.report(report),
            Some(done) = finished.recv() => control.done(done),
            Some((service, standing)) = standing.recv() => control.stands(&service, standing),
            _ = ticks.tick() => {
                idle += 1;
                if !control.is_busy() && idle < IDLE_TICKS {
                    continue;
                }
                idle = 0;
            }
            _ = stopping.wait_for(|stopping| *stopping), if control.hand_over_by.is_none() => {
                control.stop();
            }
        }
        control.act();
    }
}

impl Control {
    fn is_busy(&self) -> bool {
        self.hand_over_by.is_some() || self.leaders.values().any(Leader::is_busy)
    }

    /// Ends all runs; what they made is kept and saved before the leadership is given back. The traffic thread ends the
    /// process.
    fn stop(&mut self) {
        info!("stopping");
        let now = clock::now();
        self.hand_over_by = Some(now + HAND_OVER_MAX);
        for leader in self.leaders.values() {
            send(&self.commands, leader.stop_all());
        }
        self.publish();
    }

    /// Gives the leadership back once nothing runs and nothing waits to be kept.
    fn hand_over(&mut self, now: Time) {
        let Some(by) = self.hand_over_by.filter(|by| *by < Time::MAX) else {
            return;
        };
        if now < by && self.leaders.values().any(Leader::is_unsettled) {
            return;
        }
        let mut saves = Vec::new();
        for leader in self.leaders.values_mut() {
            let service = leader.service.clone();
            let of_service = leader.saves_now(now).into_iter();
            saves.extend(of_service.map(|(id, fence, saved)| {
                save_texts(Rc::clone(&self.store), service.clone(), id, fence, saved)
            }));
        }
        let told = self.step_down.clone();
        self.hand_over_by = Some(Time::MAX);
        tokio::task::spawn_local(async move {
            futures::future::join_all(saves).await;
            told.send_replace(true);
        });
    }

    fn update(&mut self, update: Update) {
        match update {
            Update::Changed(change) => self.change(&change),
            Update::Synced { mirror } => {
                if let Some(synced) = self.synced.get_mut(mirror) {
                    *synced = true;
                    self.changed = true;
                }
            }
            Update::Lost { .. } => {}
            Update::Regained { .. } => self.fleet.store_returned(clock::now()),
        }
    }

    fn change(&mut self, change: &Change) {
        let key = match change {
            Change::Put(entry) => &entry.key,
            Change::Removed { key, .. } => key,
        };
        match Key::parse(key) {
            Some(Key::Head(id)) => self.head(id, change),
            Some(Key::Lead(service)) => self.lead(service, change),
            None => match self.dialect.fact(change) {
                Ok(fact) => self.fact(fact),
                Err(error) => warn!(key = &**key, reason:% = error; "entry skipped"),
            },
        }
    }

    fn head(&mut self, id: JobId, change: &Change) {
        let record = match change {
            Change::Put(entry) => serde_json::from_slice::<Record>(&entry.value),
            Change::Removed { .. } => {
                self.heads.remove(&id);
                return;
            }
        };
        match record {
            Ok(record) => {
                if record.ended
                    && let Some(leader) = self.leaders.get_mut(&record.service)
                {
                    let stops = leader.end(&id, clock::now());
                    send(&self.commands, stops);
                }
                self.heads.insert(id, record);
            }
            Err(error) => warn!(job = &*id, reason:% = error; "head of a job skipped"),
        }
    }

    fn lead(&mut self, service: ServiceId, change: &Change) {
        match change {
            Change::Put(entry) => self.leads.insert(service.clone(), entry.revision),
            Change::Removed { .. } => self.leads.remove(&service),
        };
        let fence = self.leaders.get(&service).and_then(|leader| leader.standing.fence);
        let holder = self.leads.get(&service).copied();
        if fence.is_none()
            && holder.is_some()
            && let Some(leader) = self.leaders.get_mut(&service)
        {
            let stops = leader.drop_all(clock::now());
            send(&self.commands, stops);
        }
        self.changed = true;
    }

    fn fact(&mut self, fact: Fact) {
        self.changed = true;
        match fact {
            Fact::Config(config) => {
                if self.config.as_ref().is_some_and(|held| held.version >= config.version) {
                    return;
                }
                info!(version = config.version; "configuration in force");
                self.config = Some(config);
            }
            Fact::Target(target) => {
                info!(target_id = &*target.id, service = &*target.service, draining = target.draining, born = target.born, versions:? = target.versions; "target registered");
                self.fleet.put(target);
            }
            Fact::TargetGone(id) => {
                let gone = self.fleet.remove(&id, clock::now());
                info!(target_id = &*id, held_back = !gone; "target's registration is gone");
            }
            Fact::Version { model, version } => {
                info!(model = &*model, version; "version named");
                self.named.insert(model, version);
            }
            Fact::Retire { host } => self.retire(host),
            Fact::Ignored => {}
        }
    }

    /// No host keeps anything on its disk, so a host is empty at once.
    fn retire(&self, host: HostId) {
        let entry = self.dialect.emptied(&host);
        let put = Put { key: entry.key.clone(), value: entry.value, lease: None };
        let txn = Txn { expected: vec![(entry.key, 0)], puts: vec![put], removes: Vec::new() };
        let store = Rc::clone(&self.store);
        tokio::task::spawn_local(async move {
            // One host's answer is enough; the delay is a spread over the hosts.
            sleep(Duration::from_millis(400).mul_f64(rand::random())).await;
            while let Err(error) = store.commit(&txn).await {
                info!(retired = &*host, reason:% = error; "could not report an emptied host");
                sleep(WRITE_PAUSE).await;
            }
            info!(retired = &*host; "host reported as emptied");
        });
    }

    fn stands(&mut self, service: &ServiceId, standing: Standing) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let before = std::mem::replace(&mut leader.standing, standing);
        METERS.leads(service, standing.fence.is_some());
        let (taken, lost) = (standing.fence.is_some(), self.leads.contains_key(service));
        if before.fence != standing.fence && (taken || lost) {
            // Another host leads or may have led meanwhile, so a job's rows are read again before it goes on.
            let stops = leader.drop_all(clock::now());
            send(&self.commands, stops);
        }
        self.follow();
    }

    /// Only a leader has to know jobs, versions and hosts to be emptied; any other host reads the job that it is asked
    /// for.
    fn follow(&mut self) {
        let leads = self.leaders.values().any(|leader| leader.standing.fence.is_some());
        if leads && self.leader_mirrors.is_empty() {
            let prefixes = self.dialect.prefixes().iter();
            let orders = prefixes.filter(|(_, subject)| *subject == Subject::Orders);
            for prefix in orders.map(|(prefix, _)| *prefix).chain([job::HEADS]) {
                let mirror = Mirror::new(self.synced.len(), prefix, OWN_PACE);
                let follow = mirror.follow(Rc::clone(&self.store), self.updates.clone());
                self.leader_mirrors.push(tokio::task::spawn_local(follow));
            }
        } else if !leads && !self.leader_mirrors.is_empty() {
            for mirror in self.leader_mirrors.drain(..) {
                mirror.abort();
            }
            self.heads.clear();
        }
    }

    fn report(&mut self, report: Report) {
        let now = clock::now();
        for leader in self.leaders.values_mut() {
            let (Report::Progress { run, .. } | Report::Ended { run, .. }) = &report;
            if leader.runs(*run) {
                leader.report(report, now);
                return;
            }
        }
    }

    fn done(&mut self, done: Done) {
        let now = clock::now();
        match done {
            Done::Read { service, id, job } => {
                let ended = self.heads.get(&id).is_none_or(|record| record.ended);
                let times = job.as_ref().map(|job| self.times(&job.record, now));
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                match (job, times) {
                    (Some(job), Some(times)) if !ended => leader.loaded(*job, times),
                    _ => leader.not_loaded(&id),
                }
            }
            Done::Wrote { service, id, fence, number, rows, written } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                if written == Written::Kept {
                    METERS.rows(rows);
                }
                leader.board.wrote(&id, fence, number, written == Written::Kept);
                if written == Written::Differs && leader.standing.fence == Some(fence) {
                    let stops = leader.end(&id, now);
                    send(&self.commands, stops);
                }
            }
            Done::Loaded { service, target, loaded } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                METERS.load(match loaded {
                    Loaded::Version(_) => "done",
                    Loaded::Open => "open",
                    Loaded::Fenced => "fenced",
                });
                let version = match loaded {
                    Loaded::Version(version) => Some(version),
                    Loaded::Open => None,
                    Loaded::Fenced => {
                        warn!(service = &*service, target_id = &*target; "engine has seen a newer leader");
                        leader.standing.orders_until = Time::ZERO;
                        None
                    }
                };
                leader.load_ended(&target, version, now);
            }
        }
    }

    /// Times of a job by its route in the configuration in force.
    fn times(&self, record: &Record, now: Time) -> Times {
        let route = self.config.as_ref().and_then(|it| it.route(&record.host, &record.path));
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(record.submitted_ms));
        let submitted = now.saturating_sub(age);
        let (deadline, ttl) = route.map_or((Duration::ZERO, Duration::from_secs(600)), |route| {
            (route.job_deadline, route.item_ttl)
        });
        Times {
            due: submitted + deadline,
            expires: submitted + ttl,
            max_attempts: route.map_or(1, |route| route.max_attempts),
            priority: route.map_or(0, |route| route.priority),
            single_version: route.is_some_and(|route| route.single_version),
        }
    }

    /// Publishes what has changed and starts whatever is due.
    fn act(&mut self) {
        let now = clock::now();
        let expired = self.fleet.expire(now);
        self.changed |= !expired.is_empty();
        if std::mem::take(&mut self.changed) {
            self.publish();
            self.spread();
        }
        let services: Vec<ServiceId> = self.leaders.keys().cloned().collect();
        for service in services {
            self.lead_service(&service, now);
        }
        self.hand_over(now);
    }

    fn publish(&self) {
        let version = self.config.as_ref().map_or(0, |config| config.version);
        METERS.view(self.fleet.targets().len(), version);
        let synced = self.synced.iter().all(|synced| *synced);
        self.view.store(Arc::new(View {
            config: self.config.clone().filter(|_| synced),
            targets: self.fleet.targets().clone(),
            stopping: *self.stopping.borrow(),
        }));
    }

    /// Brings roles and leaders up to date with the configuration, the targets and the versions.
    fn spread(&mut self) {
        if !self.synced.iter().all(|synced| *synced) {
            return;
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        for service in config.services.iter().filter(|service| service.engines) {
            self.candidate(&service.name);
        }
        for (service, seen) in &self.seen {
            let now = self.leads.get(service).map_or(Seen::Absent, |at| Seen::Present(*at));
            seen.send_if_modified(|seen| std::mem::replace(seen, now) != now);
        }
        for leader in self.leaders.values_mut() {
            leader.sync(self.fleet.targets(), &self.named);
        }
    }

    fn candidate(&mut self, service: &ServiceId) {
        if self.seen.contains_key(service) {
            return;
        }
        let (seen, receiver) = watch::channel(Seen::Unknown);
        self.seen.insert(service.clone(), seen);
        let first_run = (self.leaders.len() as u64) << 48;
        self.leaders.insert(service.clone(), Leader::new(service.clone(), first_run));
        let role = Role {
            service: service.clone(),
            host: self.settings.host.clone(),
            ttl: Role::ttl(self.settings.lease_min),
            delay: Role::delay(self.settings.cpu_share),
            store: Rc::clone(&self.store),
            seen: receiver,
            standings: self.standings.clone(),
            stopping: self.step_down.subscribe(),
        };
        tokio::task::spawn_local(role.run());
    }

    fn lead_service(&mut self, service: &ServiceId, now: Time) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let Some(fence) = leader.standing.fence else {
            return;
        };
        let open = self.heads.iter().filter(|(_, record)| !record.ended);
        let of_service = open.filter(|(_, record)| record.service == *service);
        for (id, record) in of_service {
            if leader.wants(id) {
                let read = read_job(
                    Rc::clone(&self.store),
                    Arc::clone(&self.dialect),
                    service.clone(),
                    id.clone(),
                    record.clone(),
                    self.done.clone(),
                );
                tokio::task::spawn_local(read);
            }
        }
        for write in leader.writes(now) {
            let (store, done) = (Rc::clone(&self.store), self.done.clone());
            tokio::task::spawn_local(write_chunk(store, service.clone(), write, done));
        }
        if self.hand_over_by.is_some() {
            return;
        }
        send(&self.commands, leader.starts(now));
        send(&self.commands, leader.moves(now));
        for (id, fence, saved) in leader.saves(now) {
            let store = Rc::clone(&self.store);
            tokio::task::spawn_local(save_texts(store, service.clone(), id, fence, saved));
        }
        for load in leader.loads(now, &self.settings.host) {
            let (orders, done) = (Rc::clone(&self.orders), self.done.clone());
            let (service, target) = (service.clone(), load.target.id.clone());
            send(&self.commands, leader.clear(&target, now));
            tokio::task::spawn_local(async move {
                let loaded = orders.load(load).await;
                tell(&done, Done::Loaded { service, target, loaded });
            });
        }
        if now >= self.cleaned_at + CLEAN_INTERVAL {
            self.cleaned_at = now;
            self.clean(service, fence);
        }
    }

    /// Removes jobs of a service that need not be kept any longer.
    fn clean(&self, service: &ServiceId, fence: Revision) {
        let kept = self.settings.job_kept + KEPT_MARGIN;
        let old = |record: &Record| {
            let age = clock::unix_ms().saturating_sub(record.submitted_ms);
            record.ended && record.service == *service && Duration::from_millis(age) > kept
        };
        let jobs: Vec<(JobId, usize)> = self
            .heads
            .iter()
            .filter(|(_, record)| old(record))
            .map(|(id, record)| (id.clone(), record.parts))
            .collect();
        if !jobs.is_empty() {
            tokio::task::spawn_local(remove_jobs(
                Rc::clone(&self.store),
                service.clone(),
                fence,
                jobs,
            ));
        }
    }
}

/// Removes all keys of jobs, each job's head last, so that a job that is removed in part is found again.
async fn remove_jobs(
    store: store::Handle,
    service: ServiceId,
    fence: Revision,
    jobs: Vec<(JobId, usize)>,
) {
    for (id, parts) in jobs {
        if let Err(error) = remove_job(store.as_ref(), &service, fence, &id, parts).await {
            info!(job = &*id, reason:% = error; "could not remove an old job");
        }
    }
}

async fn remove_job(
    store: &dyn store::Store,
    service: &str,
    fence: Revision,
    id: &str,
    parts: usize,
) -> Result<(), Error> {
    let (rows, _) = store::read_all(store, &job::rows_prefix(id)).await?;
    let mut keys: Vec<Box<str>> = rows.into_iter().map(|entry| entry.key).collect();
    keys.extend((0..parts).map(|part| job::body_part(id, part)));
    keys.push(job::texts(id));
    keys.push(job::head(id));
    for some in keys.chunks(REMOVES_MAX) {
        let txn = Txn {
            expected: vec![(job::lead(service), fence)],
            puts: Vec::new(),
            removes: some.to_vec(),
        };
        if let Outcome::Conflict(_) | Outcome::NoLease = store.commit(&txn).await? {
            // Another host leads and cleans up.
            return Ok(());
        }
    }
    Ok(())
}

/// Hands orders to the traffic thread.
fn send(commands: &mpsc::UnboundedSender<Command>, orders: Vec<Command>) {
    for order in orders {
        if let Err(mpsc::error::SendError(Command::Run(run))) = commands.send(order) {
            warn!(run = run.id; "traffic thread has ended");
        }
    }
}

fn tell(done: &mpsc::UnboundedSender<Done>, what: Done) {
    if done.send(what).is_err() {
        log::debug!("control loop has ended");
    }
}

/// Reads a job's submission, rows and saved texts.
async fn read_job(
    store: store::Handle,
    dialect: dialect::Handle,
    service: ServiceId,
    id: JobId,
    record: Record,
    done: mpsc::UnboundedSender<Done>,
) {
    let read = async {
        let spec = traffic::read_spec(store.as_ref(), &dialect, &id, &record).await?;
        let (entries, _) = store::read_all(store.as_ref(), &job::rows_prefix(&id)).await?;
        let (saved, _) = store.get(&job::texts(&id)).await?;
        Ok::<_, traffic::JobError>((spec, entries, saved))
    };
    let job = match read.await {
        Ok((spec, entries, saved)) => chunks(&entries).map(|chunks| {
            let saved = saved.map(|entry| texts(&entry)).unwrap_or_default();
            Box::new(Read { spec, record, chunks, saved })
        }),
        Err(error) => {
            info!(job = &*id, reason:% = error; "could not read a job");
            None
        }
    };
    if job.is_none() {
        sleep(WRITE_PAUSE).await;
    }
    tell(&done, Done::Read { service, id, job });
}

/// Saved texts of an entry. Without them the items only run again.
fn texts(entry: &store::Entry) -> Vec<Saved> {
    serde_json::from_slice(&entry.value).unwrap_or_else(|error| {
        warn!(key = &*entry.key, reason:% = error; "saved texts skipped");
        Vec::new()
    })
}

/// Saves unfinished texts. They are replaced soon, so a failed write is not repeated.
async fn save_texts(
    store: store::Handle,
    service: ServiceId,
    id: JobId,
    fence: Revision,
    saved: Vec<Saved>,
) {
    let value = serde_json::to_vec(&saved).unwrap_or_default().into();
    let txn = Txn {
        expected: vec![(job::lead(&service), fence)],
        puts: vec![Put { key: job::texts(&id), value, lease: None }],
        removes: Vec::new(),
    };
    if let Err(error) = store.commit(&txn).await {
        info!(job = &*id, reason:% = error; "could not save unfinished texts");
    }
}

/// Decodes the chunks of a job; each must begin where the one before ends.
fn chunks(entries: &[store::Entry]) -> Option<Vec<Chunk>> {
    let mut chunks: Vec<Chunk> = Vec::with_capacity(entries.len());
    for entry in entries {
        match serde_json::from_slice::<Chunk>(&entry.value) {
            Ok(chunk) if chunk.first == chunks.last().map_or(0, Chunk::end) => chunks.push(chunk),
            Ok(chunk) => {
                warn!(key = &*entry.key, first = chunk.first; "chunk does not follow the one before");
                return None;
            }
            Err(error) => {
                warn!(key = &*entry.key, reason:% = error; "could not decode a chunk of results");
                return None;
            }
        }
    }
    Some(chunks)
}

/// Writes a chunk until its outcome is known. Only the present leader's write takes effect, and only once.
async fn write_chunk(
    store: store::Handle,
    service: ServiceId,
    write: Write,
    done: mpsc::UnboundedSender<Done>,
) {
    let value: Bytes = serde_json::to_vec(&write.chunk).unwrap_or_default().into();
    let key = job::rows(&write.job, write.number);
    let txn = Txn {
        expected: vec![(job::lead(&service), write.fence), (key.clone(), 0)],
        puts: vec![Put { key: key.clone(), value: value.clone(), lease: None }],
        removes: Vec::new(),
    };
    let written = loop {
        match store.commit(&txn).await {
            Ok(Outcome::Committed(_)) => break Written::Kept,
            Ok(Outcome::Conflict(found)) => match found.iter().find(|entry| entry.key == key) {
                Some(entry) if entry.value == value => break Written::Kept,
                Some(_) => break Written::Differs,
                None => break Written::Refused,
            },
            Ok(Outcome::NoLease) => break Written::Refused,
            Err(Error::Refused { .. }) => sleep(WRITE_PAUSE).await,
            Err(error) => {
                info!(job = &*write.job, reason:% = error; "write of results has no answer");
                sleep(WRITE_PAUSE).await;
            }
        }
    };
    log::debug!(job = &*write.job, chunk = write.number, first = write.chunk.first, rows = write.chunk.rows.len(), outcome:? = written; "results written");
    let Write { job: id, fence, number, chunk } = write;
    let rows = chunk.rows.len();
    tell(&done, Done::Wrote { service, id, fence, number, rows, written });
}
