//! Why a target is not chosen.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Why a target is not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Exclusion {
    Draining,
    /// The request was there before.
    Tried,
    /// It refused a request for lack of capacity; chosen only if all others are avoided too.
    RefusedLately {
        left_ms: u64,
    },
    /// A connection to it failed; chosen only if all others are avoided too.
    FailedLately {
        left_ms: u64,
    },
    /// A request in doubt has it to itself; chosen only if all others are avoided too.
    Reserved,
    /// The limit that it names is reached.
    Limited {
        left_ms: u64,
    },
    /// The quota of the limit that the engine names is used up.
    QuotaUsed,
    /// A version of the model is being loaded.
    Loading,
    /// Runs failed there lately.
    BackingOff,
    /// A run shows whether it works again; no other one starts until then.
    Probed,
    /// All slots are taken.
    Full,
    /// It does not have the model.
    NoModel,
    /// Its version of the model is too old.
    Outdated {
        version: Version,
        min: Version,
    },
    /// The last run of the item did not succeed there.
    Avoided,
    /// Its software differs from that which began the text.
    OtherSoftware,
    /// No run has shown lately that it works, which the item needs.
    Unproven,
    /// It runs other items, and the item needs it to itself.
    NotIdle,
    /// It is fast, and kept for longer items.
    SparedFast,
    /// It is slow.
    Slow,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Draining => f.write_str("draining"),
            Self::Tried => f.write_str("tried before"),
            Self::RefusedLately { left_ms } => write!(f, "refused lately, {left_ms} ms left"),
            Self::FailedLately { left_ms } => write!(f, "failed lately, {left_ms} ms left"),
            Self::Reserved => f.write_str("reserved for a request in doubt"),
            Self::Limited { left_ms } => write!(f, "limit reached, {left_ms} ms left"),
            Self::QuotaUsed => f.write_str("limit reached"),
            Self::Loading => f.write_str("loading a version"),
            Self::BackingOff => f.write_str("failed lately"),
            Self::Probed => f.write_str("probed after a failure"),
            Self::Full => f.write_str("no free slot"),
            Self::NoModel => f.write_str("lacks the model"),
            Self::Outdated { version, min } => write!(f, "version {version} is below {min}"),
            Self::Avoided => f.write_str("the last run of the item did not succeed there"),
            Self::OtherSoftware => f.write_str("other software than that of the text"),
            Self::Unproven => f.write_str("no run has succeeded there lately"),
            Self::NotIdle => f.write_str("runs other items"),
            Self::SparedFast => f.write_str("fast, kept for longer items"),
            Self::Slow => f.write_str("slow"),
        }
    }
}
