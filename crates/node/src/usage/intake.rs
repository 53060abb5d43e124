//! Counts of a message that the collector has not taken.

use std::collections::BTreeMap;

/// What became of the counts in a message, apart from those that were taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Intake {
    /// Requests that came after their window was settled here.
    pub late: u64,
    /// Requests of windows that were removed, as there are too many. While no window is known to be settled they may be settled.
    pub removed: u64,
    /// Requests by window that are not taken now, but may be later.
    pub refused: BTreeMap<u64, u64>,
    /// The host is not waited for, as there are too many.
    pub is_host_refused: bool,
}
