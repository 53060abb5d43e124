//! Partial texts that a leader persists at intervals, so that the next leader resumes items instead of generating them
//! anew.

use serde::{Deserialize, Serialize};

use crate::{events::Progress, prelude::*};

/// Text of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    pub item: ItemId,
    pub progress: Progress,
    /// The text is complete; only its score is missing.
    #[serde(rename = "whole")]
    pub text_complete: bool,
}
