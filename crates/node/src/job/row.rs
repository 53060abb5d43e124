//! Persisted results: rows in chunks. A chunk is written once and never changes.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Result of an item. Its position is final once it is persisted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub item: ItemId,
    /// `false` if the item failed or expired.
    pub done: bool,
    pub text: Box<str>,
    /// Versions that generated an event of the text.
    pub versions: Vec<Version>,
    pub score: Option<Box<str>>,
}

/// Rows that are written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of items of the job.
    pub total: usize,
    /// Position of the first row.
    pub first: u64,
    pub rows: Vec<Row>,
    /// Workspace of the job, so that reading results needs no read of its head. Leaders of earlier builds write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
}

impl Chunk {
    /// Position after the last row.
    pub fn end(&self) -> u64 {
        self.first.saturating_add(self.rows.len() as u64)
    }
}
