//! Callers, trainers and targets of the bench.

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

use crate::lab::Lab;

/// Time of one call of a plain service.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Executors report tokens this often.
const TOKENS_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens of one answer: 7.9 M tokens a second over 27,000 requests a second.
const TOKENS: u32 = 293;
const BYTES_PER_TOKEN: usize = 4;
/// Time of one sample, and of one step of a trainer without its wait.
const SAMPLE_TIME: Duration = Duration::from_secs(20);
const TRAIN_TIME: Duration = Duration::from_secs(60);
const PULL_WAIT: Duration = Duration::from_secs(60);

/// Something that happens outside the cores at a set time.
pub enum Due {
    Update { host: usize, progress: Progress },
    Tokens { host: usize, attempt: u64, until: Duration },
    Pull { trainer: usize, cursor: Box<str> },
}

/// Callers and trainers.
#[derive(Default)]
pub struct Load {
    /// Requests a second through the first host.
    pub rate: f64,
    /// Time that a caller's generation takes.
    pub latency: Duration,
    asked: f64,
    pub last_ticket: Ticket,
    pulls: std::collections::BTreeMap<Ticket, (usize, Box<str>)>,
    ledger: Ledger,
    pub answered: u64,
    pub samples: u64,
    pub version: u64,
}

impl Load {
    /// No callers and no pulls. Tickets stay apart from those of applies, which are revisions.
    pub fn new() -> Self {
        Self {
            latency: Duration::from_secs(6),
            last_ticket: 1_000_000,
            version: 1,
            ..Self::default()
        }
    }
}

impl Lab {
    /// Brings what is due, and the requests of this step.
    pub fn drive(&mut self, step: Duration) {
        let later = self.due.split_off(&(self.now + Duration::from_nanos(1)));
        for due in std::mem::replace(&mut self.due, later).into_values().flatten() {
            match due {
                Due::Update { host, progress } => {
                    self.hosts[host].events.push(Event::Attempt(progress));
                }
                Due::Tokens { host, attempt, until } => {
                    let update = Update::Tokens(TOKENS / 2);
                    self.hosts[host].events.push(Event::Attempt(Progress { attempt, update }));
                    if self.now + TOKENS_INTERVAL < until {
                        self.plan(TOKENS_INTERVAL, Due::Tokens { host, attempt, until });
                    }
                }
                Due::Pull { trainer, cursor } => self.pull(trainer, cursor),
            }
        }
        self.load.asked += self.load.rate * step.as_secs_f64();
        while self.load.asked >= 1.0 {
            self.load.asked -= 1.0;
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

    pub fn plan(&mut self, after: Duration, due: Due) {
        self.due.entry(self.now + after).or_default().push(due);
    }

    /// A target runs an attempt.
    pub fn dispatched(&mut self, host: usize, attempt: &Attempt) {
        let id = attempt.id;
        let update = |update| Due::Update { host, progress: Progress { attempt: id, update } };
        self.plan(Duration::ZERO, update(Update::Sent));
        match &attempt.work {
            Work::Call(call) => {
                let response = self.load.ledger.run(call);
                self.plan(CALL_TIME, update(Update::Done(Output::Response(response))));
            }
            Work::Generate(_) => {
                let caller = attempt.ticket.is_some();
                let time = if caller { self.load.latency } else { SAMPLE_TIME };
                let until = self.now + time;
                let tokens = Due::Tokens { host, attempt: id, until };
                self.plan(TOKENS_INTERVAL, tokens);
                let text = Text {
                    text: "x".repeat(TOKENS as usize * BYTES_PER_TOKEN).into(),
                    segments: vec![Segment { version: Some(self.load.version), tokens: TOKENS }],
                    finish_reason: Some("stop".into()),
                };
                self.plan(time, update(Update::Done(Output::Text(text))));
            }
        }
    }

    /// A trainer pulls through the first host of its zone.
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

    /// A trainer takes a batch, or pulls again.
    pub fn pulled(&mut self, ticket: Ticket, answer: Answer) {
        let Some((trainer, cursor)) = self.load.pulls.remove(&ticket) else {
            return;
        };
        match answer {
            Answer::Batch { cursor, groups, .. } => {
                self.load.samples +=
                    groups.iter().map(|group| group.samples.len() as u64).sum::<u64>();
                self.plan(TRAIN_TIME, Due::Pull { trainer, cursor });
            }
            Answer::Error { .. } => {
                self.plan(Duration::from_secs(1), Due::Pull { trainer, cursor });
            }
        }
    }

    /// The first trainer announces new weights.
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
