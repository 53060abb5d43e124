//! Answers operators who ask where a request or the next item of a job would go. Reads only.

use std::rc::Rc;

use bytes::Bytes;
use prost::Message;
use tokio::{sync::oneshot, time::timeout};

use crate::{
    build::BUILD,
    clock,
    config::{self, Config, Kind},
    dialect::Head,
    dry_run::{
        Ages, Answer, Candidate, Exclusion, Inputs, Inquiry, Plan, Question, Refusal, Route,
        Subject, TargetInputs, Wait,
    },
    fleet::Target,
    logging::ms,
    peer::{DryRun, DryRunReply},
    prelude::*,
    traffic::{
        Report, access,
        channel::Demand,
        exchange::{self, Repeat},
        permit,
        pool::Score,
        select::{Selection, Wanted, select},
        serve::Traffic,
        stream,
    },
    view::View,
    workspace::Caller,
};

/// Time for the control thread to answer.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers a question, as the body of a response.
pub async fn answer(traffic: &Rc<Traffic>, message: DryRun) -> Bytes {
    let answer = match traffic.dry_runs.enter() {
        Some(_slot) => explain(traffic, message.into()).await.into(),
        None => Answer::Refused(Refusal::Busy),
    };
    DryRunReply::new(&answer).encode_to_vec().into()
}

async fn explain(traffic: &Traffic, question: Question) -> Result<Plan, Refusal> {
    let view = traffic.view.load_full();
    let config = view.config.as_deref().ok_or(Refusal::NoConfig)?;
    let head = Head { credential: question.credential, ..Head::default() };
    let (mut plan, caller) = match question.subject {
        Subject::Request { host, path, id } => {
            let head = Head { id, host, ..head };
            let route = config.route(&head.host, &path).ok_or(Refusal::UnknownRoute)?;
            let caller = access::admit_routed(traffic, &view, route, &head)?;
            (plan_request(traffic, &view, route, &head.id, &caller).await?, caller)
        }
        Subject::Job(job) => {
            let caller = access::admit(traffic, &view, &head)?;
            let inquiry = Inquiry::Job { job, caller: caller.clone() };
            (ask_leader(traffic, &view, config, inquiry).await?, caller)
        }
    };
    plan.host = traffic.settings.host.clone();
    plan.build = BUILD.clone();
    if let Some(workspace) = caller.workspace() {
        plan.workspace = Some(workspace.name.clone());
    }
    let now = clock::now();
    plan.ages = Ages {
        config_version: config.version,
        config: view.knowledge.proven_at.map(|at| now.saturating_sub(at)),
        registrations: traffic.freshness.age(now),
    };
    plan.truncate();
    Ok(plan)
}

async fn plan_request(
    traffic: &Traffic,
    view: &View,
    route: &config::Route,
    id: &str,
    caller: &Caller,
) -> Result<Plan, Refusal> {
    if id.is_empty() && route.services.len() > 1 {
        return Err(Refusal::NeedsId { route: route.name.clone() });
    }
    let service = route.service(id).cloned().unwrap_or_default();
    let priority = caller.priority(route);
    let plan = match (route.kind, view.config.as_deref()) {
        (Kind::Job, Some(config)) => {
            ask_leader(traffic, view, config, Inquiry::Service(service)).await?
        }
        _ => plan_target(traffic, view, (route, id), (service, priority)),
    };
    let kind = route.kind.name().into();
    Ok(Plan { route: Some(Route { name: route.name.clone(), kind, priority }), ..plan })
}

/// Connection that the first attempt of a request needs.
fn first_demand<'a>(route: &config::Route, id: &'a str) -> Demand<'a> {
    match route.kind {
        Kind::Stream { .. } => stream::demand(id, route.kind),
        Kind::NonIdempotent | Kind::Job => exchange::demand(id, Repeat::Never),
        Kind::Idempotent => exchange::demand(id, Repeat::AfterDoubt),
    }
}

