//! Simulated model engine with slots, a token rate and a weight version.
//!
//! Each token of its text is two characters: the first encodes the weight version, the second depends on the prompt and
//! the token's position. A check can therefore tell from a text alone whether it is complete and which versions
//! produced it.

use std::collections::VecDeque;

use lagoonyard::{
    core::request::{Attempt, Failure, Generate, Output, Segment, Text, Update, Work},
    prelude::*,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between two steps of a busy engine.
pub const STEP: Duration = Duration::from_millis(50);
const PREFIXES_MAX: usize = 32;
const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-";

/// Attempt that is queued or running in an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: Attempt,
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Tokens of the complete text.
    total_tokens: u32,
    text: String,
    segments: Vec<Segment>,
    generated: f64,
    prefill_left: Duration,
    reported_at: Time,
}

/// Engine process.
#[derive(Clone, Debug)]
pub struct Engine {
    pub zone: ZoneId,
    pub pool: PoolId,
    pub model: ModelId,
    pub slots: u32,
    pub version: Version,
    pub up: bool,
    pub stepping: bool,
    /// Time since which it reports that it is leaving.
    pub leaving: Option<Time>,
    pub checks_fence: bool,
    pub fence: Fence,
    pub loading_until: Option<Time>,
    pub fail_loads: u32,
    /// Tokens per second when a single attempt runs.
    pub speed: f64,
    /// Number of tokens after which streams end early, without a finish reason.
    pub truncate_after: Option<u32>,
    pub reports_versions: bool,
    pub running: Vec<Run>,
    pub waiting: VecDeque<Run>,
    pub prefixes: VecDeque<u64>,
    pub prefix_hits: u64,
    pub prefix_misses: u64,
    pub tokens: u64,
}

/// Attempt update for the host that dispatched the attempt.
pub struct Notification {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub attempt: AttemptId,
    pub update: Update,
}

impl Engine {
    /// Creates an idle engine at version 0.
    pub fn new(zone: &str, pool: &str, model: &str, slots: u32) -> Self {
        Self {
            zone: zone.into(),
            pool: pool.into(),
            model: model.into(),
            slots,
            version: 0,
            up: true,
            stepping: false,
            leaving: None,
            checks_fence: true,
            fence: 0,
            loading_until: None,
            fail_loads: 0,
            speed: 40.0,
            truncate_after: None,
            reports_versions: true,
            running: Vec::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
            prefix_hits: 0,
            prefix_misses: 0,
            tokens: 0,
        }
    }

    /// Queues an attempt by priority.
    pub fn accept(&mut self, now: Time, attempt: Attempt, host: HostId, incarnation: Incarnation) {
        let Work::Generate(generate) = &attempt.work else {
            return;
        };
        let total_tokens =
            answer_tokens(generate, attempt.ticket.is_none().then_some((&*host, attempt.request)));
        let so_far = attempt.so_far.clone().unwrap_or_default();
        let prefill = if self.prefixes.contains(&generate.prefix) {
            self.prefix_hits += 1;
            Duration::from_millis(20)
        } else {
            self.prefix_misses += 1;
            self.prefixes.push_back(generate.prefix);
            if self.prefixes.len() > PREFIXES_MAX {
                self.prefixes.pop_front();
            }
            Duration::from_millis(300)
        };
        let generated = (so_far.text.len() / 2) as f64;
        let run = Run {
            host,
            incarnation,
            total_tokens,
            text: so_far.text.into(),
            segments: so_far.segments,
            generated,
            prefill_left: prefill,
            reported_at: now,
            attempt,
        };
        let place =
            self.waiting.partition_point(|other| other.attempt.priority <= run.attempt.priority);
        self.waiting.insert(place, run);
    }

    pub fn cancel(&mut self, host: &str, attempt: AttemptId) {
        self.running.retain(|run| &*run.host != host || run.attempt.id != attempt);
        self.waiting.retain(|run| &*run.host != host || run.attempt.id != attempt);
    }

