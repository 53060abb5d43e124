//! Contents that crashed targets.
//!
//! A connection that breaks marks its content as suspect; if the target then refuses connections within a few seconds,
//! that counts as a crash and every content whose connection broke gets a strike. Content with a mark runs isolated: on
//! a target with no other marked content, one copy at a time. The strike that reaches the limit counts only if the
//! content ran alone on the target, so content that merely stood beside a culprit is never refused.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    core::{World, health, peer, retry},
    prelude::*,
    wire,
};

/// Longest time between a broken connection and the refusal that makes it a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(4);
/// How long a strike is remembered.
const MEMORY: Duration = Duration::from_secs(3600);
/// Contents remembered at most; the one that was struck longest ago is forgotten first.
const CONTENTS_MAX: usize = 10_000;

/// A marked content.
#[derive(Debug, Default)]
struct Mark {
    /// Targets that the content crashed.
    targets: BTreeSet<TargetId>,
    at: Time,
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
    by_age: BTreeSet<(Time, ContentHash)>,
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
    pub fn marked(&self, content: ContentHash) -> bool {
        self.marks.contains_key(&content)
    }

    /// Whether a copy of a marked content runs now.
    pub fn active(&self, content: ContentHash) -> bool {
        self.active.contains_key(&content)
    }

    /// Whether no content is marked, so that nothing needs isolation.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Request for which a target is kept free.
    pub fn reserved_for(&self, target: &str) -> Option<RequestId> {
        self.reserved.get(target).copied()
    }

    /// Target kept free for a request.
    pub fn reservation(&self, id: RequestId) -> Option<&TargetId> {
        self.reserved
            .iter()
            .find(|(_, holder)| **holder == id)
            .map(|(target, _)| target)
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
        if self.marked(content) {
            self.active.insert(content, id);
        }
    }

    /// Forgets a content; tells whether it had strikes.
    pub fn clear(&mut self, content: ContentHash) -> bool {
        let Some(mark) = self.marks.remove(&content) else {
            return false;
        };
        self.by_age.remove(&(mark.at, content));
        !mark.targets.is_empty()
    }

    fn mark(&mut self, content: ContentHash, now: Time) -> &mut Mark {
        if self.marks.len() >= CONTENTS_MAX
            && !self.marks.contains_key(&content)
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.marks.remove(&oldest);
        }
        let mark = self.marks.entry(content).or_default();
        self.by_age.remove(&(mark.at, content));
        mark.at = now;
        self.by_age.insert((now, content));
        mark
    }
}

/// Takes a strike that a peer reported; without a target it says that the content ran well there.
pub fn heard(world: &mut World, content: ContentHash, target: TargetId) {
    if target.is_empty() {
        world.strikes.clear(content);
        return;
    }
    let now = world.now;
    world.strikes.mark(content, now).targets.insert(target);
}

/// Takes note that a request ran well.
pub fn succeeded(world: &mut World, content: ContentHash) {
    if world.strikes.clear(content) {
        let target = String::new();
        peer::publish(
            world,
            wire::Item::Strike(wire::Strike { content, target }),
            peer::Spread::Gossip,
        );
    }
}

/// Takes note that a connection broke while a request ran on a target, and has the target polled at once. The request
/// is released to its retry by the verdict.
pub fn broken(world: &mut World, target: &TargetId, id: RequestId, content: ContentHash, limit: u32) {
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
    world.strikes.mark(content, now);
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
        if world.strikes.count(content) == 0 {
            world.strikes.clear(content);
        }
    }
    for id in entry.waiting {
        retry::release(world, id);
    }
}

/// Forgets old strikes and breaks that had no verdict.
pub fn run(world: &mut World) {
    let now = world.now;
    let strikes = &mut world.strikes;
    while let Some(&(at, content)) = strikes.by_age.first()
        && at + MEMORY <= now
    {
        strikes.by_age.pop_first();
        strikes.marks.remove(&content);
    }
    strikes.breaks.retain(|_, entry| now <= entry.at + CRASH_WINDOW);
}

fn crashed(world: &mut World, target: &TargetId, entry: &Break) {
    let now = world.now;
    let alone = entry.beside.len() == 1;
    let marked = entry
        .beside
        .iter()
        .filter(|&&content| world.strikes.count(content) > 0)
        .count();
    for (&content, &limit) in &entry.contents {
        let count = world.strikes.count(content);
        let decisive = count + 1 >= limit;
        let isolated = count == 0 || marked == 1;
        if !isolated || decisive && !alone {
            continue;
        }
        if world.strikes.mark(content, now).targets.insert(target.clone()) {
            let target = target.to_string();
            peer::publish(
                world,
                wire::Item::Strike(wire::Strike { content, target }),
                peer::Spread::PushAll,
            );
        }
    }
}
