//! Guards against items that are at no engine for long because their runs begin at engines that have ended or fell silent, one
//! after the other.

mod common;

use std::{collections::HashMap, sync::Arc};

use common::{engine, job, ms, outcome, text};
use lagoonyard_node::{
    fleet::Target,
    job::{Assignment, End, Engines, Queue},
    prelude::*,
};

const ENGINES: usize = 12;
const SLOTS: u32 = 4;
/// Items per `JOB_INTERVAL`, of which each runs for `RUN_TIME`: less than half of the slots of six engines.
const ITEMS: usize = 3;
const JOB_INTERVAL: Duration = Duration::from_millis(500);
const RUN_TIME: Duration = Duration::from_millis(1600);
const EVENT_PACE: Duration = Duration::from_millis(40);
const TICK: Duration = Duration::from_millis(20);
/// Interval at which a run reports its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(800);
const DEATH: Duration = Duration::from_secs(10);
/// Engines that die in turn, with the time between two of them, in several orders.
const DYING: usize = 6;
const TURN_INTERVAL: Duration = Duration::from_millis(700);
const STEPS: [usize; 2] = [1, 5];
const IN_TURN_END: Duration = Duration::from_secs(28);
const END: Duration = Duration::from_secs(40);
/// Times after which a run that reaches no engine ends: refused connections, connections without an answer, attempts
/// through other hosts, and silence on a kept connection.
const DELAYS: [Duration; 4] = [ms_const(20), ms_const(150), ms_const(1500), ms_const(2000)];
/// Time at no engine in steady state that loses an item.
const LOST_TIME: Duration = Duration::from_secs(5);

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A run in progress.
struct Active {
    assignment: Assignment,
    started: Time,
    ends: Time,
    progressed: Time,
    reaches: bool,
}

/// Engines of which some do not run what they are given, and the leader's queue before them.
struct Simulation {
    queue: Queue,
    engines: Engines,
    /// Times from which and until which engines are dead.
    dead: HashMap<TargetId, (Time, Time)>,
    /// Time until a run at a dead engine ends.
    delay: Duration,
    /// How a run at a dead engine ends.
    end: End,
    active: Vec<Active>,
    /// Time since which an item is at no engine.
    away_since: HashMap<(JobId, usize), Time>,
    longest: Duration,
    /// Starts of runs that reached an engine, by engine.
    reached: HashMap<TargetId, Vec<Time>>,
    finished: usize,
}

impl Simulation {
    fn new(dead: usize, delay: Duration, end: End) -> Self {
        let targets: Vec<Target> = (0..ENGINES)
            .map(|number| Target { slots: SLOTS, ..engine(&format!("e{number:02}"), 1) })
            .collect();
        let mut engines = Engines::default();
        targets.iter().for_each(|target| engines.put(Arc::new(target.clone())));
        let dead = targets.iter().take(dead);
        Self {
            queue: Queue::default(),
            engines,
            dead: dead.map(|target| (target.id.clone(), (DEATH, Time::MAX))).collect(),
            delay,
            end,
            active: Vec::new(),
            away_since: HashMap::new(),
            longest: Duration::ZERO,
            reached: HashMap::new(),
            finished: 0,
        }
    }

    fn is_dead(&self, engine: &TargetId, now: Time) -> bool {
        self.dead.get(engine).is_some_and(|(from, until)| now >= *from && now < *until)
    }

    fn submit(&mut self, now: Time) {
        let id = format!("j{:06}", now.as_millis());
        let names: Vec<String> = (0..ITEMS).map(|item| format!("{id}-{item}")).collect();
        let items: Vec<(&str, u64)> = names.iter().map(|name| (&**name, 40)).collect();
        self.queue.insert(job(&id, 1, &items));
        self.away_since.extend((0..ITEMS).map(|item| ((JobId::from(&*id), item), now)));
    }

    fn run(&mut self, end: Time) {
        let mut now = Time::ZERO;
        while now < end {
            if now.as_millis().is_multiple_of(JOB_INTERVAL.as_millis()) {
                self.submit(now);
            }
            self.step(now);
            now += TICK;
        }
        for since in self.away_since.values() {
            self.longest = self.longest.max(now - *since);
        }
    }

