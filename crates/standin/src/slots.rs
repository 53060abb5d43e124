//! Slots of an engine and the queue for them, lowest priority number first.

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
    waiting: BTreeMap<(i64, u64), oneshot::Sender<Permit>>,
}

/// Slots and queue.
#[derive(Debug)]
pub struct Slots {
    queue: usize,
    state: Mutex<State>,
}

/// A slot in use; it goes to the next in the queue when dropped.
#[derive(Debug)]
pub struct Permit(Option<Arc<Slots>>);

impl Slots {
    pub fn new(slots: usize, queue: usize) -> Arc<Self> {
        let state = State { free: slots, running: 0, sequence: 0, waiting: BTreeMap::new() };
        Arc::new(Self { queue, state: Mutex::new(state) })
    }

    /// Waits for a slot; `None` when the queue is full.
    pub async fn take(self: &Arc<Self>, priority: i64) -> Option<Permit> {
        let receiver = {
            let mut state = self.state();
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.free > 0 && state.waiting.is_empty() {
                state.free -= 1;
                state.running += 1;
                return Some(Permit(Some(self.clone())));
            }
            if state.waiting.len() >= self.queue {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.sequence += 1;
            let place = (priority, state.sequence);
            state.waiting.insert(place, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Running and waiting requests.
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
                // The waiter is gone; the emptied permit must not free the slot again.
                Err(mut permit) => permit.0 = None,
            }
        }
    }
}
