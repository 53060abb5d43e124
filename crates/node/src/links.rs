//! Links from this host to targets, as its new connections show them.
//!
//! A host may lose its links to targets while callers, the store and the other hosts still reach it. A connection that
//! cannot be opened says little by itself, as the target may have ended. Failures at several targets, with no success in
//! between, mean that this host is cut off; a probe that succeeds ends the cut.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use log::{info, warn};
use tokio::sync::watch;

use crate::{clock, metrics::METERS, prelude::*};

/// Targets that cannot be reached, one after the other, from which on the host counts as cut off.
const CUT_TARGETS: usize = 2;
/// Time for which a failed connection counts.
const LOSS_TTL: Duration = Duration::from_millis(1000);
/// Time for which the word of another host counts that it reaches targets.
const OTHERS_TTL: Duration = Duration::from_millis(2000);
/// Time for which a sign of life of a target makes a check of its link needless.
const HEARD_TTL: Duration = Duration::from_millis(500);
/// Time between two connections without an answer from which on a target of which nothing else was heard counts as silent.
const SILENT_TIME: Duration = Duration::from_millis(300);

/// Minimum time between two checks of a link.
const CHECK_INTERVAL: Duration = Duration::from_millis(2000);

/// How a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused.
    Refused,
    /// Nothing came back in time; open connections are silent as well.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    lost: HashMap<TargetId, (Failure, Time)>,
    heard_at: HashMap<TargetId, Time>,
    /// First and last connection without an answer since a target was last heard.
    silent: HashMap<TargetId, (Time, Time)>,
    checked_at: HashMap<TargetId, Time>,
    /// Targets that could not be reached since a connection was last opened.
    in_a_row: HashMap<TargetId, Time>,
    cut_since: Option<Time>,
    /// Number of targets to which this host may connect.
    known: usize,
    /// Time at which another host was last known to reach targets.
    others_reach_at: Option<Time>,
    /// Time of the last sign of life of any target.
    any_heard_at: Option<Time>,
}

/// State of the links, shared by the threads of a host.
#[derive(Debug)]
pub struct Links {
    state: Mutex<State>,
    /// Counts the losses, to wake those that wait for one.
    losses: watch::Sender<u64>,
}

impl Default for Links {
    fn default() -> Self {
        Self { state: Mutex::default(), losses: watch::Sender::new(0) }
    }
}

impl Links {
    /// Whether a connection to a target is worth an attempt.
    pub fn has_link(&self, target: &str, now: Time) -> bool {
        let state = self.lock();
        let lost = state.lost.get(target);
        state.cut_since.is_none() && lost.is_none_or(|(_, at)| now >= *at + LOSS_TTL)
    }

    /// Time since which the host has been cut off from all targets.
    pub fn cut_since(&self) -> Option<Time> {
        self.lock().cut_since
    }

    /// Whether the host has been cut off for a time while other hosts still reach targets.
    pub fn is_alone(&self, time: Duration, now: Time) -> bool {
        let state = self.lock();
        state.cut_since.is_some_and(|since| now >= since + time)
            && state.others_reach_at.is_some_and(|at| now < at + OTHERS_TTL)
    }

    /// Sets the number of targets to which this host may connect.
    pub fn set_known(&self, count: usize) {
        self.lock().known = count;
    }

    /// Records that another host is not cut off.
    pub fn others_reach(&self, now: Time) {
        self.lock().others_reach_at = Some(now);
    }

    /// Whether the link to a target is to be checked now, as nothing was heard from it lately. If so, it counts as checked.
    pub fn begin_check(&self, target: &str, now: Time) -> bool {
        let mut state = self.lock();
        let is_within = |times: &HashMap<TargetId, Time>, time| {
            times.get(target).is_some_and(|at| now < *at + time)
        };
        if is_within(&state.heard_at, HEARD_TTL) || is_within(&state.checked_at, CHECK_INTERVAL) {
            return false;
        }
        state.checked_at.insert(target.into(), now);
        true
    }

    /// Records a sign of life of a target.
    pub fn heard(&self, target: &str, now: Time) {
        let mut state = self.lock();
        state.any_heard_at = Some(now);
        state.silent.remove(target);
        match state.heard_at.get_mut(target) {
            Some(heard_at) => *heard_at = now,
            None => {
                state.heard_at.insert(target.into(), now);
            }
        }
    }

