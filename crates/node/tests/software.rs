//! Texts of items on engines of several software versions.

mod common;

use std::collections::BTreeMap;

use common::{engine, engines, job, ms, origin, outcome, text};
use lagoonyard_node::{
    events::Progress,
    fleet::Target,
    job::{End, Engines, Queue},
    peer::TextPart,
};

fn engine_with(id: &str, software: &str) -> Target {
    Target { software: software.into(), ..engine(id, 1) }
}

fn text_of(events: u64, software: &str) -> Progress {
    Progress { software: Some(software.into()), ..text(events, 1) }
}

/// Queue with one item that was cut after five events at engine `e1` of software `v1`.
fn cut_item(engines: &mut Engines) -> Queue {
    engines.set_demand(&BTreeMap::from([("m".into(), 1)]));
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 10)]));
    let started = queue.assign_next(ms(0), engines).unwrap();
    assert_eq!(started.target.as_deref(), Some("e1"));
    let broken = outcome(("j", 0, "a"), "e1", End::Broken, text_of(5, "v1"));
    queue.finish_run(broken, ms(100), engines);
    queue
}

/// Guards against a text whose first part one software version wrote and whose rest another one wrote.
#[test]
fn a_text_does_not_go_on_at_another_software_version() {
    let mut engines = engines(&[engine_with("e1", "v1")]);
    let mut queue = cut_item(&mut engines);
    engines.remove("e1");
    engines.put(engine_with("e2", "v2").into());
    let started = queue.assign_next(ms(2_000), &mut engines).unwrap();
    assert_eq!((started.target.as_deref(), started.progress.last_event), (Some("e2"), 0));
}

/// Guards against a text that begins anew although an engine of its version has a free slot.
#[test]
fn a_text_goes_on_at_its_software_version_if_an_engine_of_it_is_free() {
    let mut engines = engines(&[engine_with("e1", "v1")]);
    let mut queue = cut_item(&mut engines);
    engines.put(engine_with("e2", "v2").into());
    engines.put(engine_with("e3", "v1").into());
    let started = queue.assign_next(ms(110), &mut engines).unwrap();
    assert_eq!((started.target.as_deref(), started.progress.last_event), (Some("e3"), 5));
}

/// Guards against a text that begins anew at once, although an engine of its version will have a free slot.
#[test]
fn a_text_waits_for_an_engine_of_its_software_version() {
    let mut engines = engines(&[engine_with("e1", "v1")]);
    let mut queue = cut_item(&mut engines);
    engines.put(engine_with("e2", "v2").into());
    assert_eq!(queue.assign_next(ms(110), &mut engines), None);
    let started = queue.assign_next(ms(900), &mut engines).unwrap();
    assert_eq!((started.target.as_deref(), started.progress.last_event), (Some("e1"), 5));
}

/// Guards against a text that waits for a version which has left.
#[test]
fn a_text_begins_anew_if_its_software_version_stays_away() {
    let mut engines = engines(&[engine_with("e1", "v1")]);
    let mut queue = cut_item(&mut engines);
    engines.put(engine_with("e2", "v2").into());
    engines.begin_load("e1", &"m".into());
    assert_eq!(queue.assign_next(ms(110), &mut engines), None);
    let started = queue.assign_next(ms(900), &mut engines).unwrap();
    assert_eq!((started.target.as_deref(), started.progress.last_event), (Some("e2"), 0));
}

/// Guards against a stored text of an unknown version that is taken as one of the version at hand.
#[test]
fn a_text_of_an_unknown_software_version_begins_anew() {
    let mut engines = engines(&[engine_with("e1", "v1")]);
    engines.set_demand(&BTreeMap::from([("m".into(), 1)]));
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 10)]));
    queue.resume_item(origin("a"), Progress { software: None, ..text(5, 1) }, false, ms(0));
    let started = queue.assign_next(ms(0), &mut engines).unwrap();
    assert_eq!(started.progress.last_event, 0);
}

/// Guards against a text that loses its version in the store or on the way between two hosts.
#[test]
fn the_software_version_stays_with_a_text() {
    let progress = text_of(5, "v1");
    let stored = serde_json::to_vec(&progress).unwrap();
    assert_eq!(serde_json::from_slice::<Progress>(&stored).unwrap(), progress);
    let mut received = Progress::default();
    assert!(TextPart::new(1, &progress, 0).apply(&mut received));
    assert_eq!(received, progress);
}
