//! Placement of items by the prompts that engines hold, without a network.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{engine, engines, ms, outcome, prompted_job, requirement};
use lagoonyard_node::{
    events::Progress,
    fleet::Target,
    job::{Assignment, End, Engines, Queue, Requirement},
    prefix::{Candidate, Part, Prompt, Rate, Settings, Table, Work, weigh},
    prelude::*,
};

/// Prompt of a step's common part and of one group's.
const GROUP_A: &[(&str, u32)] = &[("5", 1000), ("a", 1000)];
const GROUP_B: &[(&str, u32)] = &[("5", 1000), ("b", 1000)];

/// Engines prefill 10 tokens in a millisecond, so the prompt of a group takes 200 ms.
const SETTINGS: Settings = Settings { tokens_per_ms: 10.0 };

fn prompt(parts: &[(&str, u32)]) -> Prompt {
    parts.iter().map(|(id, tokens)| Part::new(id, *tokens)).collect()
}

fn work(prompt: &Prompt, events: f64) -> Work<'_> {
    Work { prompt, max_total_tokens: prompt.tokens() + 100, events }
}

/// Guards against savings in tokens that outweigh a slower engine, a wait or a failure there, and against ones that count
/// for nothing.
#[test]
fn saved_tokens_are_weighed_as_time() {
    let prompt = prompt(GROUP_A);
    let head = Candidate {
        comes_last: false,
        pace: ms(20),
        cached: 0,
        tokens_per_ms: 10.0,
        wait: Duration::ZERO,
    };
    let holder = Candidate { cached: 2000, ..head };
    let slower = |pace| Candidate { pace, ..holder };
    let cases = [
        ("equal engines", 50.0, holder, "holder"),
        ("150 ms more for the text, 200 ms saved", 50.0, slower(ms(23)), "holder"),
        ("250 ms more for the text", 50.0, slower(ms(25)), "head"),
        ("a short text", 5.0, slower(ms(50)), "holder"),
        ("half as fast", 50.0, slower(ms(40)), "head"),
        ("half of the prompt is held", 50.0, Candidate { cached: 1000, ..slower(ms(23)) }, "head"),
        (
            "a fast prefill saves little",
            50.0,
            Candidate { tokens_per_ms: 1e3, ..slower(ms(23)) },
            "holder",
        ),
        ("a wait of 150 ms", 50.0, Candidate { wait: ms(150), ..holder }, "holder"),
        ("a wait of 250 ms", 50.0, Candidate { wait: ms(250), ..holder }, "head"),
        ("runs failed there lately", 50.0, Candidate { comes_last: true, ..holder }, "head"),
        ("nothing is held", 50.0, head, "head"),
    ];
    for (name, events, other, expected) in cases {
        let candidates = [("head", head), ("holder", other)];
        assert_eq!(weigh(&work(&prompt, events), candidates), Some(expected), "{name}");
    }
    assert_eq!(weigh::<()>(&work(&prompt, 1.0), []), None);
}

/// Guards against an engine that counts as holding a prompt of which it lacks the first part.
#[test]
fn prompt_counts_up_to_the_first_missing_part() {
    let (mut table, id, model) = (Table::new(SETTINGS), "e1".into(), "m".into());
    table.begin_run(&id, &model, &work(&prompt(GROUP_A), 1.0), ms(0));
    let cached = |parts: &[(&str, u32)]| table.cached("e1", "m", &prompt(parts), ms(10));
    assert_eq!(cached(GROUP_A), 2000);
    assert_eq!(cached(GROUP_B), 1000);
    assert_eq!(cached(&[("c", 10), ("5", 1000)]), 0);
    assert_eq!(table.cached("e1", "other", &prompt(GROUP_A), ms(10)), 0, "of another model");
    assert_eq!(table.cached("e2", "m", &prompt(GROUP_A), ms(10)), 0);
    assert_eq!(table.cached("e1", "m", &prompt(GROUP_A), Duration::from_secs(61)), 0, "too old");
}

