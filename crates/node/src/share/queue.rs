use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{
    prelude::*,
    share::{Cause, Rate, Refusal, Request, Returns, Share, Shares},
};

/// Number of a waiting request.
pub type Ticket = u64;

/// Most requests that wait, and most of one share, so that one share leaves room for others.
const LEN_MAX: usize = 2048;
pub const SHARE_LEN_MAX: usize = 512;
/// Grants after which one goes to a less urgent priority. One in four keeps each priority's part of the slots at a quarter of its
/// part of the requests, however many urgent requests there are.
const GRANTS_PER_TURN: u32 = 4;
/// Time without waiting requests after which the service that shares have had is forgotten.
const QUIET: Duration = Duration::from_secs(1);
/// Shortest time after which a refused caller is told to try again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Order within a share: returned callers first, then by deadline.
type Rank = (bool, Instant, Ticket);

/// Waiting requests of one priority.
#[derive(Debug, Default)]
struct Class {
    shares: BTreeMap<Share, BTreeSet<Rank>>,
    len: usize,
    /// Grants to this class since the last one to a less urgent class.
    grants: u32,
}

/// A request that may try targets now.
#[derive(Debug)]
pub struct Granted {
    pub ticket: Ticket,
    pub share: Share,
    /// What its share was charged in advance.
    pub charge: Duration,
}

/// Requests of one service that wait for a target with room.
#[derive(Debug)]
pub struct Queue {
    classes: BTreeMap<u32, Class>,
    places: BTreeMap<Ticket, (u32, Share, Rank)>,
    last_ticket: Ticket,
    shares: Shares,
    rate: Rate,
    returns: Returns,
    /// Time at which the last request left.
    empty_since: Instant,
    /// Requests that try at the next tick.
    probes: usize,
}

impl Queue {
    /// An empty queue.
    pub fn new(now: Instant) -> Self {
        Self {
            classes: BTreeMap::new(),
            places: BTreeMap::new(),
            last_ticket: 0,
            shares: Shares::default(),
            rate: Rate::new(now),
            returns: Returns::default(),
            empty_since: now,
            probes: 1,
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a request, unless it would not be served in the time that it may wait.
    pub fn enter(&mut self, request: &Request, now: Instant) -> Result<Ticket, Refusal> {
        if self.is_empty() && now.saturating_duration_since(self.empty_since) >= QUIET {
            self.shares.reset();
        }
        self.restart_rate(now);
        let rank = (!self.returns.is_known(request), request.deadline, self.last_ticket + 1);
        let ahead = self.ahead(request, rank);
        let refusal = |cause| self.refusal(request, cause, ahead, now);
        let late = refusal(Cause::Late);
        let patience = request.until.saturating_duration_since(now);
        let own = self.waiting_of(request.priority, &request.share);
        let refused = if self.len() >= LEN_MAX || own >= SHARE_LEN_MAX {
            Some(refusal(Cause::Full))
        } else {
            late.expected.is_some_and(|expected| expected > patience).then_some(late)
        };
        if let Some(refusal) = refused {
            self.returns.remember(request);
            return Err(refusal);
        }
        Ok(self.add(request, rank))
    }

    /// Adds a request again that no target took.
    pub fn enter_again(&mut self, request: &Request, granted: &Granted, now: Instant) -> Ticket {
        self.restart_rate(now);
        self.refused(granted);
        let rank = (!self.returns.is_known(request), request.deadline, granted.ticket);
        self.add(request, rank)
    }

    /// Removes a request if it waits.
    pub fn leave(&mut self, ticket: Ticket, now: Instant) {
        if let Some((priority, share, rank)) = self.places.remove(&ticket) {
            self.take(priority, &share, rank, now);
        }
    }

    /// Records that a request has left that has waited as long as it may.
    pub fn give_up(&mut self, request: &Request, now: Instant) -> Refusal {
        self.returns.remember(request);
        self.refusal(request, Cause::Waited, self.len(), now)
    }

    /// Records that a target answered, and chooses the request that tries next.
    pub fn free(&mut self, now: Instant) -> Option<Granted> {
        if self.is_empty() {
            return None;
        }
        self.rate.record(now);
        self.grant(now)
    }

    /// Chooses the requests that try although no slot is known to be free: one, and twice as many as the last time while none of
    /// them is refused, so that new targets fill up soon.
    pub fn tick(&mut self, now: Instant) -> Vec<Granted> {
        let probes = self.probes.min(self.len());
        self.probes = (self.probes * 2).min(LEN_MAX);
        (0..probes).filter_map(|_| self.grant(now)).collect()
    }

    /// Chooses the request that tries next.
    pub fn grant(&mut self, now: Instant) -> Option<Granted> {
        let priority = self.next_priority()?;
        let shares = &self.classes.get(&priority)?.shares;
        let served = |share: &Share| self.shares.served_s(share);
        let by_service = |a: &&Share, b: &&Share| served(a).total_cmp(&served(b));
        let share = shares.keys().min_by(by_service)?.clone();
        let rank = *shares.get(&share)?.first()?;
        let ticket = rank.2;
        self.places.remove(&ticket);
        self.take(priority, &share, rank, now);
        let charge = self.shares.start(&share);
        Some(Granted { ticket, share, charge })
    }

    /// Records that a granted request has ended and held a target for a time.
    pub fn end(&mut self, granted: &Granted, held: Duration) {
        self.shares.end(&granted.share, granted.charge, held);
    }

    /// Grants a last try to a request that has left because it has waited as long as it may. While slots become free, it would
    /// take one from the request that is next.
    pub fn last_try(&mut self, ticket: Ticket, request: &Request, now: Instant) -> Option<Granted> {
        if self.rate.is_recent(now) {
            return None;
        }
        let charge = self.shares.charge(&request.share);
        Some(Granted { ticket, share: request.share.clone(), charge })
    }

    /// Takes the grant of a request back that no target took. The targets have no room, so one request at a time probes them.
    pub fn refused(&mut self, granted: &Granted) {
        self.cancel(granted);
        self.probes = 1;
    }

    /// Takes a grant back that was not used.
    pub fn cancel(&mut self, granted: &Granted) {
        self.shares.refund(&granted.share, granted.charge);
    }

    /// Measures the rate anew after a time in which none waited.
    fn restart_rate(&mut self, now: Instant) {
        if self.is_empty() {
            self.rate = Rate::new(now);
            self.probes = 1;
        }
    }

    fn add(&mut self, request: &Request, rank: Rank) -> Ticket {
        let ticket = rank.2;
        self.last_ticket = self.last_ticket.max(ticket);
        if self.classes.values().all(|class| !class.shares.contains_key(&request.share)) {
            self.shares.activate(&request.share);
        }
        let class = self.classes.entry(request.priority).or_default();
        class.len += 1;
        class.shares.entry(request.share.clone()).or_default().insert(rank);
        self.places.insert(ticket, (request.priority, request.share.clone(), rank));
        ticket
    }

    fn take(&mut self, priority: u32, share: &Share, rank: Rank, now: Instant) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.len -= 1;
            if let Some(requests) = class.shares.get_mut(share) {
                requests.remove(&rank);
                if requests.is_empty() {
                    class.shares.remove(share);
                }
            }
            if class.len == 0 {
                self.classes.remove(&priority);
            }
        }
        if self.is_empty() {
            self.empty_since = now;
        }
    }

