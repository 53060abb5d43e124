//! Runs of job items: a generation on an engine, then the call that scores its text.

use std::{rc::Rc, sync::Arc};

use futures::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use log::info;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout},
};

use crate::{
    events::{Parser, Progress},
    fleet::Target,
    job::{Assignment, End, Item, Outcome, Record, Spec},
    metrics::METERS,
    prelude::*,
    traffic::{
        dispatch::{Call, Failure, closes, connect, dispatch},
        serve::Traffic,
    },
};

/// Longest time until a run's answer begins, and between two events.
const EVENT_GAP_MAX: Duration = Duration::from_millis(2000);
/// Interval at which the text of a run is reported.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(800);
/// Longest time for a judge's answer.
const JUDGE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Order of the control thread.
#[derive(Debug)]
pub enum Command {
    Run(Box<Run>),
    /// Stops a run; its end is reported with the text so far.
    Stop {
        run: u64,
    },
}

/// A run to be made.
#[derive(Debug)]
pub struct Run {
    pub id: u64,
    pub spec: Arc<Spec>,
    pub record: Arc<Record>,
    pub start: Assignment,
    /// Engine, absent if only the score is missing.
    pub target: Option<Arc<Target>>,
    pub single_version: bool,
    /// Time per event above which the item is moved to another engine.
    pub pace_max: Duration,
    /// Events over which that time is measured.
    pub pace_window: u64,
}

/// What the traffic thread tells of a run.
#[derive(Debug)]
pub enum Report {
    /// Text so far.
    Progress {
        run: u64,
        progress: Progress,
    },
    Ended {
        run: u64,
        outcome: Outcome,
    },
}

/// What a run has so far.
struct Running {
    progress: Progress,
    whole: bool,
    begun: Instant,
    first: u64,
}

impl Running {
    /// Time per event of this run.
    fn pace(&self) -> Option<Duration> {
        let events = self.progress.last_event.saturating_sub(self.first);
        (events > 0).then(|| self.begun.elapsed() / u32::try_from(events).unwrap_or(u32::MAX))
    }
}

/// Makes a run to its end or until it is stopped.
pub async fn run(
    traffic: Rc<Traffic>,
    run: Box<Run>,
    mut stop: oneshot::Receiver<()>,
    reports: &mpsc::UnboundedSender<Report>,
) -> Report {
    let mut state = Running {
        progress: run.start.progress.clone(),
        whole: run.target.is_none(),
        begun: Instant::now(),
        first: run.start.progress.last_event,
    };
    let (mut pace, mut judge_failures) = (None, 0);
    let ended = 'ended: {
        if let Some(target) = &run.target {
            let stream = stream(&traffic, &run, target, &mut state, reports);
            let ended = tokio::select! {
                ended = stream => ended,
                _ = &mut stop => Some(End::Stopped),
            };
            pace = state.pace();
            if let Some(ended) = ended {
                break 'ended ended;
            }
            state.whole = true;
        }
        let item = &run.spec.items[run.start.item];
        let judge = judge(&traffic, item, run.start.judge_failures).fuse();
        tokio::select! {
            (ended, failures) = judge => {
                judge_failures = failures;
                ended
            }
            _ = &mut stop => End::Stopped,
        }
    };
    log_end(&run, &ended, &state);
    let outcome = Outcome {
        job: run.start.job.clone(),
        item: run.start.item,
        item_id: run.spec.items[run.start.item].id.clone(),
        target: run.start.target.clone(),
        end: ended,
        progress: state.progress,
        text_complete: state.whole,
        pace,
        judge_failures,
    };
    Report::Ended { run: run.id, outcome }
}

fn log_end(run: &Run, ended: &End, state: &Running) {
    METERS.run(ended.name());
    let item = &run.spec.items[run.start.item];
    let target = run.start.target.as_deref().unwrap_or("");
    info!(job = &*run.spec.id, item = &*item.id, target_id = target, outcome:? = ended, events = state.progress.last_event, took_ms = crate::logging::ms(state.begun.elapsed()); "item run ended");
}

