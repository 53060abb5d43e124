//! Executes the decisions of leaders and reports the results back to them.

use std::{rc::Rc, sync::Arc};

use log::warn;
use tokio::sync::mpsc;

use crate::{
    clock,
    control::{
        leader::Policy,
        orders::{LoadResult, Term},
        state::Control,
        tasks::{Completion, WriteResult, read_job, remove_jobs, write_checkpoints, write_chunk},
    },
    job::Record,
    metrics::METERS,
    prelude::*,
    traffic::{Command, Report},
};

/// Tolerated clock skew between hosts when items expire.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(4);
/// Interval at which expired jobs are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Margin on the retention of ended jobs.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

impl Control {
    /// Routes a report of the traffic thread to the leader that started the run.
    pub(super) fn apply_report(&mut self, report: Report) {
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
            Completion::JobRead { service, id, job } => {
                let ended = self.store_state.job_heads.get(&id).is_none_or(|record| record.ended);
                let policy = job.as_ref().map(|job| self.policy(&job.record, now));
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                match (job, policy) {
                    (Some(job), Some(policy)) if !ended => {
                        leader.finish_read(*job, policy);
                        METERS.open_jobs(&service, leader.queue.len());
                    }
                    _ => leader.fail_read(&id),
                }
            }
            Completion::ChunkWritten { service, id, fence, number, rows, result } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                if result == WriteResult::Kept {
                    METERS.rows_written(rows);
                }
                leader.queue.finish_write(&id, fence, number, result == WriteResult::Kept);
                if result == WriteResult::Differs && leader.leadership.fence == Some(fence) {
                    let stops = leader.drop_job(&id, now);
                    send(&self.commands, stops);
                }
            }
            Completion::LoadEnded { service, target, result } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                METERS.weight_load(match result {
                    LoadResult::Version(_) => "done",
                    LoadResult::Unconfirmed => "open",
                    LoadResult::Fenced => "fenced",
                });
                let version = match result {
                    LoadResult::Version(version) => Some(version),
                    LoadResult::Unconfirmed => None,
                    LoadResult::Fenced => {
                        warn!(service = &*service, target_id = &*target; "engine refused an order: it has seen a newer leader");
                        leader.stop_orders();
                        None
                    }
                };
                leader.finish_load(&target, version, now);
            }
        }
    }

    /// Deadlines and limits of a job, from its route in the configuration in force.
    fn policy(&self, record: &Record, now: Time) -> Policy {
        let route = self
            .store_state
            .config
            .as_ref()
            .and_then(|config| config.route(&record.host, &record.path));
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(record.submitted_ms));
        let submitted = now.saturating_sub(age);
        let (deadline, ttl) = route.map_or((Duration::ZERO, Duration::from_secs(600)), |route| {
            (route.job_deadline, route.item_ttl)
        });
        Policy {
            due: submitted + deadline,
            expires: submitted + ttl + CLOCK_SKEW_MAX,
            max_attempts: route.map_or(1, |route| route.max_attempts),
            priority: route.map_or(0, |route| route.priority),
            single_version: route.is_some_and(|route| route.single_version),
        }
    }

    /// Starts whatever is due for a service that this host leads.
    pub(super) fn drive_leader(&mut self, service: &ServiceId, now: Time) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let Some(fence) = leader.leadership.fence else {
            return;
        };
        let open = self.store_state.job_heads.iter().filter(|(_, record)| !record.ended);
        let of_service = open.filter(|(_, record)| record.service == *service);
        for (id, record) in of_service {
            if leader.begin_read(id) {
                let read = read_job(
                    Rc::clone(&self.store),
                    Arc::clone(&self.dialect),
                    service.clone(),
                    id.clone(),
                    record.clone(),
                    self.completions.clone(),
                );
                tokio::task::spawn_local(read);
            }
        }
        let stopping = self.hand_over_deadline.is_some();
        for write in if stopping { leader.final_writes(now) } else { leader.writes(now) } {
            let (store, completions) = (Rc::clone(&self.store), self.completions.clone());
            tokio::task::spawn_local(write_chunk(store, service.clone(), write, completions));
        }
        if stopping {
            return;
        }
        send(&self.commands, leader.start_items(now));
        send(&self.commands, leader.move_item(now));
        if let Some(write) = leader.checkpoints_if_due(now) {
            tokio::task::spawn_local(write_checkpoints(Rc::clone(&self.store), write));
        }
        if let Some((fence, loads)) = leader.loads(now, &self.settings.host) {
            for load in &loads {
                send(&self.commands, leader.clear_engine(&load.target.id));
            }
            let term = Term { service: service.clone(), fence };
            let orders = Rc::clone(&self.orders);
            tokio::task::spawn_local(orders.load_all(term, loads, self.completions.clone()));
        }
        if now >= self.cleaned_up_at + CLEANUP_INTERVAL {
            self.cleaned_up_at = now;
            self.remove_expired_jobs(service, fence);
        }
    }

    /// Removes ended jobs of a service whose retention has passed.
    fn remove_expired_jobs(&self, service: &ServiceId, fence: Revision) {
        let retention = self.settings.job_retention + RETENTION_MARGIN;
        let is_expired = |record: &Record| {
            let age = clock::unix_ms().saturating_sub(record.submitted_ms);
            record.ended && record.service == *service && Duration::from_millis(age) > retention
        };
        let jobs: Vec<(JobId, usize)> = self
            .store_state
            .job_heads
            .iter()
            .filter(|(_, record)| is_expired(record))
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

/// Sends commands to the traffic thread.
pub(super) fn send(sender: &mpsc::UnboundedSender<Command>, commands: Vec<Command>) {
    for command in commands {
        if let Err(mpsc::error::SendError(Command::Run(run))) = sender.send(command) {
            warn!(run = run.id; "run not started: traffic thread has ended");
        }
    }
}