/// Guards against an estimate above the engine's capacity, which it shares with runs, and against one that grows without end.
#[test]
fn least_recently_used_parts_are_dropped_for_lack_of_capacity() {
    let (mut table, id, model) = (Table::new(SETTINGS), "e1".into(), "m".into());
    table.set_capacity(Some(3150));
    let (a, b, c) = (prompt(GROUP_A), prompt(GROUP_B), prompt(&[("c", 1100)]));
    for (at, sent) in [&a, &b].into_iter().enumerate() {
        table.begin_run(&id, &model, &work(sent, 10.0), ms(at as u64));
        table.end_run(&id);
    }
    assert_eq!(table.cached(&id, &model, &a, ms(5)), 2000);
    // It fits beside `a` or `b`, and `b` was used last.
    table.begin_run(&id, &model, &work(&c, 10.0), ms(6));
    let cached = |table: &Table, sent: &Prompt| table.cached("e1", "m", sent, ms(7));
    assert_eq!([&a, &b, &c].map(|sent| cached(&table, sent)), [1000, 2000, 1100]);
    assert_eq!(
        table.holders("m", &prompt(&[("a", 1000)])).count(),
        0,
        "nor is it found as a holder"
    );
    // Texts in progress take the rest.
    let none = Prompt::default();
    let long = Work { prompt: &none, max_total_tokens: 3000, events: 3000.0 };
    table.begin_run(&id, &model, &long, ms(8));
    assert_eq!([&a, &b, &c].map(|sent| cached(&table, sent)), [0, 0, 0]);
    assert_eq!(table.wait(&id, &work(&a, 10.0), 0, ms(400)), ms(200), "until one of two runs ends");
    table.end_run(&id);
    table.end_run(&id);
    assert_eq!(table.wait(&id, &work(&a, 10.0), 0, ms(400)), Duration::ZERO);
    // So do the prompts of runs, of which shared parts count once.
    table.begin_run(&id, &model, &work(&a, 10.0), ms(8));
    let wait = |tokens| table.wait(&id, &work(&a, 10.0), tokens, ms(400));
    assert_eq!([1000, 0].map(wait), [Duration::ZERO, ms(400)]);
    // Without a known capacity the number of parts is bounded.
    table.set_capacity(None);
    for number in 0..1000 {
        let sent = prompt(&[(&format!("{number:x}"), 1)]);
        table.begin_run(&id, &model, &work(&sent, 1.0), ms(9));
    }
    let held =
        (0..1000).filter(|number| cached(&table, &prompt(&[(&format!("{number:x}"), 1)])) > 0);
    assert_eq!(held.count(), 64);
}

/// Guards against a length hint out of all range that ends the leader's process.
#[test]
fn absurd_lengths_are_borne() {
    let (mut table, id, model) = (Table::new(SETTINGS), "e1".into(), "m".into());
    table.set_capacity(Some(u64::MAX));
    let prompt = prompt(&[("a", u32::MAX), ("b", u32::MAX)]);
    for events in [f64::MAX, f64::INFINITY, 0.0] {
        let work = Work { prompt: &prompt, max_total_tokens: u64::MAX, events };
        table.begin_run(&id, &model, &work, ms(0));
        let wait = table.wait(&id, &work, 0, work.text_time(ms(40)));
        let engine = Candidate {
            comes_last: false,
            pace: ms(40),
            cached: table.cached(&id, &model, &prompt, ms(1)),
            tokens_per_ms: table.tokens_per_ms(&id),
            wait,
        };
        assert_eq!(weigh(&work, [("engine", engine)]), Some("engine"));
    }
    for _ in 0..4 {
        table.end_run(&id);
    }
}

/// Guards against a rate from runs that differ in nothing, and one that takes the delay before any event for prefill.
#[test]
fn prefill_rate_is_fitted_to_times_of_first_events() {
    let mut rate = Rate::default();
    for _ in 0..20 {
        rate.record(2000, ms(450));
    }
    assert_eq!(rate.tokens_per_ms(), None, "all runs are alike");
    for tokens in [0, 500, 1000, 2000].into_iter().cycle().take(40) {
        rate.record(tokens, ms(50 + tokens / 5));
    }
    let measured = rate.tokens_per_ms().unwrap();
    assert!((measured - 5.0).abs() < 0.1, "{measured}");
    let mut table = Table::new(SETTINGS);
    let mut sent = table.begin_run(&"e1".into(), &"m".into(), &work(&prompt(GROUP_A), 1.0), ms(0));
    for tokens in [0, 500, 1000, 2000].into_iter().cycle().take(40) {
        sent.cached = 2000 - tokens;
        table.record_first_event("e1", &sent, ms(50 + tokens / 5));
    }
    assert!((table.tokens_per_ms("e1") - 5.0).abs() < 0.1);
    assert!((table.tokens_per_ms("e2") - 5.0).abs() < 0.1, "that of the others");
    // A member of a group that waited for another one's prefill says nothing.
    let follower = table.begin_run(&"e1".into(), &"m".into(), &work(&prompt(GROUP_A), 1.0), ms(90));
    assert!(!follower.shows_rate);
}

