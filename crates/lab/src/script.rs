//! Scenario files: rhai scripts over a fleet.
//!
//! `expect` states what the scenario alone must reach; it is left out when faults are mixed in, since a fault may delay
//! it. `always` and the checks of `check` hold in every run.

use std::{cell::RefCell, path::Path, rc::Rc};

use lagoonyard::{
    core::{request, settings::Policy},
    prelude::*,
};
use rhai::{Array, Dynamic, Engine as Rhai, EvalAltResult, Scope};
use snafu::{ResultExt, Snafu};

use crate::{Fleet, Plan, caller, check, store::Mode, strike, view};

/// How a scenario is run.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub seed: u64,
    /// Mean time between faults by chance, none if absent.
    pub gap: Option<Duration>,
    /// The key-value service goes down once the first configuration is in force.
    pub outage: bool,
}

/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    pub faults: Vec<String>,
    pub trace: Vec<String>,
}

/// Why a scenario could not be run.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not read {path}: {source}"))]
    Read { path: Box<str>, source: std::io::Error },
    #[snafu(display("could not run {path}: {text}"))]
    Run { path: Box<str>, text: Box<str> },
}

/// Runs a scenario file.
pub fn run(path: &Path, mix: Option<Mix>) -> Result<Outcome, Error> {
    let shown: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).with_context(|_| ReadSnafu { path: shown.clone() })?;
    let stage = Rc::new(RefCell::new(Stage { fleet: None, mix, faults: Vec::new() }));
    let engine = verbs(&stage);
    let failed = |source: Box<EvalAltResult>| Error::Run {
        path: shown.clone(),
        text: source.to_string().into(),
    };
    engine.run_with_scope(&mut Scope::new(), &text).map_err(failed)?;
    let mut stage = stage.borrow_mut();
    let mut faults = std::mem::take(&mut stage.faults);
    let mut trace = Vec::new();
    if let Some(fleet) = &mut stage.fleet {
        faults.extend(check::finish(fleet).iter().cloned());
        trace = std::mem::take(&mut fleet.trace);
    }
    Ok(Outcome { faults, trace })
}

struct Stage {
    fleet: Option<Fleet>,
    mix: Option<Mix>,
    faults: Vec<String>,
}

impl Stage {
    fn fleet(&mut self) -> Result<&mut Fleet, Box<EvalAltResult>> {
        self.fleet.as_mut().ok_or_else(|| "a scenario starts with fleet(plan, seed)".into())
    }

    fn start(&mut self, plan: &str, seed: i64) -> Result<(), Box<EvalAltResult>> {
        let seed =
            self.mix.map_or(seed as u64, |mix| mix.seed.wrapping_mul(1_000_003) ^ seed as u64);
        let plan = match plan {
            "huon" => Plan::huon(seed),
            "caroni" => Plan::caroni(seed),
            "small" => Plan::small(seed),
            other => return Err(format!("could not find the plan {other}").into()),
        };
        let mut fleet = Fleet::new(plan, Policy::Full, seed);
        if let Some(gap) = self.mix.and_then(|mix| mix.gap) {
            fleet.schedule(Duration::from_secs(8), move |fleet| {
                let until = fleet.now + Duration::from_secs(120);
                fleet.mix_faults(gap, until);
            });
        }
        self.fleet = Some(fleet);
        Ok(())
    }
}

type Shared = Rc<RefCell<Stage>>;

fn verbs(stage: &Shared) -> Rhai {
    let mut engine = Rhai::new();
    engine.set_max_operations(1_000_000);
    let it = stage.clone();
    engine.register_fn("fleet", move |plan: &str, seed: i64| it.borrow_mut().start(plan, seed));
    let it = stage.clone();
    engine.register_fn("expect", move |holds: bool, text: &str| {
        it.borrow_mut().expect(holds, text);
    });
    let it = stage.clone();
    engine.register_fn("always", move |holds: bool, text: &str| {
        if !holds {
            it.borrow_mut().faults.push(text.into());
        }
    });
    let it = stage.clone();
    engine.register_fn("expect_store", move |holds: bool, text: &str| {
        let mut stage = it.borrow_mut();
        if !stage.mix.is_some_and(|mix| mix.outage) {
            stage.expect(holds, text);
        }
    });
    let it = stage.clone();
    engine.register_fn("ready", move || it.borrow_mut().ready());
    time_verbs(&mut engine, stage);
    fault_verbs(&mut engine, stage);
    caller_verbs(&mut engine, stage);
    trainer_verbs(&mut engine, stage);
    engine
}

