//! Guards against results that are lost, listed twice or at a wrong position, and against items that never run.

mod common;

use common::{engine, engines, grouped_job, job, ms, outcome, text};
use lagoonyard_node::{
    config::{Config, Kind, Limits, Route},
    job::{End, Policy, Queue, Row},
    prelude::*,
    workspace::Directory,
};

const BYTES_MAX: usize = 1 << 20;

fn score_item(
    queue: &mut Queue,
    item: usize,
    id: &str,
    engines: &mut lagoonyard_node::job::Engines,
) {
    let end = End::Scored(Some("s".into()));
    queue.finish_run(outcome(("j", item, id), "e1", end, text(3, 1)), ms(1), engines);
}

#[test]
fn long_items_start_first() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("short", 5), ("long", 90), ("middle", 20)]));
    let first = queue.assign_next(ms(1), &mut engines).unwrap();
    let second = queue.assign_next(ms(1), &mut engines).unwrap();
    assert_eq!((first.item, second.item), (1, 2));
    assert!(queue.assign_next(ms(1), &mut engines).is_none(), "both slots are taken");
}

#[test]
fn an_engine_with_an_older_version_gets_no_item() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 2, &[("a", 1)]));
    assert!(queue.assign_next(ms(1), &mut engines).is_none());
}

/// Guards against marking the rows of another write as persisted: a write that began before the job was read again may
/// end after it.
#[test]
fn the_end_of_an_outdated_write_does_not_count() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 2), ("b", 1)]));
    while queue.assign_next(ms(1), &mut engines).is_some() {}
    score_item(&mut queue, 0, "a", &mut engines);
    assert_eq!(queue.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    queue.get_mut("j").unwrap().restore(&[], 0);
    score_item(&mut queue, 1, "b", &mut engines);
    assert_eq!(queue.take_rows("j", 9, Time::MAX, BYTES_MAX).len(), 2);
    queue.finish_write("j", 7, 0, true);
    let job = queue.get("j").unwrap();
    assert_eq!((job.listed, job.chunks), (0, 0));
    queue.finish_write("j", 9, 0, true);
    let job = queue.get("j").unwrap();
    assert_eq!((job.listed, job.chunks), (2, 1));
    assert!(job.is_complete());
}

#[test]
fn rows_are_taken_again_after_a_failed_write_but_not_after_a_persisted_one() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    score_item(&mut queue, 0, "a", &mut engines);
    assert_eq!(queue.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    assert!(queue.take_rows("j", 7, Time::MAX, BYTES_MAX).is_empty(), "a write is in progress");
    queue.finish_write("j", 7, 0, false);
    assert_eq!(queue.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    queue.finish_write("j", 7, 0, true);
    assert!(queue.take_rows("j", 7, Time::MAX, BYTES_MAX).is_empty());
}

#[test]
fn listed_items_do_not_run_again() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    let mut again = job("j", 1, &[("a", 2), ("b", 1)]);
    let row =
        Row { item: "a".into(), done: true, text: "t".into(), versions: vec![1], score: None };
    again.restore(&[row], 1);
    queue.insert(again);
    assert_eq!(queue.assign_next(ms(1), &mut engines).unwrap().item, 1);
    assert!(queue.assign_next(ms(1), &mut engines).is_none());
}

#[test]
fn an_item_fails_after_the_maximum_attempts_of_its_route() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    for at in 1..=2 {
        let start = queue.assign_next(ms(at), &mut engines).unwrap();
        let target = start.target.unwrap();
        let end = outcome(("j", 0, "a"), &target, End::Failed, text(0, 1));
        queue.finish_run(end, ms(at), &mut engines);
    }
    let rows = queue.take_rows("j", 1, Time::MAX, BYTES_MAX);
    assert_eq!(rows.len(), 1);
    assert!(!rows[0].done && rows[0].text.is_empty());
}

/// A configuration with a route for the jobs of the tests.
fn config(version: u64, change: impl FnOnce(&mut Route)) -> Config {
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: Kind::Job,
        timeout: ms(1_000),
        objective: ms(1_000),
        max_attempts: 2,
        priority: 0,
        services: vec![("llm".into(), 1)],
        job_deadline: ms(7_500),
        item_ttl: ms(36_000),
        single_version: false,
        public: false,
    };
    change(&mut route);
    let limits = Limits { header_bytes: 1, body_bytes: 1, idle_timeout: ms(1_000) };
    Config::new(version, vec![route], Vec::new(), limits)
}

/// Runs the only item of job `j` until it fails once.
fn fail(queue: &mut Queue, at: u64, engines: &mut lagoonyard_node::job::Engines) {
    let start = queue.assign_next(ms(at), engines).unwrap();
    let end = outcome(("j", 0, "a"), &start.target.unwrap(), End::Failed, text(0, 1));
    queue.finish_run(end, ms(at), engines);
}

