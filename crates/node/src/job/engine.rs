//! State of one model engine, as its service's leader knows it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    backoff::doubled,
    dry_run::Exclusion,
    fleet::Target,
    job::supply::Obstacle,
    prelude::*,
    rate::{Limit, Quota},
};

/// Weight of the last run in an engine's moving average.
const PACE_WEIGHT: f64 = 0.3;
/// Assumed pace before any run was measured.
pub(super) const PACE_INITIAL: Duration = Duration::from_millis(40);
/// Backoff after an engine did not run a request or broke a run; doubles with each consecutive failure.
const BACKOFF: Duration = Duration::from_millis(300);
const BACKOFF_MAX: Duration = Duration::from_millis(2400);
/// Time after which a measured pace expires, so that an engine that has recovered is tried again.
const PACE_TTL: Duration = Duration::from_secs(10);
/// Time after its last failure for which an engine is chosen after all others. It is longer than the backoff, so that an
/// engine that has ended, and stays registered for a while, gets few items.
const SUSPECT_TIME: Duration = Duration::from_secs(3);

/// State of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub target: Arc<Target>,
    /// Items whose text it generates for this leader.
    pub in_flight: u32,
    /// Moving average of the time per event.
    pace: Duration,
    measured_at: Option<Time>,
    backoff_until: Time,
    /// Consecutive runs that were not executed or broke.
    failures: u32,
    /// Time of the last failure, until a run shows that the engine works.
    failed_at: Option<Time>,
    /// Time of the last event of a run.
    heard_at: Option<Time>,
    /// Runs in progress that began before the failure.
    runs_before: u32,
    /// An item in doubt has the engine to itself.
    reserved: bool,
    /// Model whose version is being loaded; none of its items starts until the load ends.
    loading: Option<ModelId>,
    /// Versions loaded by this leader that the registration may not show yet.
    loaded: BTreeMap<ModelId, Version>,
    /// Grants requests while the engine names a limit.
    quota: Option<Quota>,
}

impl Engine {
    pub(super) fn new(target: Arc<Target>) -> Self {
        Self {
            target,
            in_flight: 0,
            pace: PACE_INITIAL,
            measured_at: None,
            backoff_until: Time::ZERO,
            failures: 0,
            failed_at: None,
            heard_at: None,
            runs_before: 0,
            reserved: false,
            loading: None,
            loaded: BTreeMap::new(),
            quota: None,
        }
    }

    /// Newest known version of a model on the engine.
    pub fn version(&self, model: &str) -> Option<Version> {
        let registered = self.target.versions.get(model).copied();
        registered.max(self.loaded.get(model).copied())
    }

    /// Newest known versions of all models on the engine.
    pub fn versions(&self) -> BTreeMap<ModelId, Version> {
        let models = self.target.versions.keys();
        models.filter_map(|model| Some((model.clone(), self.version(model)?))).collect()
    }

    /// Whether an item of a model may start. An engine that has failed runs one item, as a probe, until that makes an event.
    pub fn is_open(&self, model: &str, now: Time) -> bool {
        self.loading.as_deref() != Some(model)
            && !self.target.draining
            && now >= self.backoff_until
            && self.in_flight < self.target.slots
            && (self.failed_at.is_none() || self.in_flight <= self.runs_before)
            && self.quota.as_ref().is_none_or(|quota| now >= quota.open_at())
    }

    /// What keeps items of a model from starting, if anything does.
    pub(super) fn obstacle(&self, model: &str, now: Time) -> Option<Obstacle> {
        if self.is_open(model, now) {
            return None;
        }
        if self.target.draining {
            return Some(Obstacle::Draining);
        }
        if self.loading.as_deref() == Some(model) {
            return Some(Obstacle::Loading);
        }
        if now < self.backoff_until {
            return Some(Obstacle::BackingOff);
        }
        let is_full = self.in_flight >= self.target.slots;
        Some(if is_full { Obstacle::Full } else { Obstacle::Limited })
    }

    /// The same, for an explanation.
    pub(super) fn closed(&self, model: &str, now: Time) -> Option<Exclusion> {
        Some(match self.obstacle(model, now)? {
            Obstacle::Draining => Exclusion::Draining,
            Obstacle::Loading => Exclusion::Loading,
            Obstacle::BackingOff => Exclusion::BackingOff,
            Obstacle::Full => Exclusion::Full,
            Obstacle::Limited if self.failed_at.is_some() => Exclusion::Probed,
            Obstacle::Limited => Exclusion::QuotaUsed,
        })
    }

