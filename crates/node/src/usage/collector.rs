//! Counts of all hosts, as collected by the holder of the duty.
//!
//! Every host collects what it is sent: the holder sends its own counts to the others, so that they survive it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    peer::UsageCounts,
    prelude::*,
    usage::{Counts, Intake, sum},
};

/// Windows ahead of true time that are accepted, for hosts whose clocks are not corrected yet.
const AHEAD_MAX: u64 = 4;
/// Processes whose counts are kept for a window.
const PROCESSES_MAX: usize = 256;
/// Hosts that are waited for.
const HOSTS_MAX: usize = 1024;
/// Settled windows whose parts are remembered, to tell late counts from repeated ones.
const SETTLED_MAX: usize = 8;

/// A process of a host.
type Process = (HostId, u64);

/// Counts of a process in a window.
#[derive(Clone, Debug, Default)]
struct Part {
    /// Number of the last change of the process that they contain.
    change: u64,
    counts: Counts,
}

/// What a host has said last.
#[derive(Clone, Debug)]
pub struct Host {
    address: Option<SocketAddr>,
    closed_before: u64,
    heard_at: Time,
}

/// Counts by window and process.
#[derive(Debug, Default)]
pub struct Collector {
    windows: BTreeMap<u64, BTreeMap<Process, Part>>,
    hosts: BTreeMap<HostId, Host>,
    /// Requests of each process that count in windows that were settled here.
    settled: BTreeMap<u64, BTreeMap<Process, u64>>,
    /// Each window from this one on that is settled was settled here, whether it is remembered with parts or without any.
    settled_from: Option<u64>,
}

impl Collector {
    /// Windows that are kept.
    pub const WINDOWS_MAX: usize = 64;
    /// Windows before the present one that are never removed for newer ones.
    pub const PAST_WINDOWS_MAX: u64 = Self::WINDOWS_MAX as u64 - AHEAD_MAX - 1;

    /// Takes the counts of a host. `next` is the first window that is not settled, if that is known; `current` is the present
    /// window.
    pub fn accept(
        &mut self,
        message: &UsageCounts,
        next: Option<u64>,
        current: u64,
        now: Time,
    ) -> Intake {
        let process: Process = (message.host.as_str().into(), message.incarnation);
        let host = Host {
            address: message.address.parse().ok(),
            closed_before: message.closed_before,
            heard_at: now,
        };
        let mut intake = Intake::default();
        if self.hosts.len() < HOSTS_MAX || self.hosts.contains_key(&process.0) {
            self.hosts.insert(process.0.clone(), host);
        } else {
            intake.is_host_refused = true;
        }
        for window in &message.windows {
            let counts: Counts = window
                .counts
                .iter()
                .map(|(workspace, count)| (workspace.as_str().into(), *count))
                .collect();
            if next.is_some_and(|next| window.window < next) {
                let late = self.late(window.window, &process, &counts);
                intake.late = late.saturating_add(intake.late);
                continue;
            }
            let parts = self.windows.get(&window.window);
            let is_full =
                parts.is_some_and(|it| it.len() >= PROCESSES_MAX && !it.contains_key(&process));
            if is_full || window.window > current.saturating_add(AHEAD_MAX) {
                intake.refused.insert(window.window, sum(&counts));
                continue;
            }
            let parts = self.windows.entry(window.window).or_default();
            let part = parts.entry(process.clone()).or_default();
            if message.change >= part.change {
                *part = Part { change: message.change, counts };
            }
        }
        while self.windows.len() > Self::WINDOWS_MAX {
            let removed = self.windows.pop_first().map_or(0, |(_, parts)| requests(&parts));
            intake.removed = removed.saturating_add(intake.removed);
        }
        intake
    }

    /// Requests of a process that a window, which was settled here, does not contain. Each is found once, except those of
    /// processes beyond the number that is remembered.
    fn late(&mut self, window: u64, process: &Process, counts: &Counts) -> u64 {
        let was_settled_here = self.settled_from.is_some_and(|from| window >= from);
        if !was_settled_here && !self.settled.contains_key(&window) {
            return 0;
        }
        let (parts, total) = (self.settled.entry(window).or_default(), sum(counts));
        if parts.len() >= PROCESSES_MAX && !parts.contains_key(process) {
            return total;
        }
        let known = parts.entry(process.clone()).or_default();
        let late = total.saturating_sub(*known);
        *known = total.max(*known);
        self.trim_settled();
        late
    }

    fn trim_settled(&mut self) {
        while self.settled.len() > SETTLED_MAX
            && let Some((window, _)) = self.settled.pop_first()
        {
            self.settled_from = self.settled_from.map(|from| from.max(window.saturating_add(1)));
        }
    }

    /// Whether all hosts have closed a window. A host that was not heard for a time, by which it counts as gone, is not
    /// waited for; `since` is when this host began to listen.
    pub fn is_closed(
        &self,
        window: u64,
        known: &BTreeSet<SocketAddr>,
        since: Time,
        gone_at: Time,
    ) -> bool {
        let is_done = |host: &Host| host.closed_before > window || host.heard_at < gone_at;
        let heard = self.addresses();
        self.hosts.values().all(is_done)
            && !self.hosts.is_empty()
            && (since < gone_at || known.iter().all(|address| heard.contains(address)))
    }

    /// Addresses of the hosts that were heard.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.hosts.values().filter_map(|host| host.address).collect()
    }

    /// Hosts that were heard and have not closed a window, with the time since they were heard.
    pub fn open_hosts(&self, window: u64, now: Time) -> Vec<(HostId, Duration)> {
        let open = self.hosts.iter().filter(|(_, host)| host.closed_before <= window);
        open.map(|(id, host)| (id.clone(), now.saturating_sub(host.heard_at))).collect()
    }

    /// Total counts of a window.
    pub fn total(&self, window: u64) -> Counts {
        let mut total = Counts::new();
        for part in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (workspace, count) in part.counts.iter().filter(|(_, count)| **count > 0) {
                let total = total.entry(workspace.clone()).or_default();
                *total = count.saturating_add(*total);
            }
        }
        total
    }

    /// Drops the windows before one, which are settled or not reported any more. Returns their requests.
    pub fn settle_before(&mut self, next: u64) -> u64 {
        let open = self.windows.split_off(&next);
        let mut dropped: u64 = 0;
        for (window, parts) in std::mem::replace(&mut self.windows, open) {
            dropped = dropped.saturating_add(requests(&parts));
            let totals = parts.into_iter().map(|(process, part)| (process, sum(&part.counts)));
            self.settled.insert(window, totals.collect());
        }
        self.trim_settled();
        dropped
    }

    /// Drops windows that another host has settled, of which it is unknown what they contain.
    pub fn forget_before(&mut self, next: u64) {
        self.windows = self.windows.split_off(&next);
        self.settled.clear();
        self.settled_from = Some(next);
    }

    /// Drops the hosts that were not heard since a time.
    pub fn forget_hosts(&mut self, before: Time) {
        self.hosts.retain(|_, host| host.heard_at >= before);
    }

    /// Windows that are kept.
    pub fn len(&self) -> usize {
        self.windows.len()
    }

    /// Whether no window is kept.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }
}

/// Requests of all processes.
fn requests(parts: &BTreeMap<Process, Part>) -> u64 {
    parts.values().fold(0, |total, part| total.saturating_add(sum(&part.counts)))
}
