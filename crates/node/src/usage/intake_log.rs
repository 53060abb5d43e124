//! Log lines and metrics of the counts that the holder has not taken. Each message of a host could cause a line, so lines of
//! each kind are limited.

use log::warn;

use crate::{log_limit::LogLimit, metrics::METERS, prelude::*, usage::Intake};

/// Limits on the lines of each kind.
#[derive(Debug, Default)]
pub struct IntakeLog {
    late: LogLimit,
    refused: LogLimit,
    removed: LogLimit,
    hosts: LogLimit,
}

impl IntakeLog {
    /// Writes and counts what became of the counts of a host.
    pub fn write(&self, host: &str, intake: &Intake, current: u64, now: Time) {
        let (late, removed) = (intake.late, intake.removed);
        if late > 0 {
            METERS.usage("late", late);
            if let Some(messages) = self.late.count(now) {
                warn!(host, late, current, messages; "usage came after its window was settled; it is not reported");
            }
        }
        if let Some((window, _)) = intake.refused.last_key_value() {
            let refused = intake.refused.values().fold(0, |sum: u64, it| sum.saturating_add(*it));
            METERS.usage("refused", refused);
            if let Some(messages) = self.refused.count(now) {
                warn!(host, refused, window, current, messages; "usage not taken: its window is too far ahead or has counts of too many processes; the host sends it again");
            }
        }
        if removed > 0 {
            METERS.usage("unsent", removed);
            if let Some(messages) = self.removed.count(now) {
                warn!(removed, current, messages; "usage of the oldest window dropped: too many windows are not settled");
            }
        }
        if intake.is_host_refused
            && let Some(messages) = self.hosts.count(now)
        {
            warn!(host, messages; "windows are settled without this host: too many hosts send usage");
        }
    }
}