impl Stage {
    /// Brings the first configuration into force.
    fn ready(&mut self) -> Result<(), Box<EvalAltResult>> {
        let outage = self.mix.is_some_and(|mix| mix.outage);
        let fleet = self.fleet()?;
        fleet.advance(Duration::from_secs(4));
        fleet.apply("h1", "start", 0, None);
        fleet.advance(Duration::from_secs(10));
        if outage {
            fleet.store.mode = Mode::Refuse;
        }
        Ok(())
    }

    fn expect(&mut self, holds: bool, text: &str) {
        let mixed = self.mix.is_some_and(|mix| mix.gap.is_some());
        if !holds && !mixed {
            let now = self.fleet.as_ref().map_or(0.0, |fleet| fleet.now.as_secs_f64());
            self.faults.push(format!("{now:.3} not so: {text}"));
        }
    }
}

/// Registers a verb that changes the fleet.
macro_rules! verb {
    ($engine:ident, $stage:ident, $name:literal, |$fleet:ident $(, $arg:ident: $kind:ty)*| $body:expr) => {
        let it = $stage.clone();
        $engine.register_fn($name, move |$($arg: $kind),*| -> Result<_, Box<EvalAltResult>> {
            let mut stage = it.borrow_mut();
            let $fleet = stage.fleet()?;
            Ok($body)
        });
    };
}

fn time_verbs(engine: &mut Rhai, stage: &Shared) {
    verb!(engine, stage, "advance", |fleet, ms: i64| fleet
        .advance(Duration::from_millis(ms.max(0) as u64)));
    verb!(engine, stage, "now", |fleet| fleet.now.as_millis() as i64);
    verb!(engine, stage, "log", |fleet, text: &str| fleet.note(text));
    verb!(engine, stage, "verbose", |fleet| fleet.log_level = log::Level::Debug);
    verb!(engine, stage, "hosts", |fleet| {
        fleet.hosts.keys().map(|id| Dynamic::from(id.to_string())).collect::<Array>()
    });
    verb!(engine, stage, "revision", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .map_or(0, |row| row.revision as i64));
    verb!(engine, stage, "version", |fleet, engine: &str| fleet
        .engines
        .get(engine)
        .map_or(0, |row| row.version as i64));
    verb!(engine, stage, "is_up", |fleet, target: &str| fleet
        .engines
        .get(target)
        .is_some_and(|row| row.up));
    verb!(engine, stage, "has_exited", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .is_some_and(|row| row.exited));
    verb!(engine, stage, "poison_crashes", |fleet| i64::from(fleet.checks.poison_crashes));
    verb!(engine, stage, "lowest_revision", |fleet| {
        let up = fleet.hosts.values().filter(|row| row.core.is_some() && !row.frozen);
        up.map(|row| row.revision as i64).min().unwrap_or(0)
    });
    // A host that has just started has none in force and is not ready.
    verb!(engine, stage, "lowest_in_force", |fleet| {
        let up = fleet.hosts.values().filter(|row| row.core.is_some() && !row.frozen);
        let in_force = up.map(|row| row.revision as i64).filter(|revision| *revision > 0);
        in_force.min().unwrap_or(i64::MAX)
    });
}

