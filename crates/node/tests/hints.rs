//! Guards against estimates of text lengths that end the process that leads, or that cost other trainers engines.

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::{engine, engines, job, ms, outcome, text};
use lagoonyard_node::{
    demand::Averages,
    job::{Claim, Effort, End, Engines, Job, Queue},
    length::{Hint, History, Table, Trainer},
    prelude::*,
    weights::{Partition, Versions},
};

const EVENTS: u64 = 26;
/// Hints that say nothing of a text, and some that are far off.
const FAR_OFF: [u64; 6] = [0, 1, 4 << 20, (4 << 20) + 1, u64::MAX >> 1, u64::MAX];

fn hint(tokens: u64) -> Option<Hint> {
    Hint::try_from(tokens).ok()
}

fn trainer(model: &str) -> Trainer {
    (None, model.into())
}

/// A job of a trainer, with four items that have a hint.
fn job_of(model: &str, id: &str, hint: u64) -> Job {
    let items: Vec<String> = (0..4).map(|at| format!("{id}-{at}")).collect();
    let items: Vec<(&str, u64)> = items.iter().map(|item| (&**item, hint)).collect();
    let mut job = job(id, 1, &items);
    Arc::make_mut(&mut job.spec).model = model.into();
    job
}

fn engines_of(models: &[&str], count: usize) -> Engines {
    let versions: Versions = models.iter().map(|model| ((*model).into(), 1)).collect();
    let targets: Vec<_> = (0..count)
        .map(|at| {
            let mut target = engine(&format!("e{at}"), 1);
            target.versions.clone_from(&versions);
            target
        })
        .collect();
    engines(&targets)
}

/// Finishes a text of a job in a queue.
fn finish_text(queue: &mut Queue, engines: &mut Engines, job: Job, events: u64) {
    let id = job.spec.id.clone();
    queue.insert(job);
    queue.assign_next(ms(1), engines).unwrap();
    let item = format!("{id}-0");
    let outcome = outcome((&id, 0, &item), "e0", End::Scored(None), text(events, 1));
    queue.finish_run(outcome, ms(1), engines);
    queue.remove(&id, ms(1));
}

/// Review 2, case 8: the expected work of such a job overflowed, which panicked on the control thread of each leader.
#[test]
fn no_hint_ends_the_leader() {
    for far_off in FAR_OFF {
        let mut engines = engines_of(&["m", "n"], 2);
        let mut queue = Queue::default();
        finish_text(&mut queue, &mut engines, job_of("m", "warm", EVENTS), EVENTS);
        for (id, model) in [("a", "m"), ("b", "m"), ("c", "n")] {
            queue.insert(job_of(model, id, far_off));
        }
        let started = std::iter::from_fn(|| queue.assign_next(ms(300), &mut engines)).count();
        assert_eq!(started, 4, "hint {far_off}");
        assert_eq!(queue.steps(&engines).len(), 3, "hint {far_off}");
        assert_matches!(queue.rest_events("a", 0), Some(1.0..=400.0), "hint {far_off}");
        assert_matches!(
            queue.claim(queue.get("a").unwrap()).events,
            4.0..=1600.0,
            "hint {far_off}"
        );
    }
}

#[test]
fn efforts_stay_within_a_year_however_they_are_added() {
    let year = Duration::from_secs(365 * 24 * 3600);
    for events in [f64::INFINITY, f64::MAX, 1e30] {
        let effort = Effort::new(Duration::MAX, events);
        let sum: Effort = [effort; 1000].into_iter().sum();
        assert_eq!(sum.time(), year);
    }
    for events in [f64::NAN, -1.0, 0.0] {
        assert_eq!(Effort::new(ms(1), events), Effort::default());
    }
    assert_eq!(Effort::from(Duration::MAX).time(), year);
}

/// Guards against lengths of one trainer that are estimated by the hints of another.
#[test]
fn hints_of_one_trainer_do_not_change_what_is_expected_of_another() {
    for far_off in FAR_OFF {
        let mut table = Table::default();
        for _ in 0..50 {
            table.record(&trainer("m"), hint(EVENTS), EVENTS);
        }
        let before = table.estimate(&trainer("m"));
        for _ in 0..500 {
            table.record(&trainer("n"), hint(far_off), 190);
        }
        assert_eq!(table.estimate(&trainer("m")), before, "hint {far_off}");
    }
}

/// Guards against an estimate that a few hints far off bend for all other texts of their trainer.
#[test]
fn hints_far_off_change_the_estimate_of_their_trainer_by_a_limited_factor() {
    for far_off in FAR_OFF {
        let mut history = History::default();
        for at in 0..100 {
            let tokens = if at % 10 == 0 { far_off } else { EVENTS };
            history.record(hint(tokens), EVENTS);
        }
        let estimate = history.estimate().unwrap();
        // One hint in ten counts at most as four times too long or too short.
        assert_matches!(estimate.events_per_token, 0.76..=1.09, "hint {far_off}");
        assert_matches!(estimate.events(hint(EVENTS)), 19.0..=29.0, "hint {far_off}");
    }
}

#[test]
fn a_text_is_expected_to_be_at_most_twice_as_long_as_recent_ones() {
    let mut history = History::default();
    for events in [500, 1_000, 100] {
        history.record(hint(events), events);
    }
    let estimate = history.estimate().unwrap();
    assert_eq!(estimate.events(hint(4 << 20)), 2_000.0);
    assert_eq!(estimate.events(None), 1_600.0 / 3.0);
}

/// Engines of ten that model `m` gets if the trainer of `n` gives a hint of its texts of 26 events for a number of steps.
fn engines_of_m(far_off: u64, steps: usize) -> usize {
    let mut engines = engines_of(&["m", "n"], 10);
    let (mut queue, mut averages) = (Queue::default(), Averages::default());
    for step in 0..steps {
        for (model, hint) in [("m", EVENTS), ("n", far_off)] {
            let job = job_of(model, &format!("{model}{step}"), hint);
            averages.record(&job.spec.model, 0, queue.claim(&job));
            finish_text(&mut queue, &mut engines, job, EVENTS);
        }
    }
    let versions: Versions = [("m".into(), 1), ("n".into(), 1)].into();
    let present = (0..10).map(|at| (format!("e{at}").into(), versions.clone())).collect();
    let mut partition = Partition::default();
    partition.rebalance(&present, &versions, &averages.demand());
    let model_of = |at: usize| partition.model_of(&format!("e{at}")).map(|model| &**model);
    (0..10).filter(|at| model_of(*at) == Some("m")).count()
}

/// Guards against a trainer whose model loses its engines, as one step of another claims nearly all of them.
#[test]
fn a_trainer_claims_no_more_engines_than_its_texts_need() {
    for far_off in FAR_OFF {
        assert_matches!(engines_of_m(far_off, 2), 4..=6, "hint {far_off}");
        assert_matches!(engines_of_m(far_off, 1), 1..=9, "hint {far_off}");
    }
}

#[test]
fn the_first_measured_claim_replaces_one_that_was_not() {
    let (mut averages, model) = (Averages::default(), "m".into());
    averages.record(&model, 0, Claim { events: 1e6, is_measured: false });
    averages.record(&model, 0, Claim { events: 100.0, is_measured: true });
    assert_eq!(averages.demand()[&model], 100.0);
}
