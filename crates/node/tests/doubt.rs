//! Items whose engines end: they are never held, and start on engines that run nothing else.

mod common;

use std::sync::Arc;

use common::{engine, engines, job, ms, outcome, text};
use lagoonyard_node::{
    fleet::Target,
    job::{Assignment, Doubt, End, Engines, Outcome, Queue},
    prelude::*,
};

/// Time without an engine that loses an item.
const LOST_TIME: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);
/// Slots of an engine.
const SLOTS: u32 = 4;
const STEP: Duration = Duration::from_millis(10);

/// Guards against delays that add up until the item is lost, however often its engines end.
#[test]
fn delays_grow_and_stay_short_in_all() {
    let mut doubt = Doubt::default();
    let delays: Vec<Duration> = (0..1000).map(|_| doubt.raise(false, true)).collect();
    assert!(delays[..5].is_sorted_by(|one, next| one < next), "{:?}", &delays[..5]);
    assert!(delays.iter().all(|delay| *delay < SECOND));
    assert!(delays.iter().sum::<Duration>() < LOST_TIME / 3);
    assert_eq!(doubt.raise(true, true), delays[0], "an event begins the series anew");
}

/// Guards against engines of which nothing is known that are tried one after the other while all have fallen silent.
#[test]
fn untested_engines_are_tried_only_after_a_connection_broke() {
    let mut doubt = Doubt::default();
    doubt.raise(true, true);
    assert!(doubt.allows_untested());
    doubt.forbid_untested();
    assert!(!doubt.allows_untested() && doubt.is_raised());
    doubt.raise(false, false);
    assert!(!doubt.allows_untested());
}

/// A queue with jobs of one item each, before engines.
struct Case {
    queue: Queue,
    engines: Engines,
    now: Time,
}

impl Case {
    fn new(count: usize, items: &[&str]) -> Self {
        let start = |number| Target { slots: SLOTS, ..engine(&format!("e{number}"), 1) };
        let all: Vec<Target> = (0..count).map(start).collect();
        let mut queue = Queue::default();
        items.iter().for_each(|item| queue.insert(job(item, 1, &[(item, 1)])));
        Self { queue, engines: engines(&all), now: SECOND }
    }

    fn start(&mut self) -> Option<Assignment> {
        self.queue.assign_next(self.now, &mut self.engines)
    }

    /// Starts the next item as soon as possible. Returns its assignment and the time that it waited.
    fn next(&mut self) -> (Assignment, Duration) {
        let since = self.now;
        loop {
            if let Some(assignment) = self.start() {
                return (assignment, self.now - since);
            }
            self.now += STEP;
            assert!(self.now - since < LOST_TIME, "the item is held");
        }
    }

    fn end(&mut self, run: &Assignment, end: End, events: u64) {
        let target = run.target.as_deref().unwrap();
        let has_advanced = events > run.progress.last_event;
        let ended = Outcome {
            pace: has_advanced.then(|| ms(30)),
            connection_broke: end == End::Broken,
            ..outcome((&run.job, 0, &run.job), target, end, text(events, 1))
        };
        self.queue.finish_run(ended, self.now, &mut self.engines);
    }

    /// Registers the next instance of an engine.
    fn restart(&mut self, id: &TargetId) {
        let started_ms = self.engines.get(id).unwrap().target.started_ms + 1;
        self.engines.put(Arc::new(Target { started_ms, slots: SLOTS, ..engine(id, 1) }));
    }
}

/// Guards against an item that is held as engines ended under it, an event further or at the same one each time.
#[test]
fn an_item_is_never_held_however_often_its_engines_end() {
    for advance in [1, 0] {
        let mut case = Case::new(6, &["a"]);
        let (mut events, mut last) = (3, None);
        for number in 0..200 {
            let (run, waited) = case.next();
            assert!(waited < SECOND, "{waited:?} after end {number}");
            assert_ne!(run.target, last, "end {number}: it is back at the engine that ended");
            assert_eq!(run.progress.last_event, if number == 0 { 0 } else { events });
            events += advance;
            case.now += ms(100);
            case.end(&run, End::Broken, events);
            last = run.target.clone();
            // It is registered until it is back.
            case.restart(&run.target.unwrap());
        }
    }
}

/// Guards against an item that is held since its only engine ends again and again.
#[test]
fn an_item_goes_on_at_the_only_engine() {
    let mut case = Case::new(1, &["a"]);
    for number in 0..50 {
        let (run, waited) = case.next();
        assert!(waited < SECOND, "{waited:?} after end {number}");
        case.end(&run, End::Broken, number + 1);
        case.restart(&run.target.unwrap());
    }
}

/// Guards against an item that takes others with it, as it goes on where they run although another engine is idle, or as they
/// come to it.
#[test]
fn an_item_in_doubt_starts_on_an_idle_engine() {
    let mut case = Case::new(3, &["a", "b", "c", "d", "f", "g"]);
    let runs: Vec<Assignment> = (0..6).map(|_| case.start().unwrap()).collect();
    let used = |run: &Assignment| run.target.clone().unwrap();
    // The engines of the others have just made events, the idle one has not.
    runs.iter().for_each(|run| case.engines.heard(&used(run), case.now));
    case.engines.put(Arc::new(Target { slots: SLOTS, ..engine("idle", 1) }));
    case.end(&runs[0], End::Broken, 4);
    let (again, waited) = case.next();
    assert_eq!(again.target.as_deref(), Some("idle"));
    assert_eq!(waited, Duration::ZERO);
    // What starts now goes elsewhere although that is the engine with the least to do, until the item has made an event.
    case.queue.insert(job("h", 1, &[("h", 1)]));
    assert_ne!(case.next().0.target, again.target);
    case.engines.heard(&used(&again), case.now);
    case.queue.insert(job("i", 1, &[("i", 1)]));
    assert_eq!(case.next().0.target, again.target);
}

/// Guards against an item that waits for an engine of its own while all run others, and against others that wait for its engine.
#[test]
fn an_item_in_doubt_does_not_wait_for_an_idle_engine() {
    let mut case = Case::new(3, &["a", "b", "c"]);
    let runs: Vec<Assignment> = (0..3).map(|_| case.start().unwrap()).collect();
    case.end(&runs[0], End::Broken, 4);
    let (_, waited) = case.next();
    assert!(waited < ms(100), "{waited:?}");
    let mut case = Case::new(2, &["a"]);
    let run = case.start().unwrap();
    case.end(&run, End::Broken, 4);
    let alone = case.next().0.target;
    case.queue.insert(job("b", 1, &[("b", 1)]));
    let (beside, waited) = case.next();
    assert_eq!(beside.target, alone, "the other engine backs off");
    assert!(waited < ms(100), "{waited:?}");
}

/// Guards against an item that meets one silent engine after the other, although others are heard.
#[test]
fn an_item_whose_engine_fell_silent_goes_where_others_run() {
    let mut case = Case::new(4, &["a", "b"]);
    let runs: Vec<Assignment> = (0..2).map(|_| case.start().unwrap()).collect();
    let heard = runs[1].target.clone();
    case.now += SECOND * 2;
    case.engines.heard(heard.as_deref().unwrap(), case.now);
    let target = runs[0].target.as_deref().unwrap();
    let silent = outcome(("a", 0, "a"), target, End::Broken, text(4, 1));
    case.queue.finish_run(silent, case.now, &mut case.engines);
    assert_eq!(case.next().0.target, heard);
}
