//! Targets that have named the time at which they end.
//!
//! Load pattern: the platform reclaims the spot targets of a zone, all at once and some seconds ahead, while they run items.
//! An item that would not be done by then goes on elsewhere in time; any other stays, as each move costs the reading of
//! its prompt.

use std::{collections::BTreeMap, sync::Arc};

use crate::{fleet::Target, prelude::*};

/// Time before the end of a target by which an item has to be done: the registration may have been known late, and the item
/// has to be stopped and started.
const MARGIN: Duration = Duration::from_millis(600);

/// Ends of targets.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// Start time of the instance, and its end.
    ends: BTreeMap<TargetId, (u64, Time)>,
}

impl Leaving {
    /// Updates the ends. Each registration counts from when it was first seen, so that reading it again postpones nothing.
    pub fn sync(&mut self, targets: &BTreeMap<TargetId, Arc<Target>>, now: Time) {
        self.ends.retain(|id, (started_ms, _)| {
            targets.get(id).is_some_and(|it| it.draining && it.started_ms == *started_ms)
        });
        for target in targets.values().filter(|target| target.draining) {
            let Some(left) = target.leaves_in else {
                continue;
            };
            let end = now + left;
            let known = self.ends.entry(target.id.clone()).or_insert((target.started_ms, end));
            known.1 = known.1.min(end);
        }
    }

    /// Whether no target has named its end.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether a run that needs `rest` more, if that is known, is cut by the end of its target.
    pub fn cuts(&self, target: &str, now: Time, rest: Option<Duration>) -> bool {
        self.ends.get(target).is_some_and(|(_, end)| {
            rest.is_none_or(|rest| now.saturating_add(rest).saturating_add(MARGIN) > *end)
        })
    }
}
