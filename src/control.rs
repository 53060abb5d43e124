//! State shared by the traffic threads and the control thread.
//!
//! The core runs on the control thread. The traffic threads send it events through a bounded channel. A call that
//! expects a reply gets a ticket, and the reply to that ticket wakes the task that waits for it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use tokio::{
    runtime::Handle,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
};
use volo_http::request::Request;

use crate::{
    answer::{self, Error},
    code::Kind,
    core::{Event, config, request, stream},
    file,
    metrics::Metrics,
    prelude::*,
    settings::Limits,
};

/// Chunks buffered for a caller that reads slowly; a full buffer holds the engine back.
const QUEUED_CHUNKS_MAX: usize = 32;

/// Bytes of a body that one semaphore permit stands for.
const BODY_UNIT_BYTES: usize = 1024;

/// Reply of the control thread to a ticket.
#[derive(Debug)]
pub enum Reply {
    Answer(request::Answer),
    Keys(Vec<Box<str>>),
    Batch(stream::Answer),
    Admin(config::Answer),
}

/// Piece of generated text for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position in the whole text in bytes.
    pub offset: usize,
    pub text: Box<str>,
    pub version: Option<Version>,
}

/// Channels to the task that waits for a ticket.
struct Waiter {
    reply: oneshot::Sender<Reply>,
    chunks: Option<mpsc::Sender<Chunk>>,
}

/// Handle through which the traffic threads reach the control thread.
pub struct Control {
    pub limits: Limits,
    pub metrics: Arc<Metrics>,
    /// Configuration in force.
    pub snapshot: ArcSwapOption<file::Snapshot>,
    draining: AtomicBool,
    body_budget: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
    runtime: Handle,
    last_ticket: AtomicU64,
    waiters: Mutex<HashMap<Ticket, Waiter>>,
}

impl Control {
    /// Creates a handle and the receiver from which the control thread reads events.
    pub fn new(
        limits: Limits,
        metrics: Arc<Metrics>,
        runtime: Handle,
    ) -> (Arc<Self>, mpsc::Receiver<Event>) {
        let (events, received) = mpsc::channel(limits.max_events);
        let body_units = (limits.max_bodies_bytes / BODY_UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        let control = Self {
            limits,
            metrics,
            snapshot: ArcSwapOption::empty(),
            draining: AtomicBool::new(false),
            body_budget: Arc::new(Semaphore::new(body_units)),
            events,
            runtime,
            last_ticket: AtomicU64::new(0),
            waiters: Mutex::default(),
        };
        (Arc::new(control), received)
    }

    /// Sender for events that may wait for room, such as updates of attempts.
    pub fn events(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    /// Checks that the host can serve new callers.
    pub fn check_ready(&self) -> Result<(), Code> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Code::Draining);
        }
        if self.snapshot.load().is_none() {
            return Err(Code::NotReady);
        }
        Ok(())
    }

    /// Reads a caller's body within the limits on one body and on all bodies together. The permit accounts for its
    /// bytes and must be kept until the request has ended.
    pub async fn read_body(
        &self,
        request: Request,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Error> {
        let limit = self.limits.max_body_bytes;
        let length = answer::content_length(&request).unwrap_or(limit);
        if length > limit {
            return Err(Code::TooLarge.into());
        }
        let units = u32::try_from(length.div_ceil(BODY_UNIT_BYTES)).unwrap_or(u32::MAX);
        let permit = Arc::clone(&self.body_budget).try_acquire_many_owned(units);
        let permit = permit.map_err(|_| {
            Error::new(
                Code::QueueFull,
                "could not reserve memory for the body: bodies of other requests use all of it",
            )
        })?;
        let body = answer::read_body(request, limit, self.limits.body_timeout).await?;
        Ok((body, permit))
    }

    /// Makes `check_ready` fail from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Sends an event that gets one reply. Fails at once if the event channel is full.
    pub fn call(self: &Arc<Self>, event: impl FnOnce(Ticket) -> Event) -> Result<Pending, Code> {
        self.register(None, event)
    }

    /// Like `call`, with the chunks of text that precede the reply.
    pub fn call_streaming(
        self: &Arc<Self>,
        event: impl FnOnce(Ticket) -> Event,
    ) -> Result<(Pending, mpsc::Receiver<Chunk>), Code> {
        let (chunks, received) = mpsc::channel(QUEUED_CHUNKS_MAX);
        Ok((self.register(Some(chunks), event)?, received))
    }

    fn register(
        self: &Arc<Self>,
        chunks: Option<mpsc::Sender<Chunk>>,
        event: impl FnOnce(Ticket) -> Event,
    ) -> Result<Pending, Code> {
        let ticket = self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1;
        let (reply, received) = oneshot::channel();
        self.waiters().insert(ticket, Waiter { reply, chunks });
        let mut pending = Pending {
            control: Arc::clone(self),
            ticket,
            reply: received,
            sent: false,
            answered: false,
        };
        // The waiter is registered before the event is sent, because the reply may arrive before `try_send` returns.
        self.events.try_send(event(ticket)).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => Code::QueueFull,
            mpsc::error::TrySendError::Closed(_) => Code::Draining,
        })?;
        pending.sent = true;
        Ok(pending)
    }

    /// Delivers a reply to its waiter; it is dropped if nobody waits any more.
    pub fn reply(&self, ticket: Ticket, reply: Reply) {
        if let Reply::Answer(request::Answer::Error { code, message }) = &reply {
            // Metrics count refusals; a request that may have run or broke off also gets a warning.
            let level = match code.kind() {
                Kind::NotRun | Kind::Refused => log::Level::Debug,
                Kind::OutcomeUnknown | Kind::Incomplete | Kind::Internal => log::Level::Warn,
            };
            log::log!(level, "request={ticket} code={code} {message}");
        }
        let waiter = self.waiters().remove(&ticket);
        if let Some(waiter) = waiter {
            let _ = waiter.reply.send(reply);
        }
    }

    /// Sender for the text of a streamed call.
    pub fn chunk_sender(&self, ticket: Ticket) -> Option<mpsc::Sender<Chunk>> {
        self.waiters().get(&ticket)?.chunks.clone()
    }

    /// Number of tickets that wait for a reply.
    pub fn waiting(&self) -> usize {
        self.waiters().len()
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<Ticket, Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pending reply. Dropping it before the reply arrives reports to the core that the caller disconnected.
pub struct Pending {
    control: Arc<Control>,
    ticket: Ticket,
    reply: oneshot::Receiver<Reply>,
    sent: bool,
    answered: bool,
}

impl Pending {
    /// Waits for the reply. Cancel safe: a cancelled wait can be repeated.
    pub async fn reply(&mut self) -> Result<Reply, Code> {
        let reply = (&mut self.reply).await;
        self.answered = true;
        // The sender is dropped without a reply only when the process ends, so the request may have run.
        reply.map_err(|_| Code::OutcomeUnknown)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let ticket = self.ticket;
        self.control.waiters().remove(&ticket);
        if !self.sent {
            return;
        }
        let event = Event::Request(request::Event::Disconnected { ticket });
        if let Err(mpsc::error::TrySendError::Full(event)) = self.control.events.try_send(event) {
            let events = self.control.events.clone();
            self.control.runtime.spawn(async move {
                let _ = events.send(event).await;
            });
        }
    }
}
