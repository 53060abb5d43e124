//! Key-value store with the data model of etcd: revisions, transactions, leases and a bounded change log.
//!
//! Each transaction that changes a key increments the revision. Keys attached to a lease are deleted when it expires or
//! is revoked.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
    time::{Duration, Instant},
};

use bytes::Bytes;

pub const VALUE_MAX_BYTES: usize = 1_000_000;
const KEYS_MAX: usize = 100_000;
const LEASES_MAX: usize = 10_000;
/// Changes kept for watches that start at an earlier revision and for rewinding.
const CHANGE_LOG_MAX: usize = 10_000;

/// Value of a key and its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub value: Bytes,
    /// Revision that created the key.
    pub create_revision: i64,
    /// Revision of the last change.
    pub mod_revision: i64,
    /// Number of changes since the key was created.
    pub version: i64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: i64,
}

/// Keys from `start` up to but not including `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    pub start: Bytes,
    /// Empty for the key `start` alone; one zero byte for all keys from `start` on.
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

/// Change of one key.
#[derive(Clone, Debug)]
pub struct Change {
    pub revision: i64,
    pub key: Bytes,
    pub before: Option<Entry>,
    pub after: Option<Entry>,
}

/// Field of an entry that a condition compares; 0 for a missing key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Version,
    CreateRevision,
    ModRevision,
}

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
    pub operand: i64,
}

/// Operation of a transaction.
#[derive(Clone, Debug)]
pub enum Op {
    Range { span: Span, limit: usize },
    Put { key: Bytes, value: Bytes, lease: i64 },
    Delete { span: Span },
}

/// Result of an operation.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Entries up to the limit, and the number of all entries in the span.
    Range {
        rows: Vec<(Bytes, Entry)>,
        count: usize,
    },
    Put,
    Delete {
        deleted: usize,
    },
}

/// Reason for which the store rejects an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    ValueTooLarge,
    SpaceExceeded,
    LeaseNotFound,
    LeaseExists,
    Compacted,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<Bytes>,
}

#[derive(Debug)]
pub struct Store {
    rows: BTreeMap<Bytes, Entry>,
    leases: BTreeMap<i64, Lease>,
    /// Leases that ended, with their time to live, for rewinding.
    ended_leases: VecDeque<(i64, Duration)>,
    log: VecDeque<Change>,
    /// Last revision of which the log no longer holds all changes; 0 for none.
    compacted: i64,
    revision: i64,
    last_lease_id: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            leases: BTreeMap::new(),
            ended_leases: VecDeque::new(),
            log: VecDeque::new(),
            compacted: 0,
            revision: 1,
            last_lease_id: 7_587_000_000,
        }
    }
}

impl Store {
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// First revision from which the log holds all changes.
    pub fn oldest_revision(&self) -> i64 {
        self.compacted + 1
    }

    /// Runs one branch of a transaction: all its operations under one new revision, or none of them.
    pub fn execute(&mut self, ops: &[Op]) -> Result<Vec<Outcome>, Error> {
        let mut created: BTreeSet<&Bytes> = BTreeSet::new();
        for op in ops {
            let Op::Put { key, value, lease } = op else { continue };
            if value.len() > VALUE_MAX_BYTES {
                return Err(Error::ValueTooLarge);
            }
            if !self.rows.contains_key(key) {
                created.insert(key);
            }
            if !created.is_empty() && self.rows.len() + created.len() > KEYS_MAX {
                return Err(Error::SpaceExceeded);
            }
            if *lease != 0 && !self.leases.contains_key(lease) {
                return Err(Error::LeaseNotFound);
            }
        }
        let next = self.revision + 1;
        let outcomes = ops.iter().map(|op| self.apply(op, next)).collect();
        Ok(outcomes)
    }

    /// Whether all conditions hold.
    pub fn all_hold(&self, compares: &[Compare]) -> bool {
        compares.iter().all(|compare| {
            let actual = self.rows.get(&compare.key).map_or(0, |entry| match compare.field {
                Field::Version => entry.version,
                Field::CreateRevision => entry.create_revision,
                Field::ModRevision => entry.mod_revision,
            });
            match compare.relation {
                Relation::Equal => actual == compare.operand,
                Relation::Greater => actual > compare.operand,
                Relation::Less => actual < compare.operand,
                Relation::NotEqual => actual != compare.operand,
            }
        })
    }

