//! Engines of uneven speed: the longest items of a step need the fast ones, of which each model needs its share.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{engine, engines, job, ms, outcome, requirement, text};
use lagoonyard_node::{
    fleet::Target,
    job::{End, Engines, Queue},
    prelude::TargetId,
    weights::{Demand, Partitions, Versions},
};

const NOW: Duration = Duration::from_secs(1);

/// One fast engine and two others, with 40 slots each and their paces known.
fn uneven() -> Engines {
    let target = |id| Target { slots: 40, ..engine(id, 1) };
    let mut engines = engines(&["fast", "slow-a", "slow-b"].map(target));
    for (id, pace) in [("fast", 25), ("slow-a", 50), ("slow-b", 50)] {
        engines.start_run(id);
        engines.finish_run(id, NOW, Some(ms(pace)));
    }
    engines
}

/// Queue that has seen a text of ten events for a hint of ten.
fn queue(engines: &mut Engines) -> Queue {
    let mut queue = Queue::default();
    queue.insert(job("known", 1, &[("k", 10)]));
    let assignment = queue.assign_next(NOW, engines).unwrap();
    let target = assignment.target.unwrap();
    let scored = outcome(("known", 0, "k"), &target, End::Scored(None), text(10, 1));
    queue.finish_run(scored, NOW, engines);
    queue
}

/// Guards against short items that take the fast engines, so that the longest item of a step ends late on a slow one.
#[test]
fn short_items_leave_the_fast_engine_to_long_ones() {
    let mut engines = uneven();
    let mut queue = queue(&mut engines);
    queue.insert(job("j", 1, &[("short", 10), ("long", 120)]));
    let mut targets = BTreeMap::new();
    while let Some(assignment) = queue.assign_next(NOW, &mut engines) {
        targets.insert(assignment.item, assignment.target.unwrap());
    }
    assert_eq!(&*targets[&1], "fast", "the long one");
    assert_ne!(&*targets[&0], "fast", "the short one");
}

/// Guards against items that wait although the fast engine has free slots.
#[test]
fn short_items_take_the_fast_engine_if_no_other_has_a_free_slot() {
    let mut engines = uneven();
    let mut queue = queue(&mut engines);
    for id in ["slow-a", "slow-b"] {
        (0..40).for_each(|_| engines.start_run(id));
    }
    queue.insert(job("j", 1, &[("short", 10)]));
    assert_eq!(queue.assign_next(NOW, &mut engines).unwrap().target.as_deref(), Some("fast"));
}

/// Guards against moves that cost more than they save: what an event saves is known, so that it can be weighed.
#[test]
fn a_move_saves_the_difference_of_the_paces_with_each_event() {
    let mut engines = uneven();
    engines.set_demand(&BTreeMap::from([("m".into(), 1)]));
    let saving = engines.saving(&requirement(), "slow-a").unwrap();
    assert!((ms(24)..=ms(26)).contains(&saving), "{saving:?}");
    assert_eq!(engines.saving(&requirement(), "fast"), None);
}

/// Guards against engines that differ little and are treated as uneven, with models that lose engines for it.
#[test]
fn engines_of_even_speed_are_not_fast() {
    let mut engines = uneven();
    assert!(engines.has_fast());
    for _ in 0..40 {
        engines.finish_run("fast", NOW, Some(ms(40)));
    }
    assert!(!engines.has_fast());
}

/// Guards against a model that gets all fast engines while the long items of another have none.
#[test]
fn each_model_has_its_share_of_the_fast_engines() {
    let versions = Versions::from([("a".into(), 1), ("b".into(), 1)]);
    let fleet = |name: &str, count: usize| -> BTreeMap<TargetId, Versions> {
        (0..count).map(|at| (format!("{name}{at}").into(), versions.clone())).collect()
    };
    let (fast, others) = (fleet("fast", 4), fleet("slow", 12));
    let mut partitions = Partitions::default();
    // Until their speed is known, all engines are shared alike.
    let all = fast.iter().chain(&others).map(|(id, versions)| (id.clone(), versions.clone()));
    partitions.rebalance(&BTreeMap::new(), &all.collect(), &versions, &Demand::new());
    partitions.rebalance(&fast, &others, &versions, &Demand::new());
    let of_a = |fleet: &BTreeMap<TargetId, Versions>| {
        fleet.keys().filter(|id| partitions.model_of(id).is_some_and(|it| &**it == "a")).count()
    };
    assert_eq!((of_a(&fast), of_a(&others)), (2, 6));
}
