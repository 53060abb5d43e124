//! Calls of the judge that scores an item's text.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Method, header};
use tokio::time::Instant;

use crate::{
    job::{End, Item},
    prelude::*,
    traffic::{dispatch::dispatch, exchange::Call, serve::Traffic},
};

const TIMEOUT: Duration = Duration::from_millis(3000);

/// Requests the score of a complete text from its judge, after `failures_before` failures in earlier runs. Returns how the
/// run ended and the judge's failures in this call.
pub async fn score(traffic: &Rc<Traffic>, item: &Item, failures_before: u32) -> (End, u32) {
    let Some(judge) = &item.judge else {
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
        deadline: Instant::now() + TIMEOUT.min(route.timeout),
    };
    match dispatch(traffic, route, &call).await {
        Ok(response) if response.status.is_success() => (End::Scored(Some(response.receipt)), 0),
        Ok(response) if failures_before + response.failures >= route.max_attempts => {
            (End::JudgeFailed, response.failures)
        }
        // Attempts that were still in flight do not count, so a single call may end below the limit.
        Ok(response) => (End::Unjudged, response.failures),
        Err(_) => (End::Unjudged, 0),
    }
}
