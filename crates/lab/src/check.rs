//! Checks the promises P1 to P9 while a fleet runs.
//!
//! The other modules call these functions when something happens that a promise restricts, such as a dispatch or the
//! delivery of a batch. `finish` compares the claims made during the run with what was executed (P5, P6). The crate's
//! root lists the promises.

use std::collections::{BTreeMap, BTreeSet};

use lagoonyard::{
    code::Kind,
    core::{
        request::{Answer, Attempt, Call, Output, Work},
        settings::Policy,
        stream::Group,
    },
    prelude::*,
};

use crate::{Fleet, engine, fleet::Reply, poison::Tracker};

/// Time after a target starts leaving during which it may still get new work.
pub const DISPATCH_AFTER_LEAVING_MAX: Duration = Duration::from_secs(5);

/// Time after a crash or a cut in which an incomplete answer may be caused by it rather than by a drain.
const DISTURBANCE_WINDOW: Duration = Duration::from_secs(60);

/// Time to detect a crashed target: two failed polls one second apart, with replies that lag by half a second.
const CRASH_DETECTION_TIME: Duration = Duration::from_secs(3);

/// Record of requests, executions and answers, and the violations found so far.
#[derive(Debug, Default)]
pub struct Checks {
    pub violations: Vec<String>,
    /// Work submitted by callers.
    pub submitted: BTreeMap<Ticket, Work>,
    /// Tickets of generations that an engine accepted.
    accepted: BTreeSet<Ticket>,
    /// Tickets of generations answered with "not run".
    not_run: BTreeSet<Ticket>,
    /// Bodies of calls answered with "not run".
    bodies_not_run: BTreeSet<Box<str>>,
    /// Last crash of a target or cut of a link.
    pub last_disturbance: Option<Time>,
    pub last_crash: Option<Time>,
    /// Highest configuration revision that each host has had in force.
    highest_revisions: BTreeMap<HostId, Revision>,
    /// Number of times that a poisonous prompt crashed a target.
    pub poison_crashes: u32,
    pub poison: Tracker,
    pub answered: u64,
    /// Tokens in complete answers to callers.
    pub answered_tokens: u64,
    pub refused: BTreeMap<u16, u64>,
}

impl Checks {
    pub fn report_violation(&mut self, now: Time, text: impl AsRef<str>) {
        self.violations.push(format!("{:.3} {}", now.as_secs_f64(), text.as_ref()));
    }
}

/// Checks a reply that reached its client (P4 and the cut streams of P8) and records "not run" claims for P5.
pub fn reply(fleet: &mut Fleet, host: &HostId, ticket: Ticket, reply: &Reply) {
    let now = fleet.now;
    let draining = fleet.hosts.get(host).is_some_and(|host| host.draining_since.is_some());
    let checks = &mut fleet.checks;
    let Some(work) = checks.submitted.get(&ticket).cloned() else {
        return;
    };
    match (reply, work) {
        (Reply::Answer(Answer::Done(output)), work) => {
            checks.answered += 1;
            if let Output::Text(text) = output {
                checks.answered_tokens += text.text.len() as u64 / 2;
            }
            if !is_complete_answer(&work, output) {
                checks.report_violation(
                    now,
                    format!("P4 ticket {ticket} got {output:?} for {work:?}"),
                );
            }
        }
        (Reply::Answer(Answer::Error { code, .. }), work) => {
            *checks.refused.entry(*code as u16).or_default() += 1;
            match (code.kind(), &work) {
                (Kind::NotRun, Work::Generate(_)) => _ = checks.not_run.insert(ticket),
                (Kind::NotRun, Work::Call(call)) => _ = checks.bodies_not_run.insert(body(call)),
                _ => {}
            }
            // A crashed target may have cut the request instead of the drain.
            let disturbed = checks.last_disturbance.is_some_and(|at| now < at + DISTURBANCE_WINDOW);
            if draining && *code == Code::Incomplete && !disturbed {
                checks.report_violation(
                    now,
                    format!("P8 ticket {ticket} was cut by the drain of {host}"),
                );
            }
        }
        _ => {}
    }
}

/// Records that an engine accepted an attempt.
pub fn record_accepted(checks: &mut Checks, attempt: &Attempt) {
    checks.accepted.extend(attempt.ticket);
}

/// Checks that the target of a dispatch is not leaving (P7).
pub fn dispatch(fleet: &mut Fleet, host: &HostId, target: &TargetId) {
    let leaving = fleet.engines.get(target).and_then(|engine| engine.leaving);
    let leaving =
        leaving.or_else(|| fleet.services.get(target).and_then(|service| service.leaving));
    if leaving.is_some_and(|since| fleet.now > since + DISPATCH_AFTER_LEAVING_MAX) {
        fleet
            .checks
            .report_violation(fleet.now, format!("P7 {target} got work from {host} while leaving"));
    }
}

