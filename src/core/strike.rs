//! Detection of request contents that crash targets.
//!
//! A content, identified by its hash, becomes suspect when the connection of its request breaks. If the target then
//! refuses a connection or a poll within `CRASH_WINDOW`, it has crashed, and the contents whose connection broke get a
//! strike; otherwise the suspicion ends. Contents that are suspect or have strikes run isolated: one copy at a time, on a
//! target that runs no other such content. A content is refused once its strikes reach the limit of its lane.
//!
//! Two rules protect a content that merely shared the target with the cause. A content that already has strikes gets
//! another one only if it was the only such content in flight on the target, and the last strike before the limit
//! counts only if the content ran alone there.
//!
//! Strikes are replicated to all hosts of the fleet, so that they survive the host that saw the crash. A successful run
//! clears the strikes and increments `clears`. When two records of a content merge, the one with more clears wins; with
//! equal clears the result holds the targets of both.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        World, gossip, health, peer, retry,
        rows::{FleetRow, Key},
    },
    prelude::*,
    wire,
};

/// Longest time between a broken connection and a refused one for both to count as one crash.
const CRASH_WINDOW: Duration = Duration::from_secs(4);
const STRIKE_TTL: Duration = Duration::from_secs(3600);
/// Records kept at most; the one that expires first is evicted.
const RECORDS_MAX: usize = 10_000;

/// Lifetime of a cleared record. It keeps rows that are still in transit from restoring the strikes.
const CLEARED_TTL: Duration = Duration::from_secs(60);
/// Contents kept as gossip rows. Each takes about 16 bytes of every digest, so this many take 1 KB. New strikes are
/// pushed to all hosts; the rows only serve hosts that missed the push.
const GOSSIP_ROWS_MAX: usize = 64;
/// Targets accepted from one row. Crash limits are far lower.
const ROW_TARGETS_MAX: usize = 32;

/// Record of one content.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Targets that the content crashed.
    targets: BTreeSet<TargetId>,
    /// Successful runs that cleared strikes.
    clears: u64,
    /// A connection broke, and it is not yet known whether the target crashed.
    suspect: bool,
    expires: Time,
}

impl Record {
    fn is_isolated(&self) -> bool {
        self.suspect || !self.targets.is_empty()
    }
}

/// Broken connections of one target that may be due to a crash.
#[derive(Debug, Default)]
struct SuspectedCrash {
    since: Time,
    /// Contents whose connection broke, with their crash limits.
    contents: BTreeMap<ContentHash, u32>,
    /// All contents in flight on the target when the first connection broke.
    in_flight: BTreeSet<ContentHash>,
    /// Requests whose retry waits until the crash is confirmed or ruled out.
    waiting: Vec<RequestId>,
}

/// Strikes by content.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<ContentHash, Record>,
    by_expiry: BTreeSet<(Time, ContentHash)>,
    suspected_crashes: BTreeMap<TargetId, SuspectedCrash>,
    /// Isolated contents that run now.
    running: BTreeMap<ContentHash, RequestId>,
    /// Targets kept free for a content that is one strike below its limit.
    reserved: BTreeMap<TargetId, RequestId>,
}

impl Table {
    /// Strikes of a content: the distinct targets that it crashed.
    pub fn count(&self, content: ContentHash) -> u32 {
        self.records.get(&content).map_or(0, |record| record.targets.len() as u32)
    }

    /// Whether a content has to run isolated.
    pub fn is_isolated(&self, content: ContentHash) -> bool {
        self.records.get(&content).is_some_and(Record::is_isolated)
    }

    /// Whether a copy of an isolated content runs now.
    pub fn is_running(&self, content: ContentHash) -> bool {
        self.running.contains_key(&content)
    }

    /// Request that a target is reserved for.
    pub fn reserved_for(&self, target: &str) -> Option<RequestId> {
        self.reserved.get(target).copied()
    }

    /// Target reserved for a request.
    pub fn reservation(&self, id: RequestId) -> Option<&TargetId> {
        self.reserved.iter().find(|(_, holder)| **holder == id).map(|(target, _)| target)
    }

    /// Reserves a target for a request and drops the request's other reservation.
    pub fn reserve(&mut self, target: &TargetId, id: RequestId) {
        self.reserved.retain(|_, holder| *holder != id);
        self.reserved.insert(target.clone(), id);
    }

    /// Releases the isolation and the reservation of a request whose attempt ended.
    pub fn release(&mut self, id: RequestId) {
        self.running.retain(|_, holder| *holder != id);
        self.reserved.retain(|_, holder| *holder != id);
    }

