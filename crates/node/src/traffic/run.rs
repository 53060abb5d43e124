//! Runs of job items: an engine generates the text of an item, then the item's judge scores it.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use futures::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    config::Config,
    events::{Parser, Progress},
    job::{Assignment, End, Failure, Identity, Item, Outcome},
    metrics::METERS,
    prelude::*,
    traffic::{
        Endpoint, RunReport, announce,
        body::Taken,
        channel::{self, Demand, Route},
        connect::{OnLoss, connect, send, target_lost},
        exchange::closes_connection,
        judge,
        report::Report,
        run_log,
        serve::Traffic,
    },
};

/// Timeout for the start of an engine's response, and longest time without a byte after that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Longest time without a complete event. A slow engine may send an event in many small parts.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest text of an item.
const TEXT_BYTES_MAX: usize = 4 << 20;
/// Time until an item without a workspace is refused, as its leader sends it again at once.
const WORKSPACE_REFUSAL_DELAY: Duration = Duration::from_millis(250);
/// Interval at which the control thread receives the text of a run.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(800);

/// An item to run, as commanded by the leader.
#[derive(Debug)]
pub struct Run {
    pub id: u64,
    pub assignment: Assignment,
    pub item: Arc<Item>,
    /// Host name of the job's route.
    pub host: Box<str>,
    /// Oldest version that may generate the text.
    pub min_version: Version,
    /// Engine that generates the text; `None` if only the score is missing.
    pub target: Option<Endpoint>,
    /// Host that runs the item; `None` for this one.
    pub runner: Option<SocketAddr>,
    /// The whole text has to come from one version of the weights.
    pub single_version: bool,
    /// Time per event above which the run ends as slow, so that another engine can take the item.
    pub pace_max: Duration,
    /// Number of events over which the time per event is averaged.
    pub pace_window: u64,
    /// Status 500 responses of engines in earlier runs.
    pub failures: u32,
    /// Failed attempts that the policy of the job allows; 0 if the leader does not say so.
    pub max_attempts: u32,
    /// Workspace of the job.
    pub workspace: Option<WorkspaceId>,
}

/// State of a run.
struct RunState {
    progress: Progress,
    text_complete: bool,
    /// The engine has closed the connection or reset it, so it was not silent.
    connection_broke: bool,
    /// Time of the order.
    ordered: Instant,
    started: Instant,
    /// Last event of earlier runs of the item.
    resumed_after: u64,
}

impl RunState {
    /// Average time per event of this run.
    fn pace(&self) -> Option<Duration> {
        let events = self.progress.last_event.saturating_sub(self.resumed_after);
        (events > 0).then(|| self.started.elapsed() / u32::try_from(events).unwrap_or(u32::MAX))
    }
}

/// Runs an item until its text is generated and scored, an error occurs or the run is stopped.
pub async fn run(
    traffic: Rc<Traffic>,
    run: Box<Run>,
    mut stop: oneshot::Receiver<()>,
    reports: &mpsc::UnboundedSender<Report>,
) -> RunReport {
    let mut state = RunState {
        progress: run.assignment.progress.clone(),
        text_complete: run.target.is_none(),
        connection_broke: false,
        ordered: Instant::now(),
        started: Instant::now(),
        resumed_after: run.assignment.progress.last_event,
    };
    let (mut pace, mut judge_failures) = (None, 0);
    let mut holds_slot = run.target.is_some();
    let end = 'end: {
        if let Some(target) = &run.target {
            let stream = stream(&traffic, &run, target, &mut state, reports);
            let end = tokio::select! {
                end = stream => end,
                _ = &mut stop => Some(End::Stopped),
            };
            pace = state.pace();
            if let Some(end) = end {
                break 'end end;
            }
            state.text_complete = true;
            // A closed channel means that the process ends.
            let _ = reports.send(Report::Run(RunReport::Generated { run: run.id, pace }));
            holds_slot = false;
        }
        let judge = judge::score(&traffic, &run).fuse();
        tokio::select! {
            (end, failures) = judge => {
                judge_failures = failures;
                end
            }
            _ = &mut stop => End::Stopped,
        }
    };
    METERS.run(end.name());
    run_log::ended(&run, &end, state.progress.last_event, state.started.elapsed());
    record_failure(&traffic, &run, &end, judge_failures);
    let outcome = Outcome {
        run: run.id,
        job: run.assignment.job.clone(),
        item: run.assignment.item,
        origin: run.assignment.origin.clone(),
        target: run.assignment.target.clone(),
        end,
        progress: state.progress,
        text_complete: state.text_complete,
        pace,
        judge_failures,
        holds_slot,
        connection_broke: state.connection_broke,
    };
    RunReport::Ended { run: run.id, outcome }
}

