//! Guards against items of which nobody can tell that they wait, since when, and for what.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{engine, engines, job, ms, outcome, text};
use lagoonyard_node::{
    control::waits::Summary,
    fleet::Target,
    job::{End, Engines, IDLE_MIN, Pending, Queue, Reason, Supply},
    prelude::*,
    rate::Limit,
};

const T0: Time = Duration::from_secs(1);

/// An idle item: its id, the time in ms for which it has waited, its runs without an event, and the reason.
type Idle = (String, u128, u32, Reason);

fn idle(queue: &Queue, engines: &Engines, now: Time) -> Vec<Idle> {
    idle_while(queue, engines, now, None)
}

fn idle_while(queue: &Queue, engines: &Engines, now: Time, blocked: Option<&Reason>) -> Vec<Idle> {
    let mut found = Vec::new();
    queue.visit_idle(now, engines, blocked, &mut |wait| {
        let item = wait.item.id.to_string();
        found.push((item, wait.waited.as_millis(), wait.attempts, wait.reason));
    });
    found
}

/// Reason of the only idle item.
fn reason(queue: &Queue, engines: &Engines, now: Time) -> Reason {
    let mut found = idle(queue, engines, now);
    assert_eq!(found.len(), 1, "{found:?}");
    found.remove(0).3
}

fn put(engines: &mut Engines, id: &str, change: impl FnOnce(&mut Target)) {
    let mut target = engine(id, 1);
    change(&mut target);
    engines.put(Arc::new(target));
}

/// Queue with job `j` of one item that no engine could take at `T0`.
fn waiting_queue(min_version: Version, engines: &mut Engines) -> Queue {
    let mut queue = Queue::default();
    queue.insert(job("j", min_version, &[("a", 1)]));
    assert!(queue.assign_next(T0, engines).is_none());
    queue
}

/// Ends the run of the item `a` of job `j`, as the leader does.
fn end(queue: &mut Queue, engines: &mut Engines, at: Time, target: &str, end: End, events: u64) {
    let mut outcome = outcome(("j", 0, "a"), target, end, text(events, 1));
    outcome.pace = (events > 0).then(|| ms(30));
    queue.record_run_end(&outcome, at);
    queue.finish_run(outcome, at, engines);
}

/// Guards against items that count as waiting before they have waited for long.
#[test]
fn an_item_is_idle_after_two_seconds() {
    let mut none = engines(&[]);
    let queue = waiting_queue(1, &mut none);
    assert!(idle(&queue, &none, T0 + IDLE_MIN - ms(1)).is_empty());
    let supply = Supply::default();
    let expected = ("a".to_owned(), 2_000, 0, Reason::NoEngineOpen(supply));
    assert_eq!(idle(&queue, &none, T0 + IDLE_MIN), [expected]);
}

/// Guards against a shortage of engines whose cause cannot be told.
#[test]
fn engines_that_are_not_open_are_counted_by_what_keeps_items_from_them() {
    let mut engines = engines(&[]);
    let queue = waiting_queue(2, &mut engines);
    let now = T0 + IDLE_MIN;
    put(&mut engines, "old", |_| {});
    for id in ["draining", "loading", "backing_off", "full", "limited"] {
        put(&mut engines, id, |target| {
            target.versions.insert("m".into(), 2);
            target.draining = id == "draining";
        });
    }
    put(&mut engines, "of another model", |target| {
        target.versions = [("n".into(), 2)].into();
    });
    engines.begin_load("loading", &"m".into());
    engines.back_off("backing_off", now);
    engines.start_run("full");
    engines.start_run("full");
    engines.set_limit("limited", Limit::new(0.1), now);
    let refused = (0..10).find(|_| engines.grant("limited", 0, now).is_err());
    assert!(refused.is_some(), "the quota is used up");
    let expected = Supply {
        registered: 6,
        outdated: 1,
        draining: 1,
        loading: 1,
        backing_off: 1,
        full: 1,
        limited: 1,
        open: 0,
        newest: Some(2),
    };
    assert_eq!(reason(&queue, &engines, now), Reason::NoEngineOpen(expected));
}