/// Guards against limits that a job keeps from the moment at which it was opened.
#[test]
fn a_later_configuration_applies_to_open_jobs() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.update_policies(&config(2, |route| route.max_attempts = 3));
    fail(&mut queue, 1, &mut engines);
    fail(&mut queue, 2, &mut engines);
    assert!(queue.take_rows("j", 1, Time::MAX, BYTES_MAX).is_empty(), "given up too early");
    fail(&mut queue, 3, &mut engines);
    assert_eq!(queue.take_rows("j", 1, Time::MAX, BYTES_MAX).len(), 1);
}

/// Guards against a leader that is behind and applies a configuration older than the one under which a job was accepted,
/// and against items given up by fewer attempts than that one allows.
#[test]
fn neither_an_earlier_nor_a_narrower_configuration_takes_attempts_from_an_open_job() {
    let accepted = Policy { config: 5, ..common::policy() };
    let earlier = Policy { config: 4, max_attempts: 9, ..accepted };
    assert_eq!(accepted.updated(earlier), accepted);
    let narrower = Policy { config: 6, max_attempts: 1, item_ttl_ms: 1, priority: 3, ..accepted };
    let updated = accepted.updated(narrower);
    assert_eq!((updated.config, updated.priority), (6, 3), "all else is adopted");
    assert_eq!(updated.max_attempts, accepted.max_attempts);
    assert_eq!(updated.item_ttl_ms, accepted.item_ttl_ms);
}

/// Guards against a text of two versions on a route that began to demand a single one while the text was made.
#[test]
fn a_text_of_two_versions_is_made_again_if_the_route_now_demands_one() {
    let mut engines = engines(&[engine("e1", 2)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    queue.update_policies(&config(2, |route| route.single_version = true));
    let mut mixed = text(2, 1);
    mixed.versions.insert(2);
    let end = End::Scored(Some("s".into()));
    queue.finish_run(outcome(("j", 0, "a"), "e1", end, mixed), ms(2), &mut engines);
    assert!(queue.take_rows("j", 1, Time::MAX, BYTES_MAX).is_empty());
    let again = queue.assign_next(ms(3), &mut engines).unwrap();
    assert_eq!(again.progress.last_event, 0);
}

#[test]
fn a_broken_run_resumes_after_its_last_event_on_another_engine() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    let first = queue.assign_next(ms(1), &mut engines).unwrap();
    let target = first.target.unwrap();
    let end = outcome(("j", 0, "a"), &target, End::Broken, text(4, 1));
    queue.finish_run(end, ms(2), &mut engines);
    let second = queue.assign_next(ms(3), &mut engines).unwrap();
    assert_eq!(second.progress.last_event, 4);
    assert_ne!(second.target.unwrap(), target);
}

/// Guards against continuing a text of an old version for a job that does not accept that version.
#[test]
fn a_retained_text_is_resumed_only_if_the_job_accepts_its_versions() {
    for (min_version, resumed) in [(1, 4), (2, 0)] {
        let mut engines = engines(&[engine("e1", 2)]);
        let mut queue = Queue::default();
        queue.insert(job("j", 1, &[("a", 1)]));
        queue.assign_next(ms(1), &mut engines).unwrap();
        queue.remove("j", ms(2));
        let end = outcome(("j", 0, "a"), "e1", End::Stopped, text(4, 1));
        queue.finish_run(end, ms(2), &mut engines);
        queue.insert(job("k", min_version, &[("a", 1)]));
        let start = queue.assign_next(ms(3), &mut engines).unwrap();
        assert_eq!(start.progress.last_event, resumed, "min version {min_version}");
    }
}

#[test]
fn resubmitted_items_start_before_longer_ones() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    queue.remove("j", ms(2));
    queue.finish_run(outcome(("j", 0, "a"), "e1", End::Stopped, text(4, 1)), ms(2), &mut engines);
    queue.insert(job("k", 1, &[("b", 50), ("a", 1)]));
    assert_eq!(queue.assign_next(ms(3), &mut engines).unwrap().item, 1);
}

/// Guards against generating unfinished texts anew after a change of leader.
#[test]
fn checkpoints_are_resumed_by_the_next_leader() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    queue.get_mut("j").unwrap().set_progress(0, text(12, 1));
    let checkpoints = queue.get("j").unwrap().checkpoints(|_| false, BYTES_MAX);
    assert_eq!(checkpoints.len(), 1);
    let mut next = Queue::default();
    next.insert(job("j", 1, &[("a", 1)]));
    next.get_mut("j").unwrap().resume(checkpoints);
    let mut fresh = common::engines(&[engine("e1", 1)]);
    assert_eq!(next.assign_next(ms(2), &mut fresh).unwrap().progress.last_event, 12);
}

