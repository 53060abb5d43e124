//! Explains where items of the led services would go. Reads only.

use crate::{
    clock,
    control::{leader::Leader, state::Control, store_state::Head},
    dry_run::{self, Inquiry, Plan, Refusal, Wait},
    job::Reason,
    prelude::*,
};

/// Reason of the items of a leader that waits for the failed items that other hosts know.
const AWAITS_FAILURES: &str = "awaits_failures";

impl Control {
    /// Answers a question; `Elsewhere` if no service that this host leads can tell.
    pub(super) fn explain(&self, inquiry: &Inquiry) -> Result<Plan, Refusal> {
        let now = clock::now();
        let elsewhere = || Refusal::Elsewhere { leaders: Vec::new() };
        match inquiry {
            Inquiry::Service(service) => {
                let leader = self.leaders.get(service).filter(|leader| leader.leads());
                let leader = leader.ok_or_else(elsewhere)?;
                Ok(Plan { candidates: leader.engines.explain(now), ..self.plan_of(leader, now) })
            }
            Inquiry::Job { job: id, caller } => {
                let mut led = self.leaders.values().filter(|leader| leader.leads());
                let open = led.find_map(|leader| Some((leader, leader.queue.get(id)?)));
                if let Some((leader, job)) = open {
                    let is_visible = caller.sees(job.record.workspace.as_deref());
                    return if is_visible {
                        Ok(self.plan_job(leader, id, now))
                    } else {
                        Err(Refusal::UnknownJob)
                    };
                }
                let head = self.store_state.job_heads.get(id);
                let Head { record, .. } = head.ok_or_else(elsewhere)?;
                let leader = self.leaders.get(&record.service).filter(|leader| leader.leads());
                let leader = leader.ok_or_else(elsewhere)?;
                if !caller.sees(record.workspace.as_deref()) {
                    return Err(Refusal::UnknownJob);
                }
                if record.ended {
                    return Err(Refusal::EndedJob);
                }
                let candidates = leader.engines.explain(now);
                let wait = Some(Wait::from(&Reason::JobNotRead));
                Ok(Plan { candidates, wait, ..self.plan_of(leader, now) })
            }
        }
    }

    fn plan_of(&self, leader: &Leader, now: Time) -> Plan {
        let held = dry_run::Leader {
            address: self.settings.peer,
            fence: leader.fence(),
            lease_left: leader.leadership.exclusive_until.saturating_sub(now),
        };
        Plan { service: leader.service.clone(), leader: Some(held), ..Plan::default() }
    }

    fn plan_job(&self, leader: &Leader, id: &JobId, now: Time) -> Plan {
        let mut plan = self.plan_of(leader, now);
        leader.queue.explain(id, now, &leader.engines, &mut plan);
        let blocked = self.blocked(&leader.service, leader).map(|reason| Wait::from(&reason));
        let awaits = || leader.awaits_failures.then(|| Wait::new(AWAITS_FAILURES));
        let blocked = blocked.or_else(awaits);
        if blocked.is_some() {
            (plan.chosen, plan.wait) = (None, blocked);
        }
        plan
    }
}
