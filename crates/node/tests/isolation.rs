//! Guards against a job in the store that ends each host that leads its service, one after the other.

mod common;

use common::{engine, engines, job, ms};
use lagoonyard_node::{
    job::{Queue, guard},
    prelude::*,
};

/// A job of a lower priority that is due at the end of time, so that its rank overflows.
fn overflowing_job() -> lagoonyard_node::job::Job {
    let mut job = job("overflowing", 1, &[("x", 1)]);
    job.policy.priority = 1;
    job.due = Time::MAX;
    job
}

#[test]
fn a_job_that_panics_is_set_aside_and_all_others_go_on() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    queue.insert(overflowing_job());
    queue.insert(job("sound", 1, &[("a", 1), ("b", 1)]));
    let started: Vec<JobId> =
        std::iter::from_fn(|| queue.assign_next(ms(1), &mut engines)).map(|it| it.job).collect();
    assert_eq!(started, ["sound".into(), "sound".into()]);
    assert!(queue.is_isolated("overflowing"));
    assert_eq!(queue.ids(), ["sound".into()]);
}

#[test]
fn a_panic_ends_only_what_is_guarded() {
    assert_eq!(guard("j", || 1), Some(1));
    assert_eq!(guard("j", || -> u32 { panic!("a fault that nobody knows of") }), None);
}
