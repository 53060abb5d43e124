//! Planned stop of a host: its leaderships are released once their runs have ended and their rows are persisted.

use std::rc::Rc;

use log::info;

use crate::{
    clock,
    control::{leader::Leader, state::Control, tasks::write_checkpoints},
    prelude::*,
};

/// Maximum time for which a stopping leader ends its runs and persists their results.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);

impl Control {
    /// Begins to stop: ends all runs, whose results and checkpoints are persisted before the leadership is released.
    /// The traffic thread ends the process.
    pub(super) fn stop(&mut self) {
        info!("stopping");
        let now = clock::now();
        self.hand_over_deadline = Some(now + HAND_OVER_TIMEOUT);
        for (service, leader) in &self.leaders {
            self.outbox.send(service, leader.stop_all());
        }
        self.publish();
    }

    /// Releases the leadership once no run is in progress and all rows are persisted, or at the deadline.
    pub(super) fn hand_over(&mut self, now: Time) {
        let Some(deadline) = self.hand_over_deadline.filter(|deadline| *deadline < Time::MAX)
        else {
            return;
        };
        if now < deadline && self.leaders.values().any(Leader::has_pending_work) {
            return;
        }
        let writes = self.leaders.values_mut().filter_map(|leader| leader.checkpoints(now));
        let writes: Vec<_> =
            writes.map(|write| write_checkpoints(Rc::clone(&self.store), write)).collect();
        let step_down = self.step_down.clone();
        self.hand_over_deadline = Some(Time::MAX);
        tokio::task::spawn_local(async move {
            futures::future::join_all(writes).await;
            step_down.send_replace(true);
        });
    }
}
