//! Ends of runs that began before their job was read again, while another run of the item is in progress or none is.

mod common;

use common::{engine, engines, grouped_job, ms, outcome, text};
use lagoonyard_node::{
    events::Progress,
    job::{Assignment, End, Engines, Failure, Outcome, Queue, Row},
    prelude::*,
};

/// Runs before and after the job was read again.
const LATE: u64 = 1;
const PRESENT: u64 = 2;

fn failed(failures: u32) -> Failure {
    Failure { failures, ..Failure::default() }
}

struct Case {
    queue: Queue,
    engines: Engines,
}

impl Case {
    /// Job of one item, read again during its run `LATE`. Returns that run as well.
    fn new() -> (Self, Assignment) {
        let all: Vec<_> = (0..8).map(|number| engine(&format!("e{number}"), 1)).collect();
        let mut case = Self { queue: Queue::default(), engines: engines(&all) };
        case.read_job();
        let late = case.start(LATE, ms(1));
        case.queue.remove("j", ms(2));
        case.read_job();
        (case, late)
    }

    fn read_job(&mut self) {
        self.queue.insert(grouped_job("j", &[("a", "g")]));
    }

    fn start(&mut self, run: u64, now: Time) -> Assignment {
        let assignment = self.queue.assign_next(now, &mut self.engines).unwrap();
        self.queue.begin_run(&assignment, run);
        assignment
    }

    /// Ends a run as a leader does, with the failures that were known when it began.
    fn end(&mut self, run: &Assignment, ended: Outcome, before: Failure) -> Option<Failure> {
        let now = ms(10);
        let ended = Outcome { target: run.target.clone(), ..ended };
        let recorded = self.queue.record_failure(&ended, before, now);
        self.queue.record_run_end(&ended, now);
        self.queue.finish_run(ended, now, &mut self.engines);
        recorded.map(|(_, failure)| failure)
    }

    fn rows(&mut self) -> Vec<Row> {
        self.queue.take_rows("j", 1, Time::MAX, usize::MAX)
    }
}

fn ended(run: u64, end: End, progress: Progress) -> Outcome {
    Outcome { run, ..outcome(("j", 0, "a"), "", end, progress) }
}

fn scored(run: u64, events: u64) -> Outcome {
    Outcome { text_complete: true, ..ended(run, End::Scored(None), text(events, 1)) }
}

/// Guards against the result of a late run that ends the item while its present run is in progress, which is then lost.
#[test]
fn a_late_result_does_not_end_the_present_run() {
    let (mut case, late) = Case::new();
    let present = case.start(PRESENT, ms(3));
    case.end(&late, scored(LATE, 3), Failure::default());
    assert!(case.rows().is_empty());
    assert!(case.queue.assign_next(ms(11), &mut case.engines).is_none(), "a second run started");
    case.end(&present, scored(PRESENT, 5), Failure::default());
    assert_eq!(case.rows().len(), 1);
}

/// Guards against a late stop after which the item has two runs.
#[test]
fn a_late_stop_starts_no_second_run() {
    let (mut case, late) = Case::new();
    case.start(PRESENT, ms(3));
    case.end(&late, ended(LATE, End::Stopped, text(3, 1)), Failure::default());
    assert!(case.queue.assign_next(ms(11), &mut case.engines).is_none());
}

/// Guards against a text that is generated again although a late run brought it.
#[test]
fn a_waiting_item_goes_on_from_the_text_of_a_late_run() {
    let (mut case, late) = Case::new();
    case.end(&late, ended(LATE, End::Stopped, text(7, 1)), Failure::default());
    assert_eq!(case.start(PRESENT, ms(11)).progress.last_event, 7);
}

/// Guards against a slot that stays taken by a late run.
#[test]
fn a_late_end_frees_its_slot() {
    let (mut case, late) = Case::new();
    let target = late.target.clone().unwrap();
    let free_slots = |case: &Case| {
        let engine = case.engines.iter().find(|engine| engine.target.id == target);
        engine.unwrap().free_slots()
    };
    let before = free_slots(&case);
    case.end(&late, ended(LATE, End::Stopped, text(0, 1)), Failure::default());
    assert_eq!(free_slots(&case), before + 1);
}

/// Guards against an attempt that is lost, and against one that counts twice. The policy allows two.
#[test]
fn a_late_failure_counts_once() {
    for known in [0, 1] {
        let (mut case, late) = Case::new();
        if known > 0 {
            let identity = case.queue.get("j").unwrap().identity(0).unwrap();
            let job = case.queue.get_mut("j").unwrap();
            job.apply_failures(&[(identity, failed(known))], ms(3));
        }
        let present = case.start(PRESENT, ms(3));
        let end = ended(LATE, End::Failed, text(0, 1));
        assert_eq!(case.end(&late, end, Failure::default()), Some(failed(1)), "{known}");
        assert!(case.rows().is_empty(), "{known}");
        let end = ended(PRESENT, End::Failed, text(0, 1));
        assert_eq!(case.end(&present, end, failed(known)), Some(failed(2)), "{known}");
        assert!(!case.rows()[0].done, "{known}");
    }
}

/// Guards against an item that runs on although an engine has rejected it.
#[test]
fn a_late_rejection_ends_the_item() {
    for is_running in [false, true] {
        let (mut case, late) = Case::new();
        let present = is_running.then(|| case.start(PRESENT, ms(3)));
        case.end(&late, ended(LATE, End::Rejected, text(0, 1)), Failure::default());
        let rows = case.rows();
        assert!(rows.len() == 1 && !rows[0].done, "running: {is_running}");
        if let Some(present) = present {
            case.end(&present, scored(PRESENT, 5), Failure::default());
            assert!(case.rows().is_empty(), "the item has two rows");
        }
    }
}

/// Guards against a present run that is taken for broken, or delayed, as the engine of a late run has ended.
#[test]
fn a_late_end_of_an_engine_does_not_disturb_the_present_run() {
    let (mut case, late) = Case::new();
    let present = case.start(PRESENT, ms(3));
    let broken = Outcome { connection_broke: true, ..ended(LATE, End::Broken, text(0, 1)) };
    case.end(&late, broken, Failure::default());
    assert!(case.queue.get("j").unwrap().has_run(0, PRESENT));
    assert!(case.queue.assign_next(ms(2_000), &mut case.engines).is_none(), "it has two runs");
    case.end(&present, scored(PRESENT, 3), Failure::default());
    assert_eq!(case.rows().len(), 1);
}

/// Guards against an item that waits on although only a late run reached no engine, or lost one.
#[test]
fn a_late_end_does_not_delay_a_waiting_item() {
    for end in [End::NotRun, End::Broken] {
        let (mut case, late) = Case::new();
        case.end(&late, ended(LATE, end.clone(), text(0, 1)), Failure::default());
        assert!(case.queue.assign_next(ms(10), &mut case.engines).is_some(), "{end:?}");
    }
}
