//! Contents that crashed targets.
//!
//! A connection that breaks marks its content as suspect; if the target then refuses connections within a few seconds,
//! that counts as a crash and every content whose connection broke gets a strike. Content with a mark runs isolated: on
//! a target with no other marked content, one copy at a time. The strike that reaches the limit counts only if the
//! content ran alone on the target, so content that merely stood beside a culprit is never refused.
//!
//! Strikes belong to no host: all hosts of the fleet merge what they hear, so a strike outlives the host that saw the
//! crash. Two states of one content merge into the one that was cleared more often, or else into the union of targets.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{
        World, gossip, health, peer, retry,
        rows::{FleetRow, Key},
    },
    prelude::*,
    wire,
};

/// Longest time between a broken connection and the refusal that makes it a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(4);
/// How long a strike is remembered.
const MEMORY: Duration = Duration::from_secs(3600);
/// Contents remembered at most; the one that was struck longest ago is forgotten first.
const CONTENTS_MAX: usize = 10_000;

/// How long a cleared content is remembered, so that rows still under way do not bring its strikes back.
const CLEARED_MEMORY: Duration = Duration::from_secs(60);
/// Contents kept as gossip rows. Each takes about 16 bytes of every digest, so this many take 1 KB. All strikes are
/// pushed when they are new; the rows only serve hosts that missed the push.
const SPREAD_MAX: usize = 64;
/// Targets taken from one row. No limit of strikes is higher than a few.
const TARGETS_MAX: usize = 32;

/// What is known of a content.
#[derive(Clone, Debug, Default)]
struct Mark {
    /// Targets that the content crashed.
    targets: BTreeSet<TargetId>,
    /// Times that the content ran well after a strike.
    clears: u64,
    /// A connection broke and the verdict is open.
    suspect: bool,
    end: Time,
}

impl Mark {
    fn is_isolated(&self) -> bool {
        self.suspect || !self.targets.is_empty()
    }
}

/// Connections of a target that broke and may prove to be a crash.
#[derive(Debug, Default)]
struct Break {
    at: Time,
    /// Contents whose connection broke, with their limits of strikes.
    contents: BTreeMap<ContentHash, u32>,
    /// All contents that were in flight when the first connection broke.
    beside: BTreeSet<ContentHash>,
    /// Requests that wait for the verdict.
    waiting: Vec<RequestId>,
}

/// Strikes by content.
#[derive(Debug, Default)]
pub struct Table {
    marks: BTreeMap<ContentHash, Mark>,
    by_end: BTreeSet<(Time, ContentHash)>,
    breaks: BTreeMap<TargetId, Break>,
    /// Marked contents that run now.
    active: BTreeMap<ContentHash, RequestId>,
    /// Targets kept free for a content that is one strike from its limit.
    reserved: BTreeMap<TargetId, RequestId>,
}

impl Table {
    /// Distinct targets that a content crashed.
    pub fn count(&self, content: ContentHash) -> u32 {
        self.marks.get(&content).map_or(0, |mark| mark.targets.len() as u32)
    }

    /// Whether a content runs isolated.
    pub fn is_isolated(&self, content: ContentHash) -> bool {
        self.marks.get(&content).is_some_and(Mark::is_isolated)
    }

    /// Whether a copy of a marked content runs now.
    pub fn active(&self, content: ContentHash) -> bool {
        self.active.contains_key(&content)
    }

    /// Request for which a target is kept free.
    pub fn reserved_for(&self, target: &str) -> Option<RequestId> {
        self.reserved.get(target).copied()
    }

    /// Target kept free for a request.
    pub fn reservation(&self, id: RequestId) -> Option<&TargetId> {
        self.reserved.iter().find(|(_, holder)| **holder == id).map(|(target, _)| target)
    }

    /// Keeps a target free for a request.
    pub fn reserve(&mut self, target: &TargetId, id: RequestId) {
        self.reserved.retain(|_, holder| *holder != id);
        self.reserved.insert(target.clone(), id);
    }

