//! Guards against results that are lost, listed twice or out of place, and against items that never run.

mod common;

use common::{engine, engines, grouped_job, job, ms, outcome, text};
use lagoonyard_node::{
    job::{End, Queue, Row},
    prelude::*,
};

const BYTES_MAX: usize = 1 << 20;

fn done(board: &mut Queue, item: usize, id: &str, engines: &mut lagoonyard_node::job::Engines) {
    let ended = End::Scored(Some("s".into()));
    board.ended(outcome(("j", item, id), "e1", ended, text(3, 1)), ms(1), engines);
}

#[test]
fn long_items_start_first() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("short", 5), ("long", 90), ("middle", 20)]));
    let first = board.next(ms(1), &mut engines).unwrap();
    let second = board.next(ms(1), &mut engines).unwrap();
    assert_eq!((first.item, second.item), (1, 2));
    assert!(board.next(ms(1), &mut engines).is_none(), "both places are taken");
}

#[test]
fn an_engine_with_an_older_version_gets_no_item() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 2, &[("a", 1)]));
    assert!(board.next(ms(1), &mut engines).is_none());
}

/// A write that was begun before the job was read again must not mark the rows of another write as kept.
#[test]
fn the_end_of_an_outdated_write_does_not_count() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 2), ("b", 1)]));
    while board.next(ms(1), &mut engines).is_some() {}
    done(&mut board, 0, "a", &mut engines);
    assert_eq!(board.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    board.get_mut("j").unwrap().restore(&[], 0);
    done(&mut board, 1, "b", &mut engines);
    assert_eq!(board.take_rows("j", 9, Time::MAX, BYTES_MAX).len(), 2);
    board.wrote("j", 7, 0, true);
    let job = board.get("j").unwrap();
    assert_eq!((job.listed, job.chunks), (0, 0));
    board.wrote("j", 9, 0, true);
    let job = board.get("j").unwrap();
    assert_eq!((job.listed, job.chunks), (2, 1));
    assert!(job.is_complete());
}

#[test]
fn rows_are_given_again_after_a_failed_write_and_once_after_a_kept_one() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    board.next(ms(1), &mut engines).unwrap();
    done(&mut board, 0, "a", &mut engines);
    assert_eq!(board.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    assert!(board.take_rows("j", 7, Time::MAX, BYTES_MAX).is_empty(), "a write is in progress");
    board.wrote("j", 7, 0, false);
    assert_eq!(board.take_rows("j", 7, Time::MAX, BYTES_MAX).len(), 1);
    board.wrote("j", 7, 0, true);
    assert!(board.take_rows("j", 7, Time::MAX, BYTES_MAX).is_empty());
}

#[test]
fn items_that_are_listed_already_do_not_run_again() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    let mut again = job("j", 1, &[("a", 2), ("b", 1)]);
    let row =
        Row { item: "a".into(), done: true, text: "t".into(), versions: vec![1], score: None };
    again.restore(&[row], 1);
    board.insert(again);
    assert_eq!(board.next(ms(1), &mut engines).unwrap().item, 1);
    assert!(board.next(ms(1), &mut engines).is_none());
}

#[test]
fn an_item_is_given_up_after_as_many_failures_as_the_route_allows() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    for at in 1..=2 {
        let start = board.next(ms(at), &mut engines).unwrap();
        let target = start.target.unwrap();
        let end = outcome(("j", 0, "a"), &target, End::Failed, text(0, 1));
        board.ended(end, ms(at), &mut engines);
    }
    let rows = board.take_rows("j", 1, Time::MAX, BYTES_MAX);
    assert_eq!(rows.len(), 1);
    assert!(!rows[0].done && rows[0].text.is_empty());
}

