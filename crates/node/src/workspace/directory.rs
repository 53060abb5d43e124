//! Workspaces of a configuration, by API key.

use std::{collections::HashMap, fmt, sync::Arc};

use crate::{prelude::*, workspace::ApiKey};

/// A workspace as configured.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: WorkspaceId,
    pub keys: Vec<ApiKey>,
    /// Takes precedence over the priority of a route; 0 is the most urgent.
    pub priority: Option<u32>,
}

/// A workspace in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    pub name: WorkspaceId,
    pub priority: Option<u32>,
}

/// A key that two workspaces list. The first one keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ambiguity {
    pub kept_by: WorkspaceId,
    pub lost_by: WorkspaceId,
}

/// Workspaces by API key and by name.
#[derive(Clone, Default)]
pub struct Directory {
    by_key: HashMap<ApiKey, Arc<Workspace>>,
    by_name: HashMap<WorkspaceId, Arc<Workspace>>,
}

impl Directory {
    /// Builds the directory of a list of workspaces. Of two entries with one name, the first gives the priority and both give
    /// their keys. Returns also which workspaces list keys of others, once for each pair.
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> (Self, Vec<Ambiguity>) {
        let (mut directory, mut ambiguities) = (Self::default(), Vec::new());
        for Entry { name, keys, priority } in entries {
            let workspace = directory.by_name.entry(name.clone());
            let workspace = workspace.or_insert_with(|| Workspace { name, priority }.into());
            for key in keys {
                let holder = directory.by_key.entry(key).or_insert_with(|| Arc::clone(workspace));
                if holder.name != workspace.name {
                    let (kept_by, lost_by) = (holder.name.clone(), workspace.name.clone());
                    let ambiguity = Ambiguity { kept_by, lost_by };
                    if !ambiguities.contains(&ambiguity) {
                        ambiguities.push(ambiguity);
                    }
                }
            }
        }
        (directory, ambiguities)
    }

    /// Workspace of a key. The time does not depend on the number of keys, nor on how much of a key is right.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Workspace with a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = f.debug_struct("Directory");
        output.field("workspaces", &self.by_name.len()).field("keys", &self.by_key.len()).finish()
    }
}
