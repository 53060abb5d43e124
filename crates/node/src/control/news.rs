//! What targets have said of themselves in their answers, as far as the control thread acts on it.

use log::info;

use crate::{clock, control::state::Control, fleet::Departure, prelude::*, rate, traffic::Source};

impl Control {
    /// Records the limit that a target names, in all led services.
    pub(super) fn apply_limit(&mut self, target: &TargetId, news: rate::News) {
        self.limits.merge(target, news);
        let (limit, now) = (self.limits.limit(target), clock::now());
        for leader in self.leaders.values_mut() {
            leader.set_limit(target, limit, now);
        }
    }

    /// Has a target that leaves count as draining.
    pub(super) fn apply_departure(&mut self, departure: &Departure, source: Source) {
        if self.store_state.fleet.depart(departure) {
            info!(target_id = &*departure.target, born = departure.started_ms, source:? = source; "target has said that it leaves");
            self.store_state.changed = true;
        }
    }

    /// Grants a request for an engine of a service that this host leads, or tells after which time to ask again. `None`
    /// if another host may lead.
    pub(super) fn grant(
        &mut self,
        service: &ServiceId,
        target: &TargetId,
        priority: u32,
    ) -> Option<Result<(), Duration>> {
        let now = clock::now();
        let limit = self.limits.limit(target);
        let leader = self.leaders.get_mut(service)?;
        let leads = leader.leads() && now < leader.leadership.exclusive_until;
        leads.then(|| {
            leader.set_limit(target, limit, now);
            leader.grant(target, priority, now)
        })
    }
}
