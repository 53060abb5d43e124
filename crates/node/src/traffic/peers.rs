//! Requests about jobs to the leaders of services, and those that other hosts make to this one.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use log::info;
use prost::Message;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    clock,
    job::Record,
    peer::{
        self, Body, ContactRequest, End, FailedItem, FailedItems, FailuresRequest, Frames, Handler,
        JobCall, Kind, Lead, Origin, Owned, Request, Response, Results, Submitted, SuspectsRequest,
        Tunnel, UsageCounts,
    },
    prelude::*,
    traffic::{
        Report, Submission, announce, cache::Owner, dry_run, jobs, permit, runner, serve::Traffic,
        suspects, tunnel,
    },
    workspace::{Caller, is_visible},
};

/// Time for a response, in addition to the time for which it may wait for results.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a response to a request that makes the leader call the store.
const END_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for the control thread to take counts of usage.
const USAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for results before it is checked whether this host still leads.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Answer of a leader about one of its jobs.
pub enum Answer {
    Served(Bytes),
    /// The job does not exist for the caller.
    Hidden,
}

/// Returns the results of a job from its leader; `None` if no leader answers for the job.
pub async fn results(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
    after: u64,
    wait: Duration,
) -> Option<Answer> {
    let call = JobCall::Results(Results { job: id.into(), after, wait_ms: peer::millis(wait) });
    answer(traffic, caller, call, wait + RESPONSE_TIMEOUT).await
}

/// Returns the body of an item from its job's leader.
pub async fn body(
    traffic: &Rc<Traffic>,
    (id, caller): (&str, &Caller),
    item: &str,
) -> Option<Answer> {
    let call = JobCall::Body(Body { job: id.into(), item: item.into() });
    answer(traffic, caller, call, RESPONSE_TIMEOUT).await
}

/// Lets the leader of a job end it.
pub async fn end(traffic: &Rc<Traffic>, (id, caller): (&str, &Caller)) -> Option<Answer> {
    answer(traffic, caller, JobCall::End(End { job: id.into() }), END_TIMEOUT).await
}

/// Answers a call if this host holds its job, and asks the leaders otherwise.
async fn answer(
    traffic: &Rc<Traffic>,
    caller: &Caller,
    call: JobCall,
    limit: Duration,
) -> Option<Answer> {
    if is_hidden(traffic, call.job(), |job| caller.sees(job)) {
        return Some(Answer::Hidden);
    }
    match held(traffic, &call).await {
        Some(body) => Some(Answer::Served(body)),
        None => ask(traffic, caller, call, limit).await,
    }
}

/// Serves a call about a job that this host holds.
async fn held(traffic: &Traffic, call: &JobCall) -> Option<Bytes> {
    match call {
        JobCall::Results(Results { job, after, wait_ms }) => {
            held_results(traffic, job, *after, peer::duration(*wait_ms)).await
        }
        JobCall::Body(Body { job, item }) => held_body(traffic, job, item),
        JobCall::End(End { job }) => end_here(traffic, job).await.then(Bytes::new),
    }
}

/// Whether this host holds a job that does not exist for a caller.
fn is_hidden(traffic: &Traffic, id: &str, sees: impl Fn(Option<&str>) -> bool) -> bool {
    traffic.cache.held(id).is_some_and(|job| match &job.borrow().owner {
        Owner::Known(workspace) => !sees(workspace.as_deref()),
        Owner::NotRead => true,
    })
}

/// Tells the leader of a service about a job that was just written to the store. A leader that does not learn of it
/// this way reads it from the store.
pub async fn announce(traffic: Rc<Traffic>, submission: Submission, body: Bytes) {
    let (id, service) = (submission.spec.id.clone(), submission.record.service.clone());
    let leader = traffic.view.load().leaders.get(&service).copied();
    let Some(leader) = leader else {
        return;
    };
    if Some(leader) == traffic.settings.peer {
        report(&traffic, Report::Submitted(Box::new(submission)));
        return;
    }
    let submitted = Submitted {
        job: id.to_string(),
        record: serde_json::to_vec(&submission.record).unwrap_or_default().into(),
        body,
        revision: submission.revision,
    };
    if traffic.peers.call(leader, Kind::Submitted(submitted), RESPONSE_TIMEOUT).await.is_none() {
        info!(job = &*id, service = &*service; "leader did not answer the announcement of a job");
    }
}

/// Asks the leaders of all services until one serves the request.
async fn ask(
    traffic: &Rc<Traffic>,
    caller: &Caller,
    call: JobCall,
    limit: Duration,
) -> Option<Answer> {
    let kind = call.into_kind(caller.workspace().map(|workspace| &*workspace.name));
    let leaders = Arc::clone(&traffic.view.load().leaders);
    for leader in leaders.values().filter(|leader| Some(**leader) != traffic.settings.peer) {
        let response = traffic.peers.call(*leader, kind.clone(), limit).await;
        if let Some(response) = response.filter(|response| response.served) {
            let hidden = response.hidden;
            return Some(if hidden { Answer::Hidden } else { Answer::Served(response.body) });
        }
    }
    None
}

/// Results of a job that this host holds, from position `after` on. Waits for new ones if there are none yet. `None` if it does
/// not hold the job, or could not read results that were evicted.
async fn held_results(traffic: &Traffic, id: &str, after: u64, wait: Duration) -> Option<Bytes> {
    let deadline = Instant::now() + wait;
    loop {
        let job = traffic.cache.held(id)?;
        let changed = job.borrow().changed();
        let notified = changed.notified();
        let is_due = {
            let job = job.borrow();
            job.end() > after || job.is_complete() || Instant::now() >= deadline
        };
        if is_due {
            return jobs::page(traffic, (id, &job), after).await.ok();
        }
        let until = deadline.min(Instant::now() + LEADERSHIP_CHECK_INTERVAL);
        // After a timeout the state is checked in the same way as after a change.
        let _ = timeout_at(until, notified).await;
    }
}

