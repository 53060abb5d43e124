//! Counters of a host, shared by its threads.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::{
    peer::{UsageCounts, UsageReply},
    prelude::*,
    usage::{Counters, Moment, Ran, Reading, Receipt, Windows},
};

/// Counters of this host; without any, nothing is counted.
#[derive(Debug, Default)]
pub struct Meter {
    counters: Option<Mutex<Counters>>,
}

impl Meter {
    /// Meter that counts.
    pub fn new(counters: Counters) -> Self {
        Self { counters: Some(Mutex::new(counters)) }
    }

    /// Counters of a process that starts.
    pub fn of_process(host: HostId, address: Box<str>, windows: Windows) -> Self {
        Self::new(Counters::new(host, address, rand::random(), windows))
    }

    /// Whether usage is counted.
    pub fn is_on(&self) -> bool {
        self.counters.is_some()
    }

    fn lock(&self) -> Option<MutexGuard<'_, Counters>> {
        let counters = self.counters.as_ref()?;
        Some(counters.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts an attempt that is about to be sent to a target, until it is known that the target has not run it.
    pub fn begin(self: &Arc<Self>, workspace: Option<&WorkspaceId>) -> Attempt {
        let begun = workspace.and_then(|workspace| {
            let window = self.lock()?.begin(workspace, Moment::present())?;
            Some((window, workspace.clone()))
        });
        Attempt { meter: Arc::clone(self), begun }
    }

    /// Counts a request that a target has begun to run.
    pub fn began(self: &Arc<Self>, workspace: Option<&WorkspaceId>) {
        drop(self.begin(workspace));
    }

    /// Whether another host has answered; also if nothing is counted.
    pub fn is_synced(&self) -> bool {
        self.lock().is_none_or(|counters| counters.is_synced())
    }

    /// True time in milliseconds since the start of 1970.
    pub fn true_ms(&self) -> u64 {
        let moment = Moment::present();
        self.lock().map_or(moment.unix_ms, |mut counters| counters.true_ms(moment))
    }

    /// Records the clock of a host that sends a message.
    pub fn record_clock(&self, message: &UsageCounts) {
        if let Some(mut counters) = self.lock() {
            let (host, unix_ms) = (message.host.as_str().into(), message.unix_ms);
            let reading = Reading { host, unix_ms, age: Duration::ZERO };
            counters.record_clock(&reading, Moment::present().now);
        }
    }

    /// Answer to a message.
    pub fn reply(&self, receipt: Receipt) -> UsageReply {
        let readings = self.lock().map(|counters| counters.readings(Moment::present()));
        let clocks = readings.unwrap_or_default().into_iter().map(Into::into).collect();
        let Receipt { settled_before, refused } = receipt;
        UsageReply { settled_before, clocks, refused }
    }

    /// Sends all windows again once another host holds the duty.
    pub fn set_holder(&self, fence: Revision) {
        if let Some(mut counters) = self.lock() {
            counters.set_holder(fence);
        }
    }

    /// Whether the holder lacks counts that it could still report.
    pub fn has_unsent_counts(&self) -> bool {
        self.lock().is_some_and(|counters| counters.has_unsent_counts())
    }

    /// Sends all windows again that are not settled.
    pub fn send_again(&self) {
        if let Some(mut counters) = self.lock() {
            counters.send_again();
        }
    }

    /// Message with what the holder does not know yet; `None` if it knows all or nothing is counted.
    pub fn unsent(&self) -> Option<UsageCounts> {
        self.lock()?.unsent(Moment::present())
    }

    /// Message that asks for the clocks of another host.
    pub fn clock_request(&self) -> Option<UsageCounts> {
        Some(self.lock()?.clock_request(Moment::present()))
    }

    /// Applies the answer to a message.
    pub fn apply_reply(&self, sent: &UsageCounts, reply: &UsageReply) {
        if let Some(mut counters) = self.lock() {
            counters.apply_reply(sent, reply, Moment::present());
        }
    }
}

/// An attempt that counts. Dropping it without a statement of the target leaves it counted.
#[derive(Debug)]
pub struct Attempt {
    meter: Arc<Meter>,
    begun: Option<(u64, WorkspaceId)>,
}

impl Attempt {
    /// The target states that it has not run the request.
    pub fn not_run(mut self) {
        self.end(Ran::No);
    }

    fn end(&mut self, ran: Ran) {
        if let Some((window, workspace)) = self.begun.take()
            && let Some(mut counters) = self.meter.lock()
        {
            counters.end(window, &workspace, ran);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end(Ran::Perhaps);
    }
}
