//! Guards against a model without engines and against engines that are too old for the next step.

use std::collections::BTreeMap;

use lagoonyard_node::weights::{Candidate, Demand, Homes, Versions, at_once, next};

fn candidate(id: usize, version: u64, loading: bool) -> Candidate {
    Candidate { id: id.to_string().into(), version, loading, in_flight: 0, has_long: false }
}

#[test]
fn at_most_a_fifth_may_load_at_once() {
    for total in 1..60 {
        let limit = at_once(total);
        assert!(limit == 1 || limit * 5 < total + 5, "{limit} of {total}");
    }
}

#[test]
fn no_more_load_than_there_is_room_for() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 1, id < 2)).collect();
    assert!(next(3, &all, true, 0).is_empty());
    assert_eq!(next(3, &all, true, 2).len(), 2);
}

#[test]
fn engines_that_may_still_serve_wait_for_calm() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 4, false)).collect();
    assert!(next(5, &all, false, 2).is_empty());
    assert_eq!(next(5, &all, true, 2).len(), 2);
    assert_eq!(next(6, &all, false, 2).len(), 2, "two versions behind does not wait");
}

#[test]
fn the_oldest_engines_load_first() {
    let mut all: Vec<Candidate> = (0..9).map(|id| candidate(id, 4, false)).collect();
    all[7].version = 2;
    assert_eq!(&*next(5, &all, true, 2)[0], "7");
}

#[test]
fn nothing_loads_that_has_the_version() {
    let all: Vec<Candidate> = (0..9).map(|id| candidate(id, 5, false)).collect();
    assert!(next(5, &all, true, 2).is_empty());
}

/// Guards against steps that last longer because a load moved their longest items.
#[test]
fn engines_with_long_items_load_later_while_half_may_serve() {
    let mut all: Vec<Candidate> = (0..4).map(|id| candidate(id, 4, false)).collect();
    all[0].has_long = true;
    all[1].has_long = true;
    let ids = |all: &[Candidate]| {
        next(5, all, true, 4).iter().map(|id| id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(ids(&all), ["2", "3"]);
    for it in &mut all {
        it.version = 3;
    }
    assert_eq!(ids(&all), ["2", "3", "0", "1"], "none may serve, so all have to load");
}

fn fleet(count: usize, models: &[(&str, u64)]) -> BTreeMap<Box<str>, Versions> {
    let versions: Versions = models.iter().map(|(model, at)| ((*model).into(), *at)).collect();
    (0..count).map(|id| (format!("e{id:02}").into(), versions.clone())).collect()
}

fn shares(homes: &Homes, engines: &BTreeMap<Box<str>, Versions>, model: &str) -> usize {
    engines.keys().filter(|id| homes.of(id).is_some_and(|home| &**home == model)).count()
}

/// Without shares, every engine would have to load every version of every model.
#[test]
fn models_share_the_engines_evenly() {
    let engines = fleet(38, &[("a", 1), ("b", 1), ("c", 1)]);
    let mut homes = Homes::default();
    homes.assign(&engines, &Versions::from([("a".into(), 2)]), &Demand::new());
    assert_eq!(shares(&homes, &engines, "a"), 38, "the only model in training has all engines");
    let named = Versions::from([("a".into(), 3), ("b".into(), 2), ("c".into(), 2)]);
    homes.assign(&engines, &named, &Demand::new());
    let mut counts: Vec<usize> =
        ["a", "b", "c"].iter().map(|model| shares(&homes, &engines, model)).collect();
    counts.sort_unstable();
    assert_eq!(counts, [12, 13, 13]);
}

#[test]
fn engines_stay_with_their_model_when_others_leave() {
    let mut engines = fleet(9, &[("a", 1), ("b", 1)]);
    let named = Versions::from([("a".into(), 2), ("b".into(), 2)]);
    let mut homes = Homes::default();
    homes.assign(&engines, &named, &Demand::new());
    let before: Vec<_> = engines.keys().map(|id| homes.of(id).cloned()).collect();
    let last = engines.keys().last().unwrap().clone();
    engines.remove(&last);
    homes.assign(&engines, &named, &Demand::new());
    let after: Vec<_> = engines.keys().map(|id| homes.of(id).cloned()).collect();
    assert_eq!(before[..8], after[..]);
}

/// A new leader finds the shares of the last one by the versions on the engines.
#[test]
fn a_new_leader_keeps_an_engine_with_the_model_that_is_up_to_date_on_it() {
    let mut engines = fleet(2, &[("a", 1), ("b", 1)]);
    engines.get_mut("e00").unwrap().insert("b".into(), 7);
    engines.get_mut("e01").unwrap().insert("a".into(), 7);
    let mut homes = Homes::default();
    let named = Versions::from([("a".into(), 7), ("b".into(), 7)]);
    homes.assign(&engines, &named, &Demand::new());
    assert_eq!(homes.of("e00").map(|home| &**home), Some("b"));
    assert_eq!(homes.of("e01").map(|home| &**home), Some("a"));
}

/// Guards against a model with twice the work of another that waits for places while the other's engines stand idle.
#[test]
fn shares_go_by_demand() {
    let engines = fleet(40, &[("a", 1), ("b", 1), ("c", 1)]);
    let named = Versions::from([("a".into(), 2), ("b".into(), 2), ("c".into(), 2)]);
    let mut homes = Homes::default();
    homes.assign(&engines, &named, &Demand::new());
    let demand = Demand::from([("a".into(), 2000.0), ("b".into(), 1000.0), ("c".into(), 1000.0)]);
    homes.assign(&engines, &named, &demand);
    let counts = ["a", "b", "c"].map(|model| shares(&homes, &engines, model));
    assert!((19..=21).contains(&counts[0]), "{counts:?}");
    assert!(counts[1..].iter().all(|count| (9..=11).contains(count)), "{counts:?}");
    let nearly = Demand::from([("a".into(), 2100.0), ("b".into(), 950.0), ("c".into(), 1000.0)]);
    homes.assign(&engines, &named, &nearly);
    let after = ["a", "b", "c"].map(|model| shares(&homes, &engines, model));
    assert!(
        after.iter().zip(counts).all(|(after, before)| after.abs_diff(before) <= 1),
        "{after:?}"
    );
}

/// Guards against a model that loses its last engine because its steps are small.
#[test]
fn a_model_with_little_work_keeps_an_engine() {
    let engines = fleet(4, &[("a", 1), ("b", 1)]);
    let named = Versions::from([("a".into(), 2), ("b".into(), 2)]);
    let mut homes = Homes::default();
    homes.assign(&engines, &named, &Demand::from([("a".into(), 1000.0), ("b".into(), 1.0)]));
    assert!(shares(&homes, &engines, "b") >= 1);
}
