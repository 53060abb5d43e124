//! A job as a leader gets it from the store.

use std::sync::Arc;

use crate::{
    config::Config,
    dialect,
    job::{Checkpoint, Chunk, Record, Spec},
};

/// A job as read from the store.
#[derive(Debug)]
pub struct StoredJob {
    pub spec: Arc<Spec>,
    pub record: Record,
    pub chunks: Vec<Chunk>,
    pub checkpoints: Vec<Checkpoint>,
}

impl StoredJob {
    /// The same job, whose items carry the name of its workspace instead of what the trainer has sent in the headers about
    /// workspaces. Runners of earlier builds forward the headers of items as they get them.
    pub fn with_workspace(mut self, config: Option<&Config>, dialect: &dialect::Handle) -> Self {
        let has_workspaces = config.is_some_and(Config::has_workspaces);
        let workspace = self.record.workspace.as_deref();
        if workspace.is_some() || has_workspaces {
            for item in &mut Arc::make_mut(&mut self.spec).items {
                dialect.set_item_workspace(&mut Arc::make_mut(item).headers, workspace);
            }
        }
        self
    }
}
