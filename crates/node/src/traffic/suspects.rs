//! Requests under which targets end: what this host sees of them, and whether a request may be sent.

use std::{net::SocketAddr, rc::Rc};

use log::info;
use prost::Message;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock,
    crash::{Content, Effect, Record, Run, Strike, Verdict},
    fleet::Target,
    metrics::METERS,
    peer::{self, Kind, Suspects, SuspectsRequest, Trial},
    prelude::*,
    traffic::{
        Endpoint,
        ended::{self, Cause, Finding},
        exchange::Call,
        held,
        serve::Traffic,
    },
};

/// Time for which a request waits until it is known whether its target has ended.
const FINDING_WAIT: Duration = Duration::from_millis(200);
/// Delay before another look at a target of which nothing could be found, and number of looks.
const LOOK_DELAY: Duration = Duration::from_millis(400);
const LOOKS_MAX: usize = 4;
/// Time for another host to answer.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Least time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Interval at which a host that was just started asks others what they know, for as long as they may not have it in their
/// lists of hosts, and the interval after that.
const FIRST_PULL_INTERVAL: Duration = Duration::from_secs(2);
const FIRST_PULLS: u32 = 40;
const PULL_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the first pull is tried again while no other host is known.
const NO_HOST_DELAY: Duration = Duration::from_millis(200);

/// How a content may be sent to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// As often as its route allows.
    Free,
    /// As often as its route allows, one attempt at a time.
    Alone,
    /// Once, as a trial.
    Once,
}

/// A content under which a target may have ended.
#[derive(Clone, Debug)]
pub struct Suspect {
    pub content: Content,
    pub target: Endpoint,
    pub run: Run,
}

impl Suspect {
    /// A request that a target was asked to serve.
    pub fn request(content: Content, target: &Target, run: Run) -> Self {
        Self { content, target: target.into(), run }
    }
}

/// Finds out whether a target has ended whose connection broke under a content, and gives a strike if so. Goes on if the
/// future is dropped, which returns whether there is a strike, as far as that is known within a short time.
pub fn connection_broke(
    traffic: &Rc<Traffic>,
    suspect: Suspect,
) -> impl Future<Output = bool> + use<> {
    let (tell, told) = oneshot::channel();
    tokio::task::spawn_local(find(Rc::clone(traffic), suspect, tell));
    async move { matches!(timeout(FINDING_WAIT, told).await, Ok(Ok(true))) }
}

async fn find(traffic: Rc<Traffic>, suspect: Suspect, tell: oneshot::Sender<bool>) {
    let at = clock::now();
    let mut tell = Some(tell);
    let mut tell = |struck| {
        // The request may have gone on, or have a final answer.
        let _ = tell.take().map(|tell| tell.send(struck));
    };
    let Suspect { content, ref target, run } = suspect;
    for _ in 0..LOOKS_MAX {
        let look = ended::look(&traffic, target, Cause::ConnectionBroke);
        // A target that ends may still take a connection. What ends beside it would strike the content a second time, so one
        // that is suspected does not move on before that is settled.
        let is_free = traffic.crashes.verdict(content, clock::now()) == Verdict::Free;
        if is_free && look.first.await == Finding::Sound {
            tell(false);
        }
        let finding = look.settled.await;
        METERS.broken_connection(finding.name());
        info!(content:% = content, target_id = &*target.id, born = target.started_ms, finding = finding.name(), events = run.reached; "connection broke under a content");
        match finding {
            Finding::Sound => return,
            Finding::Ended => {
                let effect = record_end(&traffic, &suspect, at);
                tell(effect != Effect::Passed);
                return keep(&traffic, &suspect).await;
            }
            Finding::Unknown => sleep(LOOK_DELAY).await,
        }
    }
}

/// Records that a target has ended under a content, and tells other hosts.
pub fn record_end(traffic: &Rc<Traffic>, suspect: &Suspect, at: Time) -> Effect {
    let Suspect { content, ref target, run } = *suspect;
    let end = Strike { target: target.id.clone(), started_ms: target.started_ms, at };
    let effect = traffic.crashes.ended(content, end, run, clock::now());
    METERS.target_end(effect.name());
    if effect != Effect::Known {
        traffic.changes.tell_at_once(content);
    }
    effect
}

/// Keeps a content in the store if several targets ended under it.
pub async fn keep(traffic: &Rc<Traffic>, suspect: &Suspect) {
    let record = traffic.crashes.record(suspect.content);
    if let Some(record) = record.filter(Record::is_stored) {
        held::keep(&traffic.store, suspect.content, &record).await;
    }
}

/// Records that a target has answered a content.
pub fn answered(traffic: &Rc<Traffic>, content: impl FnOnce() -> Content) {
    if traffic.crashes.is_empty() {
        return;
    }
    let content = content();
    let Some(before) = traffic.crashes.answered(content, clock::now()) else {
        return;
    };
    traffic.changes.tell(content);
    if before.is_stored() {
        tokio::task::spawn_local(held::forget(traffic.store.clone(), content));
    }
}

