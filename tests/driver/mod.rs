//! Drives one core with a manual clock, answers its polls and collects its actions by kind.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeSet;

use bytes::Bytes;
use lagoonyard::{
    core::{
        Action, Core, Event, Settings, key, listing,
        request::{
            self, Answer, Attempt, Call, Completion, Failure, Generate, Incoming, Origin, Output,
            Progress, Response, Segment, Submission, Text, Update, Work,
        },
        target::{Outcome, Polled, Report},
    },
    file::{Kind, Limits, Model, Objective, Pool, Route, Service, Snapshot},
    prelude::*,
    wire,
};

pub const LONG_DEADLINE: Duration = Duration::from_secs(60);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn limits(change: impl FnOnce(&mut Limits)) -> Limits {
    let mut limits = Limits::default();
    change(&mut limits);
    limits
}

pub struct Driver {
    pub core: Core,
    pub now: Time,
    /// Targets whose polls end with `Unreachable`.
    pub unreachable: BTreeSet<TargetId>,
    pub polls: Vec<TargetId>,
    pub attempts: Vec<Attempt>,
    pub answers: Vec<(Ticket, Answer)>,
    pub cancels: Vec<AttemptId>,
    pub keys: Vec<Box<str>>,
    pub sent: Vec<wire::Body>,
    /// Completions of bulk requests that events caused. The stream system consumes those that a tick causes.
    pub completions: Vec<Completion>,
    /// Whether all polls stay unanswered.
    pub mute_polls: bool,
}

impl Driver {
    /// A core with engines `e0`, `e1`, ... of model `m` and workers `w0`, `w1`, ... of service `s`, all in zone `z`.
    pub fn new(engines: usize, workers: usize) -> Self {
        Self::with(settings(), engines, workers, Limits::default())
    }

    pub fn with(settings: Settings, engines: usize, workers: usize, limits: Limits) -> Self {
        let engines = (0..engines).map(|at| listing_entry(&format!("e{at}"), "engines"));
        let workers = (0..workers).map(|at| listing_entry(&format!("w{at}"), "workers"));
        let entries: Vec<_> = engines.chain(workers).collect();
        let mut driver = Self {
            core: Core::with_snapshot(settings, Time::ZERO, snapshot(limits), &entries),
            now: Time::ZERO,
            unreachable: BTreeSet::new(),
            polls: Vec::new(),
            attempts: Vec::new(),
            answers: Vec::new(),
            cancels: Vec::new(),
            keys: Vec::new(),
            sent: Vec::new(),
            completions: Vec::new(),
            mute_polls: false,
        };
        driver.advance(ms(10));
        driver
    }

    pub fn input(&mut self, event: Event) {
        self.core.input(self.now, event);
    }

    /// Runs one tick and answers its polls at once.
    pub fn tick(&mut self) {
        self.completions.append(&mut self.core.world_mut().completions);
        for action in self.core.tick(self.now) {
            match action {
                Action::Dispatch(attempt) => self.attempts.push(attempt),
                Action::Answer { ticket, answer } => self.answers.push((ticket, answer)),
                Action::Cancel(id) => self.cancels.push(id),
                Action::Keys { keys, .. } => self.keys.extend(keys),
                Action::Send { message, .. } => self.sent.extend(message.body),
                Action::Poll { target, .. } => {
                    self.polls.push(target.clone());
                    if !self.mute_polls {
                        self.answer_poll(&target);
                    }
                }
                _ => {}
            }
        }
    }

    pub fn answer_poll(&mut self, target: &str) {
        match self.unreachable.contains(target) {
            true => self.finish_poll(target, Outcome::Unreachable),
            false => self.report_running(target, 0),
        }
    }

    pub fn report_running(&mut self, target: &str, running: u32) {
        let rest = Report::default();
        self.finish_poll(target, Outcome::Report(Report { running, ..rest }));
    }

