//! Key-value store with revisions, leases and a bounded change log.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    time::{Duration, Instant},
};

use bytes::Bytes;

/// Largest value; the platform refuses larger ones.
pub const VALUE_MAX_BYTES: usize = 1_000_000;
/// Most keys in the store.
const KEYS_MAX: usize = 100_000;
/// Most leases at once.
const LEASES_MAX: usize = 10_000;
/// Changes kept for watches that start in the past and for rewinding.
const LOG_MAX: usize = 10_000;

/// One key's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub value: Bytes,
    pub created: i64,
    pub modified: i64,
    pub version: i64,
    pub lease: i64,
}

/// Keys from `start` up to but not including `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    pub start: Bytes,
    /// Empty for the key `start` alone, one zero byte for all keys from `start` on.
    pub end: Bytes,
}

impl Span {
    pub fn contains(&self, key: &[u8]) -> bool {
        match &*self.end {
            [] => key == &*self.start,
            [0] => key >= &*self.start,
            end => key >= &*self.start && key < end,
        }
    }
}

/// A change of one key.
#[derive(Clone, Debug)]
pub struct Change {
    pub revision: i64,
    pub key: Bytes,
    pub before: Option<Entry>,
    pub after: Option<Entry>,
}

/// Field of an entry that a condition looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Version,
    Created,
    Modified,
}

/// Relation of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// Condition of a transaction.
#[derive(Clone, Debug)]
pub struct Compare {
    pub key: Bytes,
    pub field: Field,
    pub relation: Relation,
    pub number: i64,
}

/// One operation.
#[derive(Clone, Debug)]
pub enum Op {
    Range { span: Span, limit: usize },
    Put { key: Bytes, value: Bytes, lease: i64 },
    Delete { span: Span },
}

/// Answer to an operation.
#[derive(Clone, Debug)]
pub enum Outcome {
    Range { rows: Vec<(Bytes, Entry)>, count: usize },
    Put,
    Delete { deleted: usize },
}

/// Why an operation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    TooLarge,
    Full,
    LeaseNotFound,
    Compacted,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Bytes>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    rows: BTreeMap<Bytes, Entry>,
    leases: BTreeMap<i64, Lease>,
    log: VecDeque<Change>,
    revision: i64,
    last_lease: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            leases: BTreeMap::new(),
            log: VecDeque::new(),
            revision: 1,
            last_lease: 7_587_000_000,
        }
    }
}

impl Store {
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Runs one branch of a transaction: all its operations under one new revision, or none.
    pub fn run(&mut self, ops: &[Op]) -> Result<Vec<Outcome>, Fault> {
        for op in ops {
            let Op::Put { key, value, lease } = op else { continue };
            if value.len() > VALUE_MAX_BYTES {
                return Err(Fault::TooLarge);
            }
            if self.rows.len() >= KEYS_MAX && !self.rows.contains_key(key) {
                return Err(Fault::Full);
            }
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(Fault::LeaseNotFound);
            }
        }
        let next = self.revision + 1;
        let outcomes = ops.iter().map(|op| self.one(op, next)).collect();
        Ok(outcomes)
    }

    /// Whether all conditions hold.
    pub fn holds(&self, compares: &[Compare]) -> bool {
        compares.iter().all(|compare| {
            let found = self.rows.get(&compare.key).map_or(0, |entry| match compare.field {
                Field::Version => entry.version,
                Field::Created => entry.created,
                Field::Modified => entry.modified,
            });
            match compare.relation {
                Relation::Equal => found == compare.number,
                Relation::Greater => found > compare.number,
                Relation::Less => found < compare.number,
                Relation::NotEqual => found != compare.number,
            }
        })
    }

    /// Changes of a span from a revision on.
    pub fn changes(&self, span: &Span, from: i64) -> Result<Vec<Change>, Fault> {
        let oldest = self.log.front().map_or(self.revision + 1, |change| change.revision);
        if from < oldest && oldest > 2 {
            return Err(Fault::Compacted);
        }
        let wanted = |change: &&Change| change.revision >= from && span.contains(&change.key);
        Ok(self.log.iter().filter(wanted).cloned().collect())
    }

    /// Puts the contents back to an earlier revision, as a restore from an old copy does.
    pub fn rewind(&mut self, revision: i64) -> Result<(), Fault> {
        let oldest = self.log.front().map_or(self.revision + 1, |change| change.revision);
        if revision + 1 < oldest {
            return Err(Fault::Compacted);
        }
        while self.log.back().is_some_and(|change| change.revision > revision) {
            let Some(change) = self.log.pop_back() else { break };
            match change.before {
                Some(entry) => self.rows.insert(change.key, entry),
                None => self.rows.remove(&change.key),
            };
        }
        self.revision = self.revision.min(revision);
        Ok(())
    }

    pub fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> Result<i64, Fault> {
        if self.leases.len() >= LEASES_MAX || self.leases.contains_key(&id) {
            return Err(Fault::Full);
        }
        self.last_lease += 1;
        let id = if id == 0 { self.last_lease } else { id };
        let lease = Lease { ttl, expires: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease and returns its full time, or `None` when it is gone.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id).filter(|lease| lease.expires > now)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) -> Result<(), Fault> {
        let lease = self.leases.remove(&id).ok_or(Fault::LeaseNotFound)?;
        let next = self.revision + 1;
        for key in lease.keys {
            self.replace(key, None, next);
        }
        Ok(())
    }

    /// Ends all leases whose time is over; tells whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over = |(id, lease): (&i64, &Lease)| (lease.expires <= now).then_some(*id);
        let over: Vec<i64> = self.leases.iter().filter_map(over).collect();
        for &id in &over {
            let _ = self.revoke(id);
        }
        !over.is_empty()
    }

    fn one(&mut self, op: &Op, next: i64) -> Outcome {
        match op {
            Op::Range { span, limit } => {
                let found = self.find(span);
                let count = found.len();
                let limit = if *limit == 0 { count } else { *limit };
                Outcome::Range { rows: found.into_iter().take(limit).collect(), count }
            }
            Op::Put { key, value, lease } => {
                let before = self.rows.get(key);
                let entry = Entry {
                    value: value.clone(),
                    created: before.map_or(next, |entry| entry.created),
                    modified: next,
                    version: before.map_or(1, |entry| entry.version + 1),
                    lease: *lease,
                };
                self.replace(key.clone(), Some(entry), next);
                Outcome::Put
            }
            Op::Delete { span } => {
                let found = self.find(span);
                let deleted = found.len();
                for (key, _) in found {
                    self.replace(key, None, next);
                }
                Outcome::Delete { deleted }
            }
        }
    }

    fn find(&self, span: &Span) -> Vec<(Bytes, Entry)> {
        self.rows
            .range::<[u8], _>((Bound::Included(&*span.start), Bound::Unbounded))
            .take_while(|(key, _)| span.contains(key))
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect()
    }

    fn replace(&mut self, key: Bytes, after: Option<Entry>, revision: i64) {
        let before = match after.clone() {
            Some(entry) => self.rows.insert(key.clone(), entry),
            None => self.rows.remove(&key),
        };
        if before.is_none() && after.is_none() {
            return;
        }
        if let Some(lease) = before.as_ref().and_then(|entry| self.leases.get_mut(&entry.lease)) {
            lease.keys.remove(&key);
        }
        if let Some(lease) = after.as_ref().and_then(|entry| self.leases.get_mut(&entry.lease)) {
            lease.keys.insert(key.clone());
        }
        self.revision = revision;
        if self.log.len() == LOG_MAX {
            self.log.pop_front();
        }
        self.log.push_back(Change { revision, key, before, after });
    }
}