#[test]
fn items_expire_only_after_their_deadline() {
    let mut none = engines(&[]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    queue.assign_next(ms(39_999), &mut none);
    assert!(queue.take_rows("j", 1, Time::MAX, BYTES_MAX).is_empty());
    queue.assign_next(ms(40_000), &mut none);
    assert!(!queue.take_rows("j", 1, Time::MAX, BYTES_MAX)[0].done);
}

/// Guards against items that run on a slow engine although other engines soon have free slots (an item took 11 s for
/// 148 events).
#[test]
fn a_slow_engine_runs_one_item_while_others_can_wait() {
    let mut engines = engines(&[engine("fast", 1), engine("slow", 1), engine("usual", 1)]);
    for (id, pace) in [("fast", 30), ("slow", 140), ("usual", 35)] {
        engines.finish_run(id, ms(1_000), Some(ms(pace)));
    }
    let mut queue = Queue::default();
    let items: Vec<(String, u64)> = (0..8).map(|at| (format!("i{at}"), 1)).collect();
    let items: Vec<(&str, u64)> = items.iter().map(|(id, hint)| (&**id, *hint)).collect();
    queue.insert(job("j", 1, &items));
    let starts = |queue: &mut Queue, engines: &mut lagoonyard_node::job::Engines, now| {
        let starts = std::iter::from_fn(|| queue.assign_next(now, engines));
        starts.filter(|start| start.target.as_deref() == Some("slow")).count()
    };
    assert_eq!(starts(&mut queue, &mut engines, ms(1_001)), 1);
    assert_eq!(starts(&mut queue, &mut engines, ms(1_100)), 0, "the other items wait");
    assert_eq!(starts(&mut queue, &mut engines, ms(1_800)), 1, "but only for a limited time");
}

/// Guards against reads that return incomplete groups: the trainer would then receive each complete group one read
/// interval later.
#[test]
fn rows_wait_a_limited_time_for_the_rest_of_their_group() {
    let mut engine = engine("e1", 1);
    engine.slots = 4;
    let mut engines = engines(&[engine]);
    let mut queue = Queue::default();
    queue.insert(grouped_job("j", &[("a1", "a"), ("b1", "b"), ("a2", "a"), ("single", "")]));
    while queue.assign_next(ms(1), &mut engines).is_some() {}
    let items = |rows: Vec<Row>| rows.into_iter().map(|row| row.item).collect::<Vec<_>>();
    let nothing: Vec<ItemId> = Vec::new();
    score_item(&mut queue, 0, "a1", &mut engines);
    assert_eq!(items(queue.take_rows("j", 1, Time::ZERO, BYTES_MAX)), nothing);
    score_item(&mut queue, 3, "single", &mut engines);
    assert_eq!(items(queue.take_rows("j", 1, Time::ZERO, BYTES_MAX)), ["single".into()]);
    queue.finish_write("j", 1, 0, true);
    assert_eq!(items(queue.take_rows("j", 1, ms(1), BYTES_MAX)), ["a1".into()]);
    queue.finish_write("j", 1, 1, true);
    score_item(&mut queue, 2, "a2", &mut engines);
    assert_eq!(items(queue.take_rows("j", 1, Time::ZERO, BYTES_MAX)), ["a2".into()]);
}

/// Guards against an engine that breaks each run after its first event and is tried again at the shortest interval.
#[test]
fn the_backoff_of_an_engine_that_breaks_each_run_grows() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 1)]));
    let mut now = ms(1_000);
    let mut waits = Vec::new();
    for _ in 0..3 {
        while queue.assign_next(now, &mut engines).is_none() {
            now += ms(100);
        }
        let mut broken = outcome(("j", 0, "a"), "e1", End::Broken, text(1, 1));
        broken.pace = Some(ms(50));
        queue.finish_run(broken, now, &mut engines);
        let failed_at = now;
        while !engines.get("e1").unwrap().is_open("m", now) {
            now += ms(100);
        }
        waits.push(now - failed_at);
    }
    assert_eq!(waits, [ms(300), ms(600), ms(1_200)]);
}

/// Guards against an item that is given up or never placed again because engines crashed while they ran it.
#[test]
fn an_item_under_which_engines_crashed_is_still_placed() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1), engine("e3", 1)]);
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 10)]));
    for round in 0..30 {
        let now = ms(round * 1_000);
        let started = queue.assign_next(now, &mut engines).expect("the item is not placed");
        let target = started.target.expect("the item needs an engine");
        let broken = outcome(("j", 0, "a"), &target, End::Broken, started.progress);
        queue.finish_run(broken, now, &mut engines);
    }
}

/// Guards against engines that back off for all jobs, as runners refuse the items of a job without a workspace.
#[test]
fn items_without_a_workspace_are_not_started_where_they_need_one() {
    let (mut queue, mut engines) = (Queue::default(), engines(&[engine("e1", 1)]));
    queue.insert(job("j", 1, &[("a", 1)]));
    let with = |public| {
        let config = config(2, |route| route.public = public);
        config.with_workspaces(Some(Directory::default()))
    };
    queue.update_policies(&with(false));
    assert!(queue.assign_next(ms(0), &mut engines).is_none());
    queue.update_policies(&with(true));
    assert!(queue.assign_next(ms(0), &mut engines).is_some());
}
