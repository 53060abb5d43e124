//! Turns of callers' requests at the targets of plain services that have no room. [`share::Queue`] decides whose turn it is;
//! this module wakes the requests, ticks, and logs. A request waits through its `turn`.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use log::info;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};

use crate::{
    clock,
    log_limit::LogLimit,
    logging,
    metrics::METERS,
    prelude::*,
    share::{Granted, Queue, Refusal, Request, Ticket},
    traffic::dispatch::REFUSED_BACKOFF,
};

/// Most services with a queue. Services without waiting requests are dropped beyond it.
const LANES_MAX: usize = 256;

/// Queue of one service, and the requests to wake.
#[derive(Debug)]
struct Lane {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Granted>>,
    /// Whether a task ticks.
    ticks: bool,
}

impl Lane {
    fn new() -> Self {
        Self { queue: Queue::new(now()), waiting: HashMap::new(), ticks: false }
    }

    /// Wakes a request, or the next one if that is gone.
    fn wake(&mut self, granted: Option<Granted>) {
        let mut next = granted;
        while let Some(granted) = next {
            let unused = match self.waiting.remove(&granted.ticket) {
                Some(sender) => match sender.send(granted) {
                    Ok(()) => return,
                    Err(unused) => unused,
                },
                None => granted,
            };
            self.queue.cancel(&unused);
            next = self.queue.grant(now());
        }
    }
}

/// Queues of all services of this host.
#[derive(Debug, Default)]
pub struct Turns {
    lanes: RefCell<HashMap<ServiceId, Lane>>,
    /// Limit on lines about refused requests.
    refusal_log: LogLimit,
}

impl Turns {
    /// Whether requests wait for a service.
    pub fn is_contended(&self, service: &str) -> bool {
        self.lanes.borrow().get(service).is_some_and(|lane| !lane.queue.is_empty())
    }

    /// Records that a target of a service answered, and has the next request try.
    pub fn free(&self, service: &str) {
        self.with(service, |lane| {
            let granted = lane.queue.free(now());
            lane.wake(granted);
        });
    }

    /// Has the next request of a service try, as a target may have room.
    pub fn try_next(&self, service: &str) {
        self.with(service, |lane| {
            let granted = lane.queue.grant(now());
            lane.wake(granted);
        });
    }

    /// Adds a request to the queue of a service, again if it had its turn before. Its next turn comes through the receiver.
    pub fn enter(
        self: &Rc<Self>,
        service: &ServiceId,
        request: &Request,
        last: Option<Granted>,
    ) -> Result<(Ticket, oneshot::Receiver<Granted>), Refusal> {
        let mut lanes = self.lanes.borrow_mut();
        if lanes.len() >= LANES_MAX {
            lanes.retain(|_, lane| lane.ticks);
        }
        let lane = lanes.entry(service.clone()).or_insert_with(Lane::new);
        let entered = match last {
            Some(granted) => Ok(lane.queue.enter_again(request, &granted, now())),
            None => lane.queue.enter(request, now()),
        };
        let ticket =
            entered.inspect_err(|refusal| self.record_refusal(service, request, refusal))?;
        let (sender, receiver) = oneshot::channel();
        lane.waiting.insert(ticket, sender);
        if !std::mem::replace(&mut lane.ticks, true) {
            tokio::task::spawn_local(tick(Rc::clone(self), service.clone()));
        }
        Ok((ticket, receiver))
    }

    /// Removes a request that waits no longer. If its turn has just come, the next request has it.
    pub fn leave(&self, service: &str, ticket: Ticket, unused: Option<Granted>) {
        self.with(service, |lane| {
            lane.waiting.remove(&ticket);
            lane.queue.leave(ticket, now());
            if let Some(unused) = unused {
                lane.queue.cancel(&unused);
                let granted = lane.queue.grant(now());
                lane.wake(granted);
            }
        });
    }

    /// Grants a last try to a request that has left because it has waited as long as it may.
    pub fn last_try(&self, service: &str, ticket: Ticket, request: &Request) -> Option<Granted> {
        self.with(service, |lane| lane.queue.last_try(ticket, request, now())).flatten()
    }

    /// Records that no target took a request in its turn.
    pub fn refused(&self, service: &str, granted: &Granted) {
        self.with(service, |lane| lane.queue.refused(granted));
    }

    /// Records that a request has waited as long as it may.
    pub fn give_up(&self, service: &ServiceId, request: &Request) -> Refusal {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(service.clone()).or_insert_with(Lane::new);
        let refusal = lane.queue.give_up(request, now());
        self.record_refusal(service, request, &refusal);
        refusal
    }

    /// Records that a request has ended that held a target for a time.
    pub fn end(&self, service: &str, granted: &Granted, held: Duration) {
        self.with(service, |lane| lane.queue.end(granted, held));
    }

    /// Calls a function with the queue of a service; does nothing if it was dropped.
    fn with<T>(&self, service: &str, call: impl FnOnce(&mut Lane) -> T) -> Option<T> {
        self.lanes.borrow_mut().get_mut(service).map(call)
    }

    fn record_refusal(&self, service: &str, request: &Request, refusal: &Refusal) {
        METERS.queue_refusal(refusal.cause.name());
        let Some(refused) = self.refusal_log.count(clock::now()) else {
            return;
        };
        let cause = refusal.cause.name();
        let Refusal { waiting, ahead, rate, rate_age, expected, retry_after, .. } = *refusal;
        let rate = rate.map_or_else(|| "unknown".into(), |rate| format!("{rate:.1}"));
        let time = |time: Option<Duration>| {
            time.map_or_else(|| "unknown".into(), |time| logging::ms(time).to_string())
        };
        info!(request = &*request.id, service, workspace = request.share.as_deref().unwrap_or_default(), priority = request.priority, cause, waiting, ahead, rate_per_s = rate, rate_age_ms = time(rate_age), expected_ms = time(expected), retry_after_ms = logging::ms(retry_after), refused; "requests refused: no target of the service has room");
    }
}

/// Has the first requests of a queue try at intervals while any waits: slots become free of which this host is not told.
async fn tick(turns: Rc<Turns>, service: ServiceId) {
    loop {
        sleep(REFUSED_BACKOFF).await;
        let waits = turns.with(&service, |lane| {
            for granted in lane.queue.tick(now()) {
                lane.wake(Some(granted));
            }
            METERS.waiting_requests(&service, lane.queue.len());
            lane.ticks = !lane.queue.is_empty();
            lane.ticks
        });
        if waits != Some(true) {
            return;
        }
    }
}

pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}