/// Whether the content of a request is held, with the time left. A trial counts as held; `admit` begins it.
pub fn held_for(traffic: &Traffic, call: &Call) -> Option<Duration> {
    if traffic.crashes.is_empty() {
        return None;
    }
    let now = clock::now();
    match traffic.crashes.verdict(call.content(), now) {
        Verdict::Free | Verdict::Suspect => None,
        Verdict::Held(until) => Some(until.saturating_sub(now).max(RETRY_AFTER_MIN)),
        Verdict::Trial => Some(RETRY_AFTER_MIN),
    }
}

/// Decides how a request may be sent, or returns the time after which it may come back.
pub async fn admit(traffic: &Rc<Traffic>, call: &Call) -> Result<Admission, Duration> {
    if traffic.crashes.is_empty() {
        return Ok(Admission::Free);
    }
    let (content, now) = (call.content(), clock::now());
    let left = match traffic.crashes.verdict(content, now) {
        Verdict::Free => return Ok(Admission::Free),
        Verdict::Suspect => return Ok(Admission::Alone),
        Verdict::Trial if begin_trial(traffic, content).await => {
            METERS.held_request("trial");
            info!(request = &*call.id, content:% = content; "request sent as the trial of its content");
            return Ok(Admission::Once);
        }
        Verdict::Trial => RETRY_AFTER_MIN,
        Verdict::Held(until) => until.saturating_sub(now).max(RETRY_AFTER_MIN),
    };
    METERS.held_request("refused");
    info!(request = &*call.id, content:% = content, retry_after_ms = crate::logging::ms(left); "request refused: targets ended under its content");
    Err(left)
}

/// Asks the host that decides on the trials of a content. Without its answer there is no trial.
async fn begin_trial(traffic: &Rc<Traffic>, content: Content) -> bool {
    let decider = decider(traffic, content);
    if decider.is_none() || decider == traffic.settings.peer {
        return traffic.crashes.begin_trial(content, clock::now());
    }
    let (Some(host), Some(record)) = (decider, traffic.crashes.record(content)) else {
        return false;
    };
    let trial = Trial { suspect: Some(peer::Suspect::new(content, &record)) };
    let response = traffic.peers.call(host, Kind::Trial(trial), TIMEOUT).await;
    response.is_some_and(|response| response.served)
}

/// Host that decides on the trials of a content; `None` if this one knows no host, not even its own address.
fn decider(traffic: &Traffic, content: Content) -> Option<SocketAddr> {
    let others = traffic.hosts.all();
    let others = others.iter().filter_map(|host| host.peer);
    let hosts = others.chain(traffic.settings.peer);
    hosts.max_by_key(|host| xxh3_64(format!("{host} {content}").as_bytes()))
}

/// Answers a host that asks for a trial. Returns whether it may begin.
pub fn grant_trial(traffic: &Traffic, trial: Trial) -> bool {
    let Some(Ok((content, record))) = trial.suspect.map(TryInto::try_into) else {
        return false;
    };
    traffic.crashes.merge(content, record, clock::now());
    traffic.crashes.begin_trial(content, clock::now())
}

/// Adopts what another host knows of contents.
pub fn apply(traffic: &Traffic, suspects: Vec<peer::Suspect>) {
    for suspect in suspects {
        match suspect.try_into() {
            Ok((content, record)) => {
                traffic.crashes.merge(content, record, clock::now());
            }
            Err(error) => {
                let error: std::array::TryFromSliceError = error;
                info!(reason:% = error; "message about a content skipped: its hash is malformed");
            }
        }
    }
}

/// Answers a host that asks for all contents.
pub fn all(traffic: &Traffic) -> Suspects {
    let all = traffic.crashes.all();
    Suspects {
        suspects: all
            .iter()
            .map(|(content, record)| peer::Suspect::new(*content, record))
            .collect(),
    }
}

/// Asks other hosts for the contents that they know: often after the start, as others may not tell this one of news yet, and
/// seldom later.
pub async fn pull(traffic: Rc<Traffic>) {
    let mut pulls = 0;
    loop {
        let hosts = traffic.hosts.all();
        let hosts: Vec<SocketAddr> = hosts.iter().filter_map(|host| host.peer).collect();
        if hosts.is_empty() {
            sleep(NO_HOST_DELAY).await;
            continue;
        }
        let host = hosts[rand::random_range(0..hosts.len())];
        let request = Kind::Suspects(SuspectsRequest {});
        let response = traffic.peers.call(host, request, TIMEOUT).await;
        if let Some(response) = response.filter(|response| response.served)
            && let Ok(known) = Suspects::decode(response.body)
        {
            apply(&traffic, known.suspects);
        }
        pulls += 1;
        let is_first = pulls < FIRST_PULLS;
        sleep(if is_first { FIRST_PULL_INTERVAL } else { PULL_INTERVAL }).await;
    }
}
