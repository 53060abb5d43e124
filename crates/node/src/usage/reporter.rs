//! What the holder of the duty does next: which windows it settles in the store, and which it sends to the platform.
//!
//! A window is settled by one conditional write, after which its counts never change, and sent only then. A holder that is
//! lost at any point leaves either an unsettled window, whose counts hosts send to the next holder, or a settled one, which
//! the next holder sends as it is. That a window was received is recorded with the next settling write.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use log::{info, warn};

use crate::{
    backoff::doubled,
    cloud::{self, Authority, UsageReport},
    control::Leadership,
    logging,
    metrics::METERS,
    peer::UsageCounts,
    prelude::*,
    store,
    usage::{Action, Collector, Counts, IntakeLog, Ledger, Receipt, Rules, sum},
};

/// Part of the time until a report is due after which a window is settled without the hosts that have not closed it.
const SETTLE_SHARE: f64 = 0.6;
/// Time for which a new holder waits for the counts of the other hosts, and for the last call of the one before it.
const COLLECT_TIME: Duration = Duration::from_secs(1);
/// Windows that are settled in one write.
const SETTLE_MAX: u64 = 12;
/// Delay after a failed call of the store or of the platform; that of the platform doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(4);
/// Times until a report is due after which a silent host counts as gone.
const GONE_FACTOR: u32 = 2;
/// Part (1/n) of the time until a report is due after which a holder whose calls all fail lets another host try.
const GIVE_UP_DIVISOR: u32 = 3;

/// State of the duty on a host, whether it holds it or not.
#[derive(Debug)]
pub struct Reporter {
    rules: Rules,
    collector: Collector,
    leadership: Leadership,
    /// Time at which this host took the duty.
    taken_at: Time,
    /// Fencing token under which this host makes no more calls.
    given_up: Option<Revision>,
    /// Ledger in the store, with its revision.
    ledger: Option<(Ledger, Revision)>,
    /// A call of the store is in progress.
    store_busy: bool,
    /// Time before which the store is not called.
    store_at: Time,
    /// A call of the platform is in progress.
    cloud_busy: bool,
    /// Time before which the platform is not called.
    cloud_at: Time,
    /// Windows that were received or are too old to be sent.
    done: BTreeSet<u64>,
    /// Calls of the platform that have failed in a row.
    failures: u32,
    /// Time of the first call of those that have failed in a row.
    failing_since: Option<Time>,
    /// Time from which this host may compete for the duty again.
    rejoin_at: Time,
    intake_log: IntakeLog,
}

impl Reporter {
    /// State of a host that starts. Its last call before the start is unknown, so it may have been just now.
    pub fn new(rules: Rules, now: Time) -> Self {
        Self {
            rejoin_at: now.saturating_add(rules.turn_interval),
            rules,
            collector: Collector::default(),
            leadership: Leadership::default(),
            taken_at: Time::ZERO,
            given_up: None,
            ledger: None,
            store_busy: false,
            store_at: Time::ZERO,
            cloud_busy: false,
            cloud_at: Time::ZERO,
            done: BTreeSet::new(),
            failures: 0,
            failing_since: None,
            intake_log: IntakeLog::default(),
        }
    }

    /// Time from which this host may compete for the duty.
    pub fn rejoin_at(&self) -> Time {
        self.rejoin_at
    }

