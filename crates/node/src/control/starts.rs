//! Starts of items: which host runs an item that has got an engine, and the order for it.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    control::{
        leader::{ActiveRun, Leader},
        prompts,
    },
    job::Assignment,
    prelude::*,
    traffic::{Command, Endpoint, Run},
};

/// Events over which the pace of a run is measured.
const PACE_EVENTS: u64 = 6;
/// The same for an item for which only the engine to be avoided has a free slot.
const LAST_RESORT_PACE_EVENTS: u64 = 18;

impl Leader {
    /// Commands to run the items that start now.
    pub fn start_items(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        if !self.leads() || self.awaits_failures {
            return commands;
        }
        while let Some(assignment) = self.queue.assign_next(now, &mut self.engines) {
            if let Some(command) = self.run_command(assignment, now) {
                commands.push(command);
            }
        }
        commands
    }

    fn run_command(&mut self, assignment: Assignment, now: Time) -> Option<Command> {
        self.next_run += 1;
        self.queue.begin_run(&assignment, self.next_run);
        let job = self.queue.get(&assignment.job)?;
        let engine = assignment.target.as_ref().and_then(|id| self.engines.get(id));
        let target = engine.map(|engine| Endpoint::from(engine.target.as_ref()));
        let failure = job.failure(assignment.item);
        let runner = self.runner_of(assignment.target.as_deref());
        let run = ActiveRun {
            job: assignment.job.clone(),
            item: assignment.item,
            target: assignment.target.clone(),
            started_at: now,
            failure,
            sent: assignment.sent.clone(),
            runner,
        };
        if let Some((sent, target)) = assignment.sent.as_ref().zip(assignment.target.as_deref()) {
            prompts::record(&job.spec.items[assignment.item].id, target, sent);
        }
        self.runs.insert(self.next_run, run);
        Some(Command::Run(Box::new(Run {
            id: self.next_run,
            item: Arc::clone(&job.spec.items[assignment.item]),
            host: job.record.host.clone(),
            min_version: job.spec.min_version,
            target,
            runner,
            single_version: job.policy.single_version,
            pace_max: self.engines.pace_max(),
            pace_window: if assignment.last_resort { LAST_RESORT_PACE_EVENTS } else { PACE_EVENTS },
            failures: failure.failures,
            max_attempts: job.policy.max_attempts,
            workspace: job.record.workspace.clone(),
            assignment,
        })))
    }

    /// Host that runs an item on an engine; `None` for this one. Items without an engine go to all hosts in turn.
    fn runner_of(&self, engine: Option<&str>) -> Option<SocketAddr> {
        let home = match engine {
            Some(engine) => self.homes.of(engine),
            None => {
                let turn = self.next_run as usize % self.runners.len().max(1);
                self.runners.iter().nth(turn).copied()
            }
        };
        home.filter(|host| self.runners.contains(host))
    }
}