    /// Records that an isolated content runs.
    pub fn started(&mut self, content: ContentHash, id: RequestId) {
        if self.is_isolated(content) {
            self.running.insert(content, id);
        }
    }

    /// Record of a content with a new expiry; a missing one is created.
    fn upsert(&mut self, content: ContentHash, expires: Time) -> &mut Record {
        if self.records.len() >= RECORDS_MAX
            && !self.records.contains_key(&content)
            && let Some((_, oldest)) = self.by_expiry.pop_first()
        {
            self.records.remove(&oldest);
        }
        let record = self.records.entry(content).or_default();
        self.by_expiry.remove(&(record.expires, content));
        record.expires = expires;
        self.by_expiry.insert((expires, content));
        record
    }

    /// Ends the suspicion of a content and drops its record if it has neither strikes nor clears.
    fn clear_suspicion(&mut self, content: ContentHash) {
        let Some(record) = self.records.get_mut(&content) else {
            return;
        };
        record.suspect = false;
        if record.targets.is_empty() && record.clears == 0 {
            self.remove(content);
        }
    }

    /// Ends the suspicion of the contents of a crash that was not confirmed in time, except of those that may have
    /// crashed another target.
    fn drop_unconfirmed(&mut self, contents: impl Iterator<Item = ContentHash>) {
        for content in contents {
            let mut crashes = self.suspected_crashes.values();
            if !crashes.any(|crash| crash.contents.contains_key(&content)) {
                self.clear_suspicion(content);
            }
        }
    }

    fn remove(&mut self, content: ContentHash) {
        if let Some(record) = self.records.remove(&content) {
            self.by_expiry.remove(&(record.expires, content));
        }
    }

    /// Whether a record of a content exists.
    pub fn contains(&self, content: ContentHash) -> bool {
        self.records.contains_key(&content)
    }

    /// Gossip row of a content. It carries an age instead of a time, since hosts have no common clock.
    pub fn row(&self, content: ContentHash, now: Time) -> Option<wire::Strike> {
        let record = self.records.get(&content)?;
        let age = STRIKE_TTL.saturating_sub(record.expires.saturating_sub(now));
        Some(wire::Strike {
            content,
            targets: record.targets.iter().map(|target| target.to_string()).collect(),
            clears: record.clears,
            age_ms: age.as_millis() as u64,
        })
    }
}

/// Merges a peer's record of a content, and forwards it if it adds to the local one.
pub fn merge(world: &mut World, from: &HostId, strike: &wire::Strike) {
    let (now, content) = (world.now, strike.content);
    let expires = now + STRIKE_TTL.saturating_sub(Duration::from_millis(strike.age_ms));
    let remote: BTreeSet<TargetId> =
        strike.targets.iter().take(ROW_TARGETS_MAX).map(|it| it.as_str().into()).collect();
    let local = world.strikes.records.get(&content).cloned().unwrap_or_default();
    let known = strike.clears < local.clears
        || strike.clears == local.clears && remote.is_subset(&local.targets);
    if known || expires <= now {
        return;
    }
    let newer = strike.clears > local.clears;
    let record =
        world.strikes.upsert(content, if newer { expires } else { expires.max(local.expires) });
    if newer {
        record.targets.clear();
        record.clears = strike.clears;
    }
    record.targets.extend(remote);
    publish(world, content, peer::Spread::PushFew, Some(from));
}

/// Clears the strikes of a content after a successful run.
pub fn request_succeeded(world: &mut World, content: ContentHash) {
    if world.strikes.count(content) == 0 {
        return world.strikes.clear_suspicion(content);
    }
    let record = world.strikes.upsert(content, world.now + CLEARED_TTL);
    record.targets.clear();
    record.suspect = false;
    record.clears += 1;
    publish(world, content, peer::Spread::PushFleet, None);
}

