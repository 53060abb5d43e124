//! Access of callers: what their keys let them do, and the responses to those that are refused.

use http::{HeaderMap, StatusCode};
use log::{debug, warn};

use crate::{
    clock,
    config::{Kind, Route},
    dialect::Head,
    logging,
    metrics::METERS,
    traffic::{
        entry::{HttpResponse, RETRY_AFTER, not_run_response, status},
        serve::Traffic,
    },
    view::View,
    workspace::{self, Caller, Refusal},
};

/// Decides about a request on a route. A job belongs to a workspace, so its submission needs a key on any route.
pub fn admit_routed(
    traffic: &Traffic,
    view: &View,
    route: &Route,
    head: &Head,
) -> Result<Caller, Refusal> {
    if view.has_workspaces() && route.public && route.kind != Kind::Job {
        return Ok(Caller::Public);
    }
    admit(traffic, view, head)
}

/// Decides about a call that needs a key on whatever route.
pub fn admit(traffic: &Traffic, view: &View, head: &Head) -> Result<Caller, Refusal> {
    let directory = view.config.as_ref().and_then(|config| config.workspaces.as_ref());
    let bounds = traffic.settings.key_bounds();
    let age = bounds.age(view.knowledge, clock::now());
    workspace::admit(directory, head.credential, age, &bounds)
}

/// Response to a call that is not served.
pub fn refuse(traffic: &Traffic, refusal: Refusal, head: &Head) -> HttpResponse {
    METERS.refused_key(refusal.name());
    if let Refusal::Behind { age } = refusal {
        if let Some(refused) = traffic.behind_log.count(clock::now()) {
            warn!(request = &*head.id, age_ms = logging::ms(age), refused; "calls refused: the configuration is too old to tell whose keys are valid");
        }
        return not_run_response(RETRY_AFTER);
    }
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