    /// Ticks at the wake-up times of the core until the time has passed.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
            self.now = self.core.wake().max(self.now + ms(1)).min(end);
        }
        self.tick();
        self.tick();
    }

    pub fn submit(&mut self, ticket: Ticket, work: Work, key: Option<&str>, deadline: Duration) {
        let key = key.map(Into::into);
        let deadline = Some(deadline);
        let incoming = Incoming { work, key, deadline };
        self.input(Event::Request(request::Event::Submit { ticket, incoming }));
        self.tick();
    }

    /// Submits a call to the non-idempotent route `/book`.
    pub fn submit_booking(&mut self, ticket: Ticket, key: &str, deadline: Duration) {
        self.submit(ticket, call("/book"), Some(key), deadline);
    }

    /// Submits a different prompt for each ticket.
    pub fn submit_prompts(&mut self, tickets: impl Iterator<Item = Ticket>) {
        tickets.for_each(|ticket| {
            self.submit(ticket, prompt(&format!("p{ticket}")), None, LONG_DEADLINE);
        });
    }

    pub fn disconnect(&mut self, ticket: Ticket) {
        self.input(Event::Request(request::Event::Disconnected { ticket }));
        self.tick();
    }

    pub fn finish_poll(&mut self, target: &str, outcome: Outcome) {
        let target = target.into();
        self.input(Event::Polled(Polled { target, outcome }));
    }

    pub fn update(&mut self, attempt: AttemptId, update: Update) {
        self.input(Event::Attempt(Progress { attempt, update }));
    }

    pub fn complete(&mut self, attempt: &Attempt) {
        let output = match attempt.work {
            Work::Generate(_) => text("whole", Some("stop")),
            Work::Call(_) => Output::Response(Response::default()),
        };
        self.update(attempt.id, Update::Sent);
        self.update(attempt.id, Update::Done(output));
        self.tick();
    }

    /// Fails an attempt. It counts as sent unless the connection could not be opened.
    pub fn fail(&mut self, attempt: &Attempt, failure: Failure) {
        if failure != Failure::Connect {
            self.update(attempt.id, Update::Sent);
        }
        let partial = None;
        self.update(attempt.id, Update::Failed { failure, partial });
        self.tick();
    }

    /// Submits a bulk request.
    pub fn submit_bulk(&mut self, text: &str, avoid: &[&str]) -> RequestId {
        self.core.world_mut().requests.submit(Submission {
            origin: Origin::Bulk("t".into()),
            work: prompt(text),
            deadline: Duration::from_secs(1000),
            avoid: avoid.iter().map(|target| (*target).into()).collect(),
        })
    }

    pub fn issue_key(&mut self) -> Box<str> {
        self.input(Event::Key(key::Issue { ticket: 0, count: 1 }));
        self.tick();
        self.keys.pop().expect("a key should be issued")
    }

    /// Attempts since the last call.
    pub fn take_attempts(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.attempts)
    }

    /// The only attempt since the last call.
    pub fn single_attempt(&mut self) -> Attempt {
        let mut attempts = self.take_attempts();
        assert_eq!(attempts.len(), 1, "exactly one attempt is dispatched");
        attempts.remove(0)
    }

    /// Error code of the only answer to a ticket; `None` when it succeeded.
    pub fn error_code(&self, ticket: Ticket) -> Option<Code> {
        let answers: Vec<_> = self.answers.iter().filter(|(it, _)| *it == ticket).collect();
        assert_eq!(answers.len(), 1, "ticket {ticket} is answered exactly once");
        match &answers[0].1 {
            Answer::Done(_) => None,
            Answer::Error { code, .. } => Some(*code),
        }
    }

    pub fn is_answered(&self, ticket: Ticket) -> bool {
        self.answers.iter().any(|(it, _)| *it == ticket)
    }
}

pub fn settings() -> Settings {
    Settings { host: "h".into(), zone: "z".into(), ..Settings::default() }
}

pub fn listing_entry(target: &str, pool: &str) -> listing::Entry {
    listing::Entry {
        target: target.into(),
        zone: "z".into(),
        address: target.into(),
        pool: pool.into(),
        leaving: false,
    }
}

pub fn snapshot(limits: Limits) -> Snapshot {
    let model = Model {
        yard: "y".into(),
        objective: Objective::Idle,
        zones: Vec::new(),
        parallel_loads: 1,
        max_unavailable_percent: 50,
        load_timeout: ms(1000),
        limits: limits.clone(),
    };
    let route = |prefix: &str, idempotent| Route {
        method: "*".into(),
        prefix: prefix.into(),
        idempotent,
        timeout: ms(20_000),
    };
    let service = Service {
        yard: "y".into(),
        zones: Vec::new(),
        routes: vec![route("/", true), route("/book", false)],
        limits,
    };
    let pool = |kind| Pool { kind, slots: 2, checks_fence: true };
    Snapshot {
        revision: 1,
        models: [("m".into(), model)].into(),
        services: [("s".into(), service)].into(),
        pools: [
            ("engines".into(), pool(Kind::Engine { model: "m".into() })),
            ("workers".into(), pool(Kind::Service { service: "s".into() })),
        ]
        .into(),
        ..Snapshot::default()
    }
}

pub fn prompt(text: &str) -> Work {
    Work::Generate(Generate::new("m", text, 16, ""))
}

pub fn call(path: &str) -> Work {
    Work::Call(Call::new("s", "POST", path, "text/plain", Bytes::new()))
}

pub fn text(text: &str, finish_reason: Option<&str>) -> Output {
    let version = Some(1);
    Output::Text(Text {
        text: text.into(),
        segments: vec![Segment { version, tokens: 1 }],
        finish_reason: finish_reason.map(Into::into),
    })
}