fn fault_verbs(engine: &mut Rhai, stage: &Shared) {
    verb!(engine, stage, "kill", |fleet, host: &str| fleet.kill(host));
    verb!(engine, stage, "start", |fleet, host: &str| {
        let zone = fleet.hosts.get(host).map(|row| row.zone.clone()).unwrap_or_default();
        fleet.start(host, &zone);
    });
    verb!(engine, stage, "freeze", |fleet, host: &str| fleet.freeze(host));
    verb!(engine, stage, "thaw", |fleet, host: &str| fleet.thaw(host));
    verb!(engine, stage, "drain", |fleet, host: &str| fleet.drain(host));
    verb!(engine, stage, "hold_orders", |fleet, host: &str| if let Some(row) =
        fleet.hosts.get_mut(host)
    {
        row.holds_orders = true;
    });
    verb!(engine, stage, "release_orders", |fleet, host: &str| fleet.release_orders(host));
    verb!(engine, stage, "held_orders", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .map_or(0, |row| row.held.len() as i64));
    verb!(
        engine,
        stage,
        "disk",
        |fleet, host: &str| if let Some(row) = fleet.hosts.get_mut(host) {
            row.has_disk = true;
        }
    );
    verb!(engine, stage, "cut", |fleet, one: &str, other: &str| fleet.cut(one, other));
    verb!(engine, stage, "isolate", |fleet, zone: &str| fleet.isolate(zone));
    verb!(engine, stage, "heal", |fleet| fleet.cuts.clear());
    verb!(engine, stage, "store", |fleet, mode: &str| {
        fleet.store.mode = match mode {
            "refuse" => Mode::Refuse,
            "hang" => Mode::Hang,
            "lose_answers" => Mode::LoseAnswers,
            _ => Mode::Up,
        };
    });
    verb!(engine, stage, "store_slow", |fleet, ms: i64| fleet.store.slow =
        Duration::from_millis(ms as u64));
    verb!(engine, stage, "save_store", |fleet| fleet.store.save());
    verb!(engine, stage, "rewind_store", |fleet| {
        fleet.store.rewind();
        fleet.wake_watches();
    });
    verb!(engine, stage, "crash", |fleet, target: &str| fleet.crash(target, None));
    verb!(engine, stage, "crash", |fleet, target: &str, ms: i64| {
        fleet.crash(target, Some(Duration::from_millis(ms as u64)));
    });
    verb!(engine, stage, "revive", |fleet, target: &str| fleet.revive(target));
    verb!(engine, stage, "leave", |fleet, target: &str| fleet.leave(target));
    verb!(engine, stage, "list_leaving", |fleet, target: &str| if let Some(row) =
        fleet.listed.get_mut(target)
    {
        row.leaving = true;
    });
    verb!(engine, stage, "unlist", |fleet, target: &str| drop(fleet.listed.remove(target)));
    verb!(engine, stage, "poison", |fleet, part: &str| {
        fleet.poisons.push(part.into());
        if fleet.poisons.len() == 1 {
            strike::follow(fleet);
        }
    });
    verb!(engine, stage, "truncate", |fleet, engine: &str, tokens: i64| {
        if let Some(row) = fleet.engines.get_mut(engine) {
            row.truncate_after = u32::try_from(tokens).ok().filter(|&tokens| tokens > 0);
        }
    });
    verb!(engine, stage, "speed", |fleet, engine: &str, rate: f64| if let Some(row) =
        fleet.engines.get_mut(engine)
    {
        row.speed = rate;
    });
    verb!(engine, stage, "mute_versions", |fleet, engine: &str| if let Some(row) =
        fleet.engines.get_mut(engine)
    {
        row.name_versions = false;
    });
    verb!(engine, stage, "ignore_fences", |fleet| {
        fleet.engines.values_mut().for_each(|row| row.checks_fence = false);
    });
    verb!(engine, stage, "fail_loads", |fleet, engine: &str, count: i64| {
        if let Some(row) = fleet.engines.get_mut(engine) {
            row.fail_loads = count as u32;
        }
    });
    verb!(engine, stage, "die_after_run", |fleet, service: &str, dies: bool| {
        if let Some(row) = fleet.services.get_mut(service) {
            row.die_after_run = dies;
        }
    });
    verb!(engine, stage, "service_takes", |fleet, ms: i64| {
        fleet.services.values_mut().for_each(|row| row.takes = Duration::from_millis(ms as u64));
    });
}