/// Pushes the record of a content, and keeps it as a gossip row if it is among the `GOSSIP_ROWS_MAX` with the most
/// strikes.
fn publish(world: &mut World, content: ContentHash, spread: peer::Spread, except: Option<&HostId>) {
    let Some(strike) = world.strikes.row(content, world.now) else {
        return;
    };
    let row = gossip::fleet_row(0, wire::Item::Strike(strike.clone()));
    peer::push(world, &row, spread, except);
    let rows = &mut world.peers.fleet_rows;
    let rank = |strike: &wire::Strike| (strike.targets.len(), strike.content);
    let kept = rows.values().filter_map(|row| match &row.item {
        wire::Item::Strike(strike) => Some(rank(strike)),
        _ => None,
    });
    let kept: BTreeSet<(usize, ContentHash)> =
        kept.filter(|(_, other)| *other != content).collect();
    if let Some(lowest) = kept.first().filter(|_| kept.len() >= GOSSIP_ROWS_MAX) {
        // The order is the same on all hosts, so that they keep the same rows.
        if *lowest > rank(&strike) {
            rows.remove(&Key::Strike(content));
            return;
        }
        rows.remove(&Key::Strike(lowest.1));
    }
    let row = FleetRow::new(world.now, 0, wire::Item::Strike(wire::Strike { age_ms: 0, ..strike }));
    rows.insert(Key::Strike(content), row);
}

/// Records that the connection of a running request broke, and polls the target at once. The request is retried when
/// the crash is confirmed or ruled out.
pub fn connection_broken(
    world: &mut World,
    target: &TargetId,
    id: RequestId,
    content: ContentHash,
    limit: u32,
) {
    let now = world.now;
    let contents: Vec<ContentHash> = world.requests.contents_on(target).collect();
    let mut unconfirmed = BTreeMap::new();
    let crash = world.strikes.suspected_crashes.entry(target.clone()).or_default();
    if crash.contents.is_empty() || now > crash.since + CRASH_WINDOW {
        crash.since = now;
        unconfirmed = std::mem::take(&mut crash.contents);
        crash.in_flight = contents.into_iter().collect();
    }
    crash.contents.insert(content, limit);
    crash.in_flight.insert(content);
    crash.waiting.push(id);
    world.strikes.drop_unconfirmed(unconfirmed.into_keys());
    world.strikes.upsert(content, now + STRIKE_TTL).suspect = true;
    health::probe(world, target);
}

/// Records that a target refused a connection or a poll, which confirms a suspected crash.
pub fn connection_refused(world: &mut World, target: &TargetId) {
    let Some(crash) = world.strikes.suspected_crashes.remove(target) else {
        return;
    };
    if world.now <= crash.since + CRASH_WINDOW {
        record_crash(world, target, &crash);
    } else {
        world.strikes.drop_unconfirmed(crash.contents.into_keys());
    }
    for id in crash.waiting {
        retry::resume(world, id);
    }
}

/// Records that a target answered a poll. A crash suspected before the poll was sent is ruled out.
pub fn poll_answered(world: &mut World, target: &TargetId, sent: Option<Time>) {
    let Some(crash) = world.strikes.suspected_crashes.get(target) else {
        return;
    };
    if sent.is_none_or(|sent| sent < crash.since) {
        return;
    }
    let crash = world.strikes.suspected_crashes.remove(target).unwrap_or_default();
    for &content in crash.contents.keys() {
        world.strikes.clear_suspicion(content);
    }
    for id in crash.waiting {
        retry::resume(world, id);
    }
}

/// Removes expired records, and suspected crashes that were not confirmed in time.
pub fn run(world: &mut World) {
    let now = world.now;
    let strikes = &mut world.strikes;
    while let Some(&(expires, content)) = strikes.by_expiry.first()
        && expires <= now
    {
        strikes.remove(content);
    }
    let crashes = std::mem::take(&mut strikes.suspected_crashes);
    let (pending, unconfirmed): (BTreeMap<_, _>, BTreeMap<_, _>) =
        crashes.into_iter().partition(|(_, crash)| now <= crash.since + CRASH_WINDOW);
    strikes.suspected_crashes = pending;
    if !unconfirmed.is_empty() {
        strikes.drop_unconfirmed(
            unconfirmed.into_values().flat_map(|crash| crash.contents.into_keys()),
        );
        // Copies of these contents may wait for the running one.
        world.queues.touch_all();
    }
}

fn record_crash(world: &mut World, target: &TargetId, crash: &SuspectedCrash) {
    let now = world.now;
    let alone = crash.in_flight.len() == 1;
    let with_strikes =
        crash.in_flight.iter().filter(|&&content| world.strikes.count(content) > 0).count();
    for (&content, &limit) in &crash.contents {
        let count = world.strikes.count(content);
        let reaches_limit = count + 1 >= limit;
        let isolated = count == 0 || with_strikes == 1;
        if !isolated || reaches_limit && !alone {
            continue;
        }
        let record = world.strikes.upsert(content, now + STRIKE_TTL);
        record.suspect = false;
        if record.targets.insert(target.clone()) {
            publish(world, content, peer::Spread::PushFleet, None);
        }
    }
}