/// Guards against a wait for new weights that looks like a shortage of engines.
#[test]
fn an_item_may_wait_for_a_version() {
    let mut engines = engines(&[engine("e1", 1)]);
    let queue = waiting_queue(2, &mut engines);
    let expected = Reason::NoVersion { min: 2, newest: Some(1) };
    assert_eq!(reason(&queue, &engines, T0 + IDLE_MIN), expected);
}

/// Guards against a text that nobody can continue while engines are open, without a reason.
#[test]
fn an_item_may_wait_for_the_software_version_of_its_text() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(T0, &mut engines).unwrap();
    end(&mut queue, &mut engines, T0, "e1", End::Broken, 4);
    put(&mut engines, "e1", |target| target.draining = true);
    assert!(queue.assign_next(T0, &mut engines).is_none());
    put(&mut engines, "e2", |target| target.software = "v2".into());
    let expected = Reason::NoSoftware { software: "v1".into() };
    assert_eq!(reason(&queue, &engines, T0 + IDLE_MIN), expected);
}

/// Guards against an item that avoids the only open engine, without a reason.
#[test]
fn an_item_may_wait_for_another_engine_than_that_of_its_last_run() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(T0, &mut engines).unwrap();
    end(&mut queue, &mut engines, T0, "e1", End::NotRun, 0);
    assert!(queue.assign_next(T0, &mut engines).is_none());
    let now = T0 + IDLE_MIN;
    engines.advance(now);
    let expected = ("a".to_owned(), 2_000, 1, Reason::OnlyAvoided { target: "e1".into() });
    assert_eq!(idle(&queue, &engines, now), [expected]);
}

/// Guards against an item whose runs break, one after the other, and of which the log does not tell how long it waits.
#[test]
fn an_item_may_wait_since_its_runs_broke() {
    let all: Vec<Target> = (0..9).map(|number| engine(&format!("e{number}"), 1)).collect();
    let mut engines = engines(&all);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    let mut now = T0;
    for _ in 0..6 {
        now += ms(400);
        let run = queue.assign_next(now, &mut engines).unwrap();
        end(&mut queue, &mut engines, now, &run.target.unwrap(), End::Broken, 0);
    }
    let found = idle(&queue, &engines, now + ms(100));
    let expected = Reason::Delayed { left: ms(220) };
    assert_eq!(found, [("a".to_owned(), 2_100, 6, expected)]);
}

/// Guards against a leader that starts nothing, while its items seem to wait for engines.
#[test]
fn what_keeps_the_leader_from_starting_items_goes_first() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    for blocked in [Reason::NoFencingToken, Reason::HandingOver] {
        let found = idle_while(&queue, &engines, IDLE_MIN, Some(&blocked));
        assert_eq!(found, [("a".to_owned(), 2_000, 0, blocked)]);
    }
    queue.assign_next(T0, &mut engines).unwrap();
    let found = idle_while(&queue, &engines, T0 + IDLE_MIN, Some(&Reason::NoFencingToken));
    assert!(found.is_empty(), "the item runs: {found:?}");
}

/// Guards against a job that waits for others by decision, while its items seem to be forgotten.
#[test]
fn an_item_of_a_deferred_job_waits_for_what_others_leave() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    end(&mut queue, &mut engines, ms(100), "e1", End::Scored(None), 10);
    let none = &mut common::engines(&[]);
    queue.insert(job("late", 1, &[("b", 1_000_000)]));
    assert!(queue.assign_next(T0, none).is_none());
    let supply = Supply { registered: 1, open: 1, newest: Some(1), ..Supply::default() };
    assert_eq!(reason(&queue, &engines, T0 + IDLE_MIN), Reason::Deferred(supply));
}

