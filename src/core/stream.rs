//! Sample streams of trainers.

use std::sync::Arc;

use crate::{
    core::{Action, World, request::Segment},
    prelude::*,
};

/// A trainer's pull.
#[derive(Clone, Debug)]
pub struct Event {
    pub ticket: Ticket,
    pub trainer: TrainerId,
    /// Opaque cursor of the last answer that the trainer took; empty at the start.
    pub cursor: Box<str>,
    /// Version of the trainer's weights now.
    pub version: Version,
    /// Longest wait for a whole batch.
    pub wait: Duration,
}

/// One sample with the versions that produced it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub id: Box<str>,
    pub text: Box<str>,
    pub segments: Vec<Segment>,
    pub reward: Option<f64>,
}

/// All samples of one prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    pub prompt_index: u64,
    pub prompt: Arc<str>,
    pub samples: Vec<Sample>,
}

/// Answer to a pull.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Batch {
        /// Cursor to send next.
        cursor: Box<str>,
        /// Version that staleness was judged by.
        version: Version,
        groups: Arc<[Group]>,
    },
    Error {
        code: Code,
        message: Box<str>,
    },
}

/// Streams of all trainers that this host owns or serves.
#[derive(Debug, Default)]
pub struct Table {}

/// Takes a pull.
pub fn input(world: &mut World, event: Event) {
    let _ = (world, event);
}

/// Answers a waiting trainer, on this host or on the peer that forwarded the pull.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    world.emit(Action::Batch { ticket, answer });
}

/// Generation ahead, stragglers, delivery.
pub fn run(world: &mut World) {
    let _ = world;
}

/// Whether no trainer waits for an answer.
pub fn idle(world: &World) -> bool {
    let _ = world;
    true
}