    /// Priority of the next grant: the most urgent one, and a less urgent one once it has been passed over often enough.
    fn next_priority(&mut self) -> Option<u32> {
        let last = *self.classes.keys().next_back()?;
        for (priority, class) in &mut self.classes {
            if *priority == last {
                return Some(last);
            }
            class.grants += 1;
            if class.grants < GRANTS_PER_TURN {
                return Some(*priority);
            }
            class.grants = 0;
        }
        None
    }

    fn waiting_of(&self, priority: u32, share: &Share) -> usize {
        let class = self.classes.get(&priority);
        class.and_then(|class| class.shares.get(share)).map_or(0, BTreeSet::len)
    }

    /// Number of requests that will probably be served before one that enters, if all shares are served in turn.
    fn ahead(&self, request: &Request, rank: Rank) -> usize {
        let class = self.classes.get(&request.priority);
        let own = class.and_then(|class| class.shares.get(&request.share));
        let own = own.map_or(0, |requests| requests.range(..rank).count());
        let others = class.iter().flat_map(|class| &class.shares);
        let others = others.filter(|(share, _)| **share != request.share);
        let same = own + others.map(|(_, requests)| requests.len().min(own + 1)).sum::<usize>();
        let urgent: Vec<usize> =
            self.classes.range(..request.priority).map(|(_, class)| class.len).collect();
        let turns = (GRANTS_PER_TURN as usize).saturating_pow(urgent.len() as u32);
        (same + urgent.iter().sum::<usize>()).min((same + 1).saturating_mul(turns) - 1)
    }

    fn refusal(&self, request: &Request, cause: Cause, ahead: usize, now: Instant) -> Refusal {
        let rate = self.rate.per_s(now);
        let time = |slots: usize| {
            rate.and_then(|rate| Duration::try_from_secs_f64(slots as f64 / rate).ok())
        };
        let left = request.deadline.saturating_duration_since(now);
        let retry_after = time(ahead + 1).unwrap_or_default().min(left).max(RETRY_AFTER_MIN);
        Refusal {
            cause,
            waiting: self.len(),
            ahead,
            rate,
            rate_age: self.rate.age(now),
            expected: time(ahead + 1),
            retry_after,
        }
    }
}
