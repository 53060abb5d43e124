//! What the traffic threads share with the control thread: the way in for events and the answers awaited.

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

/// Chunks that may wait for a caller that reads slowly.
const QUEUED_CHUNKS_MAX: usize = 32;

/// Unit in which the bytes of bodies are counted.
const BODY_UNIT_BYTES: usize = 1024;

/// Answer of the control thread to a ticket.
#[derive(Debug)]
pub enum Reply {
    Answer(request::Answer),
    Keys(Vec<Box<str>>),
    Batch(stream::Answer),
    Admin(config::Answer),
}

/// Text on its way to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Bytes of the whole text that stand before it.
    pub offset: usize,
    pub text: Box<str>,
    pub version: Option<Version>,
}

/// Who waits for a ticket.
struct Waiter {
    reply: oneshot::Sender<Reply>,
    chunks: Option<mpsc::Sender<Chunk>>,
}

/// Handle of the traffic threads.
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
    /// A handle and the end at which the control thread takes events.
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

    /// Way in for events that may wait, such as news of attempts.
    pub fn events(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    /// Whether new callers can be served.
    pub fn check_ready(&self) -> Result<(), Code> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Code::Draining);
        }
        if self.snapshot.load().is_none() {
            return Err(Code::NotReady);
        }
        Ok(())
    }

    /// Reads a caller's body within bounds. The permit stands for its bytes and is kept until the request has ended.
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
        let permit = permit
            .map_err(|_| Error::new(Code::QueueFull, "bodies of other requests take all room"))?;
        let body = answer::read_body(request, limit, self.limits.body_timeout).await?;
        Ok((body, permit))
    }

    /// Reports this host as not ready from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Sends an event that asks for one answer. It is refused at once when the control thread is behind.
    pub fn call(self: &Arc<Self>, event: impl FnOnce(Ticket) -> Event) -> Result<Pending, Code> {
        self.register(None, event)
    }

    /// Like `ask`, with the text on the way to the answer.
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
        // The waiter is in the table first, because the answer may come before this thread goes on.
        self.events.try_send(event(ticket)).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => Code::QueueFull,
            mpsc::error::TrySendError::Closed(_) => Code::Draining,
        })?;
        pending.sent = true;
        Ok(pending)
    }

    /// Hands an answer to whoever waits for it; one that nobody waits for any more is dropped.
    pub fn reply(&self, ticket: Ticket, reply: Reply) {
        if let Reply::Answer(request::Answer::Error { code, message }) = &reply {
            // Refusals are counted; what may have run or broke off is worth a line of its own.
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

    /// Where the text of a ticket goes.
    pub fn chunk_sender(&self, ticket: Ticket) -> Option<mpsc::Sender<Chunk>> {
        self.waiters().get(&ticket)?.chunks.clone()
    }

    /// Tickets that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiters().len()
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<Ticket, Waiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An answer awaited. Dropping it before the answer tells the core that the caller is gone.
pub struct Pending {
    control: Arc<Control>,
    ticket: Ticket,
    reply: oneshot::Receiver<Reply>,
    sent: bool,
    answered: bool,
}

impl Pending {
    /// Waits for the answer. It may be polled again after it was cancelled.
    pub async fn reply(&mut self) -> Result<Reply, Code> {
        let reply = (&mut self.reply).await;
        self.answered = true;
        // The control thread ends only when the process does.
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
