//! Moves of running items to faster engines.

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

impl Leader {
    /// Command to stop the longest run that would finish sooner on an engine with a free slot, where its item then
    /// continues. Nothing is moved while an item is waiting for a slot.
    pub fn move_item(&mut self, now: Time) -> Vec<Command> {
        if self.queue.has_waiting() || now < self.moved_at + MOVE_INTERVAL {
            return Vec::new();
        }
        self.moved_at = now;
        self.engines.advance(now);
        let movable = self.runs.iter().filter(|(_, run)| self.is_movable(run, now));
        let length_hint = |run: &ActiveRun| {
            let job = self.queue.get(&run.job);
            job.and_then(|job| job.spec.items[run.item].length_hint)
        };
        let longest = movable.max_by_key(|(_, run)| length_hint(run));
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
            evidence: Evidence::NoFailure,
            work: None,
        };
        self.engines.has_faster(&requirement, target)
    }
}
