//! Paces of the measured engines, kept in order for their median.

use crate::prelude::*;

/// Ordered paces.
#[derive(Debug, Default)]
pub(super) struct Paces {
    ascending: Vec<Duration>,
}

impl Paces {
    pub(super) fn median(&self) -> Option<Duration> {
        self.ascending.get(self.ascending.len() / 2).copied()
    }

    pub(super) fn least(&self) -> Option<Duration> {
        self.ascending.first().copied()
    }

    /// Replaces the pace of an engine.
    pub(super) fn replace(&mut self, before: Option<Duration>, after: Option<Duration>) {
        if let Some(Ok(at)) = before.map(|pace| self.ascending.binary_search(&pace)) {
            self.ascending.remove(at);
        }
        if let Some(pace) = after {
            let at = self.ascending.partition_point(|other| *other < pace);
            self.ascending.insert(at, pace);
        }
    }
}