/// Keeps the failure of a run for the next leader, if there is one.
fn record_failure(traffic: &Traffic, run: &Run, end: &End, judge_failures: u32) {
    let Assignment { job, judge_failures: judge_failures_before, .. } = &run.assignment;
    let (failures, judge_failures_before) = (run.failures, *judge_failures_before);
    let before = Failure { failures, judge_failures: judge_failures_before, ..Failure::default() };
    let failure = before.after(end, judge_failures);
    if failure != before {
        let content = run.item.content(&run.host);
        let item = Identity { job: job.clone(), item: run.item.id.clone(), content };
        traffic.failures.record(item, failure, clock::now());
    }
}

/// Streams the text from an engine. Returns `None` if the text is complete.
async fn stream(
    traffic: &Rc<Traffic>,
    run: &Run,
    target: &Endpoint,
    state: &mut RunState,
    reports: &mpsc::UnboundedSender<Report>,
) -> Option<End> {
    // The leader may not know yet that the engine leaves.
    if announce::is_leaving(traffic, &target.id, target.started_ms) {
        run_log::unreached(run, target, state.ordered, "the engine leaves");
        return Some(End::NotRun);
    }
    let deadline = Instant::now() + SILENCE_TIMEOUT;
    let to = (&target.id, target.address);
    if lacks_workspace(traffic, run) {
        run_log::unreached(run, target, state.ordered, "the item has no workspace");
        sleep(WORKSPACE_REFUSAL_DELAY).await;
        return Some(End::NotRun);
    }
    let demand = Demand { request: &run.item.id, idle_max: Duration::MAX, allows_doubt: true };
    let Ok(mut channel) = connect(traffic, to, demand, deadline).await else {
        run_log::unreached(run, target, state.ordered, "could not connect");
        return Some(End::NotRun);
    };
    let Some(request) = request(traffic, run, target) else {
        run_log::unreached(run, target, state.ordered, "not valid in HTTP");
        return Some(End::Rejected);
    };
    state.started = Instant::now();
    let sent_at = clock::now();
    let response = send(traffic, to, &mut channel, request, deadline, OnLoss::MoveOn);
    let response = match response.await {
        Ok(response) => response,
        Err(error) => {
            state.connection_broke = matches!(error, channel::Error::Broken { .. });
            run_log::broken(run, target, state.started, &error);
            return Some(End::Broken);
        }
    };
    let (parts, body) = response.into_parts();
    let answer = traffic.dialect.answer(parts.status, &parts.headers);
    log::debug!(job = &*run.assignment.job, target_id = &*target.id, status = parts.status.as_u16(), after = state.resumed_after, answer:? = answer; "run began");
    if answer.id.as_ref().is_some_and(|id| *id != run.item.id) {
        run_log::broken(run, target, state.started, &"answer of another request");
        return Some(End::Broken);
    }
    let instance = (&target.id, target.started_ms);
    announce::record(traffic, instance, parts.status, &answer, sent_at);
    if answer.not_run {
        run_log::unreached(run, target, state.ordered, "the engine did not run it");
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
        status => {
            run_log::broken(run, target, state.started, &format_args!("answer {status}"));
            return Some(End::Broken);
        }
    }
    if answer.version.is_some_and(|version| version < run.min_version) {
        run_log::unreached(run, target, state.ordered, "version too old");
        return Some(End::NotRun);
    }
    let closes = closes_connection(&parts.headers);
    let route = channel.route();
    if let Some(end) =
        read(traffic, run, target, state, (route, body), answer.version, reports).await
    {
        return Some(end);
    }
    if !closes {
        traffic.channels.put(target.address, channel, &answer);
    }
    None
}

