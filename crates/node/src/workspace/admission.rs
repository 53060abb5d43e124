//! Decides by its key whether a call is served.

use std::sync::Arc;

use crate::workspace::{Credential, Directory, Workspace};

/// Who makes a call that is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no workspaces, so callers bring no keys and headers pass.
    Any,
    /// A caller of a public route, which needs no key.
    Public,
    Member(Arc<Workspace>),
}

impl Caller {
    /// Workspace to which the caller belongs.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Member(workspace) => Some(workspace),
            Self::Any | Self::Public => None,
        }
    }

    /// Whether a job exists for the caller. One that names no workspace was accepted by an earlier build, or before there were
    /// workspaces, so any of them may be its own.
    pub fn sees(&self, job: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Public => false,
            Self::Member(workspace) => job.is_none_or(|name| name == &*workspace.name),
        }
    }
}

/// Why a call is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call brings no key, several or none that can be read.
    NoKey,
    UnknownKey,
}

impl Refusal {
    /// Value of the outcome label in metrics, and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
        }
    }
}

/// Decides about a call that needs a key if the configuration has workspaces.
pub fn admit(directory: Option<&Directory>, credential: Credential) -> Result<Caller, Refusal> {
    let Some(directory) = directory else {
        return Ok(Caller::Any);
    };
    let Credential::Key(key) = credential else {
        return Err(Refusal::NoKey);
    };
    directory.find(&key).cloned().map(Caller::Member).ok_or(Refusal::UnknownKey)
}
