//! Executes the actions of a core against the simulated platform, targets and peers.
//!
//! Each action that leaves the host takes the delay between the two places, and its result returns as an event.

use lagoonyard::{
    core::{
        Action, Event, listing,
        request::{Attempt, Failure, Output, Progress, Update, Work},
        rollout::{self, Order, OrderReply},
        target::{Outcome, Polled, Report},
    },
    prelude::*,
};

use crate::{
    Fleet, check,
    engine::{Notification, STEP},
    fleet::{PLATFORM, Reply},
    poison,
    store::Mode,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from a target's leaving to its mark in the host list.
pub const LIST_LAG: Duration = Duration::from_secs(15);
const LOAD_TIME: Duration = Duration::from_secs(4);

impl Fleet {
    pub fn execute(&mut self, id: &HostId, incarnation: Incarnation, action: Action) {
        let zone = self.hosts[id].zone.clone();
        match action {
            Action::Dispatch(attempt) => self.dispatch(id, incarnation, &zone, attempt),
            Action::Cancel(attempt) => {
                let host = id.clone();
                self.schedule(Duration::from_millis(1), move |fleet| {
                    fleet.engines.values_mut().for_each(|engine| engine.cancel(&host, attempt));
                });
            }
            Action::Answer { ticket, answer } => self.schedule_reply(ticket, Reply::Answer(answer)),
            Action::Keys { ticket, keys } => self.schedule_reply(ticket, Reply::Keys(keys)),
            Action::Batch { ticket, answer } => self.schedule_reply(ticket, Reply::Batch(answer)),
            Action::Admin { ticket, answer } => self.schedule_reply(ticket, Reply::Admin(answer)),
            Action::Store { id: call_id, call } => {
                self.store_call(id, incarnation, &zone, call_id, call);
            }
            Action::ReadListing { zone: wanted } => {
                self.read_listing(id, incarnation, &zone, wanted);
            }
            Action::Poll { target, .. } => self.poll(id, incarnation, &zone, target),
            Action::Order(order) => {
                let host = self.hosts.get_mut(id);
                match host {
                    Some(host) if host.holds_orders => host.held_orders.push(order),
                    _ => self.send_order(id, incarnation, &zone, order),
                }
            }
            Action::Send { to, message, .. } => {
                self.send_message(id, incarnation, &zone, to, message);
            }
            Action::ConfigInForce { snapshot, body } => {
                check::config_in_force(self, id, snapshot.revision);
                if let Some(host) = self.hosts.get_mut(id) {
                    host.revision = snapshot.revision;
                    host.cache = Some(body.to_vec().into());
                }
            }
            Action::Log { level, text } => {
                if level <= self.log_level {
                    self.trace_line(format!("{id} {level}: {text}"));
                }
            }
            Action::Exit => {
                // The process stays up until responses in flight have reached their clients, as the daemon does.
                let (id, delay) = (id.clone(), self.plan.client_delay + Duration::from_millis(1));
                self.schedule(delay, move |fleet| {
                    check::exit(fleet, &id);
                    if let Some(host) = fleet.hosts.get_mut(&id) {
                        host.exited = true;
                    }
                    fleet.kill(&id);
                });
            }
        }
    }

    /// Sends the orders that a host held back.
    pub fn release_orders(&mut self, id: &str) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.holds_orders = false;
        let (held, incarnation, zone) =
            (std::mem::take(&mut host.held_orders), host.incarnation, host.zone.clone());
        for order in held {
            self.send_order(&HostId::from(id), incarnation, &zone, order);
        }
    }

    fn schedule_reply(&mut self, ticket: Ticket, reply: Reply) {
        let delay = self.plan.client_delay;
        self.schedule(delay, move |fleet| fleet.close_ticket(ticket, reply));
    }

    fn send_message(
        &mut self,
        id: &HostId,
        incarnation: Incarnation,
        zone: &str,
        to: HostId,
        message: lagoonyard::wire::Message,
    ) {
        use prost::Message as _;
        if let Some(host) = self.hosts.get_mut(id) {
            host.sent_bytes += message.encoded_len() as u64 + 4;
        }
        let open =
            self.hosts.get(&to).filter(|host| host.core.is_some()).map(|host| host.zone.clone());
        let Some(delay) = open.and_then(|other| self.delay(zone, &other)) else {
            self.report_link_lost(id.clone(), incarnation, to);
            return;
        };
        let from = id.clone();
        self.schedule(delay, move |fleet| {
            let event = lagoonyard::core::peer::Event::Message { from, message: Box::new(message) };
            fleet.input(&to, Event::Peer(event));
        });
    }

    fn dispatch(&mut self, id: &HostId, incarnation: Incarnation, zone: &str, attempt: Attempt) {
        let target = attempt.target.clone();
        check::dispatch(self, id, &target);
        if let Work::Generate(generate) = &attempt.work
            && self.poison_texts.iter().any(|poison| generate.prompt.contains(&**poison))
        {
            poison::check_dispatch(self, id, incarnation, &target);
        }
        let place = self.engines.get(&target).map(|engine| (engine.zone.clone(), engine.up));
        let place = place.or_else(|| {
            self.services.get(&target).map(|service| (service.zone.clone(), service.up))
        });
        let open = place.filter(|(_, up)| *up).and_then(|(other, _)| self.delay(zone, &other));
        let Some(delay) = open else {
            let update =
                Update::Failed { failure: Failure::Connect, partial: attempt.so_far.clone() };
            let event = Event::Attempt(Progress { attempt: attempt.id, update });
            let reached = self.engines.contains_key(&target) || self.services.contains_key(&target);
            let after = if reached { Duration::from_millis(2) } else { CONNECT_TIMEOUT };
            self.deliver(after, id.clone(), incarnation, event);
            return;
        };
        let sent = Event::Attempt(Progress { attempt: attempt.id, update: Update::Sent });
        self.deliver(Duration::ZERO, id.clone(), incarnation, sent);
        let host = id.clone();
        match &attempt.work {
            Work::Generate(_) => {
                self.schedule(delay, move |fleet| {
                    fleet.start_generation(&target, attempt, host, incarnation);
                });
            }
            Work::Call(_) => {
                self.schedule(delay, move |fleet| {
                    fleet.start_call(&target, attempt, host, incarnation, delay);
                });
            }
        }
    }

    fn start_generation(
        &mut self,
        target: &TargetId,
        attempt: Attempt,
        host: HostId,
        incarnation: Incarnation,
    ) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        let failed = |failure| {
            let update = Update::Failed { failure, partial: attempt.so_far.clone() };
            Notification { host: host.clone(), incarnation, attempt: attempt.id, update }
        };
        if !engine.up {
            let notification = failed(Failure::Broken);
            return self.notify(notification);
        }
        if engine.leaving.is_some() {
            let notification = failed(Failure::Leaving);
            return self.notify(notification);
        }
        check::record_accepted(&mut self.checks, &attempt);
        engine.accept(now, attempt, host, incarnation);
        if !engine.stepping {
            engine.stepping = true;
            let id = target.clone();
            self.schedule(STEP, move |fleet| fleet.step_engine(&id));
        }
    }

    fn step_engine(&mut self, target: &TargetId) {
        let now = self.now;
        let poison_texts = self.poison_texts.clone();
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if !engine.up || (engine.running.is_empty() && engine.waiting.is_empty()) {
            engine.stepping = false;
            return;
        }
        let notifications = engine.step(now);
        let poisoned: Vec<_> =
            poison_texts.iter().flat_map(|poison| engine.senders(poison)).collect();
        notifications.into_iter().for_each(|notification| self.notify(notification));
        if !poisoned.is_empty() {
            if let Some(engine) = self.engines.get_mut(target) {
                engine.stepping = false;
            }
            poison::record_crash(self, target, poisoned);
            return self.crash(target, Some(Duration::from_secs(10)));
        }
        let id = target.clone();
        self.schedule(STEP, move |fleet| fleet.step_engine(&id));
    }

    fn start_call(
        &mut self,
        target: &TargetId,
        attempt: Attempt,
        host: HostId,
        incarnation: Incarnation,
        delay: Duration,
    ) {
        let Work::Call(call) = attempt.work.clone() else { return };
        let Some(service) = self.services.get_mut(target) else {
            return;
        };
        let notification = move |update| Notification {
            host: host.clone(),
            incarnation,
            attempt: attempt.id,
            update,
        };
        let failed = |failure| Update::Failed { failure, partial: None };
        if !service.up {
            let notification = notification(failed(Failure::Broken));
            return self.notify(notification);
        }
        if service.leaving.is_some() {
            let notification = notification(failed(Failure::Leaving));
            return self.notify(notification);
        }
        let duration = service.call_time;
        let crashes = service.crashes_before_reply;
        let id = target.clone();
        self.schedule(duration, move |fleet| {
            if fleet.services.get(&id).is_none_or(|service| !service.up) {
                return fleet.notify(notification(failed(Failure::Broken)));
            }
            let response = fleet.ledger.run(&call);
            if crashes {
                fleet.crash(&id, None);
                return fleet.notify(notification(failed(Failure::Broken)));
            }
            let notification = notification(Update::Done(Output::Response(response)));
            fleet.schedule(delay, move |fleet| fleet.notify(notification));
        });
    }

    fn read_listing(&mut self, id: &HostId, incarnation: Incarnation, zone: &str, wanted: ZoneId) {
        let open = self.delay(zone, PLATFORM).filter(|_| self.store.mode != Mode::Refuse);
        let entries: Vec<listing::Entry> =
            self.listing.values().filter(|entry| entry.zone == wanted).cloned().collect();
        let read = listing::ReadResult { zone: wanted, entries: open.map(|_| entries) };
        let delay = open.unwrap_or(Duration::from_millis(5)) * 2;
        self.deliver(delay, id.clone(), incarnation, Event::Listing(read));
    }

    fn poll(&mut self, id: &HostId, incarnation: Incarnation, zone: &str, target: TargetId) {
        let engine = self.engines.get(&target);
        let service = self.services.get(&target);
        let place = engine.map(|engine| (&engine.zone, engine.up, engine.leaving));
        let place =
            place.or_else(|| service.map(|service| (&service.zone, service.up, service.leaving)));
        let open = place
            .filter(|(_, up, _)| *up)
            .and_then(|(other, _, leaving)| Some((self.delay(zone, other)?, leaving)));
        let outcome = match (open, engine) {
            (None, _) => Outcome::Unreachable,
            (Some((_, Some(_))), _) => Outcome::Leaving,
            (Some(_), None) => Outcome::Report(Report::default()),
            (Some(_), Some(_)) if self.reports_disabled => Outcome::Healthy,
            (Some(_), Some(engine)) => Outcome::Report(Report {
                running: engine.running.len() as u32,
                waiting: engine.waiting.len() as u32,
                kv_used_percent: (engine.running.len() as u32 * 100 / engine.slots.max(1)).min(100),
                versions: [(engine.model.clone(), engine.version)].into(),
            }),
        };
        // Engines report their load with a lag of half a second.
        let delay = open
            .map_or(Duration::from_millis(5), |(delay, _)| delay * 2 + Duration::from_millis(500));
        self.deliver(delay, id.clone(), incarnation, Event::Polled(Polled { target, outcome }));
    }

    fn send_order(&mut self, id: &HostId, incarnation: Incarnation, zone: &str, order: Order) {
        let target = order.target.clone();
        let (order_id, host) = (order.id, id.clone());
        let answer = move |result| {
            Event::OrderReply(OrderReply { id: order_id, target: order.target.clone(), result })
        };
        let open =
            self.engines.get(&target).filter(|engine| engine.up).map(|engine| engine.zone.clone());
        let Some(delay) = open.and_then(|other| self.delay(zone, &other)) else {
            let event = answer(Err(rollout::Failure::Unreachable));
            return self.deliver(Duration::from_millis(5), host, incarnation, event);
        };
        let (version, fence) = (order.desired.version, order.fence);
        self.schedule(delay, move |fleet| {
            let now = fleet.now;
            let loads = fleet.active_weight_loads + 1;
            let share = f64::from(loads.max(fleet.plan.full_speed_loads))
                / f64::from(fleet.plan.full_speed_loads);
            let duration = LOAD_TIME.mul_f64(share * fleet.weight_load_factor);
            let Some(engine) = fleet.engines.get_mut(&target).filter(|engine| engine.up) else {
                return fleet.deliver(
                    delay,
                    host,
                    incarnation,
                    answer(Err(rollout::Failure::Unreachable)),
                );
            };
            if engine.checks_fence && fence < engine.fence {
                return fleet.deliver(
                    delay,
                    host,
                    incarnation,
                    answer(Err(rollout::Failure::StaleFence)),
                );
            }
            engine.fence = engine.fence.max(fence);
            let fails = engine.fail_loads > 0;
            engine.fail_loads = engine.fail_loads.saturating_sub(1);
            engine.loading_until = Some(now + duration);
            fleet.active_weight_loads += 1;
            check::weight_load(fleet, &target);
            fleet.schedule(duration, move |fleet| {
                fleet.active_weight_loads -= 1;
                let Some(engine) = fleet.engines.get_mut(&target) else {
                    return;
                };
                if !fails && engine.up {
                    engine.version = version;
                }
                let result = if fails { Err(rollout::Failure::Failed) } else { Ok(()) };
                fleet.trace_line(format!("{target} loaded version {version}: {result:?}"));
                fleet.deliver(delay, host, incarnation, answer(result));
            });
        });
    }
}