/// Reads events up to the end of the stream, and returns `None` if the text is then complete. A stream that is resumed
/// after its last event is empty and states no version.
async fn read(
    traffic: &Rc<Traffic>,
    run: &Run,
    target: &Endpoint,
    state: &mut RunState,
    (route, mut body): (Route, Incoming),
    mut version: Option<Version>,
    reports: &mpsc::UnboundedSender<Report>,
) -> Option<End> {
    let fail = |reason: &dyn std::fmt::Display| {
        run_log::stream_broke(run, target, reason);
        Some(End::Broken)
    };
    let mut parser = Parser::new(traffic.dialect.version_field());
    let mut held = Taken::new(&traffic.response_bytes);
    let (mut reported_at, mut event_at) = (None::<Instant>, Instant::now());
    let (mut window_started, mut window_first) = (Instant::now(), state.resumed_after);
    loop {
        let by = (Instant::now() + SILENCE_TIMEOUT).min(event_at + EVENT_TIMEOUT);
        let frame = tokio::select! {
            frame = timeout_at(by, body.frame()) => frame,
            () = target_lost(traffic, route, &target.id, target.address) => {
                return fail(&"the link to the engine is lost");
            }
        };
        let data = match frame {
            Ok(Some(Ok(frame))) => {
                traffic.links.heard(&target.id, clock::now());
                frame.into_data().unwrap_or_default()
            }
            Ok(None) if parser.is_partial() => return fail(&"stream ended within an event"),
            Ok(None) => return None,
            Ok(Some(Err(error))) => {
                state.connection_broke = true;
                return fail(&error);
            }
            Err(_) => return fail(&"no event within the timeout"),
        };
        parser.push(&data);
        loop {
            let event = match parser.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(error) => return fail(&error),
            };
            event_at = Instant::now();
            version = event.version.or(version);
            let Some(version) = version else {
                return fail(&"event has no version");
            };
            if run.single_version && !state.progress.can_continue(0, version, true) {
                state.progress = Progress::default();
                return fail(&"version changed during the run");
            }
            if let Err(error) = state.progress.append(&event, version) {
                return fail(&error);
            }
            if state.progress.software.is_none() {
                state.progress.software = run.target.as_ref().map(|target| target.software.clone());
            }
        }
        if state.progress.text.len() > TEXT_BYTES_MAX {
            return fail(&"text too long");
        }
        if !held.set(parser.buffered() + state.progress.text.capacity()) {
            return fail(&"too many bytes of others are being read");
        }
        let has_events = state.progress.last_event > state.resumed_after;
        // The first event shows the leader that the engine works.
        if has_events && reported_at.is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL) {
            reported_at = Some(Instant::now());
            let progress = state.progress.clone();
            let report = RunReport::Progress { run: run.id, progress };
            if reports.send(Report::Run(report)).is_err() {
                return Some(End::Stopped);
            }
        }
        let events = state.progress.last_event - window_first;
        if events >= run.pace_window {
            let pace = window_started.elapsed() / u32::try_from(events).unwrap_or(u32::MAX);
            if pace > run.pace_max {
                return Some(End::Slow);
            }
            (window_started, window_first) = (Instant::now(), state.progress.last_event);
        }
    }
}

/// Whether an item has no workspace and needs one. A leader of an earlier build sends it so.
pub fn lacks_workspace(traffic: &Traffic, run: &Run) -> bool {
    let view = traffic.view.load();
    let needs = |config: &Arc<Config>| config.needs_workspace(&run.host, &run.item.path);
    run.target.is_some() && run.workspace.is_none() && view.config.as_ref().is_some_and(needs)
}

/// Builds the request of an item; `None` if its path or headers are not valid in HTTP.
fn request(traffic: &Traffic, run: &Run, target: &Endpoint) -> Option<Request<Full<bytes::Bytes>>> {
    let item = &run.item;
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    headers.insert(header::HOST, HeaderValue::from_str(&run.host).ok()?);
    if run.workspace.is_some() || traffic.view.load().has_workspaces() {
        traffic.dialect.set_workspace_header(&mut headers, run.workspace.as_deref());
    }
    traffic.dialect.set_attempt_headers(&mut headers, &item.id, &target.id, None);
    if run.assignment.progress.last_event > 0 {
        traffic.dialect.set_resume_header(&mut headers, run.assignment.progress.last_event);
    }
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = item.path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
