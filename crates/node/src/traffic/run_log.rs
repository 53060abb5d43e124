//! Log lines about runs of job items. Each names the item, so that a timeline of it has them all.

use std::fmt::Display;

use log::info;
use tokio::time::Instant;

use crate::{
    job::End,
    logging::ms,
    prelude::*,
    traffic::{Endpoint, Run},
};

/// An engine has not begun to run an item; `ordered` is the time of the order.
pub fn unreached(run: &Run, target: &Endpoint, ordered: Instant, reason: &str) {
    info!(job = &*run.assignment.job, item = &*run.item.id, target_id = &*target.id, reason, took_ms = ms(ordered.elapsed()); "run reached no engine");
}

/// A run has no stream, although the engine may have the item; `sent` is the time of the request.
pub fn broken(run: &Run, target: &Endpoint, sent: Instant, reason: &dyn Display) {
    info!(job = &*run.assignment.job, item = &*run.item.id, target_id = &*target.id, content:% = run.item.content(&run.host), reason:% = reason, took_ms = ms(sent.elapsed()); "run broke");
}

/// A stream cannot be read on.
pub fn stream_broke(run: &Run, target: &Endpoint, reason: &dyn Display) {
    info!(job = &*run.assignment.job, item = &*run.item.id, target_id = &*target.id, content:% = run.item.content(&run.host), reason:% = reason; "stream broke");
}

/// A run has ended; `took` is the time since its request was sent.
pub fn ended(run: &Run, end: &End, events: u64, took: Duration) {
    let software = run.target.as_ref().map_or("", |target| &*target.software);
    let target = run.assignment.target.as_deref().unwrap_or("");
    info!(job = &*run.assignment.job, item = &*run.item.id, target_id = target, software, outcome:? = end, events, took_ms = ms(took); "item run ended");
}
