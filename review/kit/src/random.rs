//! A small seeded generator, so that a run can be told from its seed.

use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Random(Arc<Mutex<u64>>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)))
    }

    /// Number in 0..1.
    pub fn share(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1u64 << 53) as f64
    }
}