/// Checks that a configuration that comes into force is not older than the host's last one (P9).
pub fn config_in_force(fleet: &mut Fleet, host: &HostId, revision: Revision) {
    let now = fleet.now;
    let high = fleet.checks.highest_revisions.entry(host.clone()).or_default();
    let before = *high;
    *high = before.max(revision);
    let zone = fleet.hosts[host].zone.clone();
    // A restarted host has lost its state, so it can only learn of revisions that a live host within reach has in
    // force.
    let exceeded = fleet.hosts.iter().any(|(id, other)| {
        id != host
            && other.core.is_some()
            && !other.frozen
            && other.revision > revision
            && fleet.delay(&zone, &other.zone).is_some()
    });
    if revision < before && !exceeded {
        fleet.trace_line(format!(
            "{host} returned from revision {before} to {revision}, the highest within reach"
        ));
    }
    if revision < before && exceeded {
        fleet.checks.report_violation(
            now,
            format!("P9 {host} returned from revision {before} to {revision}"),
        );
    }
    fleet.trace_line(format!("{host} has revision {revision} in force"));
}

/// Checks that a host has no open requests when its process exits after a drain (P8).
pub fn exit(fleet: &mut Fleet, host: &HostId) {
    let open = fleet.open_tickets(host);
    fleet.trace_line(format!("{host} exits"));
    for ticket in open {
        let work = fleet.checks.submitted.get(&ticket).cloned();
        fleet.checks.report_violation(
            fleet.now,
            format!("P8 {host} exited with ticket {ticket} open: {work:?}"),
        );
    }
}

/// Checks that at least one engine of the model keeps serving when another starts to load weights.
///
/// Skipped for the baseline policy, and after a crash that no host can have detected yet.
pub fn weight_load(fleet: &mut Fleet, target: &TargetId) {
    let now = fleet.now;
    let undetected = fleet.checks.last_crash.is_some_and(|at| now < at + CRASH_DETECTION_TIME);
    if fleet.policy == Policy::Baseline || undetected {
        return;
    }
    let Some(model) = fleet.engines.get(target).map(|engine| engine.model.clone()) else {
        return;
    };
    let up = fleet
        .engines
        .values()
        .filter(|engine| engine.model == model && engine.up && engine.leaving.is_none());
    let (up, loading) = up.fold((0, 0), |(up, loading), engine| {
        (up + 1, loading + u32::from(engine.loading_until.is_some_and(|until| until > now)))
    });
    if up >= 2 && loading == up {
        fleet
            .checks
            .report_violation(now, format!("all {up} engines of {model} are loading at once"));
    }
}

/// Checks a batch that a trainer received (P1, P2, P3).
pub fn batch(fleet: &mut Fleet, trainer: &TrainerId, groups: &[Group]) {
    let now = fleet.now;
    let Some(row) = fleet.trainers.get_mut(trainer) else {
        return;
    };
    let mut violations = Vec::new();
    for group in groups {
        if !row.groups_seen.insert(group.prompt_index) {
            violations.push(format!("P3 {trainer} got prompt {} twice", group.prompt_index));
        }
        if group.samples.len() as u32 != row.group_size {
            violations.push(format!("P3 {trainer} got a group of {} samples", group.samples.len()));
        }
        for sample in &group.samples {
            if !row.samples_seen.insert(sample.id.clone()) {
                violations.push(format!("P3 {trainer} got sample {} twice", sample.id));
            }
            let reported: Vec<(u64, u32)> = sample
                .segments
                .iter()
                .map(|part| (part.version.unwrap_or(u64::MAX) % 64, part.tokens))
                .collect();
            if reported != engine::version_runs(&sample.text) {
                violations.push(format!("P1 sample {} reports versions {reported:?}", sample.id));
            }
            let oldest = sample.segments.iter().filter_map(|part| part.version).min().unwrap_or(0);
            let staleness = row.version.saturating_sub(oldest);
            row.staleness.push(staleness);
            if staleness > row.staleness_bound {
                violations.push(format!("P2 sample {} is {staleness} versions old", sample.id));
            }
        }
    }
    violations.into_iter().for_each(|text| fleet.checks.report_violation(now, text));
}

/// Checks P5 and P6 at the end of a run and returns all violations.
pub fn finish(fleet: &mut Fleet) -> &[String] {
    let now = fleet.now;
    let checks = &mut fleet.checks;
    let mut violations = Vec::new();
    for ticket in checks.not_run.intersection(&checks.accepted) {
        violations
            .push(format!("P5 ticket {ticket} was answered \"not run\" but an engine accepted it"));
    }
    for body in &checks.bodies_not_run {
        if fleet.ledger.runs.contains_key(body) {
            violations.push(format!("P5 {body} was answered \"not run\" but ran"));
        }
    }
    for (body, &runs) in &fleet.ledger.runs {
        if runs > 1 {
            violations.push(format!("P6 {body} ran {runs} times"));
        }
    }
    violations.into_iter().for_each(|text| checks.report_violation(now, text));
    &checks.violations
}

fn is_complete_answer(work: &Work, output: &Output) -> bool {
    match (work, output) {
        (Work::Generate(generate), Output::Text(text)) => {
            text.finish_reason.is_some() && engine::is_complete(generate, &text.text)
        }
        (Work::Call(call), Output::Response(response)) => {
            response.body == format!("ran {}", body(call))
        }
        _ => false,
    }
}

fn body(call: &Call) -> Box<str> {
    String::from_utf8_lossy(&call.body).into()
}
