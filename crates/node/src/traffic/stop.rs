//! Planned stop of the traffic thread: new requests are refused before the process could cut them off, and what is left at
//! the end is answered.

use tokio::time::{Instant, sleep};

use crate::{prelude::*, traffic::serve::Traffic};

/// Time after the signal to stop in which new connections are still accepted: readiness is checked once a second, so
/// callers learn late that this host stops.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(2600);
/// Subtracted from the grace period, so that the process ends within it.
const MARGIN: Duration = Duration::from_millis(700);
/// Subtracted from that end, for the answers to requests that are still in progress.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Longest time for which a stopping host without requests waits until the holder of the duty has its counts.
const USAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a stopping host checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a host checks whether it is to stop.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Phase of a planned stop, as callers' requests see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are taken.
    Open,
    /// A new request could be cut off by the end of the process, so it is refused.
    Refusing,
    /// The process ends; what is in progress is answered as unknown.
    Ending,
}

/// Returns once the process is stopping.
pub async fn requested(traffic: &Traffic) {
    while !traffic.view.load().stopping {
        sleep(REQUEST_POLL_INTERVAL).await;
    }
}

/// End of a process that is asked to stop now.
pub fn deadline(traffic: &Traffic) -> Instant {
    Instant::now() + traffic.settings.stop_grace.saturating_sub(MARGIN)
}

/// Refuses new requests, and waits for those in progress up to the deadline.
pub async fn drain(traffic: &Traffic, deadline: Instant) {
    traffic.phase.send_replace(Phase::Refusing);
    wait_until_unused(traffic, deadline - ANSWER_MARGIN).await;
    traffic.phase.send_replace(Phase::Ending);
    wait_until_unused(traffic, deadline).await;
    let deadline = deadline.min(Instant::now() + USAGE_TIMEOUT);
    while traffic.meter.has_unsent_counts() && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until no caller and no other host uses this one.
async fn wait_until_unused(traffic: &Traffic, deadline: Instant) {
    while traffic.is_in_use() && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}
