//! Guards against an overload in which every job ends late, because the slots are shared by due time alone.

mod common;

use std::collections::BTreeSet;

use common::{engine, engines, grouped_job, ms, outcome, text};
use lagoonyard_node::{
    job::{
        End, Queue,
        triage::{self, Load},
    },
    prelude::*,
};

fn load(job: &str, due: u64, work: u64, longest: u64) -> Load {
    Load {
        job: job.into(),
        due: ms(due),
        priority: 0,
        work: ms(work).into(),
        longest: ms(longest).into(),
    }
}

fn ids(jobs: &[&str]) -> BTreeSet<JobId> {
    jobs.iter().map(|job| (*job).into()).collect()
}

#[test]
fn jobs_that_fit_are_not_deferred() {
    let loads = vec![load("a", 1_000, 4_000, 500), load("b", 2_000, 4_000, 500)];
    assert_eq!(triage::deferred(ms(0), 4.0, loads), ids(&[]));
}

#[test]
fn the_largest_job_is_deferred_if_not_all_fit() {
    let loads = vec![
        load("large", 1_000, 4_000, 100),
        load("b", 1_500, 2_000, 100),
        load("c", 2_000, 2_500, 100),
    ];
    assert_eq!(triage::deferred(ms(0), 4.0, loads), ids(&["large"]));
}

#[test]
fn a_job_whose_longest_item_is_late_in_any_case_is_deferred() {
    let loads = vec![load("a", 1_000, 1_100, 1_100), load("b", 2_000, 2_000, 500)];
    assert_eq!(triage::deferred(ms(0), 4.0, loads), ids(&["a"]));
}

#[test]
fn a_less_urgent_job_is_deferred_before_a_larger_urgent_one() {
    let mut low = load("low", 1_000, 2_000, 100);
    low.priority = 1;
    let loads = vec![low, load("high", 1_000, 3_000, 100)];
    assert_eq!(triage::deferred(ms(0), 4.0, loads), ids(&["low"]));
}

/// Guards against a job that takes the place of another by a claim that no engine can meet in time.
#[test]
fn a_job_that_is_late_even_alone_costs_no_other_job_its_place() {
    let mut low = load("low", 1_500, 2_000, 100);
    low.priority = 1;
    let loads = vec![low, load("overlong", 2_000, 4_000, 5_000)];
    assert_eq!(triage::deferred(ms(0), 4.0, loads), ids(&["overlong"]));
}

/// Two steps on 2 slots: 5 s of work due after 4 s, and 3 s of work due after 4.5 s. By due time both would be late.
#[test]
fn one_of_two_steps_is_complete_in_time_if_both_cannot_be() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut queue = Queue::default();
    engines.finish_run("e1", ms(1), Some(ms(100)));
    queue.insert(grouped_job("warm", &[("w", "w")]));
    queue.assign_next(ms(1), &mut engines).unwrap();
    queue.finish_run(
        outcome(("warm", 0, "w"), "e1", End::Scored(None), text(10, 1)),
        ms(1),
        &mut engines,
    );
    queue.remove("warm", ms(1));
    for (id, due, count) in [("first", 4_000, 10), ("second", 4_500, 6)] {
        let items: Vec<(String, String)> =
            (0..count).map(|at| (format!("{id}{at}"), format!("g{at}"))).collect();
        let items: Vec<(&str, &str)> = items.iter().map(|(id, group)| (&**id, &**group)).collect();
        let mut job = grouped_job(id, &items);
        job.due = ms(due);
        queue.insert(job);
    }
    let mut complete_at = std::collections::BTreeMap::new();
    let mut running: Vec<(Time, usize, JobId)> = Vec::new();
    for tick in 1..100_u64 {
        let now = ms(tick * 100);
        running.retain(|(end, item, job)| {
            if *end > now {
                return true;
            }
            let id = format!("{job}{item}");
            let mut end = outcome((job, *item, &id), "e1", End::Scored(None), text(10, 1));
            end.pace = Some(ms(100));
            queue.finish_run(end, now, &mut engines);
            queue.take_rows(job, 1, Time::MAX, usize::MAX);
            let chunk = queue.get(job).unwrap().chunks;
            queue.finish_write(job, 1, chunk, true);
            if queue.get(job).unwrap().is_complete() {
                complete_at.insert(job.clone(), now);
            }
            false
        });
        while let Some(start) = queue.assign_next(now, &mut engines) {
            running.push((now + ms(1_000), start.item, start.job));
        }
    }
    let in_time = complete_at.values().filter(|at| **at <= ms(4_500)).count();
    assert_eq!((complete_at.len(), in_time), (2, 1), "{complete_at:?}");
}
