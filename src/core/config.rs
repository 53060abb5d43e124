//! Configuration in force, and how a newer one reaches this host.
//!
//! `head` watches the store, `apply` takes operators' files, `status` answers operators, `drain` stops the host. A host
//! only moves to higher revisions. Heads are pushed and gossiped by hosts that hold the body; whoever hears of a higher
//! one asks its sender for the body.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use prost::Message;

use crate::{
    core::{
        Action, World, apply, burn, drain, head, host, pack,
        peer::{self, Spread},
        startup, status, store,
    },
    file,
    prelude::*,
    wire::{self, Body, Item},
};

/// How long a body that this host cannot read is not asked for again; its peers go on naming its head.
const REFUSED_FOR: Duration = Duration::from_secs(60);

/// An operator's call.
#[derive(Clone, Debug)]
pub enum Admin {
    Apply {
        ticket: Ticket,
        apply_id: Box<str>,
        expected: Revision,
        dry_run: bool,
        body: Bytes,
    },
    Show {
        ticket: Ticket,
    },
    Status {
        ticket: Ticket,
    },
    Report {
        ticket: Ticket,
    },
    /// First stop signal, or the operator's drain call.
    Drain {
        ticket: Option<Ticket>,
    },
}

/// Answer to an operator or to a trainer's announcement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(serde_json::Value),
    Error { code: Code, message: Box<str>, details: Vec<Box<str>> },
}

/// Step of reading or applying that waits for a store answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A watcher reads the head.
    Read,
    /// A watcher waits for a change of the head.
    Watch,
    /// A watcher reads the body of a head.
    Body(head::Head),
    /// An apply waits for its current call.
    Apply(Ticket),
    /// Removal of a body that no head names, or the check of one that a head does.
    Cleanup,
}

/// Body asked from a peer.
#[derive(Clone, Copy, Debug)]
struct Ask {
    revision: Revision,
    until: Time,
}

/// Configuration and what is known of newer ones.
#[derive(Debug, Default)]
pub struct Table {
    /// Configuration in force.
    pub snapshot: Option<Arc<file::Snapshot>>,
    pub revision: Revision,
    pub digest: u64,
    pub apply_id: Box<str>,
    /// The file in force, as the operator sent it.
    pub body: Bytes,
    /// The file in force with its head, deflated, as peers and the data folder get it.
    packed: Option<wire::Config>,
    /// What is wrong with the store's or a peer's configuration, by where it was seen.
    pub faults: BTreeMap<&'static str, Box<str>>,
    pub(super) watch: head::Watch,
    pub(super) applies: BTreeMap<Ticket, apply::Apply>,
    pub(super) drain: Option<drain::Drain>,
    ask: Option<Ask>,
    cached: Option<wire::Config>,
    started: Option<Time>,
    pub(super) startup: startup::Startup,
}

impl Table {
    /// Head of the file in force.
    pub fn head(&self) -> Option<wire::Head> {
        self.packed.as_ref()?.head.clone()
    }
}

/// Takes an operator's call.
pub fn input(world: &mut World, admin: Admin) {
    let (ticket, value) = match admin {
        Admin::Apply { ticket, apply_id, expected, dry_run, body } => {
            let asked = apply::Request { ticket, apply_id, expected, body };
            if dry_run {
                apply::dry_run(world, &asked);
            } else {
                apply::start(world, asked);
            }
            return;
        }
        Admin::Drain { ticket } => return drain::start(world, ticket),
        Admin::Show { ticket } => (ticket, status::show(world)),
        Admin::Status { ticket } => (ticket, status::status(world)),
        Admin::Report { ticket } => (ticket, burn::report(world)),
    };
    answer(world, ticket, Answer::Done(value));
}

/// Answers an operator.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    world.emit(Action::Admin { ticket, answer });
}

/// Answers an operator with an error.
pub fn refuse(
    world: &mut World,
    ticket: Ticket,
    code: Code,
    message: impl Into<Box<str>>,
    details: Vec<Box<str>>,
) {
    let message = message.into();
    answer(world, ticket, Answer::Error { code, message, details });
}

/// Takes the store's answer to a step.
pub fn store_reply(world: &mut World, step: Step, result: Result<store::Reply, store::Failure>) {
    match step {
        Step::Read | Step::Watch => head::store_reply(world, result),
        Step::Body(head) => head::body_reply(world, &head, result),
        Step::Apply(ticket) => apply::store_reply(world, ticket, result),
        Step::Cleanup => {}
    }
}

/// Takes a body from the data folder; it is used only when neither peers nor the store have one.
pub fn load_cached(world: &mut World, body: &[u8]) {
    match wire::Config::decode(body) {
        Ok(config) => world.config.cached = Some(config),
        Err(error) => {
            world
                .log(log::Level::Warn, format!("could not read the cached configuration: {error}"));
        }
    }
}

