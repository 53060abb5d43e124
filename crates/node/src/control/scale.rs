//! Orders for the number of targets of the services that this host leads. [`crate::scale`] decides; here the decisions are
//! logged and sent.
//!
//! Orders are sent with the fencing token of the leadership, as orders to engines are: only while the lease was renewed
//! lately, and after a read of the store that shows this host's own leader key.

use std::{collections::BTreeMap, rc::Rc};

use futures::future::join_all;
use log::{info, warn};
use tokio::sync::mpsc;

use crate::{
    cloud::{self, Authority, Call, Duty, Error, Outcome, ScaleOrder},
    config::{Config, Scale},
    control::{
        leader::Leader,
        orders::{self, Term},
        state::Control,
        tasks::{Completion, send_completion},
    },
    logging::ms,
    metrics::METERS,
    prelude::*,
    scale::{Basis, CallResult, Decision, Inputs, Kind, Order, Pool, Present, Scaler, Turn},
};

/// Interval between evaluations of the work and the registrations.
const INTERVAL: Duration = Duration::from_millis(300);

/// Scaling of the services that this host leads or has led.
#[derive(Debug)]
pub(super) struct Scaling {
    process_started: Time,
    services: BTreeMap<ServiceId, Service>,
}

#[derive(Debug)]
struct Service {
    turn: Turn,
    fence: Revision,
    scaler: Scaler,
    observed_at: Time,
    /// End of the time for orders when an order met a conflict, `Time::MAX` until that is recorded. A higher fencing token may
    /// be the cause, so the lease has to be renewed before the next order.
    doubted: Option<Time>,
}

impl Scaling {
    pub(super) fn new(process_started: Time) -> Self {
        Self { process_started, services: BTreeMap::new() }
    }

    /// State of a service under a leadership. A new one begins with what is registered.
    fn service(
        &mut self,
        name: &ServiceId,
        fence: Revision,
        now: Time,
        turn: Duration,
    ) -> &mut Service {
        let process_started = self.process_started;
        let service = self.services.entry(name.clone()).or_insert_with(|| Service {
            turn: Turn::new(process_started),
            fence: Revision::default(),
            scaler: Scaler::default(),
            observed_at: Time::ZERO,
            doubted: None,
        });
        if service.fence != fence {
            service.fence = fence;
            service.scaler = Scaler::default();
            service.doubted = None;
            service.turn.acquired(now, turn);
        }
        service
    }

    /// Forgets what was decided under a leadership that has ended. Metrics no longer show it.
    pub(super) fn lost(&mut self, name: &ServiceId) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        for (pool, _, _) in service.scaler.pools() {
            record_pool(name, pool, (0, 0));
        }
        record_slots(name, &Basis::default());
        service.fence = Revision::default();
        service.scaler = Scaler::default();
    }

    /// Applies the result of an order.
    pub(super) fn ended(
        &mut self,
        name: &ServiceId,
        fence: Revision,
        order: &Order,
        result: CallResult,
        now: Time,
    ) {
        METERS.scale_order(name, order.reason, result.name());
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.turn.called(now);
        if service.fence != fence {
            return;
        }
        if result == CallResult::Conflict {
            service.doubted = Some(Time::MAX);
        }
        service.scaler.ended(now, &order.pool, result, rand::random());
    }
}

impl Service {
    /// Whether the leadership lasts until a time and is not in doubt.
    fn may_order(&mut self, orders_until: Time, now: Time) -> bool {
        match self.doubted {
            // The first check after the conflict records up to when the lease was renewed then.
            Some(Time::MAX) => {
                self.doubted = Some(orders_until);
                return false;
            }
            Some(doubted) if orders_until <= doubted => return false,
            Some(_) => self.doubted = None,
            None => {}
        }
        now < orders_until && self.turn.may_call(now)
    }
}

impl Control {
    /// Evaluates the work and the registrations of a service that this host leads, if that is due, and sends the orders that
    /// follow.
    pub(super) fn scale_targets(&mut self, name: &ServiceId, now: Time) {
        let (Some(cloud), Some(settings)) = (&self.cloud, &self.settings.cloud) else {
            return;
        };
        let Some(config) = self.store_state.config.as_deref() else {
            return;
        };
        let (Some(scale), Some(leader)) = (scale_of(config, name), self.leaders.get(name)) else {
            return;
        };
        let Some(fence) = leader.fence().filter(|_| settings.has(Duty::Autoscale)) else {
            return;
        };
        let service = self.scaling.service(name, fence, now, settings.turn_interval);
        if now < service.observed_at + INTERVAL {
            return;
        }
        service.observed_at = now;
        let steps = leader.queue.steps(&leader.engines);
        service.scaler.observe(now, &Inputs { scale, targets: leader.present_targets(), steps });
        record(name, &service.scaler);
        if !service.may_order(leader.leadership.orders_until, now) {
            return;
        }
        let decision = service.scaler.decide(now, scale, calls_per_s(config, settings));
        if decision.orders.is_empty() {
            return;
        }
        service.turn.called(now);
        log(name, fence, &decision, self.freshness.age(now));
        let authority = Authority {
            holder: self.settings.host.clone(),
            fence,
            until: leader.leadership.orders_until,
        };
        let sender = Sender {
            cloud: Rc::clone(cloud),
            orders: Rc::clone(&self.orders),
            completions: self.completions.clone(),
        };
        let term = Term { service: name.clone(), fence };
        tokio::task::spawn_local(sender.send(term, authority, decision.orders));
    }
}

