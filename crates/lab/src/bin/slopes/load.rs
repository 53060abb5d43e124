//! Callers, trainers and targets of the benchmark.

use std::time::Duration;

use lagoonyard::{
    core::{
        Event,
        request::{
            self, Attempt, Generate, Incoming, Output, Progress, Segment, Text, Update, Work,
        },
        rollout,
        stream::{self, Answer},
    },
    ids::Ticket,
};
use lagoonyard_lab::service::Ledger;

use crate::fleet::Fleet;

/// Duration of a call to a plain service.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Interval of token reports.
const TOKENS_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens per answer: 7.9 M tokens/s at 27,000 requests/s.
const TOKENS: u32 = 293;
const BYTES_PER_TOKEN: usize = 4;
/// Duration of one sample.
const SAMPLE_TIME: Duration = Duration::from_secs(20);
/// Duration of a training step, without the wait for its batch.
const TRAIN_TIME: Duration = Duration::from_secs(60);
const PULL_WAIT: Duration = Duration::from_secs(60);

/// Scheduled event outside the cores.
pub enum Task {
    Update { host: usize, progress: Progress },
    Tokens { host: usize, attempt: u64, until: Duration },
    Pull { trainer: usize, cursor: Box<str> },
}

/// State of callers and trainers.
#[derive(Default)]
pub struct Load {
    /// Requests per second through the first host.
    pub rate: f64,
    /// Duration of a caller's generation.
    pub latency: Duration,
    pending_requests: f64,
    pub last_ticket: Ticket,
    pulls: std::collections::BTreeMap<Ticket, (usize, Box<str>)>,
    ledger: Ledger,
    pub answered: u64,
    pub samples: u64,
    pub version: u64,
}

impl Load {
    /// Load without callers and pulls. Tickets start high because applies use their revision as ticket.
    pub fn new() -> Self {
        Self {
            latency: Duration::from_secs(6),
            last_ticket: 1_000_000,
            version: 1,
            ..Self::default()
        }
    }
}

impl Fleet {
    /// Executes the due tasks and submits the requests of this step.
    pub fn run_due_tasks(&mut self, step: Duration) {
        let later = self.tasks.split_off(&(self.now + Duration::from_nanos(1)));
        for task in std::mem::replace(&mut self.tasks, later).into_values().flatten() {
            match task {
                Task::Update { host, progress } => {
                    self.hosts[host].events.push(Event::Attempt(progress));
                }
                Task::Tokens { host, attempt, until } => {
                    let update = Update::Tokens(TOKENS / 2);
                    self.hosts[host].events.push(Event::Attempt(Progress { attempt, update }));
                    if self.now + TOKENS_INTERVAL < until {
                        self.schedule(TOKENS_INTERVAL, Task::Tokens { host, attempt, until });
                    }
                }
                Task::Pull { trainer, cursor } => self.pull(trainer, cursor),
            }
        }
        self.load.pending_requests += self.load.rate * step.as_secs_f64();
        while self.load.pending_requests >= 1.0 {
            self.load.pending_requests -= 1.0;
            self.load.last_ticket += 1;
            let ticket = self.load.last_ticket;
            let prompt = format!("prompt {ticket} {}", "x".repeat(1000));
            let incoming = Incoming {
                work: Work::Generate(Generate::new("writer", &prompt, TOKENS, "")),
                key: None,
                deadline: None,
            };
            let event = request::Event::Submit { ticket, incoming };
            self.hosts[0].events.push(Event::Request(event));
        }
    }

    pub fn schedule(&mut self, after: Duration, task: Task) {
        self.tasks.entry(self.now + after).or_default().push(task);
    }

    /// Schedules the updates of an attempt that a target runs.
    pub fn run_attempt(&mut self, host: usize, attempt: &Attempt) {
        let id = attempt.id;
        let update = |update| Task::Update { host, progress: Progress { attempt: id, update } };
        self.schedule(Duration::ZERO, update(Update::Sent));
        match &attempt.work {
            Work::Call(call) => {
                let response = self.load.ledger.run(call);
                self.schedule(CALL_TIME, update(Update::Done(Output::Response(response))));
            }
            Work::Generate(_) => {
                let caller = attempt.ticket.is_some();
                let time = if caller { self.load.latency } else { SAMPLE_TIME };
                let until = self.now + time;
                let tokens = Task::Tokens { host, attempt: id, until };
                self.schedule(TOKENS_INTERVAL, tokens);
                let text = Text {
                    text: "x".repeat(TOKENS as usize * BYTES_PER_TOKEN).into(),
                    segments: vec![Segment { version: Some(self.load.version), tokens: TOKENS }],
                    finish_reason: Some("stop".into()),
                };
                self.schedule(time, update(Update::Done(Output::Text(text))));
            }
        }
    }

    /// Sends a trainer's pull through the first host of its zone.
    pub fn pull(&mut self, trainer: usize, cursor: Box<str>) {
        self.load.last_ticket += 1;
        let ticket = self.load.last_ticket;
        self.load.pulls.insert(ticket, (trainer, cursor.clone()));
        let event = stream::Event {
            ticket,
            trainer: format!("trainer-{trainer}").into(),
            cursor,
            version: self.load.version,
            wait: PULL_WAIT,
        };
        let host = trainer % self.shape.zones * self.shape.hosts;
        self.hosts[host].events.push(Event::Stream(event));
    }

    /// Handles the answer to a pull: schedules the next pull after a training step, or a retry.
    pub fn receive_batch(&mut self, ticket: Ticket, answer: Answer) {
        let Some((trainer, cursor)) = self.load.pulls.remove(&ticket) else {
            return;
        };
        match answer {
            Answer::Batch { cursor, groups, .. } => {
                self.load.samples +=
                    groups.iter().map(|group| group.samples.len() as u64).sum::<u64>();
                self.schedule(TRAIN_TIME, Task::Pull { trainer, cursor });
            }
            Answer::Error { .. } => {
                self.schedule(Duration::from_secs(1), Task::Pull { trainer, cursor });
            }
        }
    }

    /// Announces new weights for the first trainer.
    pub fn announce(&mut self, version: u64) {
        self.load.last_ticket += 1;
        self.load.version = version;
        let announce = rollout::Announcement {
            ticket: self.load.last_ticket,
            trainer: "trainer-0".into(),
            version,
            weights: format!("weights/{version}").into(),
        };
        self.hosts[0].events.push(Event::Announce(announce));
    }
}
