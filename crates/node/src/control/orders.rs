//! Orders to engines to load a version: checks the engine's report, sends the order with the leader's fencing token and
//! polls until the load has ended.

use std::{cell::Cell, rc::Rc, sync::Arc};

use bytes::Bytes;
use futures::future::join_all;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use log::{info, warn};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    control::tasks::{Completion, send_completion},
    dialect::{self, Order, Report, Strategy},
    fleet::{Departure, Target},
    job,
    links::{Failure, Links},
    prelude::*,
    rate::Limit,
    store,
    traffic::{CONNECT_TIMEOUT, Channel, Liveness},
};

/// Timeout of a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum duration of the leadership check. After a slower one the leader may have changed, so no order is sent.
const LEADERSHIP_CHECK_MAX: Duration = Duration::from_millis(400);
/// Delay between an order and the first poll of its completion, and the interval of further polls.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(850);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Requests of an engine with a limit of which one is a poll.
const REQUESTS_PER_POLL: f64 = 4.0;
/// Maximum time for which the completion of an order is polled.
const POLL_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum size of a report.
const REPORT_BYTES_MAX: usize = 1 << 20;

/// Result of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The engine has this version.
    Version(Version),
    /// Failed or not confirmed; may be retried.
    Unconfirmed,
    /// Not confirmed, and the engine refused connections after the order, although this host has its links.
    Ended,
    /// The engine refused the fencing token, as it has seen a newer one.
    Fenced,
}

/// A load of a version on one engine.
pub struct Load {
    pub target: Arc<Target>,
    pub model: ModelId,
    pub version: Version,
    pub strategy: Strategy,
    pub leader: HostId,
    pub fence: Revision,
    /// Limit that the engine names.
    pub limit: Option<Limit>,
}

impl Load {
    /// Interval of polls, which take a part of the requests that the engine allows.
    fn poll_interval(&self) -> Duration {
        let limited =
            self.limit.map(|limit| Duration::from_secs_f64(REQUESTS_PER_POLL / limit.rate()));
        limited.map_or(POLL_INTERVAL, |interval| interval.max(POLL_INTERVAL))
    }
}

/// Term of leadership under which orders are sent.
pub struct Term {
    pub service: ServiceId,
    pub fence: Revision,
}

/// Client for the orders of one control thread.
pub struct Client {
    pub store: store::Handle,
    pub dialect: dialect::Handle,
    pub links: Arc<Links>,
    pub completions: mpsc::UnboundedSender<Completion>,
    /// Time at which an order was last sent.
    pub ordered_at: Cell<Option<Time>>,
}

impl Client {
    /// Runs loads that begin together: reads the engines' reports, then confirms the leadership once for all orders.
    pub async fn load_all(self: Rc<Self>, term: Term, loads: Vec<Load>) {
        let completions = self.completions.clone();
        let reports = join_all(loads.iter().map(|load| self.report(&load.target))).await;
        let mut due = Vec::new();
        for (load, report) in loads.into_iter().zip(reports) {
            let reached = report.as_ref().and_then(|report| reached(report, &load));
            match (reached, report.filter(|report| !report.busy)) {
                (Some(version), _) => {
                    send_result(
                        &completions,
                        &term,
                        load.target.id.clone(),
                        LoadResult::Version(version),
                    );
                }
                (None, Some(report)) => due.push((load, report)),
                (None, None) => send_result(
                    &completions,
                    &term,
                    load.target.id.clone(),
                    LoadResult::Unconfirmed,
                ),
            }
        }
        let still_leads = !due.is_empty() && self.still_leads(&term).await;
        let orders = due.into_iter().map(|(load, report)| async {
            let target = load.target.id.clone();
            let result =
                if still_leads { self.load(load, report).await } else { LoadResult::Unconfirmed };
            send_result(&completions, &term, target, result);
        });
        join_all(orders).await;
    }

    /// Sends the order of a load and waits for its completion.
    async fn load(&self, load: Load, report: Report) -> LoadResult {
        let order = Order {
            model: load.model.clone(),
            version: load.version,
            strategy: load.strategy,
            leader: load.leader.clone(),
            fence: load.fence,
            expected_orders: report.accepted_orders,
        };
        let (path, body) = self.dialect.order(&order);
        self.ordered_at.set(Some(clock::now()));
        let status =
            self.call(&load.target, Method::POST, path, body).await.map(|(status, _)| status);
        info!(target_id = &*load.target.id, model = &*load.model, version = load.version, fence = load.fence, status:? = status; "order to load sent");
        match status {
            Some(StatusCode::PRECONDITION_FAILED) => LoadResult::Fenced,
            Some(status) if !status.is_success() => LoadResult::Unconfirmed,
            _ => self.poll(&load).await,
        }
    }

