//! Guards against a text that goes on from one that was generated for something else: a tenant got another tenant's text, as
//! texts of unfinished items were kept by the item's id alone (review 2, case 6).

mod common;

use std::sync::Arc;

use common::{engine, engines, job, ms, outcome, text};
use lagoonyard_node::{
    job::{End, Engines, Item, Job, Origin, Outcome, Queue},
    peer::{Retained, RunItem},
    traffic::Run,
};

/// A job with one item "x" of a workspace and a body.
fn job_of(id: &str, workspace: Option<&str>, body: &'static str) -> Job {
    let mut job = job(id, 1, &[("x", 1)]);
    Arc::make_mut(&mut job.record).workspace = workspace.map(Into::into);
    let spec = Arc::make_mut(&mut job.spec);
    let item = Item { body: body.into(), ..(*spec.items[0]).clone() };
    spec.items = vec![Arc::new(item)];
    job
}

fn engines_of_m() -> Engines {
    engines(&[engine("e1", 1)])
}

/// Events with which the item of a job starts after the same item of another job was stopped.
fn resumed_after(stopped: Job, next: Job) -> u64 {
    let (mut engines, mut queue) = (engines_of_m(), Queue::default());
    queue.insert(stopped);
    let run = queue.assign_next(ms(1), &mut engines).unwrap();
    let end = outcome((&run.job, 0, "x"), "e1", End::Stopped, text(5, 1));
    let end = Outcome { origin: run.origin.clone(), ..end };
    // The job is ended before its run has stopped.
    queue.remove(&run.job, ms(2));
    queue.finish_run(end, ms(3), &mut engines);
    queue.insert(next);
    queue.assign_next(ms(400), &mut engines).unwrap().progress.last_event
}

#[test]
fn a_text_goes_on_only_in_a_job_of_its_workspace_and_content() {
    let stopped = || job_of("a", Some("t1"), "prompt");
    assert_eq!(resumed_after(stopped(), job_of("b", Some("t1"), "prompt")), 5);
    assert_eq!(resumed_after(stopped(), job_of("b", Some("t2"), "prompt")), 0);
    assert_eq!(resumed_after(stopped(), job_of("b", None, "prompt")), 0);
    assert_eq!(resumed_after(stopped(), job_of("b", Some("t1"), "another")), 0);
}

#[test]
fn a_late_text_of_one_job_is_not_given_to_an_open_job_of_another_workspace() {
    let (mut engines, mut queue) = (engines_of_m(), Queue::default());
    queue.insert(job_of("a", Some("t1"), "prompt"));
    let run = queue.assign_next(ms(1), &mut engines).unwrap();
    queue.remove("a", ms(2));
    queue.insert(job_of("b", Some("t2"), "prompt"));
    let end = outcome(("a", 0, "x"), "e1", End::Stopped, text(5, 1));
    let end = Outcome { origin: run.origin, ..end };
    queue.finish_run(end, ms(3), &mut engines);
    assert_eq!(queue.assign_next(ms(400), &mut engines).unwrap().progress.last_event, 0);
}

/// Guards against texts that runners return to a new leader without what they were generated for.
#[test]
fn hosts_tell_each_other_the_origin_of_a_text() {
    let origin = Origin::new(Some("t1"), "m", "x", b"prompt");
    let content = origin.content.to_bytes().to_vec();
    let named = Retained { item: "x".into(), content: content.clone(), ..Retained::default() };
    assert_eq!(named.origin(), Some(origin.clone()));
    assert_eq!(Retained { content: Vec::new(), ..named }.origin(), None);
    let item = RunItem { job: "a".into(), item: "x".into(), origin: content, ..RunItem::default() };
    assert_eq!(Run::try_from(item.clone()).unwrap().assignment.origin, origin);
    let unnamed = RunItem { origin: Vec::new(), ..item };
    let unknown = Run::try_from(unnamed).unwrap().assignment.origin;
    assert_eq!(unknown, Origin::unknown("a", "x"));
    assert_ne!(unknown, Origin::unknown("b", "x"));
}
