//! Failed runs of items: what a host keeps of them, and what a leader makes of it.

mod common;

use std::time::Duration;

use common::{engine, engines, grouped_job, outcome};
use lagoonyard_node::{
    crash::Content,
    events::Progress,
    job::{Assignment, End, Engines, Failure, Failures, Identity, Outcome, Queue},
};

const NOW: Duration = Duration::from_secs(1);
const REJECTED: Failure = Failure { failures: 0, judge_failures: 0, given_up: true };

fn failed(failures: u32) -> Failure {
    Failure { failures, ..Failure::default() }
}

/// Identity of an item of the job of `queue`.
fn identity(item: &str) -> Identity {
    Identity { job: "j".into(), item: item.into(), content: content(b"") }
}

fn content(body: &[u8]) -> Content {
    Content::new("POST", "h", "/p/1", body)
}

/// Queue with one job of two items of one group, and two engines.
fn queue() -> (Queue, Engines) {
    let mut queue = Queue::default();
    queue.insert(grouped_job("j", &[("a", "g"), ("b", "g")]));
    (queue, engines(&[engine("e1", 1), engine("e2", 1)]))
}

fn start_all(queue: &mut Queue, engines: &mut Engines) -> Vec<Assignment> {
    std::iter::from_fn(|| queue.assign_next(NOW, engines)).collect()
}

fn end(run: &Assignment, end: End) -> Outcome {
    let item = ["a", "b"][run.item];
    outcome(("j", run.item, item), run.target.as_deref().unwrap(), end, Progress::default())
}

fn rows(queue: &mut Queue, finished_by: Duration) -> Vec<(String, bool)> {
    let rows = queue.take_rows("j", 1, finished_by, usize::MAX);
    rows.into_iter().map(|row| (row.item.into(), row.done)).collect()
}

/// Guards against a failed item whose row waits for its group, and is lost with the leader.
#[test]
fn the_row_of_a_failed_item_does_not_wait_for_its_group() {
    let (mut queue, mut engines) = queue();
    let runs = start_all(&mut queue, &mut engines);
    let item = runs.iter().find(|run| run.item == 0).unwrap();
    queue.finish_run(end(item, End::Rejected), NOW, &mut engines);
    assert_eq!(rows(&mut queue, Duration::ZERO), [("a".into(), false)]);
}

/// Guards against rows of complete items that are written one by one.
#[test]
fn the_row_of_a_complete_item_waits_for_its_group() {
    let (mut queue, mut engines) = queue();
    let runs = start_all(&mut queue, &mut engines);
    let item = runs.iter().find(|run| run.item == 0).unwrap();
    queue.finish_run(end(item, End::Scored(None)), NOW, &mut engines);
    assert_eq!(rows(&mut queue, Duration::ZERO), []);
}

/// Guards against an item that an earlier leader saw rejected, and that runs again.
#[test]
fn a_rejected_item_of_an_earlier_leader_does_not_run() {
    let (mut queue, mut engines) = queue();
    queue.get_mut("j").unwrap().apply_failures(&[(identity("a"), REJECTED)], NOW);
    let runs = start_all(&mut queue, &mut engines);
    assert_eq!(runs.iter().map(|run| run.item).collect::<Vec<_>>(), [1]);
    assert_eq!(rows(&mut queue, Duration::ZERO), [("a".into(), false)]);
}

/// Guards against an item that is given up since another deployment, or a removed job, had one with the same ids.
#[test]
fn failures_of_an_item_with_another_content_do_not_count() {
    let (mut queue, mut engines) = queue();
    let other = Identity { content: content(b"other"), ..identity("a") };
    queue.get_mut("j").unwrap().apply_failures(&[(other, REJECTED)], NOW);
    assert_eq!(start_all(&mut queue, &mut engines).len(), 2);
}

/// Guards against attempts that each leader counts anew. The policy allows two.
#[test]
fn failures_under_an_earlier_leader_count() {
    let (mut queue, mut engines) = queue();
    queue.get_mut("j").unwrap().apply_failures(&[(identity("a"), failed(1))], NOW);
    let runs = start_all(&mut queue, &mut engines);
    for run in &runs {
        queue.finish_run(end(run, End::Failed), NOW, &mut engines);
    }
    assert_eq!(rows(&mut queue, Duration::ZERO), [("a".into(), false)]);
}

/// Guards against an item that is given up before its attempts are used, as the failure of the run in progress is counted
/// twice: once as known of another host, and once with its end.
#[test]
fn a_failure_that_is_known_before_the_end_of_its_run_counts_once() {
    let (mut queue, mut engines) = queue();
    let runs = start_all(&mut queue, &mut engines);
    queue.get_mut("j").unwrap().apply_failures(&[(identity("a"), failed(1))], NOW);
    for run in &runs {
        queue.finish_run(end(run, End::Failed), NOW, &mut engines);
    }
    assert_eq!(rows(&mut queue, Duration::ZERO), []);
}

/// Guards against counts of two hosts that are added up, so that an item is given up too early.
#[test]
fn the_higher_count_of_two_hosts_holds() {
    let failures = Failures::default();
    failures.record(identity("a"), failed(2), NOW);
    failures.record(identity("a"), Failure { judge_failures: 1, ..failed(1) }, NOW);
    let expected = Failure { judge_failures: 1, ..failed(2) };
    assert_eq!(failures.of_job("j"), [(identity("a"), expected)]);
    assert_eq!(failures.of_job("other"), []);
}

/// Guards against a failed item that is forgotten before its leader is replaced, and against a table that grows without
/// bound.
#[test]
fn many_failures_take_bounded_memory() {
    let failures = Failures::default();
    for number in 0..10_000 {
        let at = NOW + Duration::from_millis(number);
        failures.record(identity(&number.to_string()), REJECTED, at);
    }
    let known = failures.all(NOW + Duration::from_secs(10));
    assert_eq!(known.len(), 2048);
    assert!(known.contains(&(identity("9999"), REJECTED)));
    assert_eq!(failures.all(NOW + Duration::from_secs(200)), []);
}

/// Guards against runs that broke or were stopped and count as failed.
#[test]
fn only_answers_of_engines_and_judges_count() {
    for end in [End::Broken, End::NotRun, End::Slow, End::Stopped, End::Unjudged] {
        assert!(Failure::default().after(&end, 0).is_none(), "{end:?}");
    }
    assert_eq!(Failure::default().after(&End::Failed, 0), failed(1));
    assert_eq!(Failure::default().after(&End::Rejected, 0), REJECTED);
    let judged = Failure { judge_failures: 3, ..REJECTED };
    assert_eq!(Failure::default().after(&End::JudgeFailed, 3), judged);
}

/// Guards against an item that only this host knows and of which it tells no other host, and against a host that tells of what
/// others know.
#[test]
fn what_others_do_not_know_is_found() {
    let (known, others) = (Failures::default(), Failures::default());
    for (item, failure) in [("a", REJECTED), ("b", failed(2)), ("c", failed(1))] {
        known.record(identity(item), failure, NOW);
    }
    others.record(identity("b"), failed(1), NOW);
    others.record(identity("c"), Failure { failures: 2, ..REJECTED }, NOW);
    let mut beyond = known.beyond(&others, NOW);
    beyond.sort_by_key(|(identity, _)| identity.item.clone());
    assert_eq!(beyond, [(identity("a"), REJECTED), (identity("b"), failed(2))]);
}