    /// Reads from the store whether this host still leads.
    pub(super) async fn still_leads(&self, term: &Term) -> bool {
        let begun = clock::now();
        match self.store.get(&job::leader_key(&term.service)).await {
            Ok((Some(entry), _)) => {
                entry.revision == term.fence
                    && clock::now().saturating_sub(begun) < LEADERSHIP_CHECK_MAX
            }
            Ok((None, _)) => false,
            Err(error) => {
                info!(service = &*term.service, reason:% = error; "could not confirm the leadership; no order sent");
                false
            }
        }
    }

    async fn poll(&self, load: &Load) -> LoadResult {
        let deadline = Instant::now() + POLL_TIMEOUT;
        let mut was_refused = false;
        sleep(FIRST_POLL_DELAY).await;
        while Instant::now() < deadline {
            let report = self.report(&load.target).await;
            was_refused = was_refused || (report.is_none() && is_refused(&load.target).await);
            if let Some(version) = report.and_then(|report| reached(&report, load)) {
                return LoadResult::Version(version);
            }
            sleep(load.poll_interval()).await;
        }
        // Engines that end together look like a cut at first.
        let has_ended = was_refused && self.links.cut_since().is_none();
        warn!(target_id = &*load.target.id, version = load.version, has_ended; "load not confirmed within the poll timeout");
        if has_ended { LoadResult::Ended } else { LoadResult::Unconfirmed }
    }

    async fn report(&self, target: &Target) -> Option<Report> {
        let path = self.dialect.report_path();
        let (status, body) = self.call(target, Method::GET, path, Bytes::new()).await?;
        if !status.is_success() {
            return None;
        }
        match self.dialect.report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                warn!(target_id = &*target.id, reason:% = error; "report ignored");
                None
            }
        }
    }

    async fn call(
        &self,
        target: &Target,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let by = Instant::now() + CALL_TIMEOUT;
        // Reports and orders have no ids, so a second copy of an answer could not be told from the next answer.
        let mut channel = self.open(target, by).await?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        *request.headers_mut() = self.headers(target)?;
        let response = channel.send(request, by).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, REPORT_BYTES_MAX).collect();
        let body = timeout_at(by, body).await.ok()?.ok()?.to_bytes();
        let answer = self.dialect.answer(parts.status, &parts.headers);
        if answer.leaving && parts.status != StatusCode::MISDIRECTED_REQUEST {
            let departure = Departure { target: target.id.clone(), started_ms: target.started_ms };
            send_completion(&self.completions, Completion::Departure(departure));
        }
        Some((parts.status, body))
    }

    async fn open(&self, target: &Target, by: Instant) -> Option<Channel> {
        let connect_by = by.min(Instant::now() + CONNECT_TIMEOUT);
        match Channel::open(target.address, Liveness::Deadline, connect_by).await {
            Ok(channel) => {
                self.links.opened(&target.id, clock::now());
                Some(channel)
            }
            Err(error) => {
                info!(target_id = &*target.id, reason:% = error; "engine unreachable for an order");
                self.links.failed(&target.id, error.failure(), clock::now());
                None
            }
        }
    }

    fn headers(&self, target: &Target) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, target.address.to_string().parse().ok()?);
        headers.insert(header::CONTENT_TYPE, "application/json".parse().ok()?);
        self.dialect.set_attempt_headers(&mut headers, "", &target.id, None);
        Some(headers)
    }
}

/// Whether an engine's address refuses connections.
async fn is_refused(target: &Target) -> bool {
    let by = Instant::now() + CONNECT_TIMEOUT;
    let opened = Channel::open(target.address, Liveness::Deadline, by).await;
    opened.is_err_and(|error| error.failure() == Failure::Refused)
}

fn send_result(
    completions: &mpsc::UnboundedSender<Completion>,
    term: &Term,
    target: TargetId,
    result: LoadResult,
) {
    send_completion(
        completions,
        Completion::LoadEnded { service: term.service.clone(), target, result },
    );
}

/// Version of the model on the engine, if it is at least the ordered one and no order is in progress.
fn reached(report: &Report, load: &Load) -> Option<Version> {
    let version = report.versions.iter().find(|(model, _)| *model == load.model)?.1;
    (version >= load.version && !report.busy).then_some(version)
}
