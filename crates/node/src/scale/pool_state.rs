//! State of one pool: what is registered of it, and the orders for it.
//!
//! Nothing can be read back from the platform but the registrations. An order without a response may take effect late, after
//! newer ones, so an order counts as carried out only while the registrations show it, and is repeated otherwise.

use crate::{
    backoff::doubled,
    prelude::*,
    scale::{CallResult, Peak},
};

/// Backoff after a call that had no effect or no response, doubled with each further one.
const BACKOFF: Duration = Duration::from_secs(1);
/// The same after a conflict: a higher fencing token may be its cause, so it is longer than another host takes to show that
/// it leads.
const CONFLICT_BACKOFF: Duration = Duration::from_secs(2);
const BACKOFF_MAX: Duration = Duration::from_secs(30);
/// Time beyond the boot in which the registrations show that an order was carried out.
const CONFIRM_MARGIN: Duration = Duration::from_secs(2);
const CONFIRM_BOOTS: f64 = 1.5;
/// Time for which all targets of a pool have to be missing until they count as reclaimed. Single ones that are missing may
/// have crashed, and come back by themselves.
const GONE_TIME: Duration = Duration::from_secs(1);
/// Time after which targets that have vanished without naming their end count as gone. A zone is cut off for less than that.
const CUT_OFF_MAX: Duration = Duration::from_secs(60);
/// Boots for which no more is ordered from a pool whose targets were reclaimed.
const RECLAIMED_BOOTS: u32 = 2;

/// Registered targets of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Registered {
    /// Those that do not drain.
    pub ready: u32,
    /// Draining ones that have named their end.
    pub leaving: u32,
    /// Slots of the ready ones, and those taken.
    pub slots: u32,
    pub taken: u32,
}

/// State of one pool under one leadership.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// Number that the platform is taken to keep: the last order, or what was found.
    pub ordered: u32,
    /// Number that was found when the leadership began, or less if fewer were ordered since.
    pub base: u32,
    pub registered: Registered,
    /// Numbers that were wanted lately.
    pub wanted: Peak,
    /// Number of a call in progress.
    sending: Option<u32>,
    /// This leader has ordered a number.
    is_ours: bool,
    /// The registrations have not shown the last order yet.
    unconfirmed: bool,
    /// The last order has to be repeated.
    repeat: bool,
    /// Time since which the registrations differ from `ordered`.
    deviates_since: Option<Time>,
    failures: u32,
    retry_at: Time,
    /// Time of the last order that may have been carried out, or of the beginning.
    pub changed_at: Time,
}

impl PoolState {
    /// State at the beginning of a leadership, with what is registered then.
    pub fn new(now: Time, registered: Registered) -> Self {
        Self {
            ordered: registered.ready,
            base: registered.ready,
            registered,
            wanted: Peak::default(),
            sending: None,
            is_ours: false,
            unconfirmed: false,
            repeat: false,
            deviates_since: None,
            failures: 0,
            retry_at: Time::ZERO,
            changed_at: now,
        }
    }

    /// Compares the last order with the registrations.
    pub fn observe(&mut self, now: Time, registered: Registered, boot: Duration) {
        let before = std::mem::replace(&mut self.registered, registered);
        let ready = registered.ready;
        if ready == self.ordered {
            self.deviates_since = None;
            self.repeat = false;
            if std::mem::take(&mut self.unconfirmed) {
                self.failures = 0;
            }
            return;
        }
        let since = *self.deviates_since.get_or_insert(now);
        let is_late = now >= since + boot.mul_f64(CONFIRM_BOOTS) + CONFIRM_MARGIN;
        if self.is_reclaimed(now, since, before) {
            self.failures = self.failures.max(1);
            self.retry_at = self.retry_at.max(now + boot * RECLAIMED_BOOTS);
            self.repeat = true;
        }
        if !self.is_ours && (ready > self.ordered || is_late && !self.is_probably_cut_off(now)) {
            // The platform or an earlier leader has changed the number.
            (self.ordered, self.base) = (ready, ready);
            self.deviates_since = None;
            self.repeat = false;
        } else if is_late && !self.repeat && self.sending.is_none() {
            self.fail(now, BACKOFF, 0.0);
            self.repeat = true;
        }
    }

