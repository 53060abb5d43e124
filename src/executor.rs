//! Executes the actions of the core on the traffic runtime and reports their outcomes to the core as events.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::{
    runtime::Handle,
    sync::{mpsc, watch},
    task::AbortHandle,
    time::Instant,
};

use crate::{
    control::{Chunk, Control, Reply},
    core::{
        Action, Event, listing,
        request::{Attempt, Failure, Progress, Update, Work},
        rollout, store, target,
    },
    external,
    link::Link,
    prelude::*,
};

/// Shortest time between two token counts that an attempt reports to the core.
const TOKENS_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Clients of the external systems.
#[derive(Clone)]
pub struct Clients {
    pub store: Arc<dyn external::Store>,
    pub directory: Arc<dyn external::Directory>,
    pub engine: Arc<dyn external::Engine>,
    pub service: Arc<dyn external::Service>,
}

/// Whether the control thread continues after an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Continue,
    Exit,
}

type Running = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// Starts actions without blocking the control thread.
pub struct Executor {
    pub control: Arc<Control>,
    pub events: mpsc::Sender<Event>,
    pub runtime: Handle,
    pub clients: Clients,
    pub link: Arc<Link>,
    pub store_timeout: Duration,
    /// Receives the body of each configuration that comes into force, to be written to the data folder.
    pub cache: watch::Sender<Bytes>,
    running: Running,
    /// Taken before the core's time zero, so that a deadline of the core passes early rather than late.
    start: Instant,
}

impl Executor {
    pub fn new(
        control: Arc<Control>,
        runtime: Handle,
        clients: Clients,
        link: Arc<Link>,
        store_timeout: Duration,
        cache: watch::Sender<Bytes>,
    ) -> Self {
        Self {
            events: control.events(),
            control,
            runtime,
            clients,
            link,
            store_timeout,
            cache,
            running: Running::default(),
            start: Instant::now(),
        }
    }

    /// Starts an action.
    pub fn run(&self, action: Action) -> Flow {
        match action {
            Action::Dispatch(attempt) => self.dispatch(attempt),
            Action::Cancel(id) => {
                // Aborting the task closes its connection, which stops the work on the target.
                if let Some(task) = lock_running(&self.running).remove(&id) {
                    task.abort();
                }
            }
            Action::Answer { ticket, answer } => self.control.reply(ticket, Reply::Answer(answer)),
            Action::Keys { ticket, keys } => self.control.reply(ticket, Reply::Keys(keys)),
            Action::Batch { ticket, answer } => self.control.reply(ticket, Reply::Batch(answer)),
            Action::Admin { ticket, answer } => self.control.reply(ticket, Reply::Admin(answer)),
            Action::Store { id, call } => self.store(id, call),
            Action::ReadListing { zone } => self.read_listing(zone),
            Action::Poll { target, address } => self.poll(target, address),
            Action::Order(order) => self.order(order),
            Action::Send { to, address, message } => self.link.send(&to, &address, message),
            Action::ConfigInForce { snapshot, body } => {
                self.control.snapshot.store(Some(snapshot));
                self.cache.send_replace(body);
            }
            Action::Log { level, text } => log::log!(target: "lagoonyard::core", level, "{text}"),
            Action::Exit => return Flow::Exit,
        }
        Flow::Continue
    }

    fn dispatch(&self, attempt: Attempt) {
        let clients = self.clients.clone();
        let mut sink = Sink {
            attempt: attempt.id,
            chunks: attempt.ticket.and_then(|ticket| self.control.chunk_sender(ticket)),
            events: self.events.clone(),
            offset: attempt.so_far.as_ref().map_or(0, |it| it.text.len()),
            tokens: 0,
            reported_at: Instant::now(),
            sent: Sent::No,
            leaving: false,
        };
        let running = Arc::clone(&self.running);
        let id = attempt.id;
        // The lock is held until the task is in the table, because the task removes its own entry when it ends.
        let mut table = lock_running(&self.running);
        let task = self.runtime.spawn(async move {
            let update = match &attempt.work {
                Work::Generate(_) => clients.engine.generate(&attempt, &mut sink).await,
                Work::Call(_) => clients.service.call(&attempt, &mut sink).await,
            };
            sink.report_sent().await;
            sink.report(update).await;
            if sink.leaving {
                let (target, outcome) = (attempt.target, target::Outcome::Leaving);
                let polled = target::Polled { target, outcome };
                let _ = sink.events.send(Event::Polled(polled)).await;
            }
            lock_running(&running).remove(&id);
        });
        table.insert(id, task.abort_handle());
        drop(table);
        let (events, running) = (self.events.clone(), Arc::clone(&self.running));
        self.runtime.spawn(async move {
            if task.await.is_err_and(|error| error.is_panic()) {
                lock_running(&running).remove(&id);
                // Whether the request was sent before the panic is unknown, so it counts as sent.
                let (failure, partial) = (Failure::Broken, None);
                let update = Update::Failed { failure, partial };
                let _ = events.send(Event::Attempt(Progress { attempt: id, update })).await;
            }
        });
    }