    /// Whether the engine takes items, now or once a slot is free.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.loading.is_none() && !self.target.draining && now >= self.backoff_until
    }

    pub fn free_slots(&self) -> u32 {
        let free = self.target.slots.saturating_sub(self.in_flight);
        if self.failed_at.is_some() { free.min(1) } else { free }
    }

    /// Whether the engine is chosen after others: it has failed lately, and no run has shown since that it works, or an item in
    /// doubt has it to itself.
    pub(super) fn comes_last(&self, now: Time) -> bool {
        self.reserved || self.failed_at.is_some_and(|at| now < at + SUSPECT_TIME)
    }

    /// Keeps the engine for the item in doubt that has just started on it, if it runs nothing else. It stays so if another such
    /// item joins it.
    pub(super) fn reserve(&mut self) {
        self.reserved |= self.in_flight == 1;
    }

    /// Whether no run has failed since the last one that showed that the engine works.
    pub(super) fn has_no_failure(&self) -> bool {
        self.failed_at.is_none()
    }

    /// Whether a run made an event at a time or later, and none has failed since.
    pub(super) fn is_heard_since(&self, time: Time) -> bool {
        self.failed_at.is_none() && self.heard_at.is_some_and(|at| at >= time)
    }

    /// Records an event of a run. Returns whether the engine came after others before.
    pub(super) fn hear(&mut self, now: Time) -> bool {
        self.heard_at = Some(now);
        self.runs_before = 0;
        let was_reserved = std::mem::take(&mut self.reserved);
        self.failed_at.take().is_some() || was_reserved
    }

    /// Frees a slot. A run that began before a failure is taken to end before the probe does.
    pub(super) fn end_run(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reserved &= self.in_flight > 0;
        self.runs_before = self.runs_before.saturating_sub(1);
    }

    /// Time per event; `None` if it was not measured lately.
    pub(super) fn measured_pace(&self, now: Time) -> Option<Duration> {
        self.measured_at.filter(|at| now <= *at + PACE_TTL).map(|_| self.pace)
    }

    /// Last measured time per event, however old.
    pub(super) fn last_pace(&self) -> Option<Duration> {
        self.measured_at.map(|_| self.pace)
    }

    /// Next time at which the engine's state changes by itself: its backoff ends, its failure or its pace expires, or its
    /// quota has a request to grant.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        let expiry = self.measured_at.map(|at| at + PACE_TTL + Duration::from_nanos(1));
        let quota = self.quota.as_ref().map(Quota::open_at);
        let trusted = self.failed_at.map(|at| at + SUSPECT_TIME);
        let times = [Some(self.backoff_until), expiry, quota, trusted];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Sets the limit that the engine names.
    pub(super) fn set_limit(&mut self, limit: Option<Limit>, now: Time) {
        match (limit, &mut self.quota) {
            (Some(limit), Some(quota)) => quota.set_limit(limit, 1.0, now),
            (Some(limit), None) => self.quota = Some(Quota::new(limit, 1.0, now)),
            (None, _) => self.quota = None,
        }
    }

    /// Limit that the engine names.
    pub fn limit(&self) -> Option<Limit> {
        self.quota.as_ref().map(Quota::limit)
    }

    /// Counts requests of this leader.
    pub(super) fn charge(&mut self, requests: u32, now: Time) {
        if let Some(quota) = &mut self.quota {
            quota.charge(requests, now);
        }
    }

    /// Grants a request of a caller, or returns the time after which to ask again.
    pub(super) fn grant(&mut self, priority: u32, now: Time) -> Result<(), Duration> {
        self.quota.as_mut().map_or(Ok(()), |quota| quota.take(priority, now))
    }

    /// Model whose version is being loaded.
    pub(super) fn loading(&self) -> Option<&ModelId> {
        self.loading.as_ref()
    }

    pub(super) fn begin_load(&mut self, model: ModelId) {
        self.loading = Some(model);
    }

    /// Ends a load, with the version that the engine has if the load succeeded.
    pub(super) fn end_load(&mut self, version: Option<Version>) {
        if let Some((model, version)) = self.loading.take().zip(version) {
            self.loaded.insert(model, version);
        }
    }

    pub(super) fn record_pace(&mut self, pace: Duration, now: Time) {
        self.failures = 0;
        self.hear(now);
        self.pace = match self.measured_pace(now) {
            Some(average) => average.mul_f64(1.0 - PACE_WEIGHT) + pace.mul_f64(PACE_WEIGHT),
            None => pace,
        };
        self.measured_at = Some(now);
    }

    /// Starts a backoff. Runs that break together count as one failure.
    pub(super) fn back_off(&mut self, now: Time) {
        if self.failed_at.replace(now).is_none() {
            self.runs_before = self.in_flight;
        }
        if now >= self.backoff_until {
            self.backoff_until = now + doubled(BACKOFF, self.failures, BACKOFF_MAX);
            self.failures += 1;
        }
    }
}
