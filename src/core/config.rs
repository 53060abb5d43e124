//! Configuration in force.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    core::{World, store},
    file,
    prelude::*,
};

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
    Error {
        code: Code,
        message: Box<str>,
        details: Vec<Box<str>>,
    },
}

/// Step of reading or applying that waits for a store answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Watch,
}

/// Configuration and what is known of newer ones.
#[derive(Debug, Default)]
pub struct Table {
    /// Configuration in force.
    pub snapshot: Option<Arc<file::Snapshot>>,
    pub revision: Revision,
}

/// Takes an operator's call.
pub fn input(world: &mut World, admin: Admin) {
    let _ = (world, admin);
}

/// Takes the store's answer to a step.
pub fn stored(world: &mut World, step: Step, result: Result<store::Reply, store::Failure>) {
    let _ = (world, step, result);
}

/// Takes a body from the data folder.
pub fn cached(world: &mut World, body: &[u8]) {
    let _ = (world, body);
}

/// Watches the head and fetches bodies.
pub fn run(world: &mut World) {
    let _ = world;
}
