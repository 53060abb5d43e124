//! Stand-ins of the platform's store, of workers and of clients, and a starter of the project's own processes.

pub mod base64;
pub mod http;
pub mod json;
pub mod kv;
pub mod link;
pub mod lots;
pub mod node;
pub mod poison;
pub mod record;
pub mod worker;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use json::Json;
pub use kv::Kv;
pub use link::Link;
pub use node::{Cluster, Node};
pub use record::Record;
pub use worker::Worker;

/// Time of day in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Waits until a condition holds; `false` if it does not within the limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    holds()
}

/// Whether the script plays the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Exit code of a script whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a script whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a script that could not run.
pub const NOT_RUN: i32 = 2;
