//! Demand of the models of a service for engines: the work in their recent steps.

use std::collections::BTreeMap;

use crate::{job::Claim, prelude::*, weights::Demand};

/// Weight of the last step in a model's moving average.
const STEP_WEIGHT: f64 = 0.3;
/// Factor on the work of a step for each rank of lower priority.
const PRIORITY_FACTOR: f64 = 0.8;

/// Moving averages of the events per step, by model.
#[derive(Clone, Debug, Default)]
pub struct Averages {
    by_model: BTreeMap<ModelId, Average>,
}

#[derive(Clone, Copy, Debug)]
struct Average {
    events: f64,
    /// Finished texts of the trainer show it.
    is_measured: bool,
}

impl Averages {
    /// Adds a step, whose work counts less for each rank of lower priority. The first step whose work is measured replaces
    /// what hints alone claimed.
    pub fn record(&mut self, model: &ModelId, priority: u32, claim: Claim) {
        let rank = i32::try_from(priority).unwrap_or(i32::MAX);
        let events = claim.events * PRIORITY_FACTOR.powi(rank);
        let first = Average { events, is_measured: claim.is_measured };
        let average = self.by_model.entry(model.clone()).or_insert(first);
        if claim.is_measured && !average.is_measured {
            *average = first;
        }
        average.events += (events - average.events) * STEP_WEIGHT;
    }

    /// Present averages.
    pub fn demand(&self) -> Demand {
        self.by_model.iter().map(|(model, average)| (model.clone(), average.events)).collect()
    }
}
