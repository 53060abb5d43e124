//! Tickets: requests of callers, trainers and operators to a host, and their answers.

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
    /// Opens a ticket and passes its event to a host after the client delay.
    pub fn open_ticket(
        &mut self,
        host: &str,
        event: impl FnOnce(Ticket) -> Event,
        then: Option<Callback>,
    ) -> Ticket {
        self.last_id += 1;
        let ticket = self.last_id;
        self.tickets.insert(ticket, (host.into(), then));
        let event = event(ticket);
        let (id, delay): (HostId, _) = (host.into(), self.plan.client_delay);
        self.schedule(delay, move |fleet| {
            if fleet.hosts.get(&id).is_none_or(|host| host.core.is_none()) {
                fleet.close_ticket(ticket, Reply::Broken);
                return;
            }
            fleet.input(&id, event);
        });
        ticket
    }

    /// Answers a ticket; later answers to it are ignored.
    pub fn close_ticket(&mut self, ticket: Ticket, reply: Reply) {
        let Some((host, then)) = self.tickets.remove(&ticket) else {
            return;
        };
        check::reply(self, &host, ticket, &reply);
        if let Some(then) = then {
            then(self, &reply);
        }
        self.replies.insert(ticket, reply);
    }

    /// Tickets that a host has not answered yet.
    pub fn open_tickets(&self, id: &str) -> Vec<Ticket> {
        self.tickets
            .iter()
            .filter(|(_, (host, _))| &**host == id)
            .map(|(&ticket, _)| ticket)
            .collect()
    }

    /// Host that has yet to answer a ticket.
    pub fn host_of(&self, ticket: Ticket) -> Option<&HostId> {
        self.tickets.get(&ticket).map(|(host, _)| host)
    }

    /// Random live host, in the given zone if there is one.
    pub fn random_host(&mut self, zone: Option<&str>) -> Option<HostId> {
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

    /// Applies the plan's configuration file, changed by `edit`, through a host.
    pub fn apply(
        &mut self,
        host: &str,
        apply_id: &str,
        expected: Revision,
        edit: Option<(&str, i64)>,
    ) -> Ticket {
        let body = self.plan.config_file(edit);
        let apply_id: Box<str> = apply_id.into();
        let admin = |ticket| config::Admin::Apply {
            ticket,
            apply_id,
            expected,
            dry_run: false,
            body: body.into(),
        };
        self.open_ticket(host, |ticket| Event::Admin(admin(ticket)), None)
    }

    pub fn submit(
        &mut self,
        host: &str,
        work: request::Work,
        key: Option<Box<str>>,
        deadline: Duration,
    ) -> Ticket {
        let incoming = request::Incoming { work, key, deadline: Some(deadline) };
        self.open_ticket(
            host,
            |ticket| Event::Request(request::Event::Submit { ticket, incoming }),
            None,
        )
    }

    pub fn request_keys(&mut self, host: &str, count: u32, then: Option<Callback>) -> Ticket {
        self.open_ticket(host, |ticket| Event::Key(key::Issue { ticket, count }), then)
    }
}
