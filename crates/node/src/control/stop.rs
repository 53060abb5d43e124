//! Leaderships that are given up, because the host is stopped or reaches no engine: they are released once their runs have
//! ended and their rows are persisted.

use std::rc::Rc;

use log::{info, warn};

use crate::{
    clock,
    control::{leader::Leader, state::Control, tasks::write_checkpoints},
    prelude::*,
};

/// Maximum time for which a stopping leader ends its runs and persists their results.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a leader that reaches no engine waits for its links to come back.
const CUT_OFF_PATIENCE: Duration = Duration::from_millis(500);
/// Time since the last order of a leader in which another host must send none.
const ORDER_PAUSE: Duration = Duration::from_secs(3);

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

    /// Begins to give up a leadership whose orders do not arrive, if another host may do better. Orders come from the
    /// leader's own host alone, so they cannot go through another one.
    pub(super) fn resign_if_alone(&mut self, service: &ServiceId, now: Time) {
        let ordered_lately = self.orders.ordered_at.get().is_some_and(|at| now < at + ORDER_PAUSE);
        let Some(leader) = self.leaders.get(service) else {
            return;
        };
        let leads = leader.leads() && !self.resigning.contains_key(service);
        if !leads || ordered_lately || !self.links.is_alone(CUT_OFF_PATIENCE, now) {
            return;
        }
        warn!(service = &**service; "giving up the leadership: this host reaches no engine, others do");
        self.outbox.send(service, leader.stop_all());
        self.resigning.insert(service.clone(), now + HAND_OVER_TIMEOUT);
    }

    /// Releases the leaderships that were given up and have no work left, or at their deadline.
    pub(super) fn finish_resignations(&mut self, now: Time) {
        let (leaders, store) = (&mut self.leaders, &self.store);
        for (service, deadline) in &mut self.resigning {
            let Some(leader) = leaders.get_mut(service) else {
                continue;
            };
            let (Some(fence), Some(release)) =
                (leader.leadership.fence, self.releases.get(service))
            else {
                continue;
            };
            if now < *deadline && leader.has_pending_work() || *deadline == Time::MAX {
                continue;
            }
            *deadline = Time::MAX;
            let write =
                leader.checkpoints(now).map(|write| write_checkpoints(Rc::clone(store), write));
            let release = release.clone();
            tokio::task::spawn_local(async move {
                futures::future::OptionFuture::from(write).await;
                release.send_replace(fence);
            });
        }
    }
}
