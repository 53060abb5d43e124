//! Engines of a model, counted by what keeps items from them.

use std::fmt;

use crate::{job::Engines, prelude::*};

/// What keeps items of a model from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    Loading,
    Draining,
    BackingOff,
    Full,
    /// The quota of the limit that it names is used up.
    Limited,
}

/// Numbers of engines that have a model. One that more than one obstacle applies to counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    pub registered: usize,
    /// Engines whose version is too old.
    pub outdated: usize,
    pub draining: usize,
    pub loading: usize,
    pub backing_off: usize,
    pub full: usize,
    pub limited: usize,
    pub open: usize,
    /// Newest version on any of them.
    pub newest: Option<Version>,
}

impl Supply {
    pub fn new(engines: &Engines, model: &str, min_version: Version, now: Time) -> Self {
        let mut supply = Self::default();
        for engine in engines.iter() {
            let Some(version) = engine.version(model) else {
                continue;
            };
            supply.registered += 1;
            supply.newest = supply.newest.max(Some(version));
            if version < min_version {
                supply.outdated += 1;
                continue;
            }
            *match engine.obstacle(model, now) {
                Some(Obstacle::Loading) => &mut supply.loading,
                Some(Obstacle::Draining) => &mut supply.draining,
                Some(Obstacle::BackingOff) => &mut supply.backing_off,
                Some(Obstacle::Full) => &mut supply.full,
                Some(Obstacle::Limited) => &mut supply.limited,
                None => &mut supply.open,
            } += 1;
        }
        supply
    }

    /// Whether engines have the model, all of them in too old a version.
    pub fn is_outdated(&self) -> bool {
        self.registered > 0 && self.registered == self.outdated
    }
}

impl fmt::Display for Supply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            registered, outdated, draining, loading, backing_off, full, limited, open, ..
        } = self;
        write!(
            f,
            "registered={registered} outdated={outdated} draining={draining} loading={loading} backing_off={backing_off} full={full} limited={limited} open={open}"
        )
    }
}
