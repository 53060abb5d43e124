//! Moves of running items to faster engines.

use std::cmp::Ordering;

use crate::{
    control::leader::{ActiveRun, Leader},
    job::{Evidence, Requirement},
    prelude::*,
    traffic::Command,
};

/// Minimum interval between moves, so that the effect of one shows before the next.
const MOVE_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum age of a run that may be moved; a shorter run ends before a move pays.
const MOVE_AGE_MIN: Duration = Duration::from_millis(500);

/// Least time that a move has to save: the item starts anew at its last event, and its prompt is read again.
const MOVE_SAVING_MIN: Duration = Duration::from_millis(300);

impl Leader {
    /// Command to stop the longest run that would finish sooner on an engine with a free slot, where its item then
    /// continues. Items that wait have been offered the slot before.
    pub fn move_item(&mut self, now: Time) -> Vec<Command> {
        if now < self.moved_at + MOVE_INTERVAL {
            return Vec::new();
        }
        self.moved_at = now;
        self.engines.advance(now);
        let movable = self.runs.iter().filter(|(_, run)| self.is_movable(run, now));
        let rest = |run: &ActiveRun| self.queue.get(&run.job).map(|job| job.rest(run.item));
        let longest = movable
            .max_by(|(_, a), (_, b)| rest(a).partial_cmp(&rest(b)).unwrap_or(Ordering::Equal));
        let stop = |(&id, run): (&u64, &ActiveRun)| Command::Stop { run: id, runner: run.runner };
        longest.map(stop).into_iter().collect()
    }

    fn is_movable(&self, run: &ActiveRun, now: Time) -> bool {
        if now < run.started_at + MOVE_AGE_MIN {
            return false;
        }
        let (Some(job), Some(target)) = (self.queue.get(&run.job), &run.target) else {
            return false;
        };
        let requirement = Requirement {
            model: &job.spec.model,
            min_version: job.spec.min_version,
            avoid: Some(target),
            // A text goes on only at the version that began it.
            software: self.engines.get(target).map(|engine| &*engine.target.software),
            allow_slow: false,
            spares_fast: false,
            evidence: Evidence::NoFailure,
        };
        let saving = self.engines.saving(&requirement, target);
        saving.is_some_and(|saving| saving.mul_f64(job.rest(run.item)) >= MOVE_SAVING_MIN)
    }
}