/// A leader's engines and queue.
struct Case {
    queue: Queue,
    engines: Engines,
    now: Time,
}

impl Case {
    /// Engines `e0`, `e1`, ... with 8 slots each and version 1.
    fn new(count: usize) -> Self {
        let targets: Vec<Target> = (0..count).map(|number| target(number, 1, 1)).collect();
        Self { queue: Queue::default(), engines: engines(&targets), now: ms(1000) }
    }

    fn enabled(count: usize) -> Self {
        let mut case = Self::new(count);
        case.engines.enable_prefixes(SETTINGS);
        case
    }

    /// Starts all items of a new job. Returns them by engine.
    fn start(
        &mut self,
        id: &str,
        events: u64,
        items: &[(&str, &[(&str, u32)])],
    ) -> Vec<Assignment> {
        self.queue.insert(prompted_job(id, events, items));
        std::iter::from_fn(|| self.queue.assign_next(self.now, &mut self.engines)).collect()
    }

    fn end(&mut self, runs: &[Assignment], end: &End) {
        for run in runs {
            let target = run.target.as_deref().unwrap();
            let item = self.queue.get(&run.job).unwrap().spec.items[run.item].id.clone();
            let ended =
                outcome((&run.job, run.item, &item), target, end.clone(), Progress::default());
            self.queue.finish_run(ended, self.now, &mut self.engines);
        }
    }

    /// Runs an item on the first engine to its end, after which it holds the prompt.
    fn prefill(&mut self, parts: &[(&str, u32)]) -> TargetId {
        let runs = self.start("first", 1, &[("first", parts)]);
        self.end(&runs, &End::Scored(None));
        self.queue.remove("first", self.now);
        runs[0].target.clone().unwrap()
    }
}

fn target(number: usize, started_ms: u64, version: u64) -> Target {
    Target { slots: 8, started_ms, ..engine(&format!("e{number}"), version) }
}

fn by_engine(runs: &[Assignment]) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for target in runs.iter().filter_map(|run| run.target.as_deref()) {
        *counts.entry(target).or_default() += 1;
    }
    counts
}

const GROUP: [(&str, &[(&str, u32)]); 4] =
    [("1", GROUP_A), ("2", GROUP_A), ("3", GROUP_A), ("4", GROUP_A)];

/// Guards against a prompt that each engine prefills for one member of a group, and against members that crowd on one engine
/// although another one ends their texts sooner.
#[test]
fn members_of_a_group_share_an_engine_while_that_is_sooner() {
    let mut case = Case::enabled(4);
    let runs = case.start("j", 20, &GROUP);
    assert_eq!(by_engine(&runs), BTreeMap::from([("e0", 4)]));
    let sent: Vec<u64> = runs.iter().map(|run| run.sent.as_ref().unwrap().cached).collect();
    assert_eq!(sent, [0, 2000, 2000, 2000]);
    assert_eq!(runs[1].sent.as_ref().unwrap().instead_of.as_deref(), Some("e1"));
    // The text of a long item takes 40 ms for each event, and 0.75 ms more for each run beside it.
    let mut case = Case::enabled(4);
    let runs = case.start("j", 1000, &GROUP);
    assert_eq!(by_engine(&runs).len(), 4);
    // Members that find no slot go elsewhere at once.
    let mut case = Case::enabled(2);
    let ids: Vec<String> = (0..12).map(|number| number.to_string()).collect();
    let items: Vec<(&str, &[(&str, u32)])> = ids.iter().map(|id| (&**id, GROUP_A)).collect();
    assert_eq!(by_engine(&case.start("j", 1, &items)), BTreeMap::from([("e0", 8), ("e1", 4)]));
}

/// Guards against a deployment that has not asked for it, or items that name no parts, and yet are placed in another way.
#[test]
fn off_or_without_prompts_the_placement_is_as_before() {
    let targets =
        |runs: &[Assignment]| runs.iter().map(|run| run.target.clone()).collect::<Vec<_>>();
    let unnamed = GROUP.map(|(id, _)| (id, [].as_slice()));
    let plain = Case::new(4).start("j", 20, &unnamed);
    let off = Case::new(4).start("j", 20, &GROUP);
    assert_eq!(targets(&off), targets(&plain));
    assert!(off.iter().all(|run| run.sent.is_none()));
    assert_eq!(targets(&Case::enabled(4).start("j", 20, &unnamed)), targets(&plain));
    assert_eq!(by_engine(&plain).len(), 4);
}

