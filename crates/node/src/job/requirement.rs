//! Requirement of an item on its engine.

use crate::{job::engine::Engine, prefix, prelude::*};

/// What is known of an engine on which an item may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    Any,
    /// No run has failed there since the last one that made events.
    NoFailure,
    /// The same, and a run made an event at this time or later.
    HeardSince(Time),
}

impl Evidence {
    pub(super) fn holds_for(self, engine: &Engine) -> bool {
        match self {
            Self::Any => true,
            Self::NoFailure => engine.has_no_failure(),
            Self::HeardSince(time) => engine.is_heard_since(time),
        }
    }
}

/// Requirement of an item on its engine.
#[derive(Clone, Copy, Debug)]
pub struct Requirement<'a> {
    pub model: &'a str,
    /// Oldest version that may generate the item's tokens.
    pub min_version: Version,
    /// Engine that must not run the item: the one of its last run, if that did not succeed, or the one that it is to
    /// leave for a faster one.
    pub avoid: Option<&'a TargetId>,
    /// Software version that has to continue the item's text.
    pub software: Option<&'a str>,
    /// The item has waited long enough to run on a slow engine.
    pub allow_slow: bool,
    /// The item is done soon enough on any engine, so it leaves the fast ones to longer items.
    pub spares_fast: bool,
    pub evidence: Evidence,
    /// The engine must run nothing else.
    pub idle: bool,
    /// What the item needs of the engine, if it is placed by the prompts that engines hold.
    pub work: Option<prefix::Work<'a>>,
}

impl<'a> Requirement<'a> {
    /// Requirement that any open engine with a version of a model meets, unless it is slow.
    pub fn new(model: &'a str, min_version: Version) -> Self {
        Self {
            model,
            min_version,
            avoid: None,
            software: None,
            allow_slow: false,
            spares_fast: false,
            evidence: Evidence::Any,
            idle: false,
            work: None,
        }
    }

    /// The same on an engine that runs nothing else.
    pub(super) fn on_idle(self) -> Self {
        Self { idle: true, ..self }
    }
}
