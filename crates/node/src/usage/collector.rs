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
    usage::{Counts, sum},
};

/// Windows ahead of true time that are accepted, for hosts whose clocks are not corrected yet.
const AHEAD_MAX: u64 = 4;
/// Processes whose counts are kept for a window.
const PROCESSES_MAX: usize = 256;
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
}

impl Collector {
    /// Windows that are kept.
    pub const WINDOWS_MAX: usize = 64;

    /// Takes the counts of a host. Returns how many requests came after their window was settled here. `next` is the first
    /// window that is not settled, if that is known; `current` is the present window.
    pub fn accept(
        &mut self,
        message: &UsageCounts,
        next: Option<u64>,
        current: u64,
        now: Time,
    ) -> u64 {
        let process: Process = (message.host.as_str().into(), message.incarnation);
        let host = Host {
            address: message.address.parse().ok(),
            closed_before: message.closed_before,
            heard_at: now,
        };
        self.hosts.insert(process.0.clone(), host);
        let mut late = 0;
        for window in &message.windows {
            let counts: Counts = window
                .counts
                .iter()
                .map(|(workspace, count)| (workspace.as_str().into(), *count))
                .collect();
            if next.is_some_and(|next| window.window < next) {
                late = self.late(window.window, &process, &counts).saturating_add(late);
                continue;
            }
            if window.window > current.saturating_add(AHEAD_MAX) {
                continue;
            }
            let parts = self.windows.entry(window.window).or_default();
            if parts.len() >= PROCESSES_MAX && !parts.contains_key(&process) {
                continue;
            }
            let part = parts.entry(process.clone()).or_default();
            if message.change >= part.change {
                *part = Part { change: message.change, counts };
            }
        }
        while self.windows.len() > Self::WINDOWS_MAX {
            self.windows.pop_first();
        }
        late
    }

    /// Requests of a process that a window, which was settled here, does not contain. Each is found once.
    fn late(&mut self, window: u64, process: &Process, counts: &Counts) -> u64 {
        let Some(parts) = self.settled.get_mut(&window) else {
            return 0;
        };
        let (known, total) = (parts.entry(process.clone()).or_default(), sum(counts));
        let late = total.saturating_sub(*known);
        *known = total.max(*known);
        late
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

    /// Drops the windows before one, which are settled.
    pub fn settle_before(&mut self, next: u64) {
        let open = self.windows.split_off(&next);
        for (window, parts) in std::mem::replace(&mut self.windows, open) {
            let totals = parts.into_iter().map(|(process, part)| (process, sum(&part.counts)));
            self.settled.insert(window, totals.collect());
        }
        while self.settled.len() > SETTLED_MAX {
            self.settled.pop_first();
        }
    }

    /// Drops windows that another host has settled, of which it is unknown what they contain.
    pub fn forget_before(&mut self, next: u64) {
        self.windows = self.windows.split_off(&next);
        self.settled.clear();
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