fn plan_target(
    traffic: &Traffic,
    view: &View,
    (route, id): (&config::Route, &str),
    (service, priority): (ServiceId, u32),
) -> Plan {
    let (now, demand) = (std::time::Instant::now(), first_demand(route, id));
    let connection = |target: &Target| traffic.channels.connection(target.address, demand);
    let pool = traffic.pool.borrow();
    let wanted = Wanted { service: &service, excluded: Vec::new() };
    let refused_for = |id: &str| permit::refused_for(traffic, id, priority);
    let Selection { target, refused } = select(&pool, view, wanted, refused_for, connection, now);
    let chosen = target.map(|target| target.id.clone());
    let weighed = pool.weigh(view, &service, &[], connection, now);
    let mut ranked: Vec<_> = weighed
        .map(|(target, score)| {
            let limited = refused.iter().find(|(id, _)| *id == target.id);
            let limited = limited.map(|(_, left)| Exclusion::Limited { left_ms: ms(*left) });
            let exclusion = limited.or(score.err()).or(score.ok().and_then(|it| it.avoided));
            // A target that takes no requests is listed with the inputs that it would have.
            let score = score.unwrap_or_else(|_| pool.score(target, connection(target), now));
            let is_chosen = chosen.as_ref() == Some(&target.id);
            let rank = (!is_chosen, exclusion.is_some(), score.expected());
            (rank, candidate(target, score, exclusion.filter(|_| !is_chosen)))
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let candidates: Vec<Candidate> = ranked.into_iter().map(|(_, candidate)| candidate).collect();
    let reason = if candidates.is_empty() { "no_target" } else { "all_excluded" };
    let wait = chosen.is_none().then(|| Wait::new(reason));
    Plan { service, chosen, wait, candidates, ..Plan::default() }
}

fn candidate(target: &Target, score: Score, exclusion: Option<Exclusion>) -> Candidate {
    let inputs = Inputs::Target(TargetInputs {
        expected: score.expected(),
        average: score.average,
        in_flight: score.in_flight,
        slots: score.slots,
        zone_penalty: score.zone,
        setup: score.setup,
    });
    Candidate { id: target.id.clone(), zone: target.zone.clone(), exclusion, inputs }
}

/// Asks the control thread, which knows the engines of the services that this host leads. Names the other leaders if it
/// leads none that can tell.
async fn ask_leader(
    traffic: &Traffic,
    view: &View,
    config: &Config,
    inquiry: Inquiry,
) -> Result<Plan, Refusal> {
    let service = match &inquiry {
        Inquiry::Service(service) => Some(service.clone()),
        Inquiry::Job { .. } => None,
    };
    let (reply, replied) = oneshot::channel();
    let asked = traffic.reports.send(Report::DryRun { inquiry, reply });
    asked.map_err(|_| Refusal::NoAnswer)?;
    let replied = timeout(CONTROL_TIMEOUT, replied).await.ok().and_then(Result::ok);
    match replied.ok_or(Refusal::NoAnswer)? {
        Err(Refusal::Elsewhere { .. }) => Err(elsewhere(traffic, view, config, service.as_ref())),
        result => result.map(|plan| *plan),
    }
}

/// The other leaders of a service, or of all engine services.
fn elsewhere(
    traffic: &Traffic,
    view: &View,
    config: &Config,
    service: Option<&ServiceId>,
) -> Refusal {
    let is_asked = |name: &ServiceId| service.is_none_or(|service| service == name);
    let others = view
        .leaders
        .iter()
        .filter(|(name, address)| is_asked(name) && Some(**address) != traffic.settings.peer);
    let mut leaders: Vec<_> = others.map(|(_, address)| *address).collect();
    leaders.sort_unstable();
    leaders.dedup();
    if !leaders.is_empty() {
        return Refusal::Elsewhere { leaders };
    }
    if let Some(service) = service {
        return Refusal::NoLeader { service: service.clone() };
    }
    let mut engines = config.services.iter().filter(|it| it.engines);
    match engines.find(|it| !view.leaders.contains_key(&it.name)) {
        Some(unled) => Refusal::NoLeader { service: unled.name.clone() },
        None => Refusal::UnknownJob,
    }
}