    fn store(&self, id: CallId, call: store::Call) {
        let (store, timeout) = (Arc::clone(&self.clients.store), self.store_timeout);
        self.spawn(async move {
            let result = store.call(call, timeout).await;
            Event::Store(store::Answer { id, result })
        });
    }

    fn read_listing(&self, zone: ZoneId) {
        let directory = Arc::clone(&self.clients.directory);
        self.spawn(async move {
            let entries = directory.read(&zone).await;
            Event::Listing(listing::ReadResult { zone, entries })
        });
    }

    fn poll(&self, target: TargetId, address: Box<str>) {
        let engine = Arc::clone(&self.clients.engine);
        self.spawn(async move {
            let outcome = engine.poll(&address).await;
            Event::Polled(target::Polled { target, outcome })
        });
    }

    fn order(&self, order: rollout::Order) {
        let engine = Arc::clone(&self.clients.engine);
        let start = self.start;
        self.spawn(async move {
            // If this process was paused after the core's decision, the lease that covers the order may have expired.
            let result = if start.elapsed() > order.send_by {
                Err(rollout::Failure::Unreachable)
            } else {
                engine.order(&order).await
            };
            let (id, target) = (order.id, order.target);
            Event::OrderReply(rollout::OrderReply { id, target, result })
        });
    }

    /// Runs a task and sends its event, waiting for room in the event channel.
    fn spawn(&self, task: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let _ = events.send(task.await).await;
        });
    }
}

fn lock_running(running: &Running) -> MutexGuard<'_, HashMap<AttemptId, AbortHandle>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the request was sent and the core has been notified.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sent {
    No,
    /// Sent, but the event channel was full.
    Unreported,
    Reported,
}

/// Reports the updates of one attempt to the core and passes its text to the caller.
struct Sink {
    attempt: AttemptId,
    chunks: Option<mpsc::Sender<Chunk>>,
    events: mpsc::Sender<Event>,
    /// Length in bytes of the text so far, including earlier attempts.
    offset: usize,
    tokens: u32,
    reported_at: Instant,
    sent: Sent,
    leaving: bool,
}

impl Sink {
    fn event(&self, update: Update) -> Event {
        let attempt = self.attempt;
        Event::Attempt(Progress { attempt, update })
    }

    async fn report(&self, update: Update) {
        let _ = self.events.send(self.event(update)).await;
    }

    /// Sends `Update::Sent` if it is still unreported; the core must receive it before any later update.
    async fn report_sent(&mut self) {
        if self.sent == Sent::Unreported {
            self.report(Update::Sent).await;
            self.sent = Sent::Reported;
        }
    }
}

#[async_trait]
impl external::Sink for Sink {
    fn before_send(&mut self) {
        self.sent = match self.events.try_send(self.event(Update::Sent)) {
            Ok(()) => Sent::Reported,
            Err(_) => Sent::Unreported,
        };
    }

    fn target_leaving(&mut self) {
        self.leaving = true;
    }

    async fn push_chunk(&mut self, text: &str, tokens: u32, version: Option<Version>) {
        self.report_sent().await;
        self.tokens += tokens;
        let offset = self.offset;
        self.offset += text.len();
        if let Some(chunks) = &self.chunks {
            let text = text.into();
            // A send fails once the caller has disconnected, which `control::Pending` reports.
            let _ = chunks.send(Chunk { offset, text, version }).await;
        }
        if self.reported_at.elapsed() >= TOKENS_REPORT_INTERVAL {
            self.reported_at = Instant::now();
            self.report(Update::Tokens(self.tokens)).await;
        }
    }
}
