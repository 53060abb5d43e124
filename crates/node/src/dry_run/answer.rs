//! Answer of a host.

use serde::{Deserialize, Serialize};

use crate::dry_run::{Plan, Refusal};

/// Answer of a host to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    Plan(Box<Plan>),
    Refused(Refusal),
}

impl From<Result<Plan, Refusal>> for Answer {
    fn from(result: Result<Plan, Refusal>) -> Self {
        result.map_or_else(Self::Refused, |plan| Self::Plan(Box::new(plan)))
    }
}