    fn step(&mut self, now: Time) {
        let active = std::mem::take(&mut self.active);
        for mut run in active {
            let target = run.assignment.target.clone().unwrap();
            if run.reaches && self.is_dead(&target, now) {
                // The runner finds out after the delay, and the item is at no engine from now on.
                run.reaches = false;
                run.ends = now + self.delay;
                self.away_since.insert((run.assignment.job.clone(), run.assignment.item), now);
            }
            if now >= run.ends {
                self.finish(&run, &target, now);
                continue;
            }
            if run.reaches && now >= run.progressed + PROGRESS_INTERVAL {
                run.progressed = now;
                self.engines.heard(&target, now);
            }
            self.active.push(run);
        }
        while let Some(assignment) = self.queue.assign_next(now, &mut self.engines) {
            let target = assignment.target.clone().unwrap();
            let reaches = !self.is_dead(&target, now);
            if reaches {
                let key = (assignment.job.clone(), assignment.item);
                let since = self.away_since.remove(&key).unwrap_or(now);
                self.longest = self.longest.max(now - since);
                self.reached.entry(target).or_default().push(now);
            }
            let ends = now + if reaches { RUN_TIME } else { self.delay };
            self.active.push(Active { assignment, started: now, ends, progressed: now, reaches });
        }
    }

    fn finish(&mut self, run: &Active, target: &TargetId, now: Time) {
        let (job, item) = (&run.assignment.job, run.assignment.item);
        let (end, events) = match run.reaches {
            true => (End::Scored(Some("s".into())), 40),
            false => (self.end.clone(), 0),
        };
        self.finished += usize::from(run.reaches);
        let id = format!("{job}-{item}");
        let mut outcome = outcome((job, item, &id), target, end, text(events, 1));
        outcome.pace = run.reaches.then_some(EVENT_PACE);
        assert!(now >= run.started);
        self.queue.finish_run(outcome, now, &mut self.engines);
    }
}

