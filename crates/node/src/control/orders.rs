//! Orders to engines: one load is prepared, sent under the leader's fencing number and followed to its end.

use std::{rc::Rc, sync::Arc};

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
    control::tasks::{Done, tell},
    dialect::{self, Order, Report, Strategy},
    fleet::Target,
    job,
    prelude::*,
    store,
    traffic::{Channel, Channels, Liveness},
};

/// Longest time for a report or the answer to an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time between the proof of leadership and the order.
const PROOF_MAX: Duration = Duration::from_millis(400);
/// Time after an order at which its end is asked for, and the interval of further questions.
const FIRST_QUESTION: Duration = Duration::from_millis(850);
const QUESTION_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which an order is followed.
const FOLLOW_MAX: Duration = Duration::from_millis(4000);
/// Size limit of a report.
const REPORT_BYTES_MAX: usize = 1 << 20;

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loaded {
    /// The engine has this version.
    Version(Version),
    /// Not done, or not known to be; it may be tried again.
    Open,
    /// The engine has seen a newer leader.
    Fenced,
}

/// A load of a version on one engine.
pub struct Load {
    pub target: Arc<Target>,
    pub model: ModelId,
    pub version: Version,
    pub strategy: Strategy,
    pub host: HostId,
    pub fence: Revision,
}

/// Leadership under which orders go.
pub struct Proof {
    pub service: ServiceId,
    pub fence: Revision,
}

/// What loads need.
pub struct Orders {
    pub store: store::Handle,
    pub dialect: dialect::Handle,
    pub channels: Channels,
}

impl Orders {
    /// Carries out loads that begin together: the engines' reports are read, then the leadership is proved once.
    pub async fn load_all(
        self: Rc<Self>,
        proof: Proof,
        loads: Vec<Load>,
        done: mpsc::UnboundedSender<Done>,
    ) {
        let reports = join_all(loads.iter().map(|load| self.report(&load.target))).await;
        let mut due = Vec::new();
        for (load, report) in loads.into_iter().zip(reports) {
            let reached = report.as_ref().and_then(|report| reached(report, &load));
            match (reached, report.filter(|report| !report.busy)) {
                (Some(version), _) => {
                    ended(&done, &proof, load.target.id.clone(), Loaded::Version(version));
                }
                (None, Some(report)) => due.push((load, report)),
                (None, None) => ended(&done, &proof, load.target.id.clone(), Loaded::Open),
            }
        }
        let proved = !due.is_empty() && self.proves(&proof).await;
        let orders = due.into_iter().map(|(load, report)| async {
            let target = load.target.id.clone();
            let loaded = if proved { self.load(load, report).await } else { Loaded::Open };
            ended(&done, &proof, target, loaded);
        });
        join_all(orders).await;
    }

    /// Carries out a load.
    async fn load(&self, load: Load, report: Report) -> Loaded {
        let order = Order {
            model: load.model.clone(),
            version: load.version,
            strategy: load.strategy,
            holder: load.host.clone(),
            fence: load.fence,
            expected_orders: report.accepted_orders,
        };
        let (path, body) = self.dialect.order(&order);
        let status =
            self.call(&load.target, Method::POST, path, body).await.map(|(status, _)| status);
        info!(target_id = &*load.target.id, model = &*load.model, version = load.version, fence = load.fence, status:? = status; "order to load sent");
        match status {
            Some(StatusCode::PRECONDITION_FAILED) => Loaded::Fenced,
            Some(status) if !status.is_success() => Loaded::Open,
            _ => self.follow(&load).await,
        }
    }

    /// Whether this host still leads, by the store's word of this moment.
    async fn proves(&self, proof: &Proof) -> bool {
        let begun = clock::now();
        match self.store.get(&job::leader_key(&proof.service)).await {
            Ok((Some(entry), _)) => {
                entry.revision == proof.fence && clock::now().saturating_sub(begun) < PROOF_MAX
            }
            Ok((None, _)) => false,
            Err(error) => {
                info!(service = &*proof.service, reason:% = error; "could not prove the leadership, no order sent");
                false
            }
        }
    }

    async fn follow(&self, load: &Load) -> Loaded {
        let end = Instant::now() + FOLLOW_MAX;
        sleep(FIRST_QUESTION).await;
        while Instant::now() < end {
            let report = self.report(&load.target).await;
            if let Some(version) = report.and_then(|report| reached(&report, load)) {
                return Loaded::Version(version);
            }
            sleep(QUESTION_INTERVAL).await;
        }
        warn!(target_id = &*load.target.id, version = load.version; "load has not ended in time");
        Loaded::Open
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
                warn!(target_id = &*target.id, reason:% = error; "report skipped");
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
        let mut channel = match self.channels.take(target.address, Duration::MAX, by).await {
            Some(channel) => channel,
            None => Channel::open(target.address, Liveness::Deadline, by).await.ok()?,
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        *request.headers_mut() = self.headers(target)?;
        let response = channel.send(request, by).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, REPORT_BYTES_MAX).collect();
        let body = timeout_at(by, body).await.ok()?.ok()?.to_bytes();
        let idle = self.dialect.answer(parts.status, &parts.headers).idle;
        self.channels.keep(target.address, channel, idle);
        Some((parts.status, body))
    }

    fn headers(&self, target: &Target) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, target.address.to_string().parse().ok()?);
        headers.insert(header::CONTENT_TYPE, "application/json".parse().ok()?);
        self.dialect.set_attempt_headers(&mut headers, "", &target.id, None);
        Some(headers)
    }
}

fn ended(done: &mpsc::UnboundedSender<Done>, proof: &Proof, target: TargetId, loaded: Loaded) {
    tell(done, Done::Loaded { service: proof.service.clone(), target, loaded });
}

/// Version of the model on the engine, if it is the ordered one or newer and no order is in progress.
fn reached(report: &Report, load: &Load) -> Option<Version> {
    let version = report.versions.iter().find(|(model, _)| *model == load.model)?.1;
    (version >= load.version && !report.busy).then_some(version)
}
