use std::collections::VecDeque;

use crate::length::{Estimate, Hint};

/// Finished texts that are remembered.
const TEXTS_MAX: usize = 256;
/// A hint that is further off than by this factor, compared with the median of the others, counts as off by it.
const OFF_FACTOR_MAX: f64 = 4.0;

/// A finished text.
#[derive(Clone, Copy, Debug)]
struct Text {
    tokens: Option<f64>,
    events: f64,
}

/// Lengths of a trainer's recent texts, with their hints.
#[derive(Clone, Debug, Default)]
pub struct History {
    texts: VecDeque<Text>,
    estimate: Option<Estimate>,
}

impl History {
    /// Records a finished text.
    pub fn record(&mut self, hint: Option<Hint>, events: u64) {
        if self.texts.len() == TEXTS_MAX {
            self.texts.pop_front();
        }
        let tokens = hint.map(|hint| f64::from(hint.tokens()));
        self.texts.push_back(Text { tokens, events: events.max(1) as f64 });
        self.estimate = Some(self.measure());
    }

    /// `None` before any text was finished.
    pub fn estimate(&self) -> Option<Estimate> {
        self.estimate
    }

    fn measure(&self) -> Estimate {
        let events = self.texts.iter().map(|text| text.events);
        Estimate {
            events_per_token: self.events_per_token().unwrap_or(1.0),
            mean: events.clone().sum::<f64>() / self.texts.len() as f64,
            longest: events.fold(0.0, f64::max),
            is_own: true,
        }
    }

    /// Ratio of the events of all texts to their hints. The ratio of sums is right for the sum of many texts even if hints
    /// scatter unevenly, but a few hints that are far off would outweigh all others, so each is limited by the median.
    fn events_per_token(&self) -> Option<f64> {
        let hinted = self.texts.iter().filter_map(|text| Some((text.tokens?, text.events)));
        let mut ratios: Vec<f64> = hinted.clone().map(|(tokens, events)| events / tokens).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let median = *ratios.get(ratios.len() / 2)?;
        let limited = |(tokens, events): (f64, f64)| {
            let typical = events / median;
            tokens.clamp(typical / OFF_FACTOR_MAX, typical * OFF_FACTOR_MAX)
        };
        let events: f64 = hinted.clone().map(|(_, events)| events).sum();
        Some(events / hinted.map(limited).sum::<f64>())
    }
}