    /// Addresses of the hosts that were heard.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.collector.addresses()
    }

    /// Whether this host holds the duty.
    pub fn is_holder(&self) -> bool {
        self.fence().is_some()
    }

    /// Fencing token under which this host may act.
    fn fence(&self) -> Option<Revision> {
        self.leadership.fence.filter(|fence| self.given_up != Some(*fence))
    }

    /// First window that is not settled; `None` unless this host holds the duty and has read the ledger.
    pub fn next_window(&self) -> Option<u64> {
        self.fence().and(self.ledger.as_ref()).map(|(ledger, _)| ledger.next)
    }

    /// Applies a change of the duty's holder.
    pub fn set_leadership(&mut self, leadership: Leadership, now: Time) {
        let before = std::mem::replace(&mut self.leadership, leadership);
        if before.fence == leadership.fence {
            return;
        }
        METERS.holds_duty("usage_report", leadership.fence.is_some());
        self.ledger = None;
        self.done.clear();
        (self.failures, self.failing_since) = (0, None);
        if leadership.fence.is_some() {
            self.taken_at = now;
            (self.store_at, self.cloud_at) = (now, now + COLLECT_TIME);
        }
    }

    /// Takes the counts of a host.
    pub fn accept(&mut self, message: &UsageCounts, now: Time, true_ms: u64) -> Receipt {
        if !self.is_holder() {
            self.forget_hosts(now);
        }
        let (current, next) = (self.rules.windows.at(true_ms), self.next_window());
        let intake = self.collector.accept(message, next, current, now);
        // Only the holder's answer has effects, so other hosts drop nothing.
        if next.is_some() {
            self.intake_log.write(&message.host, &intake, current, now);
        }
        Receipt { settled_before: next, refused: intake.refused.into_keys().collect() }
    }

    /// Time since which a host was not heard that counts as gone.
    fn gone_at(&self, now: Time) -> Time {
        now.saturating_sub(self.rules.deadline.saturating_mul(GONE_FACTOR))
    }

    /// Drops the hosts that have counted as gone for a while.
    fn forget_hosts(&mut self, now: Time) {
        self.collector.forget_hosts(self.gone_at(self.gone_at(now)));
    }

    /// Next action that is due. `hosts` are the addresses of all hosts, this one included.
    pub fn next(
        &mut self,
        now: Time,
        true_ms: u64,
        hosts: &BTreeSet<SocketAddr>,
    ) -> Option<Action> {
        self.forget_hosts(now);
        // A lease that ends soon may end before a call arrives.
        let fence = self.fence().filter(|_| now < self.leadership.orders_until)?;
        if let Some(action) = self.next_call(fence, now, true_ms, hosts) {
            return Some(action);
        }
        if self.store_busy || now < self.store_at {
            return None;
        }
        self.skip_old(true_ms);
        if self.ledger.is_none() {
            self.store_busy = true;
            return Some(Action::Read);
        }
        if now < self.taken_at + COLLECT_TIME {
            return None;
        }
        let (ledger, revision) = self.ledger_to_settle(now, true_ms, hosts)?;
        let next = ledger.next;
        let open = next.checked_sub(1).map(|last| self.collector.open_hosts(last, now));
        info!(fence, next, unsent = ledger.unsent.len(), true_ms, known_hosts = hosts.len(), open_hosts:? = open.unwrap_or_default(); "settling usage");
        self.store_busy = true;
        Some(Action::Settle { fence, revision, ledger })
    }

    /// Ledger with as many of the due windows as fit into a value of the store, and the revision that it replaces; `None` if
    /// nothing is due or fits.
    fn ledger_to_settle(
        &mut self,
        now: Time,
        true_ms: u64,
        hosts: &BTreeSet<SocketAddr>,
    ) -> Option<(Ledger, Revision)> {
        let (known, revision) = self.ledger.as_ref()?;
        let mut counts = self.due(known.next, true_ms, hosts, self.gone_at(now));
        if counts.is_empty() {
            return None;
        }
        let settle = |counts| known.settle(counts, |window| self.done.contains(&window));
        let mut ledger = settle(counts.clone());
        while ledger.encode().len() > self.rules.value_bytes && counts.len() > 1 {
            counts.pop_last();
            ledger = settle(counts.clone());
        }
        if ledger.encode().len() > self.rules.value_bytes {
            warn!(windows = ledger.unsent.len(), next = ledger.next; "usage cannot be settled: the value is too large");
            self.store_at = now + RETRY_DELAY_MAX;
            return None;
        }
        Some((ledger, *revision))
    }

    /// Windows that are to be settled now, in order, with their counts.
    fn due(
        &self,
        next: u64,
        true_ms: u64,
        hosts: &BTreeSet<SocketAddr>,
        gone_at: Time,
    ) -> BTreeMap<u64, Counts> {
        let settle_after_ms = crate::peer::millis(self.rules.deadline.mul_f64(SETTLE_SHARE));
        let is_due = |window: &u64| {
            let end_ms = self.rules.windows.end_ms(*window);
            let overdue = true_ms >= end_ms.saturating_add(settle_after_ms);
            true_ms >= end_ms
                && (overdue || self.collector.is_closed(*window, hosts, self.taken_at, gone_at))
        };
        let windows = (0..SETTLE_MAX).map(|number| next.saturating_add(number));
        let due = windows.take_while(is_due);
        due.map(|window| (window, self.collector.total(window))).collect()
    }

    /// Call of the platform that is due.
    fn next_call(
        &mut self,
        fence: Revision,
        now: Time,
        true_ms: u64,
        hosts: &BTreeSet<SocketAddr>,
    ) -> Option<Action> {
        if self.cloud_busy || now < self.cloud_at {
            return None;
        }
        let failing_for =
            self.failing_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        if failing_for >= self.rules.deadline / GIVE_UP_DIVISOR && hosts.len() > 1 {
            warn!(fence, failures = self.failures, failing_ms = logging::ms(failing_for); "giving up the duty of usage reports: the platform does not answer this host");
            return Some(self.give_up(fence));
        }
        let age_max_ms = crate::peer::millis(Rules::REPORT_AGE_MAX);
        let (ledger, _) = self.ledger.as_ref()?;
        for settled in &ledger.unsent {
            let window = settled.window;
            if self.done.contains(&window) {
                continue;
            }
            let end_ms = self.rules.windows.end_ms(window);
            if true_ms > end_ms.saturating_add(age_max_ms) {
                METERS.usage("unsent", sum(&settled.counts));
                warn!(window, true_ms; "usage report dropped: the platform did not receive it in time");
                self.done.insert(window);
                continue;
            }
            let authority = Authority {
                holder: self.rules.host.clone(),
                fence,
                until: self.leadership.orders_until,
            };
            self.cloud_busy = true;
            self.rejoin_at = now.saturating_add(self.rules.turn_interval);
            return Some(Action::Send(authority, settled.clone().into()));
        }
        None
    }

    /// Makes no more calls under a fencing token, and releases it.
    fn give_up(&mut self, fence: Revision) -> Action {
        self.given_up = Some(fence);
        Action::GiveUp(fence)
    }

    /// Applies the ledger that was read, with its revision; `None` if there is none or it cannot be decoded.
    pub fn read(
        &mut self,
        result: Result<(Option<Ledger>, Revision), store::Error>,
        now: Time,
        true_ms: u64,
    ) {
        self.store_busy = false;
        let (ledger, revision) = match result {
            Ok(read) => read,
            Err(error) => {
                info!(reason:% = error; "could not read the settled usage");
                self.store_at = now + RETRY_DELAY;
                return;
            }
        };
        let current = self.rules.windows.at(true_ms);
        let ledger = ledger.unwrap_or_else(|| {
            // Before the first report there is nothing older than what can still be reported in time. If what was settled
            // is unknown, only windows that have not begun are certainly not settled.
            let covered = self.rules.windows.covering(self.rules.deadline);
            let next = if revision == 0 { current.saturating_sub(covered) } else { current + 1 };
            Ledger { next, unsent: Vec::new() }
        });
        self.collector.forget_before(ledger.next);
        self.ledger = Some((ledger, revision));
    }

    /// Leaves out windows whose reports would not be sent any more, or whose counts are not kept.
    fn skip_old(&mut self, true_ms: u64) {
        let windows = self.rules.windows;
        let kept = windows.covering(Rules::REPORT_AGE_MAX).min(Collector::PAST_WINDOWS_MAX);
        let (current, oldest) = (windows.at(true_ms), windows.at(true_ms).saturating_sub(kept));
        if let Some((ledger, _)) = self.ledger.as_mut().filter(|(ledger, _)| ledger.next < oldest) {
            // What comes for these windows later is counted as late.
            let unsent = self.collector.settle_before(oldest);
            METERS.usage("unsent", unsent);
            warn!(next = ledger.next, oldest, current, unsent; "usage windows skipped: they are too old to be reported");
            ledger.next = oldest;
        }
    }

    /// Applies the result of a settling write.
    pub fn settled(
        &mut self,
        (fence, ledger): (Revision, Ledger),
        result: Result<store::Outcome, store::Error>,
        now: Time,
    ) {
        self.store_busy = false;
        if self.leadership.fence != Some(fence) {
            return;
        }
        match result {
            Ok(store::Outcome::Committed(revision)) => {
                self.collector.settle_before(ledger.next);
                let unsent = |window: &u64| ledger.unsent.iter().any(|it| it.window == *window);
                self.done.retain(unsent);
                self.ledger = Some((ledger, revision));
            }
            // Without an answer the write may have taken effect; the next read shows what is settled.
            result => {
                info!(fence, next = ledger.next, result:? = result; "usage may not be settled; reading what is");
                self.ledger = None;
                self.store_at = now + RETRY_DELAY;
            }
        }
    }

    /// Applies the result of a call of the platform.
    pub fn sent(
        &mut self,
        fence: Revision,
        report: &UsageReport,
        result: Result<cloud::Outcome, cloud::Error>,
        now: Time,
    ) -> Option<Action> {
        self.cloud_busy = false;
        self.rejoin_at = now.saturating_add(self.rules.turn_interval);
        let window = report.window;
        let reason: Box<str> = match result {
            Ok(cloud::Outcome::Accepted) => {
                let requests = sum(&report.counts);
                METERS.usage("reported", requests);
                info!(window, fence, requests, workspaces = report.counts.len(); "usage reported");
                // The counts of a settled window never change, so this holds under any token.
                self.done.insert(window);
                (self.failures, self.failing_since) = (0, None);
                self.cloud_at = now + self.rules.call_interval();
                return None;
            }
            Ok(cloud::Outcome::Conflict) => {
                if self.leadership.fence != Some(fence) {
                    return None;
                }
                warn!(window, fence; "giving up the duty of usage reports: the platform has seen a higher fencing token");
                return Some(self.give_up(fence));
            }
            Ok(cloud::Outcome::RateLimited) => {
                self.failing_since = None;
                "rate limited".into()
            }
            Err(error) => {
                self.failing_since.get_or_insert(now);
                error.to_string().into()
            }
        };
        let delay = doubled(RETRY_DELAY, self.failures, RETRY_DELAY_MAX);
        self.failures += 1;
        self.cloud_at = now + delay;
        info!(window, fence, failures = self.failures, delay_ms = logging::ms(delay), reason = &*reason; "usage report not received");
        None
    }
}
