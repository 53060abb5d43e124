//! Sample streams of trainers: who owns them, pulls, and the rows that hold their state.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    core::{
        Action, World, capacity::Capacity, cursor::Cursor, delivery, forward, generation,
        group::Draft, pace::Pace, prompt::Buffer, pull, release::Clock, request::Segment, sampling,
        straggler,
    },
    file,
    prelude::*,
    wire,
};

/// How long a stream is kept without a pull on a host that does not own it.
const RETAINED: Duration = Duration::from_secs(60);

/// Pause between two plannings when something came in; a planning walks all samples in flight.
const PLAN_MIN: Duration = Duration::from_millis(10);
/// Pause between two plannings when nothing came in.
const PLAN_MAX: Duration = Duration::from_millis(100);

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
pub struct Table {
    pub rows: BTreeMap<TrainerId, Row>,
    planned: Time,
    /// Something came in since the last planning.
    pub dirty: bool,
}

/// Stream of one trainer.
#[derive(Debug)]
pub struct Row {
    /// Last cursor that the trainer sent.
    pub cursor: Cursor,
    /// Version of the last pull.
    pub version: Version,
    /// Groups in generation or held for a later batch, by prompt index.
    pub drafts: BTreeMap<u64, Draft>,
    /// Batch answered to `cursor`.
    pub offered: Option<Offer>,
    pub waiting: Vec<PendingPull>,
    pub prompts: Buffer,
    /// Prompts that can never be generated.
    pub abandoned: BTreeSet<u64>,
    /// Prompts whose generation failed too often, and when it is tried again.
    pub parked: BTreeMap<u64, Time>,
    /// What each request in flight is for.
    pub requests: BTreeMap<RequestId, Purpose>,
    pub pace: Pace,
    pub releases: Clock,
    /// Duplicates that may be started, in hundredths.
    pub duplicate_credit: u64,
    pub last_pull: Time,
    /// Since when the trainer waits for the batch of `cursor`.
    pub idle_since: Option<Time>,
    /// First in rank for the stream, and when that was found.
    pub owner: Option<HostId>,
    pub ranked: Time,
    /// Engines as last counted.
    pub capacity: Capacity,
    /// When it was last noted where samples run.
    pub watched: Time,
    /// Until when this host generates although it is not the owner in its own view.
    pub adopted: Time,
    /// Cursor epoch written by this host.
    pub epoch: u64,
}

/// A batch and the cursor that it was answered to.
#[derive(Clone, Debug)]
pub struct Offer {
    pub next: Cursor,
    pub groups: Arc<[Group]>,
}

/// A pull that waits for a batch.
#[derive(Clone, Debug)]
pub struct PendingPull {
    pub ticket: Ticket,
    pub cursor: Cursor,
    pub version: Version,
    pub until: Time,
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Prompts { from: u64, count: u64 },
    Sample { index: u64, slot: usize },
    Judge { index: u64, slot: usize },
}

impl Row {
    /// State of a stream whose first pull comes with this cursor.
    pub fn new(cursor: Cursor, version: Version, now: Time) -> Self {
        Self {
            // The host that writes the next cursor did not write this one.
            epoch: cursor.epoch() + 1,
            cursor,
            version,
            drafts: BTreeMap::new(),
            offered: None,
            waiting: Vec::new(),
            prompts: Buffer::default(),
            abandoned: BTreeSet::new(),
            parked: BTreeMap::new(),
            requests: BTreeMap::new(),
            pace: Pace::default(),
            releases: Clock::default(),
            duplicate_credit: 0,
            last_pull: now,
            idle_since: None,
            owner: None,
            ranked: Duration::ZERO,
            capacity: Capacity::default(),
            watched: Duration::ZERO,
            adopted: Duration::ZERO,
        }
    }

    /// Cursor behind everything that was delivered or is offered.
    pub fn base(&self) -> &Cursor {
        self.offered.as_ref().map_or(&self.cursor, |offered| &offered.next)
    }

    /// Whether the trainer still lacks the batch of its cursor, be it between two pulls.
    pub fn awaited(&self) -> bool {
        self.offered.is_none()
    }

    /// Whether the prompt of this index still has to be generated.
    pub fn wants(&self, index: u64) -> bool {
        !self.base().consumed(index)
            && !self.drafts.contains_key(&index)
            && !self.abandoned.contains(&index)
    }

