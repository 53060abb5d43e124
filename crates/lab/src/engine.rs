//! Fake of a model engine: slots, a token rate, a weight version.
//!
//! Each token of its text is two characters: the first stands for the weight version, the second for the prompt and the
//! token's position. A check can so tell from a text alone whether it is whole and which versions produced it.

use std::collections::VecDeque;

use lagoonyard::{
    core::request::{Attempt, Failure, Generate, Output, Segment, Text, Update, Work},
    prelude::*,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two steps of a busy engine.
pub const STEP: Duration = Duration::from_millis(50);
const PREFIXES_MAX: usize = 32;
const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+-";

/// One attempt in an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: Attempt,
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Tokens of the whole text.
    total: u32,
    text: String,
    segments: Vec<Segment>,
    made: f64,
    prefill: Duration,
    reported: Time,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub zone: ZoneId,
    pub pool: PoolId,
    pub model: ModelId,
    pub slots: u32,
    pub version: Version,
    pub up: bool,
    pub stepping: bool,
    /// Since when it says that it leaves.
    pub leaving: Option<Time>,
    pub checks_fence: bool,
    pub fence: Fence,
    pub loading_until: Option<Time>,
    pub fail_loads: u32,
    /// Tokens a second of one sample alone.
    pub speed: f64,
    /// Cuts every stream short after this many tokens, without a finish reason.
    pub truncate_after: Option<u32>,
    pub name_versions: bool,
    pub running: Vec<Run>,
    pub waiting: VecDeque<Run>,
    pub prefixes: VecDeque<u64>,
    pub prefix_hits: u64,
    pub prefix_misses: u64,
    pub tokens: u64,
}

/// Update for the host that dispatched an attempt.
pub struct Note {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub attempt: AttemptId,
    pub update: Update,
}

impl Engine {
    /// An idle engine at version 0.
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
            name_versions: true,
            running: Vec::new(),
            waiting: VecDeque::new(),
            prefixes: VecDeque::new(),
            prefix_hits: 0,
            prefix_misses: 0,
            tokens: 0,
        }
    }

    /// Takes an attempt into the queue, ordered by priority.
    pub fn accept(&mut self, now: Time, attempt: Attempt, host: HostId, incarnation: Incarnation) {
        let Work::Generate(generate) = &attempt.work else {
            return;
        };
        let total = length(generate, attempt.ticket.is_none().then_some((&*host, attempt.request)));
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
        let made = (so_far.text.len() / 2) as f64;
        let run = Run {
            host,
            incarnation,
            total,
            text: so_far.text.into(),
            segments: so_far.segments,
            made,
            prefill,
            reported: now,
            attempt,
        };
        let place =
            self.waiting.partition_point(|other| other.attempt.priority <= run.attempt.priority);
        self.waiting.insert(place, run);
    }

    /// Forgets an attempt.
    pub fn cancel(&mut self, host: &str, attempt: AttemptId) {
        self.running.retain(|run| &*run.host != host || run.attempt.id != attempt);
        self.waiting.retain(|run| &*run.host != host || run.attempt.id != attempt);
    }

    /// Generates for one step and returns the updates.
    pub fn step(&mut self, now: Time) -> Vec<Note> {
        let mut notes = Vec::new();
        if self.loading_until.is_some_and(|until| until > now) {
            return notes;
        }
        while self.running.len() < self.slots as usize {
            let Some(run) = self.waiting.pop_front() else { break };
            self.running.push(run);
        }
        let rate = self.speed / (1.0 + self.running.len() as f64 / 32.0) * STEP.as_secs_f64();
        let (version, named, cut) = (self.version, self.name_versions, self.truncate_after);
        let mut made = 0;
        self.running.retain_mut(|run| {
            if !run.prefill.is_zero() {
                run.prefill = run.prefill.saturating_sub(STEP);
                return true;
            }
            let before = run.text.len() as u32 / 2;
            run.made += rate;
            let after = (run.made as u32).min(run.total);
            made += u64::from(after - before);
            run.extend(after, version, named);
            if cut.is_some_and(|cut| after >= cut) {
                // The stream is closed in order, but without a finish reason.
                notes.push(run.note(Update::Done(Output::Text(run.text()))));
                return false;
            }
            if after == run.total {
                let text = Text { finish_reason: Some("stop".into()), ..run.text() };
                notes.push(run.note(Update::Done(Output::Text(text))));
                return false;
            }
            if now >= run.reported + Duration::from_millis(500) {
                run.reported = now;
                notes.push(run.note(Update::Tokens(after)));
            }
            true
        });
        self.tokens += made;
        notes
    }

    /// Ends the process: everything in flight breaks.
    pub fn crash(&mut self) -> Vec<Note> {
        self.up = false;
        // A restarted engine serves the weights that its image holds.
        self.version = 0;
        self.loading_until = None;
        self.prefixes.clear();
        let runs: Vec<Run> = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        let failed = |run: &Run| {
            run.note(Update::Failed { failure: Failure::Broken, partial: Some(run.text()) })
        };
        runs.iter().map(failed).collect()
    }

    /// Incarnations that sent a running prompt which holds the text.
    pub fn senders(&self, part: &str) -> Vec<(HostId, Incarnation)> {
        let holds = |run: &&Run| matches!(&run.attempt.work, Work::Generate(generate) if generate.prompt.contains(part));
        let runs = self.running.iter().filter(holds);
        runs.map(|run| (run.host.clone(), run.incarnation)).collect()
    }
}

impl Run {
    fn note(&self, update: Update) -> Note {
        Note {
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

    fn extend(&mut self, upto: u32, version: Version, named: bool) {
        let Work::Generate(generate) = &self.attempt.work else {
            return;
        };
        let before = self.text.len() as u32 / 2;
        for place in before..upto {
            self.text.push(LETTERS[version as usize % 64] as char);
            self.text.push(letter(&generate.prompt, place));
        }
        if upto == before {
            return;
        }
        let version = named.then_some(version);
        match self.segments.last_mut() {
            Some(last) if last.version == version => last.tokens += upto - before,
            _ => self.segments.push(Segment { version, tokens: upto - before }),
        }
    }
}

/// Tokens of a prompt's answer: long-tailed, at most `max_tokens`. Bulk samples of one prompt differ by their request.
pub fn length(generate: &Generate, sample: Option<(&str, RequestId)>) -> u32 {
    let mut seed = hash(generate.prompt.as_bytes());
    if let Some((host, request)) = sample {
        seed ^= hash(host.as_bytes()).rotate_left(17) ^ request.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let uniform: f64 = rng.random_range(0.0001..1.0);
    // Pareto tail with shape 1.6: the median is 1.5 times the shortest, one in a hundred is 18 times as long.
    let tokens = 40.0 * uniform.powf(-1.0 / 1.6);
    (tokens as u32).min(generate.max_tokens.max(1))
}

/// Whether a text is the whole answer to a caller's prompt.
pub fn is_whole(generate: &Generate, text: &str) -> bool {
    let total = length(generate, None);
    let letters: Vec<char> = text.chars().skip(1).step_by(2).collect();
    letters.len() as u32 == total
        && letters
            .iter()
            .enumerate()
            .all(|(place, &found)| found == letter(&generate.prompt, place as u32))
}

/// Runs of versions that the text itself shows, as residues of 64.
pub fn versions_in(text: &str) -> Vec<(u64, u32)> {
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
