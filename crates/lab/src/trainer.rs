//! Simulated trainer that pulls a batch, trains for its step time and announces the next weight version.
//!
//! It pulls with its last cursor until a batch arrives. A pull that times out or fails is repeated, possibly through
//! another host.

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
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Trainer and the figures of its run.
#[derive(Clone, Debug)]
pub struct Trainer {
    pub zone: ZoneId,
    pub group_size: u32,
    pub staleness_bound: u64,
    /// Publishes the model's weight versions; the model's other trainers follow the newest published version.
    pub publishes: bool,
    pub version: Version,
    pub cursor: Box<str>,
    pub step_time: Duration,
    /// Repeats pulls and training steps; otherwise scripts trigger each pull.
    pub is_running: bool,
    pub steps: u32,
    pub idle_time: Duration,
    pub training_time: Duration,
    pub waiting_since: Time,
    pub batch_waits: Vec<Duration>,
    pub staleness: Vec<u64>,
    pub groups_seen: BTreeSet<u64>,
    pub samples_seen: BTreeSet<Box<str>>,
    pulls: u64,
    /// Last four batches.
    pub recent_batches: VecDeque<Arc<[Group]>>,
    pub stalled_until: Time,
    pub is_waiting: bool,
    /// Tokens in received samples.
    pub tokens: u64,
}

impl Trainer {
    /// Creates a trainer at version 0 with an empty cursor.
    pub fn new(zone: &str, group_size: u32, staleness_bound: u64, step_time: Duration) -> Self {
        Self {
            zone: zone.into(),
            group_size,
            staleness_bound,
            publishes: false,
            version: 0,
            cursor: "".into(),
            step_time,
            is_running: false,
            steps: 0,
            idle_time: Duration::ZERO,
            training_time: Duration::ZERO,
            waiting_since: Duration::ZERO,
            batch_waits: Vec::new(),
            staleness: Vec::new(),
            groups_seen: BTreeSet::new(),
            samples_seen: BTreeSet::new(),
            pulls: 0,
            recent_batches: VecDeque::new(),
            stalled_until: Duration::ZERO,
            is_waiting: false,
            tokens: 0,
        }
    }
}

impl Fleet {
    /// Starts a trainer's loop of pulls and training steps.
    pub fn run_trainer(&mut self, id: &TrainerId) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        trainer.is_running = true;
        trainer.waiting_since = now;
        trainer.is_waiting = true;
        self.pull(id, None);
    }

    /// Pulls with the trainer's cursor, through the given host or a random one in its zone.
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
        let host = host.map(HostId::from).or_else(|| self.random_host(Some(&zone)));
        let trainer = id.clone();
        let Some(host) = host else {
            self.schedule(RETRY_DELAY, move |fleet| fleet.retry_pull(&trainer, number));
            return None;
        };
        let requested = cursor.clone();
        let event = |ticket| {
            let trainer = trainer.clone();
            Event::Stream(stream::Event { ticket, trainer, cursor, version, wait: PULL_WAIT })
        };
        let trainer_id = id.clone();
        let then = move |fleet: &mut Self, reply: &Reply| {
            fleet.receive_batch(&trainer_id, number, &requested, reply);
        };
        let ticket = self.open_ticket(&host, event, Some(Box::new(then)));
        let trainer_id = id.clone();
        self.schedule(PULL_TIMEOUT, move |fleet| fleet.retry_pull(&trainer_id, number));
        Some(ticket)
    }

    fn retry_pull(&mut self, id: &TrainerId, number: u64) {
        let latest = self
            .trainers
            .get(id)
            .is_some_and(|trainer| trainer.is_running && trainer.pulls == number);
        if latest {
            self.pull(id, None);
        }
    }

    /// Accepts the first batch for the current cursor whose staleness was checked against the current version.
    fn receive_batch(&mut self, id: &TrainerId, number: u64, requested: &str, reply: &Reply) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        let Reply::Batch(Answer::Batch { cursor, version, groups }) = reply else {
            let id = id.clone();
            return self.schedule(RETRY_DELAY, move |fleet| fleet.retry_pull(&id, number));
        };
        if *trainer.cursor != *requested || now < trainer.stalled_until {
            return;
        }
        if *version < trainer.version {
            return self.retry_pull(id, number);
        }
        trainer.cursor = cursor.clone();
        trainer.pulls += 1;
        trainer.recent_batches.push_back(groups.clone());
        if trainer.recent_batches.len() > 4 {
            trainer.recent_batches.pop_front();
        }
        let waited = now.saturating_sub(trainer.waiting_since);
        trainer.batch_waits.push(waited);
        trainer.idle_time += waited;
        trainer.steps += 1;
        trainer.is_waiting = false;
        let samples = groups.iter().flat_map(|group| &group.samples);
        trainer.tokens += samples.map(|sample| sample.text.len() as u64 / 2).sum::<u64>();
        let (is_running, step_time) = (trainer.is_running, trainer.step_time);
        check::batch(self, id, groups);
        self.trace_line(format!(
            "{id} received a batch of {} groups after {:.1} s",
            groups.len(),
            waited.as_secs_f64()
        ));
        if is_running {
            let id = id.clone();
            self.schedule(step_time, move |fleet| fleet.finish_step(&id, step_time));
        }
    }

    fn finish_step(&mut self, id: &TrainerId, step_time: Duration) {
        let now = self.now;
        let Some(trainer) = self.trainers.get_mut(id) else {
            return;
        };
        if now < trainer.stalled_until {
            let (left, id) = (trainer.stalled_until - now, id.clone());
            return self.schedule(left, move |fleet| fleet.finish_step(&id, step_time));
        }
        trainer.training_time += step_time;
        trainer.waiting_since = now;
        trainer.is_waiting = true;
        if trainer.publishes {
            trainer.version += 1;
            self.announce(id, None);
        }
        if self.trainers[id].is_running {
            self.pull(id, None);
        }
    }

    /// Announces the trainer's version, with retries until a host accepts it.
    pub fn announce(&mut self, id: &TrainerId, host: Option<&str>) {
        let Some(trainer) = self.trainers.get(id) else { return };
        let (version, zone) = (trainer.version, trainer.zone.clone());
        let host = host.map(HostId::from).or_else(|| self.random_host(Some(&zone)));
        let trainer_id = id.clone();
        let again = move |fleet: &mut Self| {
            if fleet.trainers.get(&trainer_id).is_some_and(|trainer| trainer.version == version) {
                fleet.announce(&trainer_id, None);
            }
        };
        let Some(host) = host else {
            return self.schedule(RETRY_DELAY, again);
        };
        let trainer = id.clone();
        let weights = format!("weights/{id}/{version}").into();
        let event =
            |ticket| Event::Announce(rollout::Announcement { ticket, trainer, version, weights });
        let then = move |fleet: &mut Self, reply: &Reply| {
            if !matches!(reply, Reply::Admin(config::Answer::Done(_))) {
                fleet.schedule(RETRY_DELAY, again);
            }
        };
        self.open_ticket(&host, event, Some(Box::new(then)));
    }
}
