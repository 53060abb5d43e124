//! Fake trainer: pulls a batch, trains, announces the next version.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use lagoonyard::{
    core::{
        Event, config, rollout,
        stream::{self, Answer, Group},
    },
    prelude::*,
};

use crate::{Fleet, check, fleet::Reply};

const PULL_WAIT: Duration = Duration::from_secs(10);
const PULL_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY: Duration = Duration::from_millis(200);

/// One trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    pub zone: ZoneId,
    pub group_size: u32,
    pub bound: u64,
    /// Makes the model's versions. Others of the model only train on what it produces, with the newest version.
    pub publishes: bool,
    pub version: Version,
    pub cursor: Box<str>,
    pub step_time: Duration,
    /// Pulls and trains by itself.
    pub runs: bool,
    pub steps: u32,
    pub idle: Duration,
    pub trained: Duration,
    pub waits_since: Time,
    pub waits: Vec<Duration>,
    pub staleness: Vec<u64>,
    pub groups_seen: BTreeSet<u64>,
    pub samples_seen: BTreeSet<Box<str>>,
    pulls: u64,
    /// Last answers, for scripts.
    pub taken: VecDeque<Arc<[Group]>>,
    pub stalled_until: Time,
    pub is_waiting: bool,
    /// Tokens in the samples taken.
    pub tokens: u64,
}

impl Trainer {
    /// A trainer at version 0 with an empty cursor.
    pub fn new(zone: &str, group_size: u32, bound: u64, step_time: Duration) -> Self {
        Self {
            zone: zone.into(),
            group_size,
            bound,
            publishes: false,
            version: 0,
            cursor: "".into(),
            step_time,
            runs: false,
            steps: 0,
            idle: Duration::ZERO,
            trained: Duration::ZERO,
            waits_since: Duration::ZERO,
            waits: Vec::new(),
            staleness: Vec::new(),
            groups_seen: BTreeSet::new(),
            samples_seen: BTreeSet::new(),
            pulls: 0,
            taken: VecDeque::new(),
            stalled_until: Duration::ZERO,
            is_waiting: false,
            tokens: 0,
        }
    }
}

impl Fleet {
    /// Starts the loop of a trainer.
    pub fn run_trainer(&mut self, id: &TrainerId) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        trainer.runs = true;
        trainer.waits_since = now;
        trainer.is_waiting = true;
        self.pull(id, None);
    }

    /// Pulls with the trainer's cursor, through a given host or one by chance in its zone.
    pub fn pull(&mut self, id: &TrainerId, host: Option<&str>) -> Option<Ticket> {
        let published =
            self.trainers.values().filter(|row| row.publishes).map(|row| row.version).max();
        let trainer = self.trainers.get_mut(id)?;
        if !trainer.publishes {
            trainer.version = trainer.version.max(published.unwrap_or_default());
        }
        trainer.pulls += 1;
        let (number, zone, cursor, version) =
            (trainer.pulls, trainer.zone.clone(), trainer.cursor.clone(), trainer.version);
        let host = host.map(HostId::from).or_else(|| self.some_host(Some(&zone)));
        let trainer = id.clone();
        let Some(host) = host else {
            self.schedule(RETRY, move |fleet| fleet.pull_again(&trainer, number));
            return None;
        };
        let asked = cursor.clone();
        let event = |ticket| {
            let trainer = trainer.clone();
            Event::Stream(stream::Event { ticket, trainer, cursor, version, wait: PULL_WAIT })
        };
        let me = id.clone();
        let then = move |fleet: &mut Self, reply: &Reply| fleet.pulled(&me, number, &asked, reply);
        let ticket = self.ask(&host, event, Some(Box::new(then)));
        let me = id.clone();
        self.schedule(PULL_TIMEOUT, move |fleet| fleet.pull_again(&me, number));
        Some(ticket)
    }

    fn pull_again(&mut self, id: &TrainerId, number: u64) {
        let latest =
            self.trainers.get(id).is_some_and(|trainer| trainer.runs && trainer.pulls == number);
        if latest {
            self.pull(id, None);
        }
    }

    /// Takes the first answer to the present cursor that was judged by the present version.
    fn pulled(&mut self, id: &TrainerId, number: u64, asked: &str, reply: &Reply) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        let Reply::Batch(Answer::Batch { cursor, version, groups }) = reply else {
            let id = id.clone();
            return self.schedule(RETRY, move |fleet| fleet.pull_again(&id, number));
        };
        if *trainer.cursor != *asked || now < trainer.stalled_until {
            return;
        }
        if *version < trainer.version {
            return self.pull_again(id, number);
        }
        trainer.cursor = cursor.clone();
        trainer.pulls += 1;
        trainer.taken.push_back(groups.clone());
        if trainer.taken.len() > 4 {
            trainer.taken.pop_front();
        }
        let waited = now.saturating_sub(trainer.waits_since);
        trainer.waits.push(waited);
        trainer.idle += waited;
        trainer.steps += 1;
        trainer.is_waiting = false;
        let samples = groups.iter().flat_map(|group| &group.samples);
        trainer.tokens += samples.map(|sample| sample.text.len() as u64 / 2).sum::<u64>();
        let (runs, step_time) = (trainer.runs, trainer.step_time);
        check::batch(self, id, groups);
        self.note(format!(
            "{id} takes a batch of {} groups after {:.1} s",
            groups.len(),
            waited.as_secs_f64()
        ));
        if runs {
            let id = id.clone();
            self.schedule(step_time, move |fleet| fleet.stepped(&id, step_time));
        }
    }

    fn stepped(&mut self, id: &TrainerId, step_time: Duration) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        if now < trainer.stalled_until {
            let (left, id) = (trainer.stalled_until - now, id.clone());
            return self.schedule(left, move |fleet| fleet.stepped(&id, step_time));
        }
        trainer.trained += step_time;
        trainer.waits_since = now;
        trainer.is_waiting = true;
        if trainer.publishes {
            trainer.version += 1;
            self.announce(id, None);
        }
        if self.trainers[id].runs {
            self.pull(id, None);
        }
    }

    /// Announces the trainer's version until a host takes it.
    pub fn announce(&mut self, id: &TrainerId, host: Option<&str>) {
        let Some(trainer) = self.trainers.get(id) else { return };
        let (version, zone) = (trainer.version, trainer.zone.clone());
        let host = host.map(HostId::from).or_else(|| self.some_host(Some(&zone)));
        let me = id.clone();
        let again = move |fleet: &mut Self| {
            if fleet.trainers.get(&me).is_some_and(|trainer| trainer.version == version) {
                fleet.announce(&me, None);
            }
        };
        let Some(host) = host else {
            return self.schedule(RETRY, again);
        };
        let trainer = id.clone();
        let weights = format!("weights/{id}/{version}").into();
        let event =
            |ticket| Event::Announce(rollout::Announcement { ticket, trainer, version, weights });
        let then = move |fleet: &mut Self, reply: &Reply| {
            if !matches!(reply, Reply::Admin(config::Answer::Done(_))) {
                fleet.schedule(RETRY, again);
            }
        };
        self.ask(&host, event, Some(Box::new(then)));
    }
}
