//! What a leading host does: carries out what its leaders decide, and tells them what came of it.

use std::{rc::Rc, sync::Arc};

use log::warn;
use tokio::sync::mpsc;

use crate::{
    clock,
    control::{
        leader::Times,
        orders::{Loaded, Proof},
        state::Control,
        tasks::{Done, Written, read_job, remove_jobs, save_texts, write_chunk},
    },
    job::Record,
    metrics::METERS,
    prelude::*,
    traffic::{Command, Report},
};

/// Difference of the hosts' times of day that is allowed for before an item is given up.
const CLOCK_MARGIN: Duration = Duration::from_secs(4);
/// Interval at which jobs that need not be kept any longer are looked for, and the margin on the time for which they are.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);
const KEPT_MARGIN: Duration = Duration::from_secs(30);

impl Control {
    pub(super) fn report(&mut self, report: Report) {
        let now = clock::now();
        for leader in self.leaders.values_mut() {
            let (Report::Progress { run, .. } | Report::Ended { run, .. }) = &report;
            if leader.runs(*run) {
                leader.report(report, now);
                return;
            }
        }
    }

    pub(super) fn done(&mut self, done: Done) {
        let now = clock::now();
        match done {
            Done::Read { service, id, job } => {
                let ended = self.known.heads.get(&id).is_none_or(|record| record.ended);
                let times = job.as_ref().map(|job| self.times(&job.record, now));
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                match (job, times) {
                    (Some(job), Some(times)) if !ended => {
                        leader.loaded(*job, times);
                        METERS.open_jobs(&service, leader.board.len());
                    }
                    _ => leader.not_loaded(&id),
                }
            }
            Done::Wrote { service, id, fence, number, rows, written } => {
                let Some(leader) = self.leaders.get_mut(&service) else {
                    return;
                };
                if written == Written::Kept {
                    METERS.rows_written(rows);
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
                METERS.weight_load(match loaded {
                    Loaded::Version(_) => "done",
                    Loaded::Open => "open",
                    Loaded::Fenced => "fenced",
                });
                let version = match loaded {
                    Loaded::Version(version) => Some(version),
                    Loaded::Open => None,
                    Loaded::Fenced => {
                        warn!(service = &*service, target_id = &*target; "engine has seen a newer leader");
                        leader.fenced();
                        None
                    }
                };
                leader.load_ended(&target, version, now);
            }
        }
    }

    /// Times of a job by its route in the configuration in force.
    fn times(&self, record: &Record, now: Time) -> Times {
        let route = self.known.config.as_ref().and_then(|it| it.route(&record.host, &record.path));
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(record.submitted_ms));
        let submitted = now.saturating_sub(age);
        let (deadline, ttl) = route.map_or((Duration::ZERO, Duration::from_secs(600)), |route| {
            (route.job_deadline, route.item_ttl)
        });
        Times {
            due: submitted + deadline,
            expires: submitted + ttl + CLOCK_MARGIN,
            max_attempts: route.map_or(1, |route| route.max_attempts),
            priority: route.map_or(0, |route| route.priority),
            single_version: route.is_some_and(|route| route.single_version),
        }
    }

    pub(super) fn lead_service(&mut self, service: &ServiceId, now: Time) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let Some(fence) = leader.standing.fence else {
            return;
        };
        let open = self.known.heads.iter().filter(|(_, record)| !record.ended);
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
        let stopping = self.hand_over_by.is_some();
        for write in if stopping { leader.last_writes(now) } else { leader.writes(now) } {
            let (store, done) = (Rc::clone(&self.store), self.done.clone());
            tokio::task::spawn_local(write_chunk(store, service.clone(), write, done));
        }
        if stopping {
            return;
        }
        send(&self.commands, leader.starts(now));
        send(&self.commands, leader.moves(now));
        if let Some(save) = leader.saves(now) {
            tokio::task::spawn_local(save_texts(Rc::clone(&self.store), save));
        }
        if let Some((fence, loads)) = leader.loads(now, &self.settings.host) {
            for load in &loads {
                send(&self.commands, leader.clear(&load.target.id, now));
            }
            let proof = Proof { service: service.clone(), fence };
            let orders = Rc::clone(&self.orders);
            tokio::task::spawn_local(orders.load_all(proof, loads, self.done.clone()));
        }
        if now >= self.cleaned_at + CLEAN_INTERVAL {
            self.cleaned_at = now;
            self.clean(service, fence);
        }
    }

    /// Removes jobs of a service that need not be kept any longer.
    fn clean(&self, service: &ServiceId, fence: Revision) {
        let kept = self.settings.job_retention + KEPT_MARGIN;
        let old = |record: &Record| {
            let age = clock::unix_ms().saturating_sub(record.submitted_ms);
            record.ended && record.service == *service && Duration::from_millis(age) > kept
        };
        let jobs: Vec<(JobId, usize)> = self
            .known
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

/// Hands orders to the traffic thread.
pub(super) fn send(commands: &mpsc::UnboundedSender<Command>, orders: Vec<Command>) {
    for order in orders {
        if let Err(mpsc::error::SendError(Command::Run(run))) = commands.send(order) {
            warn!(run = run.id; "traffic thread has ended");
        }
    }
}
