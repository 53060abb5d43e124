//! Crashes, restarts and leaving of targets.

use lagoonyard::{
    core::{Event, request},
    prelude::*,
};

use crate::{Fleet, engine};

impl Fleet {
    /// Crashes an engine or service process; it comes back after a while when `back` is given.
    pub fn crash(&mut self, target: &str, back: Option<Duration>) {
        self.note(format!("target {target} crashes"));
        self.checks.disturbed = Some(self.now);
        self.checks.crashed = Some(self.now);
        if let Some(engine) = self.engines.get_mut(target) {
            self.crashes += 1;
            let notes = engine.crash();
            notes.into_iter().for_each(|note| self.tell(note));
        }
        if let Some(service) = self.services.get_mut(target) {
            service.up = false;
        }
        let Some(back) = back else { return };
        let target: TargetId = target.into();
        self.schedule(back, move |fleet| fleet.revive(&target));
    }

    /// Starts a crashed target again.
    pub fn revive(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.up = true;
        }
        if let Some(service) = self.services.get_mut(target) {
            service.up = true;
        }
    }

    /// A target begins to leave; the host list hears of it later.
    pub fn leave(&mut self, target: &str) {
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(target) {
            engine.leaving = Some(now);
        }
        if let Some(service) = self.services.get_mut(target) {
            service.leaving = Some(now);
        }
    }

    /// Delivers an attempt's update to its host.
    pub fn tell(&mut self, note: engine::Note) {
        let event =
            Event::Attempt(request::Progress { attempt: note.attempt, update: note.update });
        let delay = Duration::from_millis(1);
        self.deliver(delay, note.host, note.incarnation, event);
    }
}
