use std::collections::{HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::share::Request;

/// Refused requests that are remembered; the oldest are dropped first.
const REMEMBERED_MAX: usize = 4096;

/// Requests that were refused and that their callers may retry.
#[derive(Debug, Default)]
pub struct Returns {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Returns {
    /// Remembers a refused request.
    pub fn remember(&mut self, request: &Request) {
        let key = key(request);
        if !self.known.insert(key) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > REMEMBERED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether a request was refused before.
    pub fn is_known(&self, request: &Request) -> bool {
        self.known.contains(&key(request))
    }
}

/// Hash of a request's id and its workspace, so that no workspace acts for another one.
fn key(request: &Request) -> u64 {
    let share = request.share.as_deref().unwrap_or_default();
    xxh3_64(format!("{share}\n{}", request.id).as_bytes())
}
