//! Executes the decisions of leaders and reports the results back to them.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use log::warn;
use tokio::sync::oneshot;

use crate::{
    clock,
    control::{
        leader::Leader,
        orders::{LoadResult, Term},
        sessions::Event,
        state::Control,
        store_state::Head,
        stored::StoredJob,
        tasks::{
            Completion, WriteResult, end_job, read_job, remove_jobs, write_checkpoints,
            write_chunks,
        },
        update::Update,
    },
    job::{Policy, Record, homes::Runner},
    metrics::METERS,
    prelude::*,
    traffic::{Command, Report, RunReport, Source, Submission},
};

/// Time for which a job whose route is not known waits for it, in times within which a configuration is in force.
const ROUTE_WAIT_DEADLINES: u32 = 2;
/// Interval at which expired jobs are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a host gets no items after its connection has ended, and after it has begun to stop.
const LOST_RUNNER_DELAY: Duration = Duration::from_secs(3);
const LEAVING_RUNNER_DELAY: Duration = Duration::from_secs(10);
/// Interval at which the engines are assigned to hosts anew.
const RUNNERS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a leader reads the list of hosts, so that hosts that were added run items.
const PEERS_INTERVAL: Duration = Duration::from_secs(3);
/// Margin on the retention of ended jobs.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

impl Control {
    /// Applies a report of the traffic thread.
    pub(super) fn apply_report(&mut self, report: Report) {
        match report {
            Report::Run(report) => self.apply_run_report(report),
            Report::Submitted(submission) => self.open_submitted(*submission),
            Report::EndRequested { job, reply } => self.end_job(&job, reply),
            Report::Limit { target, news } => self.apply_limit(&target, news),
            Report::Departure { departure, source } => self.apply_departure(&departure, source),
            Report::PermitRequested { service, target, priority, reply } => {
                // A dropped receiver means that the requester has given up.
                let _ = reply.send(self.grant(&service, &target, priority));
            }
            Report::DryRun { inquiry, reply } => {
                let _ = reply.send(self.explain(&inquiry).map(Box::new));
            }
            Report::Usage { counts, reply } => self.take_usage((*counts, reply)),
        }
    }