/// Guards against an estimate that outlives what the engine held: after a load by this or another leader, a restart, a
/// failed run, and a term of another leader.
#[test]
fn what_an_engine_held_is_forgotten_with_its_cause() {
    type Change = fn(&mut Case);
    let changes: [(&str, bool, Change); 9] = [
        ("nothing", true, |_| ()),
        ("the same registration again", true, |case| case.engines.put(Arc::new(target(1, 1, 1)))),
        ("a load of another model", true, |case| case.engines.begin_load("e1", &"other".into())),
        ("a load", false, |case| {
            case.engines.begin_load("e1", &"m".into());
            case.engines.end_load("e1", Some(2));
        }),
        ("a load that failed", false, |case| {
            case.engines.begin_load("e1", &"m".into());
            case.engines.end_load("e1", None);
        }),
        ("a load by another leader", false, |case| case.engines.put(Arc::new(target(1, 1, 2)))),
        ("a restart", false, |case| {
            case.engines.put(Arc::new(target(1, 2, 1)));
            case.engines.start_run("e1");
        }),
        ("a failed run", false, |case| {
            case.engines.back_off("e1", case.now);
            case.now += Duration::from_secs(5);
            case.engines.heard("e1", case.now);
        }),
        ("a term of another leader", false, |case| case.engines.forget_all_prompts()),
    ];
    for (name, is_held, change) in changes {
        let mut case = Case::enabled(3);
        // `e0` has a run, so that `e1` is the first in the order, and then another one, which puts it behind `e2`.
        let busy = case.start("busy", 1, &[("busy", &[])]);
        assert_eq!(case.prefill(GROUP_A).as_ref(), "e1");
        case.engines.start_run("e1");
        change(&mut case);
        let runs = case.start("j", 1, &[("1", GROUP_A)]);
        let expected = if is_held { "e1" } else { "e2" };
        assert_eq!(runs[0].target.as_deref(), Some(expected), "after {name}");
        assert_eq!(runs[0].sent.as_ref().unwrap().cached, if is_held { 2000 } else { 0 }, "{name}");
        case.end(&busy, &End::Stopped);
    }
}

/// Guards against an item that goes to a holder which must not run it: too old a version, a load in progress, the engine to
/// be avoided.
#[test]
fn holder_must_suit_the_item() {
    let mut case = Case::enabled(2);
    assert_eq!(case.prefill(GROUP_A).as_ref(), "e0");
    case.engines.begin_load("e0", &"m".into());
    let runs = case.start("j", 1, &[("1", GROUP_A)]);
    assert_eq!(runs[0].target.as_deref(), Some("e1"));
    // The run failed at `e1`, which would hold the prompt.
    case.engines.end_load("e0", None);
    case.end(&runs, &End::Failed);
    let again = case.queue.assign_next(case.now, &mut case.engines).unwrap();
    assert_eq!(again.target.as_deref(), Some("e0"));
}

/// Guards against a holder that is chosen although the item needs an engine that runs nothing else, or leaves the fast ones to
/// longer items, and against one that is chosen while an item in doubt has it to itself.
#[test]
fn holder_must_be_idle_spared_or_unreserved_as_demanded() {
    type Change = fn(&mut Engines);
    let prompt = prompt(GROUP_A);
    let any = Requirement { work: Some(work(&prompt, 1.0)), ..requirement() };
    let (idle, sparing) =
        (Requirement { idle: true, ..any }, Requirement { spares_fast: true, ..any });
    let run: Change = |engines| engines.start_run("e0");
    let fast: Change = |engines| {
        for (id, pace) in [("e0", 20), ("e1", 40), ("e2", 40)] {
            engines.start_run(id);
            engines.finish_run(id, ms(1000), Some(ms(pace)));
        }
    };
    let reserve: Change = |engines| engines.start_doubtful_run("e0");
    let cases = [
        ("a run", run, any, "e0"),
        ("a run, idle demanded", run, idle, "e1"),
        ("fast", fast, any, "e0"),
        ("fast, to be spared", fast, sparing, "e1"),
        ("reserved", reserve, any, "e1"),
    ];
    for (name, change, requirement, expected) in cases {
        let mut case = Case::enabled(3);
        assert_eq!(case.prefill(GROUP_A).as_ref(), "e0");
        change(&mut case.engines);
        assert_eq!(&*case.engines.choose(&requirement).unwrap().target.id, expected, "{name}");
    }
}