    /// Moves to the cursor of a pull and drops what it says was consumed.
    pub fn moved(&mut self, world: &mut World, cursor: &Cursor, version: Version) {
        self.version = version;
        if *cursor == self.cursor {
            return;
        }
        if cursor.batch() > self.cursor.batch() {
            self.pace.advanced(world.now, version);
        }
        if cursor.epoch() > self.epoch {
            self.epoch = cursor.epoch() + 1;
        }
        self.idle_since = None;
        self.cursor = cursor.clone();
        if let Some(offered) = self.offered.take() {
            for group in offered.groups.iter().filter(|group| !cursor.consumed(group.prompt_index))
            {
                self.drafts.insert(group.prompt_index, group.into());
            }
        }
        let consumed: Vec<u64> =
            self.drafts.keys().copied().filter(|&index| cursor.consumed(index)).collect();
        for index in consumed {
            self.drop_draft(world, index);
        }
        self.prompts.retain(|index| !cursor.consumed(index));
        self.abandoned.retain(|&index| !cursor.consumed(index));
        self.parked.retain(|&index, _| !cursor.consumed(index));
    }

    /// Removes a draft and cancels what runs for it.
    pub fn drop_draft(&mut self, world: &mut World, index: u64) -> Option<Draft> {
        let draft = self.drafts.remove(&index)?;
        self.requests.retain(|&request, purpose| match *purpose {
            Purpose::Sample { index: at, .. } | Purpose::Judge { index: at, .. } if at == index => {
                world.requests.cancel(request);
                false
            }
            _ => true,
        });
        Some(draft)
    }
}

/// Takes a pull. One that a peer passed on without its hops is answered here, so that it cannot go round in circles.
pub fn input(world: &mut World, event: Event) {
    let hops = if event.ticket & forward::FROM_PEER == 0 { 0 } else { pull::HOPS_MAX };
    pull::input(world, event, hops);
}

/// Takes a pull that a peer passed on; the ticket has `forward::FROM_PEER` set.
pub fn forwarded(world: &mut World, ticket: Ticket, pulled: wire::Pull) {
    let hops = pulled.hops.saturating_add(1);
    let event = Event {
        ticket,
        trainer: pulled.trainer.into(),
        cursor: pulled.cursor.into(),
        version: pulled.version,
        wait: Duration::from_millis(pulled.wait_ms),
    };
    pull::input(world, event, hops);
}

/// Answers a pull with an error.
pub fn refuse(world: &mut World, ticket: Ticket, code: Code, message: &str) {
    let message = message.into();
    answer(world, ticket, Answer::Error { code, message });
}

/// Answers a waiting trainer, on this host or on the peer that forwarded the pull.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    if ticket & forward::FROM_PEER != 0 {
        return forward::answer_pull(world, ticket, &answer);
    }
    world.emit(Action::Batch { ticket, answer });
}

/// Whether no pull waits and no sample is in generation, so that a draining host may exit.
pub fn idle(world: &World) -> bool {
    world.streams.rows.values().all(|row| row.waiting.is_empty() && row.requests.is_empty())
}

/// Generation ahead, stragglers, delivery.
pub fn run(world: &mut World) {
    let completions = std::mem::take(&mut world.completions);
    let Some(snapshot) = world.config.snapshot.clone() else {
        return;
    };
    world.streams.dirty |= !completions.is_empty();
    for completion in completions {
        sampling::completed(world, &snapshot, completion);
    }
    let names: Vec<TrainerId> = world.streams.rows.keys().cloned().collect();
    for name in &names {
        let Some(mut row) = world.streams.rows.remove(name) else {
            continue;
        };
        if keep(world, &snapshot, name, &mut row) {
            world.streams.rows.insert(name.clone(), row);
        }
    }
    let pause = if world.streams.dirty { PLAN_MIN } else { PLAN_MAX };
    if !names.is_empty()
        && (world.now >= world.streams.planned + pause || world.streams.planned.is_zero())
    {
        world.streams.planned = world.now;
        world.streams.dirty = false;
        generation::run(world, &snapshot);
        straggler::run(world, &snapshot);
    }
}

/// Serves the waiting pulls of a row; false if the row is not needed any more.
fn keep(world: &mut World, snapshot: &file::Snapshot, name: &TrainerId, row: &mut Row) -> bool {
    let Some(trainer) = snapshot.trainers.get(name) else {
        for waiting in std::mem::take(&mut row.waiting) {
            refuse(world, waiting.ticket, Code::UnknownTrainer, "unknown trainer");
        }
        cancel_all(world, row);
        return false;
    };
    if world.streams.dirty || row.waiting.iter().any(|waiting| waiting.until <= world.now) {
        delivery::serve(world, name, trainer, row);
    }
    pull::rank(world, snapshot, name, trainer, row);
    if pull::generates(world, row) {
        return true;
    }
    pull::hand_over(world, name, row);
    if world.draining {
        // Samples that no target has begun are left to the new owner.
        generation::cancel_queued(world, row);
        return true;
    }
    if world.now < row.last_pull + RETAINED {
        return true;
    }
    cancel_all(world, row);
    false
}

fn cancel_all(world: &mut World, row: &mut Row) {
    for (request, _) in std::mem::take(&mut row.requests) {
        world.requests.cancel(request);
    }
}