    /// Whether the platform has taken targets away: they leave although they are ordered, or all of them are gone.
    fn is_reclaimed(&self, now: Time, deviates_since: Time, before: Registered) -> bool {
        let Registered { ready, leaving, .. } = self.registered;
        let is_leaving = leaving > 0 && ready < before.ready;
        let is_gone = ready == 0 && !self.unconfirmed && now >= deviates_since + GONE_TIME;
        ready < self.ordered && self.sending.is_none() && (is_leaving || is_gone && !self.repeat)
    }

    /// Whether all targets have vanished without naming their end, and not because an order was not carried out. For on-demand targets,
    /// which are not reclaimed, their zone is then probably cut off and they go on.
    pub fn is_probably_cut_off(&self, now: Time) -> bool {
        let Registered { ready, leaving, .. } = self.registered;
        let is_lately = self.deviates_since.is_some_and(|since| now < since + CUT_OFF_MAX);
        self.ordered > 0 && ready == 0 && leaving == 0 && !self.unconfirmed && is_lately
    }

    /// Most targets that can be had now, if that is known to be limited.
    pub fn limit(&self, now: Time) -> Option<u32> {
        self.is_blocked(now).then_some(self.registered.ready)
    }

    /// Whether the platform is not asked for more now.
    pub fn is_blocked(&self, now: Time) -> bool {
        now < self.retry_at
    }

    /// Targets that serve, now or once they have booted.
    pub fn expected(&self, now: Time) -> u32 {
        let is_coming = self.unconfirmed && !self.is_blocked(now);
        if is_coming { self.ordered } else { self.registered.ready }
    }

    /// Targets that are ordered and do not serve yet, with the time until they do if the order is carried out.
    pub fn coming(&self, now: Time, boot: Duration) -> (u32, Duration) {
        let coming = self.expected(now).saturating_sub(self.registered.ready);
        (coming, (self.changed_at + boot).saturating_sub(now))
    }

    /// Targets that are ready and stay so when all orders are carried out.
    pub fn lasting(&self) -> u32 {
        self.registered.ready.min(self.ordered).min(self.sending.unwrap_or(u32::MAX))
    }

    /// Whether a call is in progress.
    pub fn is_sending(&self) -> bool {
        self.sending.is_some()
    }

    /// Whether the last order has to be repeated now.
    pub fn is_repeat_due(&self, now: Time) -> bool {
        self.repeat && !self.is_blocked(now)
    }

    /// Records that an order is sent.
    pub fn sent(&mut self, count: u32) {
        self.sending = Some(count);
    }

    /// Records the result of the call in progress. `jitter` is from 0 to 1.
    pub fn ended(&mut self, now: Time, result: CallResult, jitter: f64) {
        let Some(count) = self.sending.take() else {
            return;
        };
        match result {
            CallResult::Accepted => self.order(now, count),
            CallResult::NoResponse => {
                self.order(now, count);
                self.repeat = true;
                self.fail(now, BACKOFF, jitter);
            }
            CallResult::Conflict => self.fail(now, CONFLICT_BACKOFF, jitter),
            CallResult::Refused => self.fail(now, BACKOFF, jitter),
            CallResult::RateLimited => {}
        }
    }

    fn order(&mut self, now: Time, count: u32) {
        self.ordered = count;
        self.base = self.base.min(count);
        (self.is_ours, self.unconfirmed) = (true, true);
        self.repeat = false;
        self.deviates_since = None;
        self.changed_at = now;
    }

    fn fail(&mut self, now: Time, backoff: Duration, jitter: f64) {
        let backoff = doubled(backoff, self.failures, BACKOFF_MAX);
        self.failures += 1;
        self.retry_at = now + backoff.mul_f64(1.0 + jitter / 2.0);
    }
}
