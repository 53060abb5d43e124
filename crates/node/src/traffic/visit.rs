//! A content at a target, from the moment in which it is sent until it is known what became of the target.
//!
//! An exchange with a target is dropped when its caller leaves, when its deadline passes or when another attempt has been
//! answered. The target may run the content all the same, and end under it. So a visit outlives its exchange: it is followed
//! for a time, until the target is known to have ended.

use std::{cell::Cell, rc::Rc};

use log::info;
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    metrics::METERS,
    prelude::*,
    traffic::{
        Endpoint, announce,
        ended::{self, Cause, Finding},
        serve::Traffic,
        suspects::{self, Suspect},
    },
};

/// Longest time for which a visit is followed. Most targets drop what they run when its connection closes.
const FOLLOW_TIME: Duration = Duration::from_secs(3);
/// Interval at which a target is checked. A shorter look would find less: a target that ends is away for longer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of visits that are followed at the same time. Further ones are not.
const FOLLOWED_MAX: usize = 512;

/// Visits that are followed.
#[derive(Debug, Default)]
pub struct Followed(Rc<Cell<usize>>);

/// A content at a target. It is followed if it is dropped before it is settled.
pub struct Visit {
    traffic: Rc<Traffic>,
    suspect: Option<Suspect>,
    /// Time at which the target gives up.
    until: Instant,
}

impl Visit {
    pub fn begin(traffic: &Rc<Traffic>, suspect: Suspect, until: Instant) -> Self {
        Self { traffic: Rc::clone(traffic), suspect: Some(suspect), until }
    }

    /// Records the last event that the target has made.
    pub fn reach(&mut self, event: u64) {
        if let Some(suspect) = &mut self.suspect {
            suspect.run.reached = event;
        }
    }

    /// The target has answered, or its end is looked into by others.
    pub fn settle(mut self) {
        self.suspect = None;
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        if let Some(suspect) = self.suspect.take() {
            follow(&self.traffic, suspect, self.until.min(Instant::now() + FOLLOW_TIME));
        }
    }
}

/// Follows a visit until a time, and gives a strike if its target ends.
fn follow(traffic: &Rc<Traffic>, suspect: Suspect, until: Instant) {
    let followed = Rc::clone(&traffic.followed.0);
    if followed.get() >= FOLLOWED_MAX {
        METERS.left_visit("not_followed");
        return;
    }
    followed.set(followed.get() + 1);
    let traffic = Rc::clone(traffic);
    tokio::task::spawn_local(async move {
        let finding = find(&traffic, &suspect, until).await;
        METERS.left_visit(finding.name());
        followed.set(followed.get() - 1);
        if finding == Finding::Ended {
            info!(content:% = suspect.content, target_id = &*suspect.target.id, born = suspect.target.started_ms, events = suspect.run.reached; "target ended after a request had left it");
            suspects::record_end(&traffic, &suspect, clock::now());
            suspects::keep(&traffic, &suspect).await;
        }
    });
}

/// Checks a target until a time, and at least once.
async fn find(traffic: &Rc<Traffic>, suspect: &Suspect, until: Instant) -> Finding {
    let target = &suspect.target;
    loop {
        sleep(CHECK_INTERVAL).await;
        if announce::is_leaving(traffic, &target.id, target.started_ms) {
            return Finding::Sound;
        }
        if has_started_again(traffic, target) {
            return Finding::Ended;
        }
        if !is_alive(traffic, target) {
            let look = ended::look(traffic, target, Cause::ConnectionBroke);
            let finding = look.settled.await;
            if finding == Finding::Ended {
                return finding;
            }
        }
        if Instant::now() >= until {
            return Finding::Sound;
        }
    }
}

/// Whether another instance is registered under the target's id.
fn has_started_again(traffic: &Traffic, target: &Endpoint) -> bool {
    let view = traffic.view.load();
    view.targets.get(&target.id).is_some_and(|known| known.started_ms > target.started_ms)
}

/// Whether a target shows signs of life without a look: an idle connection to it is open, or bytes of it have just come.
fn is_alive(traffic: &Traffic, target: &Endpoint) -> bool {
    traffic.channels.has_open(target.address)
        || traffic.links.was_heard_within(&target.id, CHECK_INTERVAL, clock::now())
}