    /// Gives back what a request held when its attempt or itself ended.
    pub fn release(&mut self, id: RequestId) {
        self.active.retain(|_, holder| *holder != id);
        self.reserved.retain(|_, holder| *holder != id);
    }

    /// Takes note that a marked content runs.
    pub fn started(&mut self, content: ContentHash, id: RequestId) {
        if self.is_isolated(content) {
            self.active.insert(content, id);
        }
    }

    /// State of a content, changed by the caller, with a new end of its memory.
    fn mark(&mut self, content: ContentHash, end: Time) -> &mut Mark {
        if self.marks.len() >= CONTENTS_MAX
            && !self.marks.contains_key(&content)
            && let Some((_, oldest)) = self.by_end.pop_first()
        {
            self.marks.remove(&oldest);
        }
        let mark = self.marks.entry(content).or_default();
        self.by_end.remove(&(mark.end, content));
        mark.end = end;
        self.by_end.insert((end, content));
        mark
    }

    /// Ends the suspicion of a content; one that has no strikes needs no mark.
    fn forget_suspect(&mut self, content: ContentHash) {
        let Some(mark) = self.marks.get_mut(&content) else {
            return;
        };
        mark.suspect = false;
        if mark.targets.is_empty() && mark.clears == 0 {
            self.forget(content);
        }
    }

    fn forget(&mut self, content: ContentHash) {
        if let Some(mark) = self.marks.remove(&content) {
            self.by_end.remove(&(mark.end, content));
        }
    }

    /// Whether anything is remembered of a content.
    pub fn contains(&self, content: ContentHash) -> bool {
        self.marks.contains_key(&content)
    }

    /// Row of a content. Its age goes out with it, as the hosts have no common clock.
    pub fn row(&self, content: ContentHash, now: Time) -> Option<wire::Strike> {
        let mark = self.marks.get(&content)?;
        let age = MEMORY.saturating_sub(mark.end.saturating_sub(now));
        Some(wire::Strike {
            content,
            targets: mark.targets.iter().map(|target| target.to_string()).collect(),
            clears: mark.clears,
            age_ms: age.as_millis() as u64,
        })
    }
}

/// Takes the state of a content that a peer knows of, and passes it on if it adds to what is known here.
pub fn merge(world: &mut World, from: &HostId, strike: &wire::Strike) {
    let (now, content) = (world.now, strike.content);
    let end = now + MEMORY.saturating_sub(Duration::from_millis(strike.age_ms));
    let theirs: BTreeSet<TargetId> =
        strike.targets.iter().take(TARGETS_MAX).map(|it| it.as_str().into()).collect();
    let held = world.strikes.marks.get(&content).cloned().unwrap_or_default();
    let known = strike.clears < held.clears
        || strike.clears == held.clears && theirs.is_subset(&held.targets);
    if known || end <= now {
        return;
    }
    let newer = strike.clears > held.clears;
    let mark = world.strikes.mark(content, if newer { end } else { end.max(held.end) });
    if newer {
        mark.targets.clear();
        mark.clears = strike.clears;
    }
    mark.targets.extend(theirs);
    spread(world, content, peer::Spread::PushFew, Some(from));
}

/// Takes note that a request ran well.
pub fn succeeded(world: &mut World, content: ContentHash) {
    if world.strikes.count(content) == 0 {
        return world.strikes.forget_suspect(content);
    }
    let mark = world.strikes.mark(content, world.now + CLEARED_MEMORY);
    mark.targets.clear();
    mark.suspect = false;
    mark.clears += 1;
    spread(world, content, peer::Spread::PushFleet, None);
}