/// Guards against an item behind others whose wait has no reason.
#[test]
fn items_may_wait_although_an_engine_is_open() {
    let mut engines = engines(&[]);
    let mut queue = Queue::default();
    let ids: Vec<String> = (0..12).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, u64)> = ids.iter().map(|id| (&**id, 1)).collect();
    queue.insert(job("j", 1, &items));
    assert!(queue.assign_next(T0, &mut engines).is_none());
    put(&mut engines, "e1", |_| {});
    let found = idle(&queue, &engines, T0 + IDLE_MIN);
    let supply = Supply { registered: 1, open: 1, newest: Some(1), ..Supply::default() };
    assert_eq!(found.len(), 12);
    assert!(found.iter().all(|(.., reason)| *reason == Reason::NotStarted(supply)), "{found:?}");
}

/// A run of the only item of job `j`.
fn pending(started_at: Time, target: &TargetId) -> Pending<'_> {
    let runner = Some("127.0.0.1:9".parse().unwrap());
    Pending { run: 7, item: 0, target, runner, started_at }
}

/// Wait of the item whose run is in progress: the time, the runs without an event, and how long the run is silent.
fn pending_wait(queue: &Queue, pending: &Pending, now: Time) -> Option<(Duration, u32, Duration)> {
    let wait = queue.get("j").unwrap().pending_wait(pending, now)?;
    let Reason::RunInProgress { run: 7, target, runner, silent } = wait.reason else {
        panic!("{:?}", wait.reason);
    };
    assert_eq!((&target, runner), (pending.target, pending.runner));
    Some((wait.waited, wait.attempts, silent))
}

/// Guards against a run that is in progress for the leader only.
#[test]
fn a_run_of_which_nothing_is_heard_is_told() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(T0, &mut engines).unwrap();
    let target: TargetId = "e1".into();
    let pending = pending(T0, &target);
    assert_eq!(pending_wait(&queue, &pending, T0 + IDLE_MIN - ms(1)), None);
    let expected = Some((IDLE_MIN, 0, IDLE_MIN));
    assert_eq!(pending_wait(&queue, &pending, T0 + IDLE_MIN), expected);
    queue.get_mut("j").unwrap().record_contact(0, T0 + ms(500));
    assert_eq!(pending_wait(&queue, &pending, T0 + IDLE_MIN), None, "an event was reported");
    let expected = Some((IDLE_MIN, 0, IDLE_MIN));
    assert_eq!(pending_wait(&queue, &pending, T0 + ms(500) + IDLE_MIN), expected);
    assert!(idle(&queue, &engines, T0 + IDLE_MIN).is_empty(), "it is not told twice");
}

/// Guards against a series of short runs none of which reaches an engine, of which each one looks sound.
#[test]
fn a_run_that_follows_runs_without_an_event_is_told() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    for at in [T0, T0 + ms(1_200)] {
        let start = queue.assign_next(at, &mut engines).unwrap();
        end(&mut queue, &mut engines, at + ms(1_100), &start.target.unwrap(), End::NotRun, 0);
    }
    let started_at = T0 + ms(2_400);
    let target = queue.assign_next(started_at, &mut engines).unwrap().target.unwrap();
    let pending = pending(started_at, &target);
    let expected = Some((ms(2_500), 2, ms(100)));
    assert_eq!(pending_wait(&queue, &pending, started_at + ms(100)), expected);
    queue.get_mut("j").unwrap().record_contact(0, started_at + ms(200));
    assert_eq!(pending_wait(&queue, &pending, started_at + ms(300)), None);
}

/// Guards against a wait that counts from before the item was last at an engine, or that a failed run cuts short.
#[test]
fn the_wait_begins_with_the_last_sign_of_an_engine() {
    for (ended, events, waited) in
        [(End::Broken, 3, 2_000), (End::Failed, 0, 2_000), (End::Broken, 0, 2_500)]
    {
        let mut engines = engines(&[engine("e1", 1)]);
        let mut queue = Queue::default();
        queue.insert(job("j", 1, &[("a", 1)]));
        queue.assign_next(T0, &mut engines).unwrap();
        end(&mut queue, &mut engines, T0 + ms(500), "e1", ended.clone(), events);
        let found = idle(&queue, &engines, T0 + ms(2_500));
        let attempts = u32::from(waited > 2_000);
        assert_eq!(found.len(), 1);
        assert_eq!((found[0].1, found[0].2), (waited, attempts), "{ended:?} after {events}");
    }
}

