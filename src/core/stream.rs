//! Sample streams of trainers.
//!
//! Each trainer has a stream, which one host owns. The owner generates groups of samples ahead of the trainer and
//! answers its pulls with batches. The only durable state of a stream is the cursor that the trainer sends with each
//! pull, so any host can take a stream over. This module holds the rows and drives the parts: `pull` finds the owner,
//! `generation` plans and submits samples, `sampling`, `judge` and `prompt` handle completions, `straggler` duplicates
//! slow samples, and `delivery` assembles batches.

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

/// Time for which a host that does not own a stream keeps it after its last pull.
const RETENTION: Duration = Duration::from_secs(60);

/// Least time between two runs of planning, which iterates over all samples in flight.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Time between two runs of planning when nothing changed.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// A trainer's pull.
#[derive(Clone, Debug)]
pub struct Event {
    pub ticket: Ticket,
    pub trainer: TrainerId,
    /// Opaque cursor of the last batch that the trainer accepted; empty at the start.
    pub cursor: Box<str>,
    /// Current version of the trainer's weights.
    pub version: Version,
    /// Longest wait for a complete batch.
    pub wait: Duration,
}

/// One sample with the weight versions that produced it.
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
        /// Trainer version that staleness was measured against.
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
    planned_at: Time,
    /// A pull or a completion arrived since planning last ran.
    pub dirty: bool,
}

/// Stream of one trainer.
#[derive(Debug)]
pub struct Row {
    /// Last cursor that the trainer sent.
    pub cursor: Cursor,
    /// Version of the last pull.
    pub version: Version,
    /// Groups in generation or complete and not yet offered, by prompt index.
    pub drafts: BTreeMap<u64, Draft>,
    /// Batch delivered for `cursor`, repeated if the trainer pulls with that cursor again.
    pub offered: Option<Offer>,
    pub waiting: Vec<PendingPull>,
    pub prompts: Buffer,
    /// Prompts that are rejected for good; they count as delivered.
    pub abandoned: BTreeSet<u64>,
    /// Prompts whose generation failed too often, with the time of the next attempt.
    pub parked: BTreeMap<u64, Time>,
    /// Requests in flight of this stream.
    pub requests: BTreeMap<RequestId, Purpose>,
    pub pace: Pace,
    pub releases: Clock,
    /// Credit for duplicates of slow samples, in hundredths of one.
    pub duplicate_credit: u64,
    pub last_pull: Time,
    /// Time since which the trainer waits for the batch of `cursor`.
    pub idle_since: Option<Time>,
    /// Owner of the stream as last determined.
    pub owner: Option<HostId>,
    pub owner_checked: Time,
    pub capacity: Capacity,
    /// Last update of the targets and start times of the running samples.
    pub runs_updated: Time,
    /// Until this time the host generates although it does not consider itself the owner.
    pub adopted_until: Time,
    /// Epoch of the cursors written by this host.
    pub epoch: u64,
}

/// A delivered batch and the cursor that follows it.
#[derive(Clone, Debug)]
pub struct Offer {
    pub next: Cursor,
    pub groups: Arc<[Group]>,
}

/// A pull that waits for its batch.
#[derive(Clone, Debug)]
pub struct PendingPull {
    pub ticket: Ticket,
    pub cursor: Cursor,
    pub version: Version,
    pub until: Time,
}

/// Purpose of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    Prompts { from: u64, count: u64 },
    Sample { index: u64, slot: usize },
    Judge { index: u64, slot: usize },
}

impl Row {
    /// State of a stream on a host that receives its first pull with this cursor.
    pub fn new(cursor: Cursor, version: Version, now: Time) -> Self {
        Self {
            // Another host wrote this cursor, so the next one starts a new epoch.
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
            owner_checked: Duration::ZERO,
            capacity: Capacity::default(),
            runs_updated: Duration::ZERO,
            adopted_until: Duration::ZERO,
        }
    }

    /// Cursor after the batch on offer, or else the trainer's.
    pub fn base(&self) -> &Cursor {
        self.offered.as_ref().map_or(&self.cursor, |offered| &offered.next)
    }

    /// Whether no batch has been offered for the trainer's cursor yet, even if no pull waits at this time.
    pub fn lacks_batch(&self) -> bool {
        self.offered.is_none()
    }

    /// Whether the prompt of this index still has to be generated.
    pub fn needs_prompt(&self, index: u64) -> bool {
        !self.base().consumed(index)
            && !self.drafts.contains_key(&index)
            && !self.abandoned.contains(&index)
    }

    /// Advances to the cursor of a pull and drops the state of the prompts that it marks as consumed.
    pub fn advance(&mut self, world: &mut World, cursor: &Cursor, version: Version) {
        self.version = version;
        if *cursor == self.cursor {
            return;
        }
        if cursor.batch() > self.cursor.batch() {
            self.pace.record_step(world.now, version);
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

    /// Removes a draft and cancels its requests.
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

/// Handles a pull. One from a peer that carries no hop count is answered here, so that it cannot loop.
pub fn input(world: &mut World, event: Event) {
    let hops = if event.ticket & forward::FROM_PEER == 0 { 0 } else { pull::HOPS_MAX };
    pull::input(world, event, hops);
}

/// Handles a pull that a peer forwarded; the ticket has `forward::FROM_PEER` set.
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

/// Answers a pull, on this host or on the peer that forwarded it.
pub fn answer(world: &mut World, ticket: Ticket, answer: Answer) {
    if ticket & forward::FROM_PEER != 0 {
        return forward::answer_pull(world, ticket, &answer);
    }
    world.emit(Action::Batch { ticket, answer });
}

/// Whether no pull waits and no request is in flight, so that a draining host may exit.
pub fn idle(world: &World) -> bool {
    world.streams.rows.values().all(|row| row.waiting.is_empty() && row.requests.is_empty())
}

/// Handles completions, delivers batches, and plans generation.
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
        if serve(world, &snapshot, name, &mut row) {
            world.streams.rows.insert(name.clone(), row);
        }
    }
    let interval = if world.streams.dirty { PLAN_INTERVAL_MIN } else { PLAN_INTERVAL_MAX };
    if !names.is_empty()
        && (world.now >= world.streams.planned_at + interval || world.streams.planned_at.is_zero())
    {
        world.streams.planned_at = world.now;
        world.streams.dirty = false;
        generation::run(world, &snapshot);
        straggler::run(world, &snapshot);
    }
}

/// Serves the waiting pulls of a stream. Returns false if this host no longer needs the row.
fn serve(world: &mut World, snapshot: &file::Snapshot, name: &TrainerId, row: &mut Row) -> bool {
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
    pull::refresh_owner(world, snapshot, name, trainer, row);
    if pull::generates(world, row) {
        return true;
    }
    pull::hand_over(world, name, row);
    if world.draining {
        // Samples that no target has started are left to the new owner.
        generation::cancel_queued(world, row);
        return true;
    }
    if world.now < row.last_pull + RETENTION {
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