    /// Applies what has happened at a runner.
    pub(super) fn apply_runner_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Run(report) => self.apply_run_report(report),
            Event::Connected { runner: (service, address), connection } => {
                if self.outbox.is_current(&(service.clone(), address), connection)
                    && let Some(leader) = self.leaders.get_mut(&service)
                {
                    leader.add_runner(address);
                }
            }
            Event::Leaving((service, address)) => {
                self.avoid_runner(&service, address, now + LEAVING_RUNNER_DELAY);
            }
            Event::Lost { runner, connection } => {
                // The connection may have been replaced by a new one, under another fencing token.
                if self.outbox.remove(&runner, connection) {
                    self.avoid_runner(&runner.0, runner.1, now + LOST_RUNNER_DELAY);
                }
            }
            Event::Limit { target, news } => self.apply_limit(&target, news),
            Event::Departure(departure) => self.apply_departure(&departure, Source::Host),
            Event::Superseded { service, bound } => {
                // Only the store decides: the host may be one of another deployment, at an address that is used again.
                warn!(service = &*service, bound; "another host takes this one for a former leader");
            }
            Event::Retained { service, origin, progress, text_complete } => {
                if let Some(leader) = self.leaders.get_mut(&service) {
                    leader.queue.resume_item(origin, progress, text_complete, now);
                }
            }
        }
    }

    fn avoid_runner(&mut self, service: &ServiceId, address: SocketAddr, until: Time) {
        self.avoided_runners.insert(address, until);
        self.runners_due = true;
        if let Some(leader) = self.leaders.get_mut(service) {
            leader.remove_runner(address);
        }
    }

    /// Assigns the engines to hosts if hosts were lost or the interval has passed, and has the list of hosts read again.
    pub(super) fn update_runners_if_due(&mut self, now: Time) {
        if !self.runners_due && now < self.runners_updated_at + RUNNERS_INTERVAL {
            return;
        }
        self.runners_due = false;
        self.runners_updated_at = now;
        self.update_runners(now);
        if now >= self.peers_requested_at + PEERS_INTERVAL {
            self.peers_requested_at = now;
            self.peers.request_refresh();
        }
    }

    /// Assigns the engines of each led service to hosts, and connects to these.
    fn update_runners(&mut self, now: Time) {
        let Some(own) = self.settings.peer else {
            return;
        };
        self.avoided_runners.retain(|_, until| *until > now);
        let peers = self.peers.all();
        let others = peers.iter().filter_map(|peer| {
            let address = peer.peer.filter(|peer| !self.avoided_runners.contains_key(peer))?;
            let (zone, cpu_share) = (peer.zone.clone(), peer.cpu_share);
            Some(Runner { address, zone, cpu_share, leads: false })
        });
        let (zone, cpu_share) = (self.settings.zone.clone(), self.settings.cpu_share);
        let this = Runner { address: own, zone, cpu_share, leads: true };
        let hosts: Vec<Runner> = others.chain([this]).collect();
        for (service, leader) in &mut self.leaders {
            let Some(fence) = leader.fence() else {
                continue;
            };
            for address in leader.update_homes(&hosts) {
                if address != own {
                    self.outbox.connect((service.clone(), address), fence);
                }
            }
        }
    }

    /// Routes a report on a run to the leader that started the run.
    fn apply_run_report(&mut self, report: RunReport) {
        let now = clock::now();
        let run = report.run();
        for leader in self.leaders.values_mut() {
            if leader.has_run(run) {
                leader.apply_report(report, now);
                return;
            }
        }
    }

    /// Applies the result of a finished task.
    pub(super) fn complete(&mut self, completion: Completion) {
        let now = clock::now();
        match completion {
            Completion::OutageRefuted { outage } => self.refute_outage(&outage),
            Completion::JobRead { service, id, job } => {
                let head = self.store_state.job_heads.get(&id);
                let ended = head.is_none_or(|head| head.record.ended);
                let policy = job.as_ref().and_then(|job| self.policy(&job.record));
                match (job, policy) {
                    (Some(job), Some(policy)) if !ended => {
                        self.open_job(&service, *job, policy, now);
                    }
                    _ => {
                        let Some(leader) = self.leaders.get_mut(&service) else {
                            return;
                        };
                        leader.fail_read(&id);
                        self.store_state.heads_changed = true;
                    }
                }
            }
            Completion::ChunkWritten { service, id, fence, number, chunk, result } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                if result == WriteResult::Kept {
                    METERS.rows_written(chunk.rows.len());
                }
                if leader.leadership.fence == Some(fence) {
                    let chunk = (result == WriteResult::Kept).then_some(chunk);
                    let written = Command::ChunkWritten { job: id.clone(), chunk };
                    self.outbox.send(&service, vec![written]);
                }
                leader.queue.finish_write(&id, fence, number, result == WriteResult::Kept);
                if result == WriteResult::Differs && leader.leadership.fence == Some(fence) {
                    let stops = leader.drop_job(&id, now);
                    // The job is read again, with the results that it really has.
                    self.store_state.heads_changed = true;
                    self.outbox.send(&service, stops);
                }
            }
            Completion::FailuresRead { service, fence } => {
                let leader = self.leaders.get_mut(&service);
                if let Some(leader) = leader.filter(|leader| leader.leadership.fence == Some(fence))
                {
                    leader.apply_failures(now);
                }
            }
            Completion::Departure(departure) => self.apply_departure(&departure, Source::Answer),
            Completion::Scaled { service, fence, order, result } => {
                self.scaling.ended(&service, fence, &order, result, now);
            }
            Completion::LoadEnded { service, target, result } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                METERS.weight_load(match result {
                    LoadResult::Version(_) => "done",
                    LoadResult::Unconfirmed => "open",
                    LoadResult::Ended => "ended",
                    LoadResult::Fenced => "fenced",
                });
                if result == LoadResult::Fenced {
                    warn!(service = &*service, target_id = &*target; "engine refused an order: it has seen a newer leader");
                    leader.stop_orders();
                }
                leader.finish_load(&target, result, now);
                if matches!(result, LoadResult::Unconfirmed | LoadResult::Ended) {
                    self.resign_if_alone(&service, now);
                }
            }
        }
    }

    /// Policy of a job: the one under which it was accepted, or a later one of its route. `None` while the configuration
    /// that has the route may still be on its way.
    fn policy(&self, record: &Record) -> Option<Policy> {
        let config = self.store_state.config.as_ref();
        let known = config.and_then(|config| config.job_policy(record));
        match (record.policy, known) {
            (Some(accepted), Some(known)) => Some(accepted.updated(known)),
            (None, None)
                if record.age(clock::unix_ms())
                    < self.settings.config_deadline * ROUTE_WAIT_DEADLINES =>
            {
                None
            }
            (None, None) => Some(Policy::of_removed_route()),
            (accepted, known) => accepted.or(known),
        }
    }

    /// Starts whatever is due for a service that this host leads.
    pub(super) fn drive_leader(&mut self, service: &ServiceId, now: Time) {
        self.tell_failures(service);
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let Some(fence) = leader.fence() else {
            return;
        };
        let stopping = self.hand_over_deadline.is_some() || self.resigning.contains_key(service);
        for batch in if stopping { leader.final_writes(now) } else { leader.writes(now) } {
            let begun = batch.iter().map(|write| Command::ChunkBegun { job: write.job.clone() });
            self.outbox.send(service, begun.collect());
            let (store, completions) = (Rc::clone(&self.store), self.completions.clone());
            tokio::task::spawn_local(write_chunks(store, service.clone(), batch, completions));
        }
        if stopping {
            return;
        }
        self.outbox.send(service, leader.start_items(now));
        self.outbox.send(service, leader.move_item(now));
        self.outbox.send(service, leader.displace_items(now));
        if let Some(write) = leader.checkpoints_if_due(now) {
            tokio::task::spawn_local(write_checkpoints(Rc::clone(&self.store), write));
        }
        if let Some((fence, loads)) = leader.loads(now, &self.settings.host) {
            for load in &loads {
                self.outbox.send(service, leader.clear_engine(&load.target.id));
            }
            let term = Term { service: service.clone(), fence };
            let orders = Rc::clone(&self.orders);
            tokio::task::spawn_local(orders.load_all(term, loads));
        }
        if now >= self.cleaned_up_at + CLEANUP_INTERVAL {
            self.cleaned_up_at = now;
            self.remove_expired_jobs(service, fence);
        }
        self.scale_targets(service, now);
    }

    /// Reads the open jobs of a service that this host leads, unless they are known already.
    pub(super) fn read_new_jobs(&mut self, service: &ServiceId) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let is_open = |head: &Head| !head.record.ended && head.record.service == *service;
        let open = self.store_state.job_heads.iter().filter(|(_, head)| is_open(head));
        for (id, head) in open {
            if leader.begin_read(id) {
                let read = read_job(
                    Rc::clone(&self.store),
                    Arc::clone(&self.dialect),
                    service.clone(),
                    id.clone(),
                    head.record.clone(),
                    self.completions.clone(),
                );
                tokio::task::spawn_local(read);
            }
        }
    }

    /// Opens a job that was just submitted. A job that was written before this leadership may have results already, so
    /// that is read from the store instead.
    fn open_submitted(&mut self, submission: Submission) {
        let Submission { record, revision, spec } = submission;
        let (service, id) = (record.service.clone(), spec.id.clone());
        let policy = self.policy(&record);
        let Some(leader) = self.leaders.get_mut(&service) else {
            return;
        };
        let head = self.store_state.job_heads.get(&id);
        let is_new = leader.fence().is_some_and(|fence| revision > fence)
            && head.is_none_or(|head| head.revision == revision && !head.record.ended);
        let Some(policy) = policy.filter(|_| is_new && leader.begin_read(&id)) else {
            return;
        };
        self.store_state.put_head(id, Head { record: record.clone(), revision });
        let stored = StoredJob { spec, record, chunks: Vec::new(), checkpoints: Vec::new() };
        self.open_job(&service, stored, policy, clock::now());
    }

    /// Opens a job of a service that this host leads.
    fn open_job(&mut self, service: &ServiceId, job: StoredJob, policy: Policy, now: Time) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let submitted_at = now.saturating_sub(job.record.age(clock::unix_ms()));
        let config = self.store_state.config.as_deref();
        let id = job.spec.id.clone();
        let job = job.with_workspace(config, &self.dialect);
        let opened = leader.finish_read(job, policy, submitted_at, now);
        config.into_iter().for_each(|config| leader.queue.update_policy(&id, config));
        METERS.open_jobs(service, leader.queue.len());
        self.outbox.send(service, opened.into_iter().collect());
    }

    /// Ends a job of a service that this host leads, on request of its trainer. Replies `false` if the requester has to
    /// end it in the store.
    fn end_job(&mut self, id: &JobId, reply: oneshot::Sender<bool>) {
        let head = self.store_state.job_heads.get(id);
        let led = head.filter(|head| {
            let leader = self.leaders.get(&head.record.service);
            leader.is_some_and(Leader::leads)
        });
        match led {
            // A dropped receiver means that the requester has given up.
            Some(head) if head.record.ended => {
                let _ = reply.send(true);
            }
            Some(head) => {
                let end = end_job(Rc::clone(&self.store), id.clone(), head.clone());
                let updates = self.updates.clone();
                tokio::task::spawn_local(async move {
                    let ended = end.await;
                    let _ = reply.send(ended.is_some());
                    if let Some(change) = ended {
                        let _ = updates.send(Update::Changed(change));
                    }
                });
            }
            None => {
                let _ = reply.send(false);
            }
        }
    }

    /// Removes ended jobs of a service whose retention has passed.
    fn remove_expired_jobs(&self, service: &ServiceId, fence: Revision) {
        let retention = self.settings.job_retention + RETENTION_MARGIN;
        let is_expired = |record: &Record| {
            record.ended && record.service == *service && record.age(clock::unix_ms()) > retention
        };
        let jobs: Vec<(JobId, usize)> = self
            .store_state
            .job_heads
            .iter()
            .filter(|(_, head)| is_expired(&head.record))
            .map(|(id, head)| (id.clone(), head.record.parts))
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
