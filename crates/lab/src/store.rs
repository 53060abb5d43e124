//! Simulated key-value store of the platform.

use std::collections::BTreeMap;

use lagoonyard::{
    core::store::{Call, Expect, Reply, Value},
    prelude::*,
};

/// Failure mode of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    /// Connections are refused.
    Refuse,
    /// Calls are accepted but neither executed nor answered.
    Hang,
    /// Calls are executed but their answers are lost.
    LoseAnswers,
}

/// Values by key, each with the lease that it is bound to.
type Keys = BTreeMap<Box<str>, (Value, Option<i64>)>;

/// Keys, leases and the store revision.
#[derive(Debug, Default)]
pub struct Store {
    pub mode: Mode,
    pub revision: u64,
    pub calls: u64,
    pub writes: u64,
    /// Extra delay before a call is executed.
    pub slow: Duration,
    keys: Keys,
    leases: BTreeMap<i64, (Time, Duration)>,
    last_lease: i64,
    saved: Option<Keys>,
}

impl Store {
    /// Executes a call. A watch gets the key's current state.
    pub fn execute(&mut self, now: Time, call: &Call) -> Reply {
        self.calls += 1;
        self.expire(now);
        match call {
            Call::Get { key } => Reply::Value(self.get(key)),
            Call::Swap { key, expect, value, lease } => {
                self.writes += 1;
                let found = self.get(key);
                let holds = match (expect, &found) {
                    (Expect::Absent, None) => true,
                    (Expect::Revision(revision), Some(value)) => value.mod_revision == *revision,
                    _ => false,
                };
                if !holds {
                    return Reply::Conflict(found);
                }
                if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                    return Reply::LeaseGone;
                }
                self.revision += 1;
                let created = found.map_or(self.revision, |value| value.create_revision);
                let stored = Value {
                    bytes: value.clone(),
                    mod_revision: self.revision,
                    create_revision: created,
                };
                self.keys.insert(key.clone(), (stored, *lease));
                Reply::Swapped { revision: self.revision }
            }
            Call::Delete { key } => {
                self.writes += 1;
                if self.keys.remove(key).is_some() {
                    self.revision += 1;
                }
                Reply::Deleted
            }
            Call::Grant { ttl } => {
                self.writes += 1;
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + *ttl, *ttl));
                Reply::Lease { id: self.last_lease, ttl: *ttl }
            }
            Call::KeepAlive { lease } => match self.leases.get_mut(lease) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    Reply::Lease { id: *lease, ttl: *ttl }
                }
                None => Reply::LeaseGone,
            },
            Call::Watch { key, after, .. } => match self.get(key) {
                Some(value) if value.mod_revision > *after => Reply::Value(Some(value)),
                _ => Reply::NoChange,
            },
        }
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|(value, _)| value.clone())
    }

    /// Saves the current contents for `rewind`.
    pub fn save(&mut self) {
        self.saved = Some(self.keys.clone());
    }

    /// Restores the saved contents under a new store revision.
    pub fn rewind(&mut self) {
        if let Some(saved) = self.saved.clone() {
            self.keys = saved;
            self.revision += 1;
        }
    }

    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        let before = self.keys.len();
        self.keys.retain(|_, (_, lease)| lease.is_none_or(|id| leases.contains_key(&id)));
        if self.keys.len() < before {
            self.revision += 1;
        }
    }
}
