//! Token bucket that grants the requests for one target.
//!
//! Load pattern: more requests want a target than it takes, of different urgency. While a more urgent request has been
//! refused and may come back, less urgent ones are refused too, so that the tokens go to the most urgent requests.

use crate::{prelude::*, rate::Limit};

/// Time of unused requests that may be made up for at once.
const BURST: Duration = Duration::from_millis(250);
/// Shortest time for which a refused request holds back less urgent ones.
const HOLD_MIN: Duration = Duration::from_secs(1);

/// A refused request that holds back less urgent ones.
#[derive(Clone, Copy, Debug)]
struct Held {
    priority: u32,
    until: Time,
}

/// Grants of one target.
#[derive(Clone, Debug)]
pub struct Quota {
    limit: Limit,
    /// Part of the limit that is granted.
    share: f64,
    tokens: f64,
    updated_at: Time,
    held: Option<Held>,
}

impl Quota {
    /// Quota of a share of a limit. It begins empty, as another host may just have granted requests.
    pub fn new(limit: Limit, share: f64, now: Time) -> Self {
        Self { limit, share, tokens: 0.0, updated_at: now, held: None }
    }

    /// Changes the limit or the share.
    pub fn set_limit(&mut self, limit: Limit, share: f64, now: Time) {
        self.refill(now);
        (self.limit, self.share) = (limit, share);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Grants a request of a priority (0 is the most urgent), or returns the time after which to ask again.
    pub fn take(&mut self, priority: u32, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if let Some(held) = self.held.filter(|held| held.priority < priority && now < held.until) {
            return Err(held.until - now);
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.held = self.held.filter(|held| held.priority < priority);
            return Ok(());
        }
        let wait = self.wait();
        self.held = Some(Held { priority, until: now + wait.max(HOLD_MIN) });
        Err(wait)
    }

    /// Counts requests that were not asked for; those that follow wait the longer.
    pub fn charge(&mut self, requests: u32, now: Time) {
        self.refill(now);
        self.tokens -= f64::from(requests);
    }

    /// Time from which a request may be granted that is less urgent than all that were refused.
    pub fn open_at(&self) -> Time {
        let held = self.held.map_or(Time::ZERO, |held| held.until);
        held.max(self.updated_at + self.wait())
    }

    /// Limit of the target.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Requests a second that are granted.
    fn rate(&self) -> f64 {
        self.limit.rate() * self.share
    }

    /// Time until a token is there, counted from the last update.
    fn wait(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate()).unwrap_or(Duration::MAX / 2)
    }

    fn capacity(&self) -> f64 {
        (self.rate() * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens = (self.tokens + self.rate() * elapsed.as_secs_f64()).min(self.capacity());
        self.updated_at = self.updated_at.max(now);
    }
}