fn caller_verbs(engine: &mut Rhai, stage: &Shared) {
    verb!(engine, stage, "apply", |fleet, host: &str, id: &str, expected: i64| {
        fleet.apply(host, id, expected as u64, None) as i64
    });
    verb!(engine, stage, "apply", |fleet,
                                   host: &str,
                                   id: &str,
                                   expected: i64,
                                   field: &str,
                                   value: i64| {
        fleet.apply(host, id, expected as u64, Some((field, value))) as i64
    });
    verb!(engine, stage, "generate", |fleet, host: &str, prompt: &str| {
        let work = caller::generate(&fleet.plan.model.clone(), prompt, 400);
        fleet.call(host, work, None, Duration::from_secs(60)) as i64
    });
    verb!(engine, stage, "generate", |fleet, host: &str, prompt: &str, deadline_ms: i64| {
        let work = caller::generate(&fleet.plan.model.clone(), prompt, 400);
        fleet.call(host, work, None, Duration::from_millis(deadline_ms as u64)) as i64
    });
    verb!(engine, stage, "ask_key", |fleet, host: &str| fleet.keys(host, 1, None) as i64);
    verb!(engine, stage, "book", |fleet, host: &str, key: &str, body: &str| {
        let work = caller::booking(&fleet.plan.service.clone(), body);
        let key = (!key.is_empty()).then(|| key.into());
        fleet.call(host, work, key, Duration::from_secs(20)) as i64
    });
    verb!(engine, stage, "hang_up", |fleet, ticket: i64| {
        let ticket = ticket as u64;
        if let Some(host) = fleet.host_of(ticket).cloned() {
            fleet.input(
                &host,
                lagoonyard::core::Event::Request(request::Event::Disconnected { ticket }),
            );
            fleet.tickets.remove(&ticket);
        }
    });
    verb!(engine, stage, "answer", |fleet, ticket: i64| view::answer(fleet, ticket as u64));
    verb!(engine, stage, "runs", |fleet, body: &str| i64::from(
        fleet.ledger.runs.get(body).copied().unwrap_or(0)
    ));
    verb!(engine, stage, "callers", |fleet, generations: f64, bookings: f64, ms: i64| {
        let until = fleet.now + Duration::from_millis(ms as u64);
        let deadline = Duration::from_secs(20);
        fleet.run_callers(caller::Load {
            generations_per_s: generations,
            bookings_per_s: bookings,
            deadline,
            until,
        });
    });
}

fn trainer_verbs(engine: &mut Rhai, stage: &Shared) {
    verb!(engine, stage, "train", |fleet, trainer: &str| fleet.run_trainer(&trainer.into()));
    verb!(engine, stage, "stop_training", |fleet, trainer: &str| if let Some(row) =
        fleet.trainers.get_mut(trainer)
    {
        row.runs = false;
    });
    verb!(engine, stage, "pull", |fleet, trainer: &str, host: &str| {
        fleet.pull(&trainer.into(), Some(host)).unwrap_or(0) as i64
    });
    verb!(engine, stage, "announce", |fleet, trainer: &str, host: &str, version: i64| {
        if let Some(row) = fleet.trainers.get_mut(trainer) {
            row.version = version as u64;
        }
        fleet.announce(&trainer.into(), Some(host));
    });
    verb!(engine, stage, "trainer_version", |fleet, trainer: &str, version: i64| {
        if let Some(row) = fleet.trainers.get_mut(trainer) {
            row.version = version as u64;
        }
    });
    verb!(engine, stage, "steps", |fleet, trainer: &str| fleet
        .trainers
        .get(trainer)
        .map_or(0, |row| i64::from(row.steps)));
    verb!(engine, stage, "samples", |fleet, trainer: &str| {
        fleet.trainers.get(trainer).map_or(0, |row| row.samples_seen.len() as i64)
    });
    verb!(engine, stage, "owner", |fleet, trainer: &str| {
        let zone = fleet.trainers.get(trainer).map(|row| row.zone.clone()).unwrap_or_default();
        let name = format!("stream/{trainer}");
        first(fleet, &name, &zone)
    });
    verb!(engine, stage, "order_holder", |fleet, zone: &str| {
        let name = format!("orders/{zone}");
        first(fleet, &name, zone)
    });
    verb!(engine, stage, "watcher", |fleet, zone: &str| first(fleet, "config", zone));
}

/// Host that a live host of the zone ranks first for a purpose.
fn first(fleet: &Fleet, purpose: &str, zone: &str) -> String {
    let up =
        fleet.hosts.values().find(|row| row.core.is_some() && !row.frozen && &*row.zone == zone);
    let core = up.and_then(|row| row.core.as_ref());
    let rank = core.map(|core| core.world().hosts.rank(purpose, zone)).unwrap_or_default();
    rank.first().map(ToString::to_string).unwrap_or_default()
}