/// Guards against an item whose runs begin at dead engines until it is lost.
#[test]
fn items_reach_an_engine_soon_although_others_are_dead() {
    let mut failures = Vec::new();
    for delay in DELAYS {
        for dead in [2, 4, 6] {
            let end = if delay == DELAYS[3] { End::Broken } else { End::NotRun };
            let mut simulation = Simulation::new(dead, delay, end);
            simulation.run(END);
            let longest = simulation.longest;
            println!("{dead} of {ENGINES} dead, {delay:?} an attempt: {longest:?} at no engine");
            // The attempt that was in progress at the death or began after it, one more, and a tick each.
            if longest > 2 * delay + 4 * TICK || longest >= LOST_TIME {
                failures.push((dead, delay, longest));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against the same when engines end one after the other, each when the items of the one before have moved on.
#[test]
fn items_reach_an_engine_soon_although_others_die_in_turn() {
    let mut failures = Vec::new();
    for delay in DELAYS {
        let mut longest = Vec::new();
        for (first, step) in (0..ENGINES).flat_map(|first| STEPS.map(|step| (first, step))) {
            let mut simulation = Simulation::new(0, delay, End::NotRun);
            for number in 0..DYING {
                let id = format!("e{:02}", (first + step * number) % ENGINES);
                let from = DEATH + TURN_INTERVAL * number as u32;
                simulation.dead.insert(id.into(), (from, Time::MAX));
            }
            simulation.run(IN_TURN_END);
            longest.push(simulation.longest);
        }
        longest.sort();
        let worst = longest.last().copied().unwrap();
        let median = longest[longest.len() / 2];
        println!(
            "6 of {ENGINES} die in turn, {delay:?} an attempt: {worst:?} at no engine, median {median:?} of {}",
            longest.len()
        );
        if worst >= LOST_TIME {
            failures.push((delay, worst));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against items that never start again after all engines were dead, and against engines that have recovered and are
/// not used.
#[test]
fn recovered_engines_are_used_again_soon() {
    let back = DEATH + ms(6_000);
    for delay in DELAYS {
        let mut simulation = Simulation::new(ENGINES, delay, End::NotRun);
        simulation.dead.values_mut().for_each(|(_, until)| *until = back);
        simulation.run(END);
        let first = |times: &Vec<Time>| times.iter().find(|at| **at >= back).copied();
        let starts: Vec<Option<Time>> = simulation.reached.values().map(first).collect();
        let latest = starts.iter().map(|at| at.map_or(END, |at| at) - back).max().unwrap();
        let earliest = starts.iter().map(|at| at.map_or(END, |at| at) - back).min().unwrap();
        println!("all dead, {delay:?} an attempt: used again after {earliest:?} to {latest:?}");
        assert_eq!(starts.len(), ENGINES);
        // The longest backoff, and an attempt that began before the engines were back.
        let bound = ms(2_400) + delay + 2 * TICK;
        assert!(earliest <= bound, "{delay:?}: {earliest:?}");
        assert!(latest <= bound + ms(3_000), "{delay:?}: {latest:?}");
        assert!(simulation.away_since.values().all(|since| END - *since < LOST_TIME));
    }
}

/// Guards against engines that have recovered and get no item, as others have free slots.
#[test]
fn recovered_engines_are_used_again_beside_others() {
    let back = DEATH + ms(6_000);
    for delay in DELAYS {
        let mut simulation = Simulation::new(2, delay, End::NotRun);
        simulation.dead.values_mut().for_each(|(_, until)| *until = back);
        simulation.run(END);
        for id in simulation.dead.keys() {
            let first = simulation.reached[id].iter().find(|at| **at >= back).copied();
            let after = first.map_or(END, |at| at - back);
            println!("2 of {ENGINES} back, {delay:?} an attempt: {id} used again after {after:?}");
            // An attempt that began before, the time for which the engine comes last, and the next items.
            assert!(after <= delay + ms(3_000) + 4 * JOB_INTERVAL, "{id} used after {after:?}");
        }
    }
}

/// Starts what can start, and returns the number of items.
fn start_all(queue: &mut Queue, engines: &mut Engines, now: Time) -> usize {
    std::iter::from_fn(|| queue.assign_next(now, engines)).count()
}

/// Guards against an engine that has ended and gets as many items as it has slots each time its backoff ends, and against one
/// that works again and still gets one item at a time.
#[test]
fn an_engine_that_failed_gets_one_item_until_that_makes_an_event() {
    let mut engines = Engines::default();
    engines.put(Arc::new(Target { slots: SLOTS, ..engine("e1", 1) }));
    let mut queue = Queue::default();
    let items = [("a", 5), ("b", 4), ("c", 3), ("d", 2)];
    queue.insert(job("j", 1, &items));
    let now = ms(1_000);
    assert_eq!(start_all(&mut queue, &mut engines, now), 4);
    for (number, (id, _)) in items.into_iter().enumerate() {
        let end = outcome(("j", number, id), "e1", End::NotRun, text(0, 1));
        queue.finish_run(end, now, &mut engines);
    }
    let now = now + ms(1_100);
    assert_eq!(start_all(&mut queue, &mut engines, now), 1);
    assert_eq!(start_all(&mut queue, &mut engines, now + ms(5_000)), 0, "the probe goes on");
    engines.heard("e1", now + ms(5_100));
    assert_eq!(start_all(&mut queue, &mut engines, now + ms(5_100)), 3);
}

/// Guards against a probe that does not start, as runs from before the failure still go on without an event.
#[test]
fn runs_from_before_a_failure_keep_no_probe_from_starting() {
    let mut engines = Engines::default();
    engines.put(Arc::new(Target { slots: SLOTS, ..engine("e1", 1) }));
    let mut queue = Queue::default();
    queue.insert(job("j", 1, &[("a", 5), ("b", 4)]));
    assert_eq!(start_all(&mut queue, &mut engines, ms(1_000)), 2);
    let end = outcome(("j", 0, "a"), "e1", End::Broken, text(0, 1));
    queue.finish_run(end, ms(1_000), &mut engines);
    assert_eq!(start_all(&mut queue, &mut engines, ms(2_000)), 1);
}
