//! Slots of an engine and the queue of requests that wait for one.
//!
//! The lowest priority number is served first, and equal priorities in order of arrival.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

#[derive(Debug)]
struct State {
    free: usize,
    running: usize,
    sequence: u64,
    /// Queued requests by priority and sequence number.
    waiting: BTreeMap<(i64, u64), oneshot::Sender<Permit>>,
}

#[derive(Debug)]
pub struct Slots {
    queue_max: usize,
    state: Mutex<State>,
}

/// Occupied slot. Dropping it passes the slot to the next request in the queue. Empty once it has been passed on.
#[derive(Debug)]
pub struct Permit(Option<Arc<Slots>>);

impl Slots {
    pub fn new(slots: usize, queue_max: usize) -> Arc<Self> {
        let state = State { free: slots, running: 0, sequence: 0, waiting: BTreeMap::new() };
        Arc::new(Self { queue_max, state: Mutex::new(state) })
    }

    /// Waits for a slot; returns `None` if the queue is full.
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Option<Permit> {
        let receiver = {
            let mut state = self.state();
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.free > 0 && state.waiting.is_empty() {
                state.free -= 1;
                state.running += 1;
                return Some(Permit(Some(self.clone())));
            }
            if state.waiting.len() >= self.queue_max {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.sequence += 1;
            let position = (priority, state.sequence);
            state.waiting.insert(position, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Numbers of running and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let state = self.state();
        let waiting = state.waiting.values().filter(|sender| !sender.is_closed()).count();
        (state.running, waiting)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(slots) = self.0.take() else { return };
        loop {
            let next = {
                let mut state = slots.state();
                let next = state.waiting.pop_first();
                if next.is_none() {
                    state.free += 1;
                    state.running -= 1;
                }
                next
            };
            let Some((_, sender)) = next else { return };
            match sender.send(Self(Some(slots.clone()))) {
                Ok(()) => return,
                // The receiver was dropped. The returned permit is emptied so that its own drop does not free the slot
                // again.
                Err(mut permit) => permit.0 = None,
            }
        }
    }
}
