//! When the store has answered this host, and when it has not.
//!
//! What one call has seen of the store is not the state of the store: a single connection can be silent, and the store can
//! turn away single hosts. The contact of a host brings the calls of all its threads together, direct ones and those
//! through other hosts.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use crate::{clock, prelude::*};

/// Shortest time between two answers that are told apart.
const RESOLUTION: Duration = Duration::from_millis(100);
/// Largest number of answers that are remembered: those of 50 seconds or more.
const ANSWERS_MAX: usize = 512;

/// Time in which a host got no answer from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The first call without an answer had failed.
    pub began_at: Time,
    /// The last call without an answer began, so the outage was not over.
    pub lost_at: Time,
    /// The first answer after it.
    pub ended_at: Time,
}

impl Outage {
    pub fn length(&self) -> Duration {
        self.ended_at.saturating_sub(self.began_at)
    }
}

#[derive(Debug, Default)]
struct State {
    /// Times of answers, in order.
    answers: VecDeque<Time>,
    /// Begin of the last call without an answer.
    lost_at: Option<Time>,
}

/// Answers of the store to a host, shared by its threads.
#[derive(Debug, Default)]
pub struct Contact {
    state: Mutex<State>,
}

impl Contact {
    fn state(&self) -> MutexGuard<'_, State> {
        // No code panics while it holds the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer that has just arrived.
    pub fn record_answer(&self) {
        let now = clock::now();
        let mut state = self.state();
        if state.answers.back().is_some_and(|last| now < *last + RESOLUTION) {
            return;
        }
        if state.answers.len() >= ANSWERS_MAX {
            state.answers.pop_front();
        }
        state.answers.push_back(now);
    }

    /// Records that a call that began at a time got no answer, or was refused.
    pub fn record_loss(&self, begun_at: Time) {
        let mut state = self.state();
        state.lost_at = state.lost_at.max(Some(begun_at));
    }

    /// Whether the store has answered between two times.
    pub fn has_answered(&self, from: Time, to: Time) -> bool {
        self.state().answers.iter().any(|at| (from..=to).contains(at))
    }

    /// Outage of calls that failed from a time on and were answered just now. It ended with the first answer to any call.
    pub fn outage_since(&self, began_at: Time) -> Outage {
        let state = self.state();
        let answered_at = state.answers.iter().find(|at| **at >= began_at);
        let ended_at = answered_at.copied().unwrap_or_else(clock::now);
        let lost_at = state.lost_at.unwrap_or(began_at).clamp(began_at.min(ended_at), ended_at);
        Outage { began_at, lost_at, ended_at }
    }
}
