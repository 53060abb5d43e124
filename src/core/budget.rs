//! Retry budget, which keeps retries from multiplying the load during an outage.

/// Most retries saved up by a lane per percent of its budget. At the default of 10% these are 100 retries, about as
/// many as requests in flight on one engine, so that a single crash does not exhaust the budget.
const RETRIES_PER_PERCENT: u64 = 10;

/// Units of one retry. Each success earns as many units as the budget has percent.
const UNITS_PER_RETRY: u64 = 100;

/// Token bucket that is refilled by successes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// `None` until first use, which starts with a full budget.
    units: Option<u64>,
}

impl Budget {
    /// Adds the units of one success.
    pub fn earn(&mut self, percent: u32) {
        let units = self.units(percent) + u64::from(percent);
        self.units = Some(units.min(Self::max_units(percent)));
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn spend(&mut self, percent: u32) -> bool {
        let units = self.units(percent);
        self.units =
            Some(units.saturating_sub(if units >= UNITS_PER_RETRY { UNITS_PER_RETRY } else { 0 }));
        units >= UNITS_PER_RETRY
    }

    fn units(self, percent: u32) -> u64 {
        self.units.unwrap_or(Self::max_units(percent))
    }

    fn max_units(percent: u32) -> u64 {
        u64::from(percent) * RETRIES_PER_PERCENT * UNITS_PER_RETRY
    }
}
