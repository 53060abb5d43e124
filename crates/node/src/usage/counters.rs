//! Counters of one host by workspace and window.

use std::collections::BTreeMap;

use crate::{
    metrics::METERS,
    peer::{UsageCounts, UsageReply, UsageWindow},
    prelude::*,
    usage::{Counts, Moment, Offsets, Reading, Windows, sum},
};

/// Windows that a host keeps; the oldest is dropped first.
const WINDOWS_MAX: usize = 64;
/// Workspaces counted in a window.
const WORKSPACES_MAX: usize = 4096;
/// Time after the end of a window until the host closes it, for clocks that are read at slightly different moments.
const CLOSE_MARGIN_MS: u64 = 50;

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The target ran the request or may have run it.
    Perhaps,
    /// The target states that it has not run it.
    No,
}

/// A window that the host keeps.
#[derive(Debug, Default)]
struct Kept {
    counts: Counts,
    /// Attempts that began in the window and have not ended. They count, unless they end as not run.
    in_progress: u64,
    /// Number of the last change.
    changed: u64,
}

/// Counters of a host. An attempt counts from its beginning, so that a host that is lost has reported it, and no longer
/// if its target states that it has not run it.
#[derive(Debug)]
pub struct Counters {
    host: HostId,
    /// Address by which the holder knows that this host belongs to the deployment.
    address: Box<str>,
    /// Differs between processes of one host, so that their counts add up.
    incarnation: u64,
    windows: Windows,
    offsets: Offsets,
    kept: BTreeMap<u64, Kept>,
    /// Number of the last change of any window.
    change: u64,
    /// Last change that the holder knows.
    acknowledged: u64,
    /// All windows before this one have ended, and so have their attempts. It never falls.
    closed_before: u64,
    /// The same, as the holder knows it.
    acknowledged_close: u64,
    /// Windows before this one are settled.
    settled_before: u64,
    /// Fencing token of the holder to which the counts went.
    holder: Option<Revision>,
    /// Another host has answered, with its clock or as the holder. No window is closed before that.
    synced: bool,
}

impl Counters {
    /// Counters without counts. `address` is that of the host for other hosts.
    pub fn new(host: HostId, address: Box<str>, incarnation: u64, windows: Windows) -> Self {
        Self {
            offsets: Offsets::new(host.clone()),
            host,
            address,
            incarnation,
            windows,
            kept: BTreeMap::new(),
            change: 0,
            acknowledged: 0,
            closed_before: 0,
            acknowledged_close: 0,
            settled_before: 0,
            holder: None,
            synced: false,
        }
    }

    /// Whether another host has answered.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// True time in milliseconds since the start of 1970.
    pub fn true_ms(&mut self, moment: Moment) -> u64 {
        self.offsets.true_ms(moment)
    }

    /// Clocks that this host knows.
    pub fn readings(&self, moment: Moment) -> Vec<Reading> {
        self.offsets.readings(moment)
    }

    /// Records the clock of another host.
    pub fn record_clock(&mut self, reading: &Reading, now: Time) {
        self.offsets.record(reading, now);
    }

    /// Counts an attempt that begins. Returns its window; `None` if there are too many workspaces.
    pub fn begin(&mut self, workspace: &str, moment: Moment) -> Option<u64> {
        let window = self.windows.at(self.true_ms(moment));
        let window = window.max(self.closed_before).max(self.settled_before);
        self.change += 1;
        let kept = self.kept.entry(window).or_default();
        if kept.counts.len() >= WORKSPACES_MAX && !kept.counts.contains_key(workspace) {
            METERS.usage("dropped", 1);
            return None;
        }
        *kept.counts.entry(workspace.into()).or_default() += 1;
        (kept.changed, kept.in_progress) = (self.change, kept.in_progress + 1);
        if self.kept.len() > WINDOWS_MAX
            && let Some((dropped, kept)) = self.kept.pop_first()
        {
            let lost = sum(&kept.counts);
            METERS.usage("dropped", lost);
            log::warn!(window = dropped, lost; "usage of a window dropped: no holder has settled it");
        }
        Some(window)
    }

    /// Ends an attempt that was counted in a window.
    pub fn end(&mut self, window: u64, workspace: &str, ran: Ran) {
        let Some(kept) = self.kept.get_mut(&window) else {
            return;
        };
        kept.in_progress = kept.in_progress.saturating_sub(1);
        if ran == Ran::No
            && let Some(count) = kept.counts.get_mut(workspace)
        {
            *count = count.saturating_sub(1);
            self.change += 1;
            kept.changed = self.change;
        }
    }

    /// Sends all windows again once another host holds the duty.
    pub fn set_holder(&mut self, fence: Revision) {
        if self.holder.replace(fence) != Some(fence) {
            self.send_again();
        }
    }

    /// Sends all windows again that are not settled.
    pub fn send_again(&mut self) {
        (self.acknowledged, self.acknowledged_close) = (0, 0);
    }

    /// Message with what the holder does not know yet; `None` if it knows all.
    pub fn unsent(&mut self, moment: Moment) -> Option<UsageCounts> {
        self.close(moment);
        let is_unsent =
            self.change > self.acknowledged || self.closed_before > self.acknowledged_close;
        is_unsent.then(|| self.message(moment, self.acknowledged))
    }

    /// Whether the holder lacks counts.
    pub fn has_unsent_counts(&self) -> bool {
        self.kept.values().any(|kept| kept.changed > self.acknowledged)
    }

    /// Message without counts, which asks for the clocks of another host.
    pub fn clock_request(&self, moment: Moment) -> UsageCounts {
        self.message(moment, u64::MAX)
    }

    /// Message with the windows that have changed after a change.
    fn message(&self, moment: Moment, after: u64) -> UsageCounts {
        let changed = self.kept.iter().filter(|(_, kept)| kept.changed > after);
        let windows = changed.map(|(window, kept)| UsageWindow {
            window: *window,
            counts: kept.counts.iter().map(|(name, count)| (name.to_string(), *count)).collect(),
        });
        UsageCounts {
            host: self.host.to_string(),
            address: self.address.to_string(),
            incarnation: self.incarnation,
            change: self.change,
            closed_before: self.closed_before,
            unix_ms: moment.unix_ms,
            windows: windows.collect(),
        }
    }

    /// Applies the answer to a message. Only the holder's answer acknowledges counts, except those that it refuses.
    pub fn apply_reply(&mut self, sent: &UsageCounts, reply: &UsageReply, moment: Moment) {
        for clock in &reply.clocks {
            self.offsets.record(&clock.into(), moment.now);
        }
        self.synced = true;
        let Some(settled_before) = reply.settled_before else {
            return;
        };
        self.acknowledged = self.acknowledged.max(sent.change);
        self.acknowledged_close = self.acknowledged_close.max(sent.closed_before);
        self.settled_before = self.settled_before.max(settled_before);
        self.kept = self.kept.split_off(&settled_before);
        for window in &reply.refused {
            if let Some(kept) = self.kept.get_mut(window) {
                self.change += 1;
                kept.changed = self.change;
            }
        }
    }

    /// Closes the windows that have ended and in which no attempt is in progress.
    fn close(&mut self, moment: Moment) {
        if !self.synced {
            return;
        }
        let ended = self.windows.at(self.true_ms(moment).saturating_sub(CLOSE_MARGIN_MS));
        let mut in_progress = self.kept.iter().filter(|(_, kept)| kept.in_progress > 0);
        let open = in_progress.next().map_or(ended, |(window, _)| ended.min(*window));
        self.closed_before = self.closed_before.max(open);
    }
}
