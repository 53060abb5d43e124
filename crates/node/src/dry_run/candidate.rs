//! A target as it counts for a placement.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    dry_run::{Exclusion, millis},
    prelude::*,
};

/// A registered target of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    pub id: TargetId,
    pub zone: ZoneId,
    /// Why it is not chosen now.
    pub exclusion: Option<Exclusion>,
    pub inputs: Inputs,
}

/// What the decision knows of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Inputs {
    Target(TargetInputs),
    Engine(EngineInputs),
}

/// Inputs for a target of a plain service, as this host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetInputs {
    /// Sum by which targets are compared.
    #[serde(rename = "expected_ms", with = "millis")]
    pub expected: Duration,
    /// Average response time.
    #[serde(rename = "average_ms", with = "millis")]
    pub average: Duration,
    pub in_flight: u32,
    pub slots: u32,
    #[serde(rename = "zone_penalty_ms", with = "millis")]
    pub zone_penalty: Duration,
    /// Set-up of a connection; zero if the host has an idle one.
    #[serde(rename = "setup_ms", with = "millis")]
    pub setup: Duration,
}

/// Inputs for an engine, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineInputs {
    pub versions: BTreeMap<ModelId, Version>,
    pub software: Software,
    pub in_flight: u32,
    pub slots: u32,
    pub free_slots: u32,
    /// Time per event.
    #[serde(rename = "pace_ms", with = "millis")]
    pub pace: Duration,
    /// The same, raised by the slots taken.
    #[serde(rename = "cost_ms", with = "millis")]
    pub cost: Duration,
    /// Time until the text of the next item would be complete.
    #[serde(rename = "expected_ms", with = "millis::option")]
    pub expected: Option<Duration>,
    /// It is chosen after the others, as a run failed there lately or an item in doubt has it to itself.
    pub comes_last: bool,
}
