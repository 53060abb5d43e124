//! Decides by its key, and by the age of the configuration, whether a call is served.

use std::sync::Arc;

use crate::{
    config::Route,
    prelude::*,
    workspace::{Bounds, Credential, Directory, Workspace},
};

/// Who makes a call that is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no workspaces, so callers bring no keys and headers pass.
    Any,
    /// A caller of a public route, which needs no key.
    Public,
    /// A caller with a key of a workspace.
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

    /// Priority of the caller's requests on a route: that of its workspace goes before that of the route.
    pub fn priority(&self, route: &Route) -> u32 {
        let own = self.workspace().and_then(|workspace| workspace.priority);
        own.unwrap_or(route.priority)
    }

    /// Whether a job exists for the caller, by the job's workspace.
    pub fn sees(&self, owner: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Public => false,
            Self::Member(workspace) => is_visible(owner, &workspace.name),
        }
    }
}

/// Whether a job exists for the callers of a workspace, by the job's own one. A job without one was accepted by an earlier
/// build, or before there were workspaces, so it may be that of any.
pub fn is_visible(owner: Option<&str>, workspace: &str) -> bool {
    owner.is_none_or(|owner| owner == workspace)
}

/// Why a call is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The call brings no key, several or none that can be read.
    NoKey,
    /// The configuration is current and has no workspace with the key.
    UnknownKey,
    /// The configuration is too old to tell. Another host may serve the call.
    Behind { age: Duration },
}

impl Refusal {
    /// Value of the outcome label in metrics, and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::Behind { .. } => "behind",
        }
    }
}

/// Decides about a call that needs a key if the configuration has workspaces, by a configuration of an age.
pub fn admit(
    directory: Option<&Directory>,
    credential: Credential,
    age: Duration,
    bounds: &Bounds,
) -> Result<Caller, Refusal> {
    let Some(directory) = directory else {
        return Ok(Caller::Any);
    };
    if !bounds.admits(age) {
        return Err(Refusal::Behind { age });
    }
    let workspace = match credential {
        Credential::Key(key) => directory.find(&key).cloned().ok_or(Refusal::UnknownKey),
        Credential::Missing | Credential::Duplicated | Credential::Malformed => Err(Refusal::NoKey),
    };
    // A newer configuration may have the key, or need none.
    let or_behind =
        |refusal| if bounds.is_current(age) { refusal } else { Refusal::Behind { age } };
    workspace.map(Caller::Member).map_err(or_behind)
}
