//! Access of callers: what their keys let them do, and the responses to those that are refused.

use http::{HeaderMap, StatusCode};
use log::debug;

use crate::{
    config::{Config, Kind, Route},
    dialect::Head,
    metrics::METERS,
    traffic::{
        entry::{HttpResponse, status},
        serve::Traffic,
    },
    workspace::{self, Caller, Refusal},
};

/// Decides about a request on a route. A job belongs to a workspace, so its submission needs a key on any route.
pub fn admit_routed(config: &Config, route: &Route, head: &Head) -> Result<Caller, Refusal> {
    match &config.workspaces {
        Some(_) if route.public && route.kind != Kind::Job => Ok(Caller::Public),
        _ => admit(config, head),
    }
}

/// Decides about a call that needs a key on whatever route.
pub fn admit(config: &Config, head: &Head) -> Result<Caller, Refusal> {
    workspace::admit(config.workspaces.as_ref(), head.credential)
}

/// Response to a call that is not served.
pub fn refuse(refusal: Refusal, head: &Head) -> HttpResponse {
    METERS.refused_key(refusal.name());
    debug!(request = &*head.id, reason = refusal.name(); "call refused by its key");
    status(StatusCode::UNAUTHORIZED)
}

/// Replaces what a caller has sent in the headers about workspaces by what targets are to know.
pub fn set_headers(traffic: &Traffic, headers: &mut HeaderMap, caller: &Caller) {
    if *caller != Caller::Any {
        let name = caller.workspace().map(|workspace| &*workspace.name);
        traffic.dialect.set_workspace_header(headers, name);
    }
}
