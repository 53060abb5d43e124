use std::collections::HashMap;

use crate::prelude::*;

/// Whose requests share slots: a workspace, or all callers without one.
pub type Share = Option<WorkspaceId>;

/// Time for which a request is assumed to hold a target before the first one has ended.
const HOLD_DEFAULT: Duration = Duration::from_millis(50);
/// Weight of the latest request in the moving average of that time.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Shares that are remembered while none of their requests waits or runs.
const IDLE_MAX: usize = 1024;
/// Weight of each workspace. The configuration names none.
const WEIGHT: f64 = 1.0;

/// Service that one share has had.
#[derive(Debug)]
struct Account {
    /// Time for which its requests held targets, divided by its weight.
    served_s: f64,
    /// Moving average of the time for which one request holds a target.
    hold_s: f64,
    /// Requests that hold a target.
    running: usize,
}

/// Service by share, measured as the time for which requests hold a target.
///
/// A request is charged the average of its share when it starts, and the rest when it ends. Otherwise a share would get all
/// slots that become free before its first request ends. A share that was idle starts at the level of the one served last, so
/// that it has no claim on slots that it did not use.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: HashMap<Share, Account>,
    /// Service of the share that was served last.
    level_s: f64,
}

impl Shares {
    /// Records that requests of a share begin to wait.
    pub fn activate(&mut self, share: &Share) {
        let level_s = self.level_s;
        self.account(share).served_s = self.served_s(share).max(level_s);
    }

    /// Service of a share for its weight.
    pub fn served_s(&self, share: &Share) -> f64 {
        self.accounts.get(share).map_or(self.level_s, |account| account.served_s)
    }

    /// Charges the start of a request whose share is next. Returns the charge.
    pub fn start(&mut self, share: &Share) -> Duration {
        self.level_s = self.level_s.max(self.served_s(share));
        self.charge(share)
    }

    /// Charges the start of a request out of turn. The level stays, as its share may have had more service than others.
    pub fn charge(&mut self, share: &Share) -> Duration {
        let account = self.account(share);
        let hold_s = account.hold_s;
        account.served_s += hold_s / WEIGHT;
        account.running += 1;
        Duration::from_secs_f64(hold_s)
    }

    /// Corrects the charge of a request that held a target for a time.
    pub fn end(&mut self, share: &Share, charge: Duration, held: Duration) {
        self.settle(share, charge, held);
        let account = self.account(share);
        account.hold_s += AVERAGE_WEIGHT * (held.as_secs_f64() - account.hold_s);
    }

    /// Takes the charge of a request back that no target took.
    pub fn refund(&mut self, share: &Share, charge: Duration) {
        self.settle(share, charge, Duration::ZERO);
    }

    /// Forgets what shares have had, but not how long their requests are.
    pub fn reset(&mut self) {
        self.level_s = 0.0;
        self.accounts.values_mut().for_each(|account| account.served_s = 0.0);
    }

    fn settle(&mut self, share: &Share, charge: Duration, held: Duration) {
        let account = self.account(share);
        account.running = account.running.saturating_sub(1);
        account.served_s += (held.as_secs_f64() - charge.as_secs_f64()) / WEIGHT;
    }

    fn account(&mut self, share: &Share) -> &mut Account {
        let level_s = self.level_s;
        if self.accounts.len() >= IDLE_MAX && !self.accounts.contains_key(share) {
            // What idle shares still owe is lost, which matters only with very many workspaces.
            self.accounts.retain(|_, account| account.running > 0);
        }
        let hold_s = HOLD_DEFAULT.as_secs_f64();
        let new = || Account { served_s: level_s, hold_s, running: 0 };
        self.accounts.entry(share.clone()).or_insert_with(new)
    }
}