impl Leader {
    fn present_targets(&self) -> Vec<Present> {
        let present = self.engines.iter().map(|engine| {
            let target = &engine.target;
            let kind = if target.spot { Kind::Spot } else { Kind::OnDemand };
            Present {
                pool: Pool { zone: target.zone.clone(), kind },
                slots: target.slots,
                taken: engine.in_flight,
                draining: target.draining,
                leaving: target.draining && target.leaves_in.is_some(),
            }
        });
        present.collect()
    }
}

/// Bounds of a service whose targets may be scaled.
fn scale_of<'a>(config: &'a Config, name: &ServiceId) -> Option<&'a Scale> {
    let service = config.service(name)?;
    service.scale.as_ref().filter(|_| service.engines)
}

/// This service's share of the calls that all hosts may make: each scaled service and the usage reports have equal shares.
fn calls_per_s(config: &Config, settings: &cloud::Settings) -> f64 {
    let scaled =
        config.services.iter().filter(|service| service.engines && service.scale.is_some());
    let shares = scaled.count() + usize::from(settings.has(Duty::UsageReport));
    settings.calls_per_s / shares.max(1) as f64
}

fn record(service: &str, scaler: &Scaler) {
    for (pool, wanted, ready) in scaler.pools() {
        record_pool(service, pool, (wanted, ready));
    }
    record_slots(service, scaler.basis());
}

fn record_pool(service: &str, pool: &Pool, (wanted, ready): (u32, u32)) {
    let pool = (&*pool.zone, pool.kind.name());
    METERS.scale_targets(service, pool, "wanted", wanted);
    METERS.scale_targets(service, pool, "ready", ready);
}

fn record_slots(service: &str, basis: &Basis) {
    let slots = [("open", basis.open), ("expected", basis.expected), ("ready", basis.ready)];
    for (name, slots) in slots {
        METERS.scale_slots(service, name, slots);
    }
}

fn log(service: &str, fence: Revision, decision: &Decision, age: Option<Duration>) {
    let basis = &decision.basis;
    let slots = |slots: f64| slots.ceil() as u64;
    for order in &decision.orders {
        info!(
            service, fence, zone = &*order.pool.zone, kind = order.pool.kind.name(), count = order.count,
            before = order.before, ready = order.ready, reason = order.reason,
            open_steps = basis.open_steps, open_slots = slots(basis.open), expected_slots = slots(basis.expected),
            ready_slots = slots(basis.ready), needed = basis.need.total, needed_after_loss = basis.need.after_loss,
            registrations_age_ms:? = age.map(ms);
            "ordering targets"
        );
    }
}

/// Sends orders under one leadership.
struct Sender {
    cloud: cloud::Handle,
    orders: Rc<orders::Client>,
    completions: mpsc::UnboundedSender<Completion>,
}

impl Sender {
    /// Confirms the leadership once for all orders, and sends them.
    async fn send(self, term: Term, authority: Authority, orders: Vec<Order>) {
        let still_leads = self.orders.still_leads(&term).await;
        let calls = orders.into_iter().map(|order| async {
            let result = if still_leads {
                self.call(&term.service, &authority, &order).await
            } else {
                CallResult::Refused
            };
            let (service, fence) = (term.service.clone(), term.fence);
            send_completion(
                &self.completions,
                Completion::Scaled { service, fence, order, result },
            );
        });
        join_all(calls).await;
    }

    async fn call(&self, service: &ServiceId, authority: &Authority, order: &Order) -> CallResult {
        let call = Call::Scale(ScaleOrder {
            service: service.clone(),
            zone: order.pool.zone.clone(),
            count: order.count,
            spot: order.pool.kind == Kind::Spot,
        });
        let result = match self.cloud.call(authority, &call).await {
            Ok(Outcome::Accepted) => return CallResult::Accepted,
            Ok(Outcome::Conflict) => CallResult::Conflict,
            Ok(Outcome::RateLimited) => CallResult::RateLimited,
            Err(Error::Refused { reason }) => {
                info!(service = &**service, reason:% = reason; "order for targets was not taken");
                CallResult::Refused
            }
            Err(Error::NoResponse { reason }) => {
                info!(service = &**service, reason:% = reason; "order for targets has no response");
                CallResult::NoResponse
            }
        };
        warn!(service = &**service, fence = authority.fence, zone = &*order.pool.zone, kind = order.pool.kind.name(), count = order.count, outcome = result.name(); "targets not ordered");
        result
    }
}