/// Puts the state of a content into gossip, if it is among those that matter most.
fn spread(world: &mut World, content: ContentHash, spread: peer::Spread, except: Option<&HostId>) {
    let Some(strike) = world.strikes.row(content, world.now) else {
        return;
    };
    let row = gossip::fleet_row(0, wire::Item::Strike(strike.clone()));
    peer::push(world, &row, spread, except);
    let wide = &mut world.peers.fleet_rows;
    let rank = |strike: &wire::Strike| (strike.targets.len(), strike.content);
    let kept = wide.values().filter_map(|row| match &row.item {
        wire::Item::Strike(strike) => Some(rank(strike)),
        _ => None,
    });
    let kept: BTreeSet<(usize, ContentHash)> =
        kept.filter(|(_, other)| *other != content).collect();
    if let Some(lowest) = kept.first().filter(|_| kept.len() >= SPREAD_MAX) {
        // The order is the same on all hosts, so that they agree on the rows to keep.
        if *lowest > rank(&strike) {
            wide.remove(&Key::Strike(content));
            return;
        }
        wide.remove(&Key::Strike(lowest.1));
    }
    let row = FleetRow::new(world.now, 0, wire::Item::Strike(wire::Strike { age_ms: 0, ..strike }));
    wide.insert(Key::Strike(content), row);
}

/// Takes note that a connection broke while a request ran on a target, and has the target polled at once. The request
/// is released to its retry by the verdict.
pub fn broken(
    world: &mut World,
    target: &TargetId,
    id: RequestId,
    content: ContentHash,
    limit: u32,
) {
    let now = world.now;
    let in_flight: Vec<ContentHash> = world.requests.contents_on(target).collect();
    let entry = world.strikes.breaks.entry(target.clone()).or_default();
    if entry.contents.is_empty() || now > entry.at + CRASH_WINDOW {
        entry.at = now;
        entry.contents.clear();
        entry.beside = in_flight.into_iter().collect();
    }
    entry.contents.insert(content, limit);
    entry.beside.insert(content);
    entry.waiting.push(id);
    world.strikes.mark(content, now + MEMORY).suspect = true;
    health::probe(world, target);
}

/// Takes note that a target refused a connection or a poll.
pub fn refused(world: &mut World, target: &TargetId) {
    let Some(entry) = world.strikes.breaks.remove(target) else {
        return;
    };
    if world.now <= entry.at + CRASH_WINDOW {
        crashed(world, target, &entry);
    }
    for id in entry.waiting {
        retry::release(world, id);
    }
}

/// Takes note that a target answered a poll that was sent at the given time; what broke before was no crash.
pub fn answered(world: &mut World, target: &TargetId, sent: Option<Time>) {
    let Some(entry) = world.strikes.breaks.get(target) else {
        return;
    };
    if sent.is_none_or(|sent| sent < entry.at) {
        return;
    }
    let entry = world.strikes.breaks.remove(target).unwrap_or_default();
    for &content in entry.contents.keys() {
        world.strikes.forget_suspect(content);
    }
    for id in entry.waiting {
        retry::release(world, id);
    }
}

/// Forgets old strikes and breaks that had no verdict.
pub fn run(world: &mut World) {
    let now = world.now;
    let strikes = &mut world.strikes;
    while let Some(&(end, content)) = strikes.by_end.first()
        && end <= now
    {
        strikes.forget(content);
    }
    strikes.breaks.retain(|_, entry| now <= entry.at + CRASH_WINDOW);
}

fn crashed(world: &mut World, target: &TargetId, entry: &Break) {
    let now = world.now;
    let alone = entry.beside.len() == 1;
    let marked = entry.beside.iter().filter(|&&content| world.strikes.count(content) > 0).count();
    for (&content, &limit) in &entry.contents {
        let count = world.strikes.count(content);
        let decisive = count + 1 >= limit;
        let isolated = count == 0 || marked == 1;
        if !isolated || decisive && !alone {
            continue;
        }
        let mark = world.strikes.mark(content, now + MEMORY);
        mark.suspect = false;
        if mark.targets.insert(target.clone()) {
            spread(world, content, peer::Spread::PushFleet, None);
        }
    }
}
