//! Budget that keeps retries from multiplying the load of an outage.

/// Retries that a lane may hold in reserve, for each percent of its budget. At the usual 10% this is 100 retries, about
/// the requests in flight on one engine, so that a single crash does not exhaust the budget.
const RESERVE_PER_PERCENT: u64 = 10;

/// Price of one retry in units; a success earns as many units as the budget has percent.
const PRICE: u64 = 100;

/// Token bucket that successes fill.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Absent until first use, which starts with a full reserve.
    units: Option<u64>,
}

impl Budget {
    /// Earns a share of a retry.
    pub fn earn(&mut self, percent: u32) {
        let units = self.units(percent) + u64::from(percent);
        self.units = Some(units.min(Self::reserve(percent)));
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self, percent: u32) -> bool {
        let units = self.units(percent);
        self.units = Some(units.saturating_sub(if units >= PRICE { PRICE } else { 0 }));
        units >= PRICE
    }

    fn units(self, percent: u32) -> u64 {
        self.units.unwrap_or(Self::reserve(percent))
    }

    fn reserve(percent: u32) -> u64 {
        u64::from(percent) * RESERVE_PER_PERCENT * PRICE
    }
}
