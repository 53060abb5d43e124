//! Turn of one request among those that wait for a plain service without room. Requests wait in turn only while the configuration
//! has workspaces.

use std::rc::Rc;

use tokio::{
    sync::oneshot,
    time::{Instant, sleep_until},
};

use crate::{
    config::Route,
    prelude::*,
    share::{Granted, Refusal, Request, Ticket},
    traffic::{
        exchange::Call,
        pool::Pool,
        turns::{Turns, now},
    },
    view::View,
};

/// Whether requests wait for a service, so that a new one has to wait as well. If a target may have room, the next one tries.
pub fn is_contended(turns: &Turns, view: &View, pool: &Pool, service: &str) -> bool {
    if !view.has_workspaces() || !turns.is_contended(service) {
        return false;
    }
    if pool.may_have_room(view, service, now()) {
        turns.try_next(service);
    }
    turns.is_contended(service)
}

/// Place of one request in the queue of its service, and its charge once it has had its turn.
pub struct Turn {
    turns: Rc<Turns>,
    service: ServiceId,
    request: Request,
    /// Its last turn, and when that began.
    granted: Option<(Granted, Instant)>,
}

impl Turn {
    pub fn new(turns: &Rc<Turns>, (route, service): (&Route, &ServiceId), call: &Call) -> Self {
        let deadline = call.deadline.into_std();
        let request = Request {
            id: call.id.clone(),
            share: call.workspace.clone(),
            priority: route.priority,
            deadline,
            until: deadline,
        };
        Self { turns: Rc::clone(turns), service: service.clone(), request, granted: None }
    }

    /// Waits until the request may try targets, at most until a time. It then tries once more if its deadline has not passed
    /// and no answer gave turns lately, as a slot may be free of which the host was not told.
    pub async fn wait(&mut self, until: Instant) -> Result<(), Refusal> {
        self.request.until = until.into_std().min(self.request.deadline);
        let last = self.granted.take().map(|(granted, _)| granted);
        let (ticket, receiver) = self.turns.enter(&self.service, &self.request, last)?;
        let entered = Entered { turns: &self.turns, service: &self.service, ticket, receiver };
        let mut granted = entered.wait(Instant::from_std(self.request.until)).await;
        if granted.is_none() && self.request.until < self.request.deadline {
            granted = self.turns.last_try(&self.service, ticket, &self.request);
        }
        let granted = granted.ok_or_else(|| self.turns.give_up(&self.service, &self.request))?;
        self.granted = Some((granted, Instant::now()));
        Ok(())
    }

    /// Ends the wait of a request that no target took. Returns why it is refused.
    pub fn give_up(mut self) -> Refusal {
        if let Some((granted, _)) = self.granted.take() {
            self.turns.refused(&self.service, &granted);
        }
        self.turns.give_up(&self.service, &self.request)
    }

    /// Ends the wait of a request that tries no target. The next one has its turn.
    pub fn pass(mut self) {
        if let Some((granted, _)) = self.granted.take() {
            self.turns.leave(&self.service, granted.ticket, Some(granted));
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some((granted, at)) = self.granted.take() {
            self.turns.end(&self.service, &granted, at.elapsed());
        }
    }
}

/// A request that waits; it leaves the queue when dropped.
struct Entered<'a> {
    turns: &'a Turns,
    service: &'a str,
    ticket: Ticket,
    receiver: oneshot::Receiver<Granted>,
}

impl Entered<'_> {
    /// Waits for the turn until a time.
    async fn wait(mut self, until: Instant) -> Option<Granted> {
        tokio::select! {
            biased;
            granted = &mut self.receiver => granted.ok(),
            () = sleep_until(until) => None,
        }
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.turns.leave(self.service, self.ticket, self.receiver.try_recv().ok());
    }
}