fn held_body(traffic: &Traffic, id: &str, item: &str) -> Option<Bytes> {
    let spec = traffic.cache.held(id)?.borrow_mut().use_spec()?;
    spec.items.iter().find(|it| &*it.id == item).map(|item| item.body.clone())
}

fn known_failures(traffic: &Traffic) -> FailedItems {
    let all = traffic.failures.all(clock::now());
    let items = all.iter().map(|(item, failure)| FailedItem::new(item, *failure));
    FailedItems { items: items.collect() }
}

async fn end_here(traffic: &Traffic, id: &str) -> bool {
    if traffic.cache.held(id).is_none() {
        return false;
    }
    let (reply, replied) = oneshot::channel();
    report(traffic, Report::EndRequested { job: id.into(), reply });
    timeout_at(Instant::now() + END_TIMEOUT, replied).await.is_ok_and(|ended| ended == Ok(true))
}

fn report(traffic: &Traffic, report: Report) {
    if traffic.reports.send(report).is_err() {
        log::debug!("control thread has ended");
    }
}

/// Passes on what another host has counted; `None` if usage is not counted here.
async fn take_usage(traffic: &Traffic, counts: UsageCounts) -> Option<Bytes> {
    if !traffic.meter.is_on() {
        return None;
    }
    traffic.meter.record_clock(&counts);
    let (reply, replied) = oneshot::channel();
    report(traffic, Report::Usage { counts: Box::new(counts), reply });
    let receipt = timeout_at(Instant::now() + USAGE_TIMEOUT, replied).await;
    // Without a receipt nothing is acknowledged.
    let receipt = receipt.ok().and_then(Result::ok).unwrap_or_default();
    Some(traffic.meter.reply(receipt).encode_to_vec().into())
}

/// Serves the requests of other hosts.
pub struct PeerHandler(pub Rc<Traffic>);

impl PeerHandler {
    fn submitted(&self, submitted: Submitted) -> Option<Submission> {
        let record: Record = serde_json::from_slice(&submitted.record).ok()?;
        let spec = self.0.dialect.submission(&submitted.job, &submitted.body).ok()?;
        Some(Submission { record, revision: submitted.revision, spec: Arc::new(spec) })
    }
}

impl Handler for PeerHandler {
    async fn serve_leader(&self, lead: Lead, frames: Frames) {
        runner::serve_leader(Rc::clone(&self.0), lead, frames).await;
    }

    async fn serve_tunnel(&self, tunnel: Tunnel, frames: Frames) {
        tunnel::serve(&self.0, &tunnel, frames).await;
    }

    async fn handle(&self, request: Request) -> Response {
        let traffic = &self.0;
        let body = match request.kind {
            Some(Kind::Results(request)) => held(traffic, &JobCall::Results(request)).await,
            Some(Kind::Body(request)) => held(traffic, &JobCall::Body(request)).await,
            Some(Kind::End(request)) => held(traffic, &JobCall::End(request)).await,
            Some(Kind::Owned(Owned { workspace, call: Some(call) })) => {
                if is_hidden(traffic, call.job(), |job| is_visible(job, &workspace)) {
                    return Response::hidden();
                }
                held(traffic, &call).await
            }
            Some(Kind::Submitted(submitted)) => self.submitted(submitted).map(|submission| {
                report(traffic, Report::Submitted(Box::new(submission)));
                Bytes::new()
            }),
            Some(Kind::Changes(request)) => {
                let page = traffic.feed.serve(&request).await;
                page.map(|page| Bytes::from(page.encode_to_vec()))
            }
            Some(Kind::Permit(permit)) => {
                let reply = permit::grant(traffic, &permit).await;
                reply.map(|reply| Bytes::from(reply.encode_to_vec()))
            }
            Some(Kind::Notice(notice)) => {
                announce::apply(traffic, notice);
                Some(Bytes::new())
            }
            Some(Kind::Origin(Origin { stream, software: Some(software) })) => {
                traffic.origins.insert(&stream, &software);
                Some(Bytes::new())
            }
            Some(Kind::Origin(Origin { stream, software: None })) => {
                let software = traffic.origins.get(&stream);
                software.map(|software| Bytes::from(software.into_string()))
            }
            Some(Kind::Suspects(SuspectsRequest {})) => {
                Some(Bytes::from(suspects::all(traffic).encode_to_vec()))
            }
            Some(Kind::Failures(FailuresRequest {})) => {
                Some(Bytes::from(known_failures(traffic).encode_to_vec()))
            }
            Some(Kind::Failed(FailedItems { items })) => {
                let now = clock::now();
                items.iter().for_each(|item| item.record(&traffic.failures, now));
                Some(Bytes::new())
            }
            Some(Kind::Usage(counts)) => take_usage(traffic, counts).await,
            Some(Kind::DryRun(message)) => Some(dry_run::answer(traffic, message).await),
            Some(Kind::Contact(request)) => has_contact(traffic, request).then(Bytes::new),
            Some(Kind::Trial(trial)) => suspects::grant_trial(traffic, trial).then(Bytes::new),
            Some(Kind::Lead(_) | Kind::Tunnel(_) | Kind::Owned(_)) | None => None,
        };
        body.map_or_else(Response::not_served, Response::served)
    }
}

/// Whether the store has answered this host in a time before now.
fn has_contact(traffic: &Traffic, request: ContactRequest) -> bool {
    let now = clock::now();
    let before = |ms| now.saturating_sub(peer::duration(ms));
    traffic.contact.has_answered(before(request.from_ms), before(request.to_ms))
}
