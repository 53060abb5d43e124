//! Checks of the promises, made while a fleet runs.

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

use crate::{Fleet, engine, fleet::Reply, strike::Strikes};

/// Longest time between the leaving of a target and the last new work for it.
pub const LEAVING_MAX: Duration = Duration::from_secs(5);

/// Time after a crash or a cut in which a broken answer may be due to it.
const DISTURBED: Duration = Duration::from_secs(60);

/// Time in which two polls a second apart, with answers that lag by half a second, show that a target is gone.
const DETECTED: Duration = Duration::from_secs(3);

/// What was asked, ran and was promised.
#[derive(Debug, Default)]
pub struct Checks {
    pub violations: Vec<String>,
    /// Work of each ticket of a caller.
    pub asked: BTreeMap<Ticket, Work>,
    /// Tickets of generations that an engine took.
    ran: BTreeSet<Ticket>,
    /// Tickets of generations that were told "not run".
    not_run: BTreeSet<Ticket>,
    /// Bodies of calls whose callers were told "not run".
    bodies_not_run: BTreeSet<Box<str>>,
    /// When a target last crashed or a link was last cut.
    pub disturbed: Option<Time>,
    /// When a target last crashed.
    pub crashed: Option<Time>,
    /// Highest revision that each host had in force.
    high: BTreeMap<HostId, Revision>,
    /// Targets that a poisonous prompt ended.
    pub poison_crashes: u32,
    pub strikes: Strikes,
    pub answered: u64,
    /// Tokens in whole answers to callers.
    pub answered_tokens: u64,
    pub refused: BTreeMap<u16, u64>,
}

impl Checks {
    /// Notes a broken promise.
    pub fn broken(&mut self, now: Time, text: impl AsRef<str>) {
        self.violations.push(format!("{:.3} {}", now.as_secs_f64(), text.as_ref()));
    }
}

/// An answer reached whoever waits for it: P4, and the claims that `finish` checks for P5.
pub fn reply(fleet: &mut Fleet, host: &HostId, ticket: Ticket, reply: &Reply) {
    let now = fleet.now;
    let draining = fleet.hosts.get(host).is_some_and(|host| host.draining_since.is_some());
    let checks = &mut fleet.checks;
    let Some(work) = checks.asked.get(&ticket).cloned() else {
        return;
    };
    match (reply, work) {
        (Reply::Answer(Answer::Done(output)), work) => {
            checks.answered += 1;
            if let Output::Text(text) = output {
                checks.answered_tokens += text.text.len() as u64 / 2;
            }
            if !is_own(&work, output) {
                checks.broken(now, format!("P4 ticket {ticket} got {output:?} for {work:?}"));
            }
        }
        (Reply::Answer(Answer::Error { code, .. }), work) => {
            *checks.refused.entry(*code as u16).or_default() += 1;
            match (code.kind(), &work) {
                (Kind::NotRun, Work::Generate(_)) => _ = checks.not_run.insert(ticket),
                (Kind::NotRun, Work::Call(call)) => _ = checks.bodies_not_run.insert(body(call)),
                _ => {}
            }
            // A target that crashed may have cut the request as well.
            let disturbed = checks.disturbed.is_some_and(|at| now < at + DISTURBED);
            if draining && *code == Code::Incomplete && !disturbed {
                checks.broken(now, format!("P8 ticket {ticket} was cut by the stop of {host}"));
            }
        }
        _ => {}
    }
}

/// An engine took an attempt.
pub fn ran(checks: &mut Checks, attempt: &Attempt) {
    checks.ran.extend(attempt.ticket);
}

/// New work goes to a target: P7.
pub fn dispatched(fleet: &mut Fleet, host: &HostId, target: &TargetId) {
    let leaving = fleet.engines.get(target).and_then(|engine| engine.leaving);
    let leaving =
        leaving.or_else(|| fleet.services.get(target).and_then(|service| service.leaving));
    if leaving.is_some_and(|since| fleet.now > since + LEAVING_MAX) {
        fleet
            .checks
            .broken(fleet.now, format!("P7 {target} gets work from {host} though it leaves"));
    }
}

