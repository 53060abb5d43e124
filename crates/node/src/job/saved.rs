//! Unfinished texts that a leader saves now and then, so that the next one need not generate them again.

use serde::{Deserialize, Serialize};

use crate::{events::Progress, prelude::*};

/// Text of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    pub item: ItemId,
    pub progress: Progress,
    /// The text is whole; only its score is missing.
    pub whole: bool,
}