    /// Generates tokens for one step and returns the updates for the hosts.
    pub fn step(&mut self, now: Time) -> Vec<Notification> {
        let mut notifications = Vec::new();
        if self.loading_until.is_some_and(|until| until > now) {
            return notifications;
        }
        while self.running.len() < self.slots as usize {
            let Some(run) = self.waiting.pop_front() else { break };
            self.running.push(run);
        }
        let rate = self.speed / (1.0 + self.running.len() as f64 / 32.0) * STEP.as_secs_f64();
        let (version, reports_versions, limit) =
            (self.version, self.reports_versions, self.truncate_after);
        let mut generated = 0;
        self.running.retain_mut(|run| {
            if !run.prefill_left.is_zero() {
                run.prefill_left = run.prefill_left.saturating_sub(STEP);
                return true;
            }
            let before = run.text.len() as u32 / 2;
            run.generated += rate;
            let after = (run.generated as u32).min(run.total_tokens);
            generated += u64::from(after - before);
            run.extend(after, version, reports_versions);
            if limit.is_some_and(|limit| after >= limit) {
                // The stream is closed regularly, but without a finish reason.
                notifications.push(run.notification(Update::Done(Output::Text(run.text()))));
                return false;
            }
            if after == run.total_tokens {
                let text = Text { finish_reason: Some("stop".into()), ..run.text() };
                notifications.push(run.notification(Update::Done(Output::Text(text))));
                return false;
            }
            if now >= run.reported_at + Duration::from_millis(500) {
                run.reported_at = now;
                notifications.push(run.notification(Update::Tokens(after)));
            }
            true
        });
        self.tokens += generated;
        notifications
    }

    /// Ends the process and fails all its attempts.
    pub fn crash(&mut self) -> Vec<Notification> {
        self.up = false;
        // A restarted engine serves the weights of its image.
        self.version = 0;
        self.loading_until = None;
        self.prefixes.clear();
        let runs: Vec<Run> = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        let failed = |run: &Run| {
            run.notification(Update::Failed { failure: Failure::Broken, partial: Some(run.text()) })
        };
        runs.iter().map(failed).collect()
    }

    /// Host processes that sent a running prompt containing the text.
    pub fn senders(&self, part: &str) -> Vec<(HostId, Incarnation)> {
        let holds = |run: &&Run| matches!(&run.attempt.work, Work::Generate(generate) if generate.prompt.contains(part));
        let runs = self.running.iter().filter(holds);
        runs.map(|run| (run.host.clone(), run.incarnation)).collect()
    }
}

impl Run {
    fn notification(&self, update: Update) -> Notification {
        Notification {
            host: self.host.clone(),
            incarnation: self.incarnation,
            attempt: self.attempt.id,
            update,
        }
    }

    fn text(&self) -> Text {
        Text {
            text: self.text.as_str().into(),
            segments: self.segments.clone(),
            finish_reason: None,
        }
    }

    fn extend(&mut self, end: u32, version: Version, reports_versions: bool) {
        let Work::Generate(generate) = &self.attempt.work else {
            return;
        };
        let before = self.text.len() as u32 / 2;
        for place in before..end {
            self.text.push(LETTERS[version as usize % 64] as char);
            self.text.push(letter(&generate.prompt, place));
        }
        if end == before {
            return;
        }
        let version = reports_versions.then_some(version);
        match self.segments.last_mut() {
            Some(last) if last.version == version => last.tokens += end - before,
            _ => self.segments.push(Segment { version, tokens: end - before }),
        }
    }
}

/// Length of a prompt's answer in tokens, long-tailed and at most `max_tokens`.
///
/// It depends on the prompt alone for callers, and also on the request for bulk samples of one prompt.
pub fn answer_tokens(generate: &Generate, sample: Option<(&str, RequestId)>) -> u32 {
    let mut seed = hash(generate.prompt.as_bytes());
    if let Some((host, request)) = sample {
        seed ^= hash(host.as_bytes()).rotate_left(17) ^ request.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let uniform: f64 = rng.random_range(0.0001..1.0);
    // Pareto distribution with shape 1.6: the median is 1.5 times the minimum, the 99th percentile 18 times.
    let tokens = 40.0 * uniform.powf(-1.0 / 1.6);
    (tokens as u32).min(generate.max_tokens.max(1))
}

/// Whether a text is the complete answer to a caller's prompt.
pub fn is_complete(generate: &Generate, text: &str) -> bool {
    let total_tokens = answer_tokens(generate, None);
    let letters: Vec<char> = text.chars().skip(1).step_by(2).collect();
    letters.len() as u32 == total_tokens
        && letters
            .iter()
            .enumerate()
            .all(|(place, &found)| found == letter(&generate.prompt, place as u32))
}

/// Weight versions encoded in a text as runs of (version modulo 64, tokens).
pub fn version_runs(text: &str) -> Vec<(u64, u32)> {
    let mut runs: Vec<(u64, u32)> = Vec::new();
    for found in text.bytes().step_by(2) {
        let version = LETTERS.iter().position(|&letter| letter == found).unwrap_or(0) as u64;
        match runs.last_mut() {
            Some(last) if last.0 == version => last.1 += 1,
            _ => runs.push((version, 1)),
        }
    }
    runs
}

fn letter(prompt: &str, place: u32) -> char {
    let mixed =
        hash(prompt.as_bytes()).wrapping_add(u64::from(place)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    LETTERS[(mixed >> 58) as usize] as char
}

fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
