use std::collections::BTreeMap;

use crate::{
    length::{Estimate, Hint, History},
    prelude::*,
};

/// Trainers whose texts are remembered.
const TRAINERS_MAX: usize = 256;

/// A trainer, as far as it can be told from others: by its workspace and the model that it trains.
pub type Trainer = (Option<WorkspaceId>, ModelId);

/// Lengths of the recent texts of all trainers.
#[derive(Clone, Debug, Default)]
pub struct Table {
    histories: BTreeMap<Trainer, Entry>,
    /// Texts recorded so far.
    records: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    history: History,
    /// Number of the last text.
    last_record: u64,
}

impl Table {
    /// Records a finished text.
    pub fn record(&mut self, trainer: &Trainer, hint: Option<Hint>, events: u64) {
        self.records += 1;
        if !self.histories.contains_key(trainer) && self.histories.len() >= TRAINERS_MAX {
            self.forget_oldest();
        }
        let entry = self.histories.entry(trainer.clone()).or_default();
        entry.history.record(hint, events);
        entry.last_record = self.records;
    }

    /// Estimate for a trainer: its own, and before any of its texts was finished that of the others in between. `None` before
    /// any text was finished.
    pub fn estimate(&self, trainer: &Trainer) -> Option<Estimate> {
        let own = self.histories.get(trainer).and_then(|entry| entry.history.estimate());
        own.or_else(|| self.typical())
    }

    /// Median ratio and mean of all trainers, and the longest text of any.
    fn typical(&self) -> Option<Estimate> {
        let all = self.histories.values().filter_map(|entry| entry.history.estimate());
        Some(Estimate {
            events_per_token: median(all.clone().map(|it| it.events_per_token))?,
            mean: median(all.clone().map(|it| it.mean))?,
            longest: all.map(|it| it.longest).fold(0.0, f64::max),
            is_own: false,
        })
    }

    fn forget_oldest(&mut self) {
        let oldest = self.histories.iter().min_by_key(|(_, entry)| entry.last_record);
        if let Some(trainer) = oldest.map(|(trainer, _)| trainer.clone()) {
            self.histories.remove(&trainer);
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
