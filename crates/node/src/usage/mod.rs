//! Usage of workspaces: how many requests of each workspace targets began to run, by window of true time.
//!
//! Load pattern: every request of a route with workspaces on every host, and one report a window for all hosts together.
//! Each host counts in memory ([`Counters`], shared by its threads as [`Meter`]) and sends cumulative counts to the holder
//! of the duty. The holder adds up the counts of all hosts ([`Collector`]) and decides what is settled in the store
//! ([`Ledger`]) and what is then sent to the platform ([`Reporter`]). [`Offsets`] corrects the clocks of the hosts.
//! Nothing here does input or output; `control::usage` executes the decisions.

mod action;
mod collector;
mod counters;
mod intake;
mod intake_log;
mod ledger;
mod meter;
mod offsets;
mod receipt;
mod reporter;
mod rules;
mod windows;

pub use action::Action;
pub use collector::{Collector, Host};
pub use counters::{Counters, Ran};
pub use intake::Intake;
use intake_log::IntakeLog;
pub use ledger::{Ledger, Settled};
pub use meter::{Attempt, Meter};
pub use offsets::{Moment, Offsets, Reading};
pub use receipt::Receipt;
pub use reporter::Reporter;
pub use rules::Rules;
pub use windows::Windows;

use std::collections::BTreeMap;

use crate::prelude::*;

/// Requests by workspace.
pub type Counts = BTreeMap<WorkspaceId, u64>;

/// Requests of all workspaces; counts of other hosts may be out of any range that makes sense.
fn sum(counts: &Counts) -> u64 {
    counts.values().fold(0, |sum, count| sum.saturating_add(*count))
}

/// Name under which hosts compete for the duty.
pub const DUTY: &str = "duty/usage-report";
/// Key of the settled windows.
pub const LEDGER: &str = "usage/settled";
