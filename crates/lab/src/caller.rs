//! Simulated callers that send generations, and bookings that must run at most once.

use std::sync::Arc;

use lagoonyard::{
    core::request::{Answer, Call, Generate, Work},
    prelude::*,
};
use rand::Rng;

use crate::{Fleet, fleet::Reply};

const RESENDS_MAX: u32 = 5;

/// Rates of caller requests until a given time.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub generations_per_s: f64,
    pub bookings_per_s: f64,
    pub deadline: Duration,
    pub until: Time,
}

pub fn generate(model: &str, prompt: &str, max_tokens: u32) -> Work {
    let hash = |text: &str| {
        text.bytes()
            .fold(7u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
    };
    let start = prompt.split(' ').next().unwrap_or(prompt);
    Work::Generate(Generate {
        model: model.into(),
        prompt: Arc::from(prompt),
        max_tokens,
        params: Arc::from(""),
        content: hash(prompt),
        prefix: hash(start),
    })
}

/// Call that is not idempotent.
pub fn booking(service: &str, body: &str) -> Work {
    let content = body
        .bytes()
        .fold(11u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    Work::Call(Call {
        service: service.into(),
        method: "POST".into(),
        path: "/entries".into(),
        content_type: "text/plain".into(),
        body: body.to_owned().into(),
        content,
    })
}

impl Fleet {
    /// Sends a caller's request, whose answer is checked.
    pub fn call(
        &mut self,
        host: &str,
        work: Work,
        key: Option<Box<str>>,
        deadline: Duration,
    ) -> Ticket {
        let ticket = self.submit(host, work.clone(), key, deadline);
        self.checks.submitted.insert(ticket, work);
        ticket
    }

    /// Sends requests at random intervals until the load ends.
    pub fn run_callers(&mut self, load: Load) {
        self.schedule_next_call(load, load.generations_per_s, Self::send_generation);
        self.schedule_next_call(load, load.bookings_per_s, Self::send_booking);
    }

    fn schedule_next_call(&mut self, load: Load, rate: f64, send: fn(&mut Self, Load)) {
        if rate <= 0.0 {
            return;
        }
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        self.schedule(gap, move |fleet| {
            if fleet.now >= load.until {
                return;
            }
            send(fleet, load);
            fleet.schedule_next_call(load, rate, send);
        });
    }

    fn send_generation(&mut self, load: Load) {
        let number: u32 = self.rng.random();
        let topic = number % 24;
        let Some(host) = self.random_host(None) else { return };
        let prompt = format!("topic-{topic} caller asks {} {number}", self.now.as_nanos());
        let work = generate(&self.plan.model.clone(), &prompt, 400);
        let submitted_at = self.now;
        let ticket = self.call(&host, work, None, load.deadline);
        self.record_latency(ticket, submitted_at);
    }

    /// Polls for the answer to a ticket and records its latency in `plan.latencies`.
    fn record_latency(&mut self, ticket: Ticket, submitted_at: Time) {
        self.schedule(Duration::from_millis(100), move |fleet| match fleet.replies.get(&ticket) {
            Some(Reply::Answer(Answer::Done(_))) => {
                fleet.plan.latencies.push(fleet.now - submitted_at);
            }
            Some(_) => {}
            None if fleet.now < submitted_at + Duration::from_secs(120) => {
                fleet.record_latency(ticket, submitted_at);
            }
            None => fleet.plan.unanswered += 1,
        });
    }

    fn send_booking(&mut self, load: Load) {
        let Some(host) = self.random_host(None) else { return };
        let body: Box<str> =
            format!("booking {} {}", self.now.as_nanos(), self.rng.random::<u32>()).into();
        let then = move |fleet: &mut Self, reply: &Reply| {
            let Reply::Keys(keys) = reply else { return };
            let Some(key) = keys.first().cloned() else { return };
            fleet.book(key, body, load.deadline, RESENDS_MAX);
        };
        self.request_keys(&host, 1, Some(Box::new(then)));
    }

    /// Sends a booking and repeats it with the same key through a random host while its outcome is unknown.
    pub fn book(&mut self, key: Box<str>, body: Box<str>, deadline: Duration, resends_left: u32) {
        let Some(host) = self.random_host(None) else { return };
        let work = booking(&self.plan.service.clone(), &body);
        let submitted = work.clone();
        let incoming = lagoonyard::core::request::Incoming {
            work,
            key: Some(key.clone()),
            deadline: Some(deadline),
        };
        let event = |ticket| {
            lagoonyard::core::Event::Request(lagoonyard::core::request::Event::Submit {
                ticket,
                incoming,
            })
        };
        let then = move |fleet: &mut Self, reply: &Reply| {
            let unknown = match reply {
                Reply::Broken => true,
                Reply::Answer(Answer::Error { code, .. }) => *code == Code::OutcomeUnknown,
                _ => false,
            };
            if unknown && resends_left > 0 {
                fleet.schedule(Duration::from_millis(500), move |fleet| {
                    fleet.book(key, body, deadline, resends_left - 1);
                });
            }
        };
        let ticket = self.open_ticket(&host, event, Some(Box::new(then)));
        self.checks.submitted.insert(ticket, submitted);
    }
}
