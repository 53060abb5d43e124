//! Record of a held content as stored, for hosts that are all started anew.

use serde::{Deserialize, Serialize};

use crate::{
    clock,
    crash::{Record, Strike},
    prelude::*,
};

/// A record as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    clears: u64,
    furthest: u64,
    #[serde(default)]
    passes: u32,
    strikes: Vec<StoredStrike>,
    /// Ends that gave no strike.
    #[serde(default)]
    passed: Vec<StoredStrike>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredStrike {
    target: TargetId,
    started_ms: u64,
    /// Time of day in Unix milliseconds.
    at_ms: u64,
}

impl From<&Record> for Stored {
    fn from(record: &Record) -> Self {
        let (now, now_ms) = (clock::now(), clock::unix_ms());
        let strike = |strike: &Strike| StoredStrike {
            target: strike.target.clone(),
            started_ms: strike.started_ms,
            at_ms: now_ms.saturating_sub(crate::peer::millis(now.saturating_sub(strike.at))),
        };
        Self {
            clears: record.clears,
            furthest: record.furthest,
            passes: record.passes,
            strikes: record.strikes.iter().map(strike).collect(),
            passed: record.passed.iter().map(strike).collect(),
        }
    }
}

impl From<Stored> for Record {
    fn from(stored: Stored) -> Self {
        let (now, now_ms) = (clock::now(), clock::unix_ms());
        let strike = |strike: StoredStrike| Strike {
            at: now.saturating_sub(Duration::from_millis(now_ms.saturating_sub(strike.at_ms))),
            target: strike.target,
            started_ms: strike.started_ms,
        };
        let strikes = stored.strikes.into_iter().map(strike).collect();
        let passed = stored.passed.into_iter().map(strike).collect();
        Self::new(strikes, stored.clears, stored.furthest, stored.passes).with_passed(passed)
    }
}