    /// Changes within a span, starting with revision `from`.
    pub fn changes(&self, span: &Span, from: i64) -> Result<Vec<Change>, Error> {
        if from <= self.compacted {
            return Err(Error::Compacted);
        }
        let matches = |change: &&Change| change.revision >= from && span.contains(&change.key);
        Ok(self.log.iter().filter(matches).cloned().collect())
    }

    /// Restores the contents of an earlier revision, as after a restore from an old backup. A lease that a restored key
    /// is attached to and that has ended begins anew.
    pub fn rewind(&mut self, revision: i64, now: Instant) -> Result<(), Error> {
        if revision < self.compacted {
            return Err(Error::Compacted);
        }
        while self.log.back().is_some_and(|change| change.revision > revision) {
            let Some(change) = self.log.pop_back() else { break };
            self.set(&change.key, change.before);
        }
        self.revision = self.revision.min(revision);
        self.restore_leases(now);
        Ok(())
    }

    /// Grants the ended leases that keys are attached to again.
    fn restore_leases(&mut self, now: Instant) {
        let mut without: BTreeMap<i64, BTreeSet<Bytes>> = BTreeMap::new();
        for (key, entry) in &self.rows {
            if entry.lease != 0 && !self.leases.contains_key(&entry.lease) {
                without.entry(entry.lease).or_default().insert(key.clone());
            }
        }
        for (id, keys) in without {
            let ended = self.ended_leases.iter().rev().find(|(ended, _)| *ended == id);
            if let Some(&(_, ttl)) = ended {
                self.leases.insert(id, Lease { ttl, expires: now + ttl, keys });
            }
        }
    }

    /// Creates a lease; ID 0 lets the store choose the ID.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> Result<i64, Error> {
        if self.leases.contains_key(&id) {
            return Err(Error::LeaseExists);
        }
        if self.leases.len() >= LEASES_MAX {
            return Err(Error::SpaceExceeded);
        }
        self.last_lease_id += 1;
        let id = if id == 0 { self.last_lease_id } else { id };
        let lease = Lease { ttl, expires: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or `None` if it has expired.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id).filter(|lease| lease.expires > now)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Removes a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) -> Result<(), Error> {
        let lease = self.leases.remove(&id).ok_or(Error::LeaseNotFound)?;
        if self.ended_leases.len() == LEASES_MAX {
            self.ended_leases.pop_front();
        }
        self.ended_leases.push_back((id, lease.ttl));
        let next = self.revision + 1;
        for key in lease.keys {
            self.replace(key, None, next);
        }
        Ok(())
    }

    /// Revokes all expired leases; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired_id = |(id, lease): (&i64, &Lease)| (lease.expires <= now).then_some(*id);
        let expired: Vec<i64> = self.leases.iter().filter_map(expired_id).collect();
        for &id in &expired {
            let _ = self.revoke(id);
        }
        !expired.is_empty()
    }

    fn apply(&mut self, op: &Op, next: i64) -> Outcome {
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
                    create_revision: before.map_or(next, |entry| entry.create_revision),
                    mod_revision: next,
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

    /// Sets or removes a key, and appends to the change log.
    fn replace(&mut self, key: Bytes, after: Option<Entry>, revision: i64) {
        let before = self.set(&key, after.clone());
        if before.is_none() && after.is_none() {
            return;
        }
        self.revision = revision;
        if self.log.len() == CHANGE_LOG_MAX
            && let Some(dropped) = self.log.pop_front()
        {
            self.compacted = dropped.revision;
        }
        self.log.push_back(Change { revision, key, before, after });
    }

    /// Sets or removes a key, and updates the key lists of its leases. Returns the entry before.
    fn set(&mut self, key: &Bytes, after: Option<Entry>) -> Option<Entry> {
        let lease = after.as_ref().map_or(0, |entry| entry.lease);
        let before = match after {
            Some(entry) => self.rows.insert(key.clone(), entry),
            None => self.rows.remove(key),
        };
        if let Some(lease) = before.as_ref().and_then(|entry| self.leases.get_mut(&entry.lease)) {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.clone());
        }
        before
    }
}