/// A configuration comes into force: P9.
pub fn in_force(fleet: &mut Fleet, host: &HostId, revision: Revision) {
    let now = fleet.now;
    let high = fleet.checks.high.entry(host.clone()).or_default();
    let before = *high;
    *high = before.max(revision);
    let zone = fleet.hosts[host].zone.clone();
    // A restarted host keeps nothing, so it cannot know of a revision that no live host within its reach has in force.
    let known = fleet.hosts.iter().any(|(id, other)| {
        id != host
            && other.core.is_some()
            && !other.frozen
            && other.revision > revision
            && fleet.delay(&zone, &other.zone).is_some()
    });
    if revision < before && !known {
        fleet.note(format!(
            "{host} went back from revision {before} to {revision}, which no live host in its reach exceeds"
        ));
    }
    if revision < before && known {
        fleet
            .checks
            .broken(now, format!("P9 {host} went back from revision {before} to {revision}"));
    }
    fleet.note(format!("{host} has revision {revision} in force"));
}

/// A host's process ends after a drain: P8.
pub fn exits(fleet: &mut Fleet, host: &HostId) {
    let open = fleet.open_at(host);
    fleet.note(format!("{host} exits"));
    for ticket in open {
        let work = fleet.checks.asked.get(&ticket).cloned();
        fleet
            .checks
            .broken(fleet.now, format!("P8 {host} exits with ticket {ticket} open: {work:?}"));
    }
}

/// An engine starts to load weights; the others of its model have to serve on, unless one crashed so lately that no
/// host can know it.
pub fn loading(fleet: &mut Fleet, target: &TargetId) {
    let now = fleet.now;
    let undetected = fleet.checks.crashed.is_some_and(|at| now < at + DETECTED);
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
        fleet.checks.broken(now, format!("all {up} engines of {model} load at once"));
    }
}

/// A trainer takes a batch: P1, P2, P3.
pub fn batch(fleet: &mut Fleet, trainer: &TrainerId, groups: &[Group]) {
    let now = fleet.now;
    let Some(row) = fleet.trainers.get_mut(trainer) else {
        return;
    };
    let mut faults = Vec::new();
    for group in groups {
        if !row.groups_seen.insert(group.prompt_index) {
            faults.push(format!("P3 {trainer} got prompt {} twice", group.prompt_index));
        }
        if group.samples.len() as u32 != row.group_size {
            faults.push(format!("P3 {trainer} got a group of {} samples", group.samples.len()));
        }
        for sample in &group.samples {
            if !row.samples_seen.insert(sample.id.clone()) {
                faults.push(format!("P3 {trainer} got sample {} twice", sample.id));
            }
            let named: Vec<(u64, u32)> = sample
                .segments
                .iter()
                .map(|part| (part.version.unwrap_or(u64::MAX) % 64, part.tokens))
                .collect();
            if named != engine::versions_in(&sample.text) {
                faults.push(format!("P1 sample {} names {named:?}", sample.id));
            }
            let oldest = sample.segments.iter().filter_map(|part| part.version).min().unwrap_or(0);
            let staleness = row.version.saturating_sub(oldest);
            row.staleness.push(staleness);
            if staleness > row.bound {
                faults.push(format!("P2 sample {} is {staleness} versions old", sample.id));
            }
        }
    }
    faults.into_iter().for_each(|fault| fleet.checks.broken(now, fault));
}

/// Last checks: P5 and P6.
pub fn finish(fleet: &mut Fleet) -> &[String] {
    let now = fleet.now;
    let checks = &mut fleet.checks;
    let mut faults = Vec::new();
    for ticket in checks.not_run.intersection(&checks.ran) {
        faults.push(format!("P5 ticket {ticket} was called \"not run\" and an engine took it"));
    }
    for body in &checks.bodies_not_run {
        if fleet.ledger.runs.contains_key(body) {
            faults.push(format!("P5 {body} was called \"not run\" and ran"));
        }
    }
    for (body, &runs) in &fleet.ledger.runs {
        if runs > 1 {
            faults.push(format!("P6 {body} ran {runs} times"));
        }
    }
    faults.into_iter().for_each(|fault| checks.broken(now, fault));
    &checks.violations
}

fn is_own(work: &Work, output: &Output) -> bool {
    match (work, output) {
        (Work::Generate(generate), Output::Text(text)) => {
            text.finish_reason.is_some() && engine::is_whole(generate, &text.text)
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
