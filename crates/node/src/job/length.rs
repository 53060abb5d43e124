//! Estimate of text lengths: how many events an engine generates for each unit of a trainer's length hints.

/// Weight of the present ratio, in hints, against which each finished text counts.
const HISTORY_HINTS: f64 = 20_000.0;

/// Running ratio of events to hints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    events: f64,
    hints: f64,
}

impl Estimate {
    /// Records the length of a finished text.
    pub fn record(&mut self, hint: Option<u64>, events: u64) {
        let Some(hint) = hint.filter(|hint| *hint > 0) else {
            return;
        };
        if self.hints > HISTORY_HINTS {
            self.events /= 2.0;
            self.hints /= 2.0;
        }
        self.events += events as f64;
        self.hints += hint as f64;
    }

    /// Events for each unit of a hint; `None` before any text with a hint was finished.
    pub fn events_per_hint(&self) -> Option<f64> {
        (self.hints > 0.0).then(|| self.events / self.hints)
    }
}