/// Takes a head that a peer holds the body of.
pub fn receive_head(world: &mut World, from: &HostId, head: &wire::Head) {
    let waits = startup::is_waiting(world);
    if waits {
        startup::observe_head(world, from, head);
    }
    let (now, table) = (world.now, &world.config);
    if head.revision == table.revision && head.digest != table.digest {
        let text = format!("host \"{from}\" holds another file at revision {}", head.revision);
        return set_fault(world, "peer", Some(text));
    }
    if head.revision <= table.revision || (waits && head.revision <= table.startup.held()) {
        return;
    }
    if table.ask.is_some_and(|ask| ask.revision >= head.revision && now < ask.until) {
        return;
    }
    let revision = head.revision;
    let until = now + world.settings.gossip_interval * 2;
    world.config.ask = Some(Ask { revision, until });
    peer::send(world, from, Body::ConfigAsk(wire::ConfigAsk { revision }));
}

/// Answers a peer that asks for a body.
pub fn send_body(world: &mut World, from: &HostId, revision: Revision) {
    if world.config.revision >= revision
        && let Some(packed) = world.config.packed.clone()
    {
        peer::send(world, from, Body::Config(packed));
    }
}

/// Takes a body from a peer.
pub fn receive_body(world: &mut World, from: &HostId, config: wire::Config) {
    if config.body.is_empty() {
        return startup::receive_answer(world, from, config.head.as_ref());
    }
    if !unpack(world, config) {
        peer::ignore(world, from, "a configuration that does not match its head");
    }
}

fn unpack(world: &mut World, config: wire::Config) -> bool {
    let body = pack::inflate(&config.body, file::FILE_MAX_BYTES);
    let (Some(head), Some(body)) = (config.head, body) else {
        return false;
    };
    install(world, &head, body.into())
}

/// Puts a file in force if its revision is higher; `false` if it does not belong to its head or has faults.
pub fn install(world: &mut World, head: &wire::Head, body: Bytes) -> bool {
    if head.revision <= world.config.revision {
        return true;
    }
    if file::digest(&body) != head.digest {
        return false;
    }
    if startup::is_waiting(world) {
        startup::hold_back(world, head, body);
        return true;
    }
    let snapshot = match file::parse(&body, head.revision) {
        Ok(snapshot) => Arc::new(snapshot),
        Err(error) => {
            let text = format!("revision {} is not readable by this host: {error}", head.revision);
            set_fault(world, "file", Some(text));
            let revision = head.revision;
            let until = world.now + REFUSED_FOR;
            world.config.ask = Some(Ask { revision, until });
            return false;
        }
    };
    let packed = wire::Config { head: Some(head.clone()), body: pack::deflate(&body) };
    let table = &mut world.config;
    table.snapshot = Some(snapshot.clone());
    table.revision = head.revision;
    table.digest = head.digest;
    table.apply_id = head.apply_id.as_str().into();
    table.body = body;
    table.packed = Some(packed.clone());
    table.ask = None;
    set_fault(world, "file", None);
    set_fault(world, "peer", None);
    let me = world.hosts.me.clone();
    if let Some(row) = world.hosts.rows.get_mut(&me) {
        row.revision = head.revision;
    }
    world.log(log::Level::Info, format!("configuration revision {} is in force", head.revision));
    world.emit(Action::ConfigInForce { snapshot, body: packed.encode_to_vec().into() });
    host::publish_own(world, Spread::Gossip);
    peer::publish(world, Item::Head(head.clone()), Spread::PushFew);
    true
}

/// Notes or clears a fault that operators should see; logged when it changes.
pub fn set_fault(world: &mut World, place: &'static str, text: Option<String>) {
    let Some(text) = text else {
        world.config.faults.remove(place);
        return;
    };
    if world.config.faults.get(place).is_some_and(|known| **known == *text) {
        return;
    }
    world.config.faults.insert(place, text.as_str().into());
    world.log(log::Level::Error, text);
}

/// Watches the head, fetches bodies, moves applies on.
pub fn run(world: &mut World) {
    let now = world.now;
    let started = *world.config.started.get_or_insert(now);
    if world.config.snapshot.is_none()
        && now.saturating_sub(started) >= world.settings.dead_after
        && world.config.startup.held() == 0
        && let Some(cached) = world.config.cached.take()
    {
        world.log(
            log::Level::Warn,
            "neither peers nor the store gave a configuration, using the cached one",
        );
        startup::finish(world);
        unpack(world, cached);
    }
    startup::run(world);
    head::run(world);
    apply::run(world);
    drain::run(world);
}
