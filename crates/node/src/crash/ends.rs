//! Ends of targets, whatever they ran, by instance.
//!
//! They come from requests under which targets ended, here or at other hosts, from looks at targets, and from registrations that
//! go without a word of leaving. What ended without a content speaks for it.

use std::collections::HashMap;

use crate::{
    crash::{Background, Evidence, Record, Strike, record::SAME_END},
    fleet::Target,
    prelude::*,
};

/// Ends kept at most; with more, the oldest goes.
const ENDS_MAX: usize = 1024;
/// Time for which an end is kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Time after the last strike of a content in which ends without it count.
const AFTER_TIME: Duration = Duration::from_secs(10);
/// Time for which a target that has ended runs nothing.
const AWAY_TIME: Duration = Duration::from_secs(2);

/// An instance of a target, by id and start time.
type Instance = (TargetId, u64);

#[derive(Debug)]
struct End {
    at: Time,
    /// `None` if its target was not registered here.
    service: Option<ServiceId>,
}

#[derive(Debug)]
pub(super) struct Registered {
    service: ServiceId,
    started_ms: u64,
    draining: bool,
}

/// Registered targets, and the ends of instances.
#[derive(Debug, Default)]
pub(super) struct Ends {
    registered: HashMap<TargetId, Registered>,
    /// Number of registered targets by service.
    services: HashMap<ServiceId, usize>,
    ended: HashMap<Instance, End>,
}

impl Ends {
    /// Records a registration. An instance that another one replaces has ended, unless it was leaving.
    pub(super) fn register(&mut self, target: &Target, now: Time) {
        let Target { id, service, started_ms, draining, .. } = target;
        let new =
            Registered { service: service.clone(), started_ms: *started_ms, draining: *draining };
        let old = self.forget(id);
        *self.services.entry(service.clone()).or_default() += 1;
        self.registered.insert(id.clone(), new);
        if let Some(old) = old.filter(|old| old.started_ms < *started_ms && !old.draining) {
            self.insert((id.clone(), old.started_ms), now, Some(old.service));
        }
    }

    /// Records that a registration is gone. Its instance has ended, unless it was leaving.
    pub(super) fn deregister(&mut self, id: &TargetId, now: Time) {
        if let Some(old) = self.forget(id).filter(|old| !old.draining) {
            self.insert((id.clone(), old.started_ms), now, Some(old.service));
        }
    }

    /// Records that a registration no longer counts, although its target may be alive.
    pub(super) fn forget(&mut self, id: &TargetId) -> Option<Registered> {
        let old = self.registered.remove(id)?;
        if let Some(count) = self.services.get_mut(&old.service) {
            *count -= 1;
        }
        self.services.retain(|_, count| *count > 0);
        Some(old)
    }

    /// Records an end.
    pub(super) fn note(&mut self, end: &Strike) {
        let service = self.registered.get(&end.target).map(|target| target.service.clone());
        self.insert((end.target.clone(), end.started_ms), end.at, service);
    }

    fn insert(&mut self, instance: Instance, at: Time, service: Option<ServiceId>) {
        if self.ended.len() >= ENDS_MAX && !self.ended.contains_key(&instance) {
            let oldest = self.ended.iter().min_by_key(|(_, end)| end.at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.ended.remove(&oldest);
            }
        }
        let end = self.ended.entry(instance).or_insert(End { at, service: None });
        // An instance that ends again, as it was back without a new registration, has ended later.
        end.at = if at >= end.at + SAME_END { at } else { end.at.min(at) };
        end.service = end.service.take().or(service);
    }

    /// Whether an instance has ended since a time.
    pub(super) fn has_since(&self, target: &TargetId, started_ms: u64, since: Time) -> bool {
        self.ended.get(&(target.clone(), started_ms)).is_some_and(|end| end.at > since)
    }

    /// Ends without a content, under which some targets ended.
    fn without<'a>(&'a self, record: &'a Record) -> impl Iterator<Item = &'a End> {
        let is_other =
            |(target, started_ms): &Instance| !record.knows_instance(target, *started_ms);
        self.ended.iter().filter(move |(instance, _)| is_other(instance)).map(|(_, end)| end)
    }

    /// Whether a target has ended without a content at the moment of an end.
    pub(super) fn has_joint(&self, record: &Record, end: &Strike) -> bool {
        let is_joint = |(instance, other): (&Instance, &End)| {
            end.is_at(other.at)
                && !end.is_of(&instance.0, instance.1)
                && !record.knows_instance(&instance.0, instance.1)
        };
        self.ended.iter().any(is_joint)
    }

    /// Whether a target has ended without a content since a time.
    pub(super) fn has_later(&self, record: &Record, since: Time) -> bool {
        self.without(record).any(|end| end.at > since)
    }

    /// What ends under a content and without it say of the content.
    pub(super) fn evidence(&self, record: &Record) -> Evidence {
        let strikes = &record.strikes;
        let ran = record.survived + strikes.iter().map(|strike| strike.ran).sum::<Duration>();
        let start = strikes.iter().map(|strike| strike.at.saturating_sub(strike.ran)).min();
        let (Some(start), Some(last)) = (start, record.last_strike()) else {
            return Evidence::default();
        };
        let service = strikes.iter().find_map(|strike| self.service_of(strike));
        let is_ours = |end: &&End| {
            let is_same = service.zip(end.service.as_ref()).is_none_or(|(ours, its)| ours == its);
            is_same && (start..=last + AFTER_TIME).contains(&end.at)
        };
        let others: Vec<Time> = self.without(record).filter(is_ours).map(|end| end.at).collect();
        let until = others.iter().copied().fold(last, Time::max);
        let away = others.iter().copied().chain(strikes.iter().map(|strike| strike.at));
        let away: Duration = away.map(|at| AWAY_TIME.min(until.saturating_sub(at))).sum();
        let targets = service.and_then(|service| self.services.get(service)).copied().unwrap_or(1);
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        let time = (until - start).saturating_mul(targets).saturating_sub(away).max(ran);
        let local = Background { ends: others.len(), time };
        // A host that was just started has seen less than others, and what was seen is forgotten before the strikes.
        let background = local.max(record.background);
        Evidence {
            ends: strikes.len(),
            ran,
            background: Background { time: background.time.max(ran), ..background },
        }
    }

    fn service_of(&self, strike: &Strike) -> Option<&ServiceId> {
        let ended = self.ended.get(&(strike.target.clone(), strike.started_ms));
        let registered = || self.registered.get(&strike.target).map(|target| &target.service);
        ended.and_then(|end| end.service.as_ref()).or_else(registered)
    }

    /// Drops what is too old.
    pub(super) fn sweep(&mut self, now: Time) {
        self.ended.retain(|_, end| now < end.at + RETENTION);
    }
}
