//! Configuration in force, and its replacement by a newer one.
//!
//! `head` watches the store, `apply` handles operators' files, `status` answers operators, `drain` stops the host. A
//! host only moves to higher revisions. Hosts that hold a body push and gossip its head; a host that receives a higher
//! head requests the body from the sender.

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

/// Delay before a body that this host could not read is requested again, as its peers keep gossiping the head.
const UNREADABLE_RETRY: Duration = Duration::from_secs(60);

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
    /// First stop signal, or a drain call.
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

/// Step that waits for a reply of the store.
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
    /// Deletion of a body outside the history, or repair of one in it.
    Cleanup,
}

/// Request for a body that was sent to a peer.
#[derive(Clone, Copy, Debug)]
struct BodyRequest {
    revision: Revision,
    until: Time,
}

/// Configuration in force, and the state of finding newer ones.
#[derive(Debug, Default)]
pub struct Table {
    /// Configuration in force.
    pub snapshot: Option<Arc<file::Snapshot>>,
    pub revision: Revision,
    pub digest: u64,
    pub apply_id: Box<str>,
    /// The file in force, as sent by the operator.
    pub body: Bytes,
    /// The file in force with its head, compressed for peers and the data folder.
    compressed: Option<wire::Config>,
    /// Faults of the configuration in the store, of a peer or of a file, by place.
    pub faults: BTreeMap<&'static str, Box<str>>,
    pub(super) watch: head::Watch,
    pub(super) applies: BTreeMap<Ticket, apply::Apply>,
    pub(super) drain: Option<drain::Drain>,
    body_request: Option<BodyRequest>,
    cached: Option<wire::Config>,
    started: Option<Time>,
    pub(super) startup: startup::Startup,
}

impl Table {
    /// Head of the file in force.
    pub fn head(&self) -> Option<wire::Head> {
        self.compressed.as_ref()?.head.clone()
    }
}

/// Handles an operator's call.
pub fn input(world: &mut World, admin: Admin) {
    let (ticket, value) = match admin {
        Admin::Apply { ticket, apply_id, expected, dry_run, body } => {
            let request = apply::Request { ticket, apply_id, expected, body };
            if dry_run {
                apply::dry_run(world, &request);
            } else {
                apply::start(world, request);
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

/// Handles the store's reply to a step.
pub fn store_reply(world: &mut World, step: Step, result: Result<store::Reply, store::Failure>) {
    match step {
        Step::Read | Step::Watch => head::store_reply(world, result),
        Step::Body(head) => head::body_reply(world, &head, result),
        Step::Apply(ticket) => apply::store_reply(world, ticket, result),
        Step::Cleanup => {}
    }
}

/// Records the configuration from the data folder, which is used only if neither peers nor the store provide one.
pub fn load_cached(world: &mut World, body: &[u8]) {
    match wire::Config::decode(body) {
        Ok(config) => world.config.cached = Some(config),
        Err(error) => {
            world
                .log(log::Level::Warn, format!("could not read the cached configuration: {error}"));
        }
    }
}

/// Handles a head from a peer that holds the body.
pub fn receive_head(world: &mut World, from: &HostId, head: &wire::Head) {
    let is_waiting = startup::is_waiting(world);
    if is_waiting {
        startup::observe_head(world, from, head);
    }
    let (now, table) = (world.now, &world.config);
    if head.revision == table.revision && head.digest != table.digest {
        let text = format!("host \"{from}\" holds another file at revision {}", head.revision);
        return set_fault(world, "peer", Some(text));
    }
    if head.revision <= table.revision
        || (is_waiting && head.revision <= table.startup.held_revision())
    {
        return;
    }
    if table
        .body_request
        .is_some_and(|request| request.revision >= head.revision && now < request.until)
    {
        return;
    }
    let revision = head.revision;
    let until = now + world.settings.gossip_interval * 2;
    world.config.body_request = Some(BodyRequest { revision, until });
    peer::send(world, from, Body::ConfigRequest(wire::ConfigRequest { revision }));
}

/// Sends the body to a peer that requested it.
pub fn send_body(world: &mut World, from: &HostId, revision: Revision) {
    if world.config.revision >= revision
        && let Some(compressed) = world.config.compressed.clone()
    {
        peer::send(world, from, Body::Config(compressed));
    }
}

/// Handles a body from a peer.
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

/// Puts a file in force if its revision is higher. Returns `false` if it does not match its head or has faults.
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
            let until = world.now + UNREADABLE_RETRY;
            world.config.body_request = Some(BodyRequest { revision, until });
            return false;
        }
    };
    let compressed = wire::Config { head: Some(head.clone()), body: pack::deflate(&body) };
    let table = &mut world.config;
    table.snapshot = Some(snapshot.clone());
    table.revision = head.revision;
    table.digest = head.digest;
    table.apply_id = head.apply_id.as_str().into();
    table.body = body;
    table.compressed = Some(compressed.clone());
    table.body_request = None;
    set_fault(world, "file", None);
    set_fault(world, "peer", None);
    let local_id = world.hosts.local_id.clone();
    if let Some(row) = world.hosts.rows.get_mut(&local_id) {
        row.revision = head.revision;
    }
    world.log(log::Level::Info, format!("configuration revision {} is in force", head.revision));
    world.emit(Action::ConfigInForce { snapshot, body: compressed.encode_to_vec().into() });
    host::publish_own(world, Spread::Gossip);
    peer::publish(world, Item::Head(head.clone()), Spread::PushFew);
    true
}

/// Sets or clears a fault in the status. A new or different fault is logged.
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

/// Falls back to the cached configuration when due, and runs startup, head, applies and drain.
pub fn run(world: &mut World) {
    let now = world.now;
    let started = *world.config.started.get_or_insert(now);
    if world.config.snapshot.is_none()
        && now.saturating_sub(started) >= world.settings.dead_after
        && world.config.startup.held_revision() == 0
        && let Some(cached) = world.config.cached.take()
    {
        world.log(
            log::Level::Warn,
            "neither peers nor the store provided a configuration, using the cached one",
        );
        startup::finish(world);
        unpack(world, cached);
    }
    startup::run(world);
    head::run(world);
    apply::run(world);
    drain::run(world);
}