    /// Whether there was a sign of life of a target within a time.
    pub fn was_heard_within(&self, target: &str, time: Duration, now: Time) -> bool {
        self.lock().heard_at.get(target).is_some_and(|at| now < *at + time)
    }

    /// Records that a connection to a target was opened.
    pub fn opened(&self, target: &str, now: Time) {
        let mut state = self.lock();
        state.lost.remove(target);
        state.silent.remove(target);
        state.in_a_row.clear();
        state.heard_at.insert(target.into(), now);
        state.any_heard_at = Some(now);
        state.end_cut(now, "a target is reached");
    }

    /// Records that a connection to a target could not be opened.
    pub fn failed(&self, target: &str, failure: Failure, now: Time) {
        {
            let mut state = self.lock();
            state.lost.insert(target.into(), (failure, now));
            state.record_silence(target, failure, now);
            state.in_a_row.insert(target.into(), now);
            state.in_a_row.retain(|_, at| now < *at + 2 * LOSS_TTL);
            if state.cut_since.is_none()
                && state.in_a_row.len() >= CUT_TARGETS.min(state.known.max(1))
            {
                warn!(targets = state.in_a_row.len(), failure:? = failure; "cut off from targets: requests go through other hosts");
                state.cut_since = Some(now);
                METERS.cut_off(true);
            }
        }
        self.losses.send_modify(|count| *count += 1);
    }

    /// Records that other hosts do not reach a target either, so that its failure says nothing about this host.
    pub fn is_down(&self, target: &str, now: Time) {
        let mut state = self.lock();
        state.lost.remove(target);
        state.in_a_row.remove(target);
        if state.in_a_row.len() < CUT_TARGETS {
            state.end_cut(now, "other hosts do not reach the target either");
        }
    }

    /// Returns once the host is cut off and a target among those that do not answer. A single target that accepts no
    /// connection in time may only be busy.
    pub async fn lost(&self, target: &str) {
        let mut losses = self.losses.subscribe();
        // The sender lives as long as `self`.
        let _ = losses.wait_for(|_| self.is_lost(target)).await;
    }

    /// Returns once two connections to a target some time apart got no answer, and nothing else was heard from it. For
    /// requests that another target can take over.
    pub async fn silent(&self, target: &str) {
        let mut losses = self.losses.subscribe();
        // The sender lives as long as `self`.
        let _ = losses.wait_for(|_| self.lock().is_silent(target)).await;
    }

    fn is_lost(&self, target: &str) -> bool {
        let state = self.lock();
        state.cut_since.is_some() && matches!(state.lost.get(target), Some((Failure::Silent, _)))
    }

    /// Returns once the host is cut off, or may be: a target cannot be reached, and nothing was heard from any other.
    pub async fn suspected(&self) {
        let mut losses = self.losses.subscribe();
        let _ = losses.wait_for(|_| self.is_suspected(clock::now())).await;
    }

    fn is_suspected(&self, now: Time) -> bool {
        let state = self.lock();
        let is_heard = state.any_heard_at.is_some_and(|at| now < at + HEARD_TTL);
        let mut in_a_row = state.in_a_row.values();
        state.cut_since.is_some() || (!is_heard && in_a_row.any(|at| now < *at + LOSS_TTL))
    }

    /// Forgets the targets that are not to be kept.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        state.lost.retain(|target, _| keep(target));
        state.heard_at.retain(|target, _| keep(target));
        state.silent.retain(|target, _| keep(target));
        state.checked_at.retain(|target, _| keep(target));
        state.in_a_row.retain(|target, _| keep(target));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent between any two statements that change it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record_silence(&mut self, target: &str, failure: Failure, now: Time) {
        match (failure, self.silent.get_mut(target)) {
            (Failure::Refused, _) => {
                self.silent.remove(target);
            }
            (Failure::Silent, Some((_, last))) if now < *last + LOSS_TTL => *last = now,
            (Failure::Silent, _) => {
                self.silent.insert(target.into(), (now, now));
            }
        }
    }

    fn is_silent(&self, target: &str) -> bool {
        self.silent.get(target).is_some_and(|(first, last)| *last >= *first + SILENT_TIME)
    }

    fn end_cut(&mut self, now: Time, reason: &'static str) {
        if let Some(since) = self.cut_since.take() {
            let after_ms = crate::logging::ms(now.saturating_sub(since));
            info!(after_ms, reason; "targets are reached directly again");
            METERS.cut_off(false);
        }
    }
}
