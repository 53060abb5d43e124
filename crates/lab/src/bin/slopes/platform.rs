//! Key-value store without faults, and the configuration file that is applied.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use lagoonyard::{
    core::store::{Call, Expect, Failure, Reply, Value},
    ids::CallId,
};
use serde_json::{Value as Json, json};

/// Open watch on a key.
pub struct Watch {
    pub host: usize,
    pub id: CallId,
    pub key: Box<str>,
    pub after: u64,
    pub until: Duration,
}

/// Key-value store that counts its calls.
#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<Box<str>, Value>,
    pub watches: Vec<Watch>,
    /// Calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
    revision: u64,
}

impl Store {
    pub fn count(&mut self, call: &Call) {
        let kind = match call {
            Call::Get { .. } => "get",
            Call::Swap { .. } => "swap",
            Call::Delete { .. } => "delete",
            Call::Grant { .. } => "grant",
            Call::KeepAlive { .. } => "keep alive",
            Call::Watch { .. } => "watch",
        };
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Executes a call other than a watch.
    pub fn apply(&mut self, call: Call) -> Result<Reply, Failure> {
        Ok(match call {
            Call::Get { key } => Reply::Value(self.values.get(&key).cloned()),
            Call::Swap { key, expect, value, .. } => {
                let found = self.values.get(&key);
                if expect
                    != found.map_or(Expect::Absent, |found| Expect::Revision(found.mod_revision))
                {
                    return Ok(Reply::Conflict(found.cloned()));
                }
                self.revision += 1;
                let (bytes, changed) = (value, self.revision);
                let created = found.map_or(changed, |found| found.create_revision);
                let value = Value { bytes, mod_revision: changed, create_revision: created };
                self.values.insert(key, value);
                Reply::Swapped { revision: changed }
            }
            Call::Delete { key } => {
                self.values.remove(&key);
                Reply::Deleted
            }
            Call::Grant { ttl } => Reply::Lease { id: 1, ttl },
            Call::KeepAlive { lease: id } => {
                let ttl = Duration::from_secs(10);
                Reply::Lease { id, ttl }
            }
            Call::Watch { .. } => return Err(Failure::Unsent),
        })
    }
}

/// Configuration file with one model in all zones and the given trainers; `slots` makes two files differ.
pub fn file(zones: usize, trainers: usize, slots: u64) -> Bytes {
    let names: Vec<String> = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    let trainer = |index: usize| {
        let source = json!({"service": "desk", "prefix": "/blurbs"});
        let row = json!({
            "model": "writer", "zone": names[index % zones], "group_size": 8, "groups_per_step": 256,
            "staleness_versions": 2, "weight": 1, "prompts": source, "judge": source, "max_tokens": 293
        });
        (format!("trainer-{index}"), row)
    };
    let trainers: serde_json::Map<String, Json> = (0..trainers).map(trainer).collect();
    let route = |method: &str, prefix: &str| json!({"method": method, "prefix": prefix, "idempotent": true, "timeout_ms": 10_000});
    let yard = json!({
        "zones": names, "objective": "idle",
        "models": {"writer": {"parallel_loads": 2, "max_unavailable_percent": 25, "load_timeout_ms": 60_000}},
        "pools": {
            "engines": {"kind": "engine", "model": "writer", "slots": slots, "checks_fence": true},
            "desks": {"kind": "service", "service": "desk", "slots": 64}
        },
        "services": {"desk": {"routes": [route("GET", "/blurbs"), route("POST", "/blurbs/judge")]}},
        "trainers": trainers,
        "limits": {
            "queue_requests": 4096, "deadline_ms": 30_000, "attempts": 3, "retry_budget_percent": 10,
            "crash_limit": 3, "bulk_share_percent": 40, "duplicate_percent": 5
        }
    });
    json!({"yards": {"bench": yard}}).to_string().into()
}
