//! Guards against a model without engines and against engines that are too old for the next step.

use lagoonyard_node::weights::{Candidate, at_once, next};

fn candidate(id: usize, version: u64, loading: bool) -> Candidate {
    Candidate { id: id.to_string().into(), version, loading, in_flight: 0 }
}

#[test]
fn at_most_a_fifth_loads_at_once() {
    for total in 1..60 {
        let all: Vec<Candidate> = (0..total).map(|id| candidate(id, 1, false)).collect();
        let chosen = next(9, &all, true).len();
        assert_eq!(chosen, at_once(total));
        assert!(chosen == 1 || chosen * 5 < total + 5);
    }
}

#[test]
fn loads_in_progress_count() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 1, id < 2)).collect();
    assert!(next(3, &all, true).is_empty());
}

#[test]
fn engines_that_may_still_serve_wait_for_calm() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 4, false)).collect();
    assert!(next(5, &all, false).is_empty());
    assert_eq!(next(5, &all, true).len(), 2);
    assert_eq!(next(6, &all, false).len(), 2, "two versions behind does not wait");
}

#[test]
fn the_oldest_engines_load_first() {
    let mut all: Vec<Candidate> = (0..9).map(|id| candidate(id, 4, false)).collect();
    all[7].version = 2;
    assert_eq!(&*next(5, &all, true)[0], "7");
}

#[test]
fn nothing_loads_that_has_the_version() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 5, false)).collect();
    assert!(next(5, &all, true).is_empty());
}
