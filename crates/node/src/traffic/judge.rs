//! Calls of the judge that scores an item's text.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Method, header};
use tokio::time::Instant;

use crate::{
    job::End,
    prelude::*,
    traffic::{
        dispatch::dispatch,
        exchange::{Call, Need},
        run::Run,
        serve::Traffic,
    },
};

const TIMEOUT: Duration = Duration::from_millis(3000);

/// Requests the score of the complete text of a run from its judge. Returns how the run ended and the judge's failures in
/// this call. An item is given up once the judge has failed as often as its route and the policy of the job allow.
pub async fn score(traffic: &Rc<Traffic>, run: &Run) -> (End, u32) {
    let Some(judge) = &run.item.judge else {
        return (End::Scored(None), 0);
    };
    let view = traffic.view.load_full();
    let route = view.config.as_ref().and_then(|config| config.route(&judge.host, &judge.path));
    let (Some(route), Ok(uri), Ok(host)) =
        (route, judge.path.parse(), HeaderValue::from_str(&judge.host))
    else {
        return (End::Unjudged, 0);
    };
    let call = Call {
        id: judge.id.clone(),
        method: Method::POST,
        uri,
        headers: HeaderMap::from_iter([(header::HOST, host)]),
        body: judge.body.clone(),
        held: None,
        workspace: None,
        deadline: Instant::now() + TIMEOUT.min(route.timeout),
        // The score is in the head.
        need: Need::Head,
    };
    match dispatch(traffic, route, &call).await {
        Ok(response) if response.status.is_success() => (End::Scored(Some(response.receipt)), 0),
        Ok(response)
            if run.assignment.judge_failures.saturating_add(response.failures)
                >= route.max_attempts.max(run.max_attempts) =>
        {
            (End::JudgeFailed, response.failures)
        }
        // Attempts that were still in flight do not count, so a single call may end below the limit.
        Ok(response) => (End::Unjudged, response.failures),
        Err(_) => (End::Unjudged, 0),
    }
}