/// Streams a generation; `None` means that the text is whole.
async fn stream(
    traffic: &Rc<Traffic>,
    run: &Run,
    target: &Arc<Target>,
    state: &mut Running,
    reports: &mpsc::UnboundedSender<Report>,
) -> Option<End> {
    let by = Instant::now() + EVENT_GAP_MAX;
    let Ok(mut channel) = connect(traffic, target, Duration::MAX, by).await else {
        return Some(End::NotRun);
    };
    let Some(request) = request(traffic, run, target) else {
        return Some(End::Rejected);
    };
    state.begun = Instant::now();
    let response = match channel.send(request, by).await {
        Ok(response) => response,
        Err(error) => {
            info!(job = &*run.spec.id, target_id = &*target.id, reason:% = error; "run broke");
            return Some(End::Broken);
        }
    };
    let (parts, body) = response.into_parts();
    let answer = traffic.dialect.answer(parts.status, &parts.headers);
    log::debug!(job = &*run.spec.id, target_id = &*target.id, status = parts.status.as_u16(), after = state.first, answer:? = answer; "run began");
    let item = &run.spec.items[run.start.item];
    if answer.id.as_ref().is_some_and(|id| *id != item.id) {
        return Some(End::Broken);
    }
    if answer.not_run {
        return Some(End::NotRun);
    }
    match parts.status {
        status if status.is_success() && answer.receipt.is_some() => {}
        StatusCode::INTERNAL_SERVER_ERROR if answer.receipt.is_some() => {
            return Some(End::Failed);
        }
        StatusCode::UNPROCESSABLE_ENTITY if answer.receipt.is_some() => {
            return Some(End::Rejected);
        }
        _ => return Some(End::Broken),
    }
    if answer.version.is_some_and(|version| version < run.spec.min_version) {
        return Some(End::NotRun);
    }
    let closes = closes(&parts.headers);
    if let Some(ended) = read(traffic, run, state, body, answer.version, reports).await {
        return Some(ended);
    }
    if !closes {
        traffic.channels.keep(target.address, channel, answer.idle);
    }
    None
}

/// Reads events until the stream is whole. A stream that is resumed after its last event names no version and is empty.
async fn read(
    traffic: &Traffic,
    run: &Run,
    state: &mut Running,
    mut body: Incoming,
    mut version: Option<Version>,
    reports: &mpsc::UnboundedSender<Report>,
) -> Option<End> {
    let broke = |reason: &dyn std::fmt::Display| {
        let item = &run.spec.items[run.start.item];
        info!(job = &*run.spec.id, item = &*item.id, reason:% = reason; "stream broke");
        Some(End::Broken)
    };
    let mut parser = Parser::new(traffic.dialect.version_field());
    let mut told = Instant::now();
    let (mut paced_at, mut paced_event) = (Instant::now(), state.first);
    loop {
        let data = match timeout(EVENT_GAP_MAX, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if parser.is_partial() => return broke(&"ended within an event"),
            Ok(None) => return None,
            Ok(Some(Err(error))) => return broke(&error),
            Err(_) => return broke(&"no event in time"),
        };
        parser.push(&data);
        loop {
            let event = match parser.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(error) => return broke(&error),
            };
            version = event.version.or(version);
            let Some(version) = version else {
                return broke(&"an event without a version");
            };
            if run.single_version && !state.progress.can_continue(0, version, true) {
                state.progress = Progress::default();
                return broke(&"the version changed");
            }
            if let Err(error) = state.progress.append(&event, version) {
                return broke(&error);
            }
        }
        if told.elapsed() >= PROGRESS_INTERVAL {
            told = Instant::now();
            let progress = state.progress.clone();
            if reports.send(Report::Progress { run: run.id, progress }).is_err() {
                return Some(End::Stopped);
            }
        }
        let events = state.progress.last_event - paced_event;
        if events >= run.pace_window {
            let pace = paced_at.elapsed() / u32::try_from(events).unwrap_or(u32::MAX);
            if pace > run.pace_max {
                return Some(End::Slow);
            }
            (paced_at, paced_event) = (Instant::now(), state.progress.last_event);
        }
    }
}

/// Request of an item; `None` if its headers cannot be put into HTTP.
fn request(traffic: &Traffic, run: &Run, target: &Target) -> Option<Request<Full<bytes::Bytes>>> {
    let item = &run.spec.items[run.start.item];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    headers.insert(header::HOST, HeaderValue::from_str(&run.record.host).ok()?);
    traffic.dialect.set_attempt_headers(&mut headers, &item.id, &target.id, None);
    if run.start.progress.last_event > 0 {
        traffic.dialect.set_resume_header(&mut headers, run.start.progress.last_event);
    }
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = item.path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}

/// Has a whole text scored, after failures that the judge answered before. Gives the failures of this call beside its end.
async fn judge(traffic: &Rc<Traffic>, item: &Item, failed_before: u32) -> (End, u32) {
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
        by: Instant::now() + JUDGE_TIMEOUT.min(route.timeout),
    };
    match dispatch(traffic, route, &call).await {
        Ok(whole) if whole.status.is_success() => (End::Scored(Some(whole.receipt)), 0),
        Ok(whole) if failed_before + whole.failures >= route.max_attempts => {
            (End::JudgeFailed, whole.failures)
        }
        // Attempts that were still running do not count, so one call may not reach the limit.
        Ok(whole) => (End::Unjudged, whole.failures),
        Err(Failure::NotRun | Failure::Unknown | Failure::Timeout) => (End::Unjudged, 0),
    }
}
