//! Crashes, restarts and leaving of targets.

use lagoonyard::{
    core::{Event, request},
    prelude::*,
};

use crate::{Fleet, engine};

impl Fleet {
    /// Crashes an engine or service process and restarts it after a delay, if one is given.
    pub fn crash(&mut self, target: &str, restart_after: Option<Duration>) {
        self.trace_line(format!("target {target} crashes"));
        self.checks.last_disturbance = Some(self.now);
        self.checks.last_crash = Some(self.now);
        if let Some(engine) = self.engines.get_mut(target) {
            self.engine_crashes += 1;
            let notifications = engine.crash();
            notifications.into_iter().for_each(|notification| self.notify(notification));
        }
        if let Some(service) = self.services.get_mut(target) {
            service.up = false;
        }
        let Some(restart_after) = restart_after else { return };
        let target: TargetId = target.into();
        self.schedule(restart_after, move |fleet| fleet.restart(&target));
    }

    pub fn restart(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.up = true;
        }
        if let Some(service) = self.services.get_mut(target) {
            service.up = true;
        }
    }

    /// Makes a target report that it is leaving; the host list does not change.
    pub fn start_leaving(&mut self, target: &str) {
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(target) {
            engine.leaving = Some(now);
        }
        if let Some(service) = self.services.get_mut(target) {
            service.leaving = Some(now);
        }
    }

    /// Passes an attempt's update to its host.
    pub fn notify(&mut self, notification: engine::Notification) {
        let event = Event::Attempt(request::Progress {
            attempt: notification.attempt,
            update: notification.update,
        });
        let delay = Duration::from_millis(1);
        self.deliver(delay, notification.host, notification.incarnation, event);
    }
}
