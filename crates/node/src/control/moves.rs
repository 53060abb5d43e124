//! Moves of running items to faster engines, and away from engines that end.

use log::info;

use crate::{
    control::leader::{ActiveRun, Leader},
    job::{Effort, Evidence, Requirement},
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
    /// continues. On engines of even speed nothing is moved while an item waits for a slot. On uneven ones the rest of a long text
    /// outweighs that, and items that wait have been offered the slot before.
    pub fn move_item(&mut self, now: Time) -> Vec<Command> {
        let waiting_goes_first = self.queue.has_waiting() && !self.engines.has_fast();
        if waiting_goes_first || now < self.moved_at + MOVE_INTERVAL {
            return Vec::new();
        }
        self.moved_at = now;
        self.engines.advance(now);
        let movable = self.runs.iter().filter(|(_, run)| self.is_movable(run, now));
        let longest = movable.max_by_key(|(_, run)| self.rest(run));
        let stop = |(&id, run): (&u64, &ActiveRun)| Command::Stop { run: id, runner: run.runner };
        longest.map(stop).into_iter().collect()
    }

    /// Commands to stop the runs that the named end of their engine would cut, those that lack most first, as far as other
    /// engines have free slots for them. Their items continue there after their last event; all others run on.
    pub fn displace_items(&mut self, now: Time) -> Vec<Command> {
        if self.leaving.is_empty() {
            return Vec::new();
        }
        self.displaced.retain(|run| self.runs.contains_key(run));
        self.engines.advance(now);
        let runs = self.runs.iter().filter(|(id, _)| !self.displaced.contains(id));
        let mut cut: Vec<(Option<Duration>, u64, &ActiveRun)> = runs
            .filter_map(|(id, run)| {
                let target = run.target.as_ref()?;
                let rest = self.rest(run);
                self.leaving.cuts(target, now, rest).then_some((rest, *id, run))
            })
            .collect();
        cut.sort_by_key(|(rest, id, _)| (std::cmp::Reverse(*rest), *id));
        let (mut commands, mut displaced) = (Vec::new(), self.displaced.clone());
        for (_, id, run) in cut {
            let free = self.requirement(run).map(|it| self.engines.free_slots_for(&it));
            // Items that are on their way take slots that are still free.
            if free.is_some_and(|free| free > displaced.len()) {
                displaced.insert(id);
                commands.push(Command::Stop { run: id, runner: run.runner });
            }
        }
        self.displaced = displaced;
        if !commands.is_empty() {
            info!(service = &*self.service, runs = commands.len(); "items leave engines that end");
        }
        commands
    }

    /// Time that a run is expected to need until its end; `None` if its length or its engine is unknown.
    fn rest(&self, run: &ActiveRun) -> Option<Duration> {
        let events = self.queue.rest_events(&run.job, run.item)?;
        let engine = self.engines.get(run.target.as_deref()?)?;
        Some(Effort::new(self.engines.pace(engine), events).time())
    }

    fn is_movable(&self, run: &ActiveRun, now: Time) -> bool {
        if now < run.started_at + MOVE_AGE_MIN {
            return false;
        }
        let (Some(requirement), Some(target)) = (self.requirement(run), &run.target) else {
            return false;
        };
        let saving = self.engines.saving(&requirement, target);
        let rest = self.queue.rest_events(&run.job, run.item);
        // Before any text has ended, the length of a text in events is unknown.
        saving.is_some_and(|saving| {
            rest.is_none_or(|events| Effort::new(saving, events).time() >= MOVE_SAVING_MIN)
        })
    }

    /// Requirement of a run's item on another engine.
    fn requirement<'a>(&'a self, run: &'a ActiveRun) -> Option<Requirement<'a>> {
        let (job, target) = (self.queue.get(&run.job)?, run.target.as_ref()?);
        Some(Requirement {
            avoid: Some(target),
            // A text goes on only at the version that began it.
            software: self.engines.get(target).map(|engine| &*engine.target.software),
            evidence: Evidence::NoFailure,
            ..Requirement::new(&job.spec.model, job.spec.min_version)
        })
    }
}
