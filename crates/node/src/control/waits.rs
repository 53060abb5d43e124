//! Logs and counts the items that are at no engine.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use log::info;

use crate::{
    control::{leader::Leader, state::Control},
    job::{IDLE_MIN, Reason, Wait},
    logging::ms,
    metrics::METERS,
    prelude::*,
};

/// Interval at which the waiting items are looked at.
const INTERVAL: Duration = Duration::from_millis(500);
/// Lines for each reason in one pass.
const LINES_PER_REASON: usize = 3;

/// State between two passes.
#[derive(Debug, Default)]
pub(super) struct Waits {
    observed_at: Time,
    /// Reasons with a count in the last pass.
    counted: BTreeSet<&'static str>,
    /// Jobs that were not read at the last pass, and since when.
    unread: HashMap<JobId, Time>,
}

/// Idle items of one pass.
#[derive(Debug)]
pub struct Summary<'a> {
    /// Time since the pass before.
    passed: Duration,
    counts: BTreeMap<&'static str, u64>,
    due: BTreeMap<&'static str, Due<'a>>,
}

/// Items with one reason that are due to be logged.
#[derive(Debug, Default)]
struct Due<'a> {
    /// Those that have waited longest, in falling order.
    longest: Vec<Wait<'a>>,
    /// Number of the others.
    others: usize,
}

impl<'a> Summary<'a> {
    pub fn new(passed: Duration) -> Self {
        Self { passed, counts: BTreeMap::new(), due: BTreeMap::new() }
    }

    /// Adds an idle item.
    pub fn add(&mut self, wait: Wait<'a>) {
        let name = wait.reason.name();
        self.count(name, 1);
        if !is_due(wait.waited, self.passed) {
            return;
        }
        let due = self.due.entry(name).or_default();
        let place = due.longest.partition_point(|other| other.waited >= wait.waited);
        due.longest.insert(place, wait);
        if due.longest.len() > LINES_PER_REASON {
            due.longest.pop();
            due.others += 1;
        }
    }

    fn count(&mut self, reason: &'static str, items: u64) {
        let count = self.counts.entry(reason).or_default();
        *count = count.saturating_add(items);
    }

    /// Number of idle items by reason.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Items to log, each with the number of further items that wait for the same.
    pub fn lines(&self) -> impl Iterator<Item = (&Wait<'a>, usize)> {
        self.due.values().flat_map(|due| due.longest.iter().map(|wait| (wait, due.others)))
    }

    fn log(&self) {
        for (wait, others) in self.lines() {
            let Wait { job, item, host, waited, attempts, reason } = wait;
            info!(job = &***job, item = &*item.id, content:% = item.content(host), waited_ms = ms(*waited), attempts, reason = reason.name(), detail:% = reason, others; "item is at no engine");
        }
    }
}

/// Whether an item is to be logged: once it is idle, and again each time that it has waited as long again.
fn is_due(waited: Duration, passed: Duration) -> bool {
    let times = |waited: Duration| waited.as_millis() / IDLE_MIN.as_millis();
    times(waited) > times(waited.saturating_sub(passed))
}

impl Control {
    /// Logs and counts the items of led services that are at no engine, if a pass is due.
    pub(super) fn observe_waits(&mut self, now: Time) {
        let passed = now.saturating_sub(self.waits.observed_at);
        if passed < INTERVAL {
            return;
        }
        let unread = self.unread_jobs(now);
        let mut summary = Summary::new(passed);
        for (service, leader) in &self.leaders {
            let blocked = self.blocked(service, leader);
            leader.visit_idle(now, blocked.as_ref(), &mut |wait| summary.add(wait));
        }
        summary.log();
        let reason = Reason::JobNotRead.name();
        for (job, since) in &unread {
            let waited = now.saturating_sub(*since);
            let head = self.store_state.job_heads.get(job).filter(|_| waited >= IDLE_MIN);
            let Some(items) = head.map(|head| head.record.total) else {
                continue;
            };
            summary.count(reason, items as u64);
            if is_due(waited, passed) {
                info!(job = &**job, items, waited_ms = ms(waited), reason; "items of a job are at no engine");
            }
        }
        let mut counted = std::mem::take(&mut self.waits.counted);
        for (reason, count) in summary.counts() {
            METERS.idle_items(reason, *count);
            counted.remove(reason);
        }
        for reason in counted {
            METERS.idle_items(reason, 0);
        }
        let counted = summary.counts().keys().copied().collect();
        self.waits = Waits { observed_at: now, counted, unread };
    }

    /// What keeps a leader from starting any item.
    pub(super) fn blocked(&self, service: &str, leader: &Leader) -> Option<Reason> {
        let is_leaving = self.hand_over_deadline.is_some() || self.resigning.contains_key(service);
        match leader.fence() {
            None => Some(Reason::NoFencingToken),
            Some(_) if is_leaving => Some(Reason::HandingOver),
            Some(_) => None,
        }
    }

    /// Open jobs of led services that the leader has not read, with the times since when.
    fn unread_jobs(&self, now: Time) -> HashMap<JobId, Time> {
        let is_unread =
            |id: &JobId, leader: &Leader| leader.leads() && leader.queue.get(id).is_none();
        let open = self.store_state.job_heads.iter().filter(|(_, head)| !head.record.ended);
        open.filter(|(id, head)| {
            self.leaders.get(&head.record.service).is_some_and(|leader| is_unread(id, leader))
        })
        .map(|(id, _)| (id.clone(), self.waits.unread.get(id).copied().unwrap_or(now)))
        .collect()
    }
}
