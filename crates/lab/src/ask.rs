//! Tickets: what callers, trainers and operators ask of a host, and the answers.

use lagoonyard::{
    core::{Event, config, key, request},
    prelude::*,
};
use rand::seq::IteratorRandom;

use crate::{
    Fleet, check,
    fleet::{Callback, Host, Reply},
};

impl Fleet {
    /// Opens a ticket at a host and gives it the event that the ticket is for, after the callers' delay.
    pub fn ask(
        &mut self,
        host: &str,
        event: impl FnOnce(Ticket) -> Event,
        then: Option<Callback>,
    ) -> Ticket {
        self.last += 1;
        let ticket = self.last;
        self.tickets.insert(ticket, (host.into(), then));
        let event = event(ticket);
        let (id, delay): (HostId, _) = (host.into(), self.plan.client_delay);
        self.schedule(delay, move |fleet| {
            if fleet.hosts.get(&id).is_none_or(|host| host.core.is_none()) {
                fleet.settle(ticket, Reply::Broken);
                return;
            }
            fleet.input(&id, event);
        });
        ticket
    }

    /// Answers a ticket; the first answer counts.
    pub fn settle(&mut self, ticket: Ticket, reply: Reply) {
        let Some((host, then)) = self.tickets.remove(&ticket) else {
            return;
        };
        check::reply(self, &host, ticket, &reply);
        if let Some(then) = then {
            then(self, &reply);
        }
        self.replies.insert(ticket, reply);
    }

    /// Tickets that wait at a host.
    pub fn open_at(&self, id: &str) -> Vec<Ticket> {
        self.tickets
            .iter()
            .filter(|(_, (host, _))| &**host == id)
            .map(|(&ticket, _)| ticket)
            .collect()
    }

    /// Host that still waits to answer a ticket.
    pub fn host_of(&self, ticket: Ticket) -> Option<&HostId> {
        self.tickets.get(&ticket).map(|(host, _)| host)
    }

    /// A live host by chance, of the given zone if it has one.
    pub fn some_host(&mut self, zone: Option<&str>) -> Option<HostId> {
        let ready =
            |host: &Host| host.core.is_some() && !host.frozen && host.draining_since.is_none();
        let near = self
            .hosts
            .iter()
            .filter(|(_, host)| ready(host) && zone.is_none_or(|zone| &*host.zone == zone));
        let picked = near.map(|(id, _)| id.clone()).choose(&mut self.rng);
        picked.or_else(|| {
            self.hosts
                .iter()
                .filter(|(_, host)| ready(host))
                .map(|(id, _)| id.clone())
                .choose(&mut self.rng)
        })
    }

    /// Applies the plan's file, changed by `edit`, through a host.
    pub fn apply(
        &mut self,
        host: &str,
        apply_id: &str,
        expected: Revision,
        edit: Option<(&str, i64)>,
    ) -> Ticket {
        let body = self.plan.file(edit);
        let apply_id: Box<str> = apply_id.into();
        let admin = |ticket| config::Admin::Apply {
            ticket,
            apply_id,
            expected,
            dry_run: false,
            body: body.into(),
        };
        self.ask(host, |ticket| Event::Admin(admin(ticket)), None)
    }

    /// Sends a request to a host.
    pub fn submit(
        &mut self,
        host: &str,
        work: request::Work,
        key: Option<Box<str>>,
        deadline: Duration,
    ) -> Ticket {
        let incoming = request::Incoming { work, key, deadline: Some(deadline) };
        self.ask(host, |ticket| Event::Request(request::Event::Submit { ticket, incoming }), None)
    }

    /// Asks a host for keys.
    pub fn keys(&mut self, host: &str, count: u32, then: Option<Callback>) -> Ticket {
        self.ask(host, |ticket| Event::Key(key::Issue { ticket, count }), then)
    }
}