#[test]
fn a_broken_run_goes_on_after_its_last_event_on_another_engine() {
    let mut engines = engines(&[engine("e1", 1), engine("e2", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    let first = board.next(ms(1), &mut engines).unwrap();
    let target = first.target.unwrap();
    let end = outcome(("j", 0, "a"), &target, End::Broken, text(4, 1));
    board.ended(end, ms(2), &mut engines);
    let second = board.next(ms(3), &mut engines).unwrap();
    assert_eq!(second.progress.last_event, 4);
    assert_ne!(second.target.unwrap(), target);
}

/// A text that an old version began must not be continued for a job that forbids that version.
#[test]
fn a_carried_text_is_used_only_if_its_versions_fit() {
    for (min_version, resumed) in [(1, 4), (2, 0)] {
        let mut engines = engines(&[engine("e1", 2)]);
        let mut board = Queue::default();
        board.insert(job("j", 1, &[("a", 1)]));
        board.next(ms(1), &mut engines).unwrap();
        board.end("j", ms(2));
        let end = outcome(("j", 0, "a"), "e1", End::Stopped, text(4, 1));
        board.ended(end, ms(2), &mut engines);
        board.insert(job("k", min_version, &[("a", 1)]));
        let start = board.next(ms(3), &mut engines).unwrap();
        assert_eq!(start.progress.last_event, resumed, "min version {min_version}");
    }
}

#[test]
fn items_that_come_back_start_before_longer_ones() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    board.next(ms(1), &mut engines).unwrap();
    board.end("j", ms(2));
    board.ended(outcome(("j", 0, "a"), "e1", End::Stopped, text(4, 1)), ms(2), &mut engines);
    board.insert(job("k", 1, &[("b", 50), ("a", 1)]));
    assert_eq!(board.next(ms(3), &mut engines).unwrap().item, 1);
}

/// A new leader that forgets the texts of the last one generates everything again.
#[test]
fn saved_texts_are_resumed_by_the_next_leader() {
    let mut engines = engines(&[engine("e1", 1)]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    board.next(ms(1), &mut engines).unwrap();
    board.get_mut("j").unwrap().progress(0, text(12, 1));
    let saved = board.get("j").unwrap().texts(BYTES_MAX);
    assert_eq!(saved.len(), 1);
    let mut next = Queue::default();
    next.insert(job("j", 1, &[("a", 1)]));
    next.get_mut("j").unwrap().resume(saved);
    let mut fresh = common::engines(&[engine("e1", 1)]);
    assert_eq!(next.next(ms(2), &mut fresh).unwrap().progress.last_event, 12);
}

#[test]
fn items_expire_only_after_their_time() {
    let mut none = engines(&[]);
    let mut board = Queue::default();
    board.insert(job("j", 1, &[("a", 1)]));
    board.next(ms(39_999), &mut none);
    assert!(board.take_rows("j", 1, Time::MAX, BYTES_MAX).is_empty());
    board.next(ms(40_000), &mut none);
    assert!(!board.take_rows("j", 1, Time::MAX, BYTES_MAX)[0].done);
}

/// Guards against items that sit on a slowed engine while the others soon have places (Huon scale-1: 11 s for 148 events).
#[test]
fn a_slow_engine_gets_one_item_while_others_can_wait() {
    let mut engines = engines(&[engine("fast", 1), engine("slow", 1), engine("usual", 1)]);
    for (id, pace) in [("fast", 30), ("slow", 140), ("usual", 35)] {
        engines.finished(id, ms(1_000), Some(ms(pace)));
    }
    let mut board = Queue::default();
    let items: Vec<(String, u64)> = (0..8).map(|at| (format!("i{at}"), 1)).collect();
    let items: Vec<(&str, u64)> = items.iter().map(|(id, hint)| (&**id, *hint)).collect();
    board.insert(job("j", 1, &items));
    let starts = |board: &mut Queue, engines: &mut lagoonyard_node::job::Engines, now| {
        let starts = std::iter::from_fn(|| board.next(now, engines));
        starts.filter(|start| start.target.as_deref() == Some("slow")).count()
    };
    assert_eq!(starts(&mut board, &mut engines, ms(1_001)), 1);
    assert_eq!(starts(&mut board, &mut engines, ms(1_100)), 0, "the rest waits");
    assert_eq!(starts(&mut board, &mut engines, ms(1_800)), 1, "but not for long");
}

/// Guards against a trainer whose reads are answered with parts of groups, so that each whole group reaches it a pause
/// between two reads later.
#[test]
fn rows_wait_for_the_rest_of_their_group_for_a_while() {
    let mut engine = engine("e1", 1);
    engine.slots = 4;
    let mut engines = engines(&[engine]);
    let mut board = Queue::default();
    board.insert(grouped_job("j", &[("a1", "a"), ("b1", "b"), ("a2", "a"), ("single", "")]));
    while board.next(ms(1), &mut engines).is_some() {}
    let items = |rows: Vec<Row>| rows.into_iter().map(|row| row.item).collect::<Vec<_>>();
    let nothing: Vec<ItemId> = Vec::new();
    done(&mut board, 0, "a1", &mut engines);
    assert_eq!(items(board.take_rows("j", 1, Time::ZERO, BYTES_MAX)), nothing);
    done(&mut board, 3, "single", &mut engines);
    assert_eq!(items(board.take_rows("j", 1, Time::ZERO, BYTES_MAX)), ["single".into()]);
    board.wrote("j", 1, 0, true);
    assert_eq!(items(board.take_rows("j", 1, ms(1), BYTES_MAX)), ["a1".into()]);
    board.wrote("j", 1, 1, true);
    done(&mut board, 2, "a2", &mut engines);
    assert_eq!(items(board.take_rows("j", 1, Time::ZERO, BYTES_MAX)), ["a2".into()]);
}