/// Guards against a run that counts as one without an event since its host was lost.
#[test]
fn a_run_whose_host_is_lost_may_have_had_events() {
    for (events, attempts) in [(0, 1), (3, 0)] {
        let mut engines = engines(&[engine("e1", 1)]);
        let mut queue = Queue::default();
        queue.insert(job("j", 1, &[("a", 1)]));
        queue.assign_next(T0, &mut engines).unwrap();
        let stopped = outcome(("j", 0, "a"), "e1", End::Stopped, text(events, 1));
        queue.record_run_end(&stopped, T0);
        queue.finish_run(stopped, T0, &mut engines);
        let found = idle(&queue, &engines, T0 + IDLE_MIN);
        assert_eq!((found[0].1, found[0].2), (2_000, attempts));
    }
}

/// Guards against items that count as being at no engine while they wait for their judge.
#[test]
fn an_item_that_waits_for_its_judge_is_not_idle() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(T0, &mut engines).unwrap();
    let mut unjudged = outcome(("j", 0, "a"), "e1", End::Unjudged, text(3, 1));
    unjudged.text_complete = true;
    queue.record_run_end(&unjudged, T0);
    queue.finish_run(unjudged, T0, &mut engines);
    assert!(idle(&queue, &engines, T0 + 2 * IDLE_MIN).is_empty());
}

/// Guards against a log that a backlog floods, and against one that hides how many wait.
#[test]
fn a_pass_logs_a_few_items_and_the_number_of_the_others() {
    let mut none = engines(&[]);
    let mut queue = Queue::default();
    let ids: Vec<String> = (0..40).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, u64)> = ids.iter().map(|id| (&**id, 1)).collect();
    queue.insert(job("j", 1, &items));
    assert!(queue.assign_next(T0, &mut none).is_none());
    queue.get_mut("j").unwrap().record_contact(7, T0 + ms(1));
    // Passes at each half of a second.
    let pass = |now: Time| {
        let mut summary = Summary::new(ms(500));
        queue.visit_idle(now, &none, None, &mut |wait| summary.add(wait));
        let others: BTreeSet<usize> = summary.lines().map(|(_, others)| others).collect();
        let count = summary.counts().get("no_engine_open").copied();
        (summary.lines().count(), others, count)
    };
    assert_eq!(pass(T0 + ms(1_900)), (0, [].into(), None));
    assert_eq!(pass(T0 + ms(2_400)), (3, [37].into(), Some(40)));
    assert_eq!(pass(T0 + ms(2_900)), (0, [].into(), Some(40)), "they were logged");
    assert_eq!(pass(T0 + ms(3_900)), (0, [].into(), Some(40)));
    assert_eq!(pass(T0 + ms(4_000)), (3, [36].into(), Some(40)), "again after 2 s");
}

/// Guards against two reasons that logs and metrics cannot tell apart.
#[test]
fn each_reason_has_a_name_of_its_own() {
    let supply = Supply::default();
    let (id, left) = (Box::<str>::from("x"), ms(1));
    let reasons = [
        Reason::Delayed { left },
        Reason::NoEngineOpen(supply),
        Reason::NoVersion { min: 1, newest: None },
        Reason::NoSoftware { software: id.clone() },
        Reason::OnlyAvoided { target: id.clone() },
        Reason::NoFencingToken,
        Reason::HandingOver,
        Reason::JobNotRead,
        Reason::Deferred(supply),
        Reason::NotStarted(supply),
        Reason::RunInProgress { run: 1, target: id, runner: None, silent: left },
    ];
    let names: BTreeSet<&str> = reasons.iter().map(Reason::name).collect();
    assert_eq!(names.len(), reasons.len());
}
