//! Scenario files: rhai scripts that drive a fleet.
//!
//! A script calls the functions registered here. Its first call is `fleet(plan, seed)`. `expect` states a result of the
//! scenario alone; it is not checked when random faults are injected, since they may delay the result. `expect_store`
//! is an `expect` that is also skipped in runs with an outage of the key-value store. `always` and the checks of
//! module `check` apply to every run.

use std::{cell::RefCell, path::Path, rc::Rc};

use lagoonyard::{
    core::{request, settings::Policy},
    prelude::*,
};
use rhai::{Array, Dynamic, Engine as Rhai, EvalAltResult, Scope};
use snafu::{ResultExt, Snafu};

use crate::{Fleet, Plan, answer, caller, check, poison, store::Mode};

/// Conditions that a scenario is run under.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    pub seed: u64,
    /// Mean time between random faults; `None` runs the scenario without them.
    pub fault_interval: Option<Duration>,
    /// Stops the key-value store once the first configuration is in force.
    pub outage: bool,
}

/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    pub failures: Vec<String>,
    pub trace: Vec<String>,
}

#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not read {path}: {source}"))]
    Read { path: Box<str>, source: std::io::Error },
    #[snafu(display("could not run {path}: {text}"))]
    Run { path: Box<str>, text: Box<str> },
}

/// Runs a scenario file.
pub fn run(path: &Path, variant: Option<Variant>) -> Result<Outcome, Error> {
    let shown: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).with_context(|_| ReadSnafu { path: shown.clone() })?;
    let context = Rc::new(RefCell::new(Context { fleet: None, variant, failures: Vec::new() }));
    let engine = register_functions(&context);
    let failed = |source: Box<EvalAltResult>| Error::Run {
        path: shown.clone(),
        text: source.to_string().into(),
    };
    engine.run_with_scope(&mut Scope::new(), &text).map_err(failed)?;
    let mut context = context.borrow_mut();
    let mut failures = std::mem::take(&mut context.failures);
    let mut trace = Vec::new();
    if let Some(fleet) = &mut context.fleet {
        failures.extend(check::finish(fleet).iter().cloned());
        trace = std::mem::take(&mut fleet.trace);
    }
    Ok(Outcome { failures, trace })
}

struct Context {
    fleet: Option<Fleet>,
    variant: Option<Variant>,
    failures: Vec<String>,
}

impl Context {
    fn fleet(&mut self) -> Result<&mut Fleet, Box<EvalAltResult>> {
        self.fleet.as_mut().ok_or_else(|| {
            "could not run the call: a scenario has to start with fleet(plan, seed)".into()
        })
    }

    fn start(&mut self, plan: &str, seed: i64) -> Result<(), Box<EvalAltResult>> {
        let seed = self
            .variant
            .map_or(seed as u64, |variant| variant.seed.wrapping_mul(1_000_003) ^ seed as u64);
        let plan = match plan {
            "huon" => Plan::huon(seed),
            "caroni" => Plan::caroni(seed),
            "small" => Plan::small(seed),
            other => return Err(format!("could not find the plan {other}").into()),
        };
        let mut fleet = Fleet::new(plan, Policy::Full, seed);
        if let Some(fault_interval) = self.variant.and_then(|variant| variant.fault_interval) {
            fleet.schedule(Duration::from_secs(8), move |fleet| {
                let until = fleet.now + Duration::from_secs(120);
                fleet.inject_faults(fault_interval, until);
            });
        }
        self.fleet = Some(fleet);
        Ok(())
    }
}

type Shared = Rc<RefCell<Context>>;

fn register_functions(context: &Shared) -> Rhai {
    let mut engine = Rhai::new();
    engine.set_max_operations(1_000_000);
    let shared = context.clone();
    engine.register_fn("fleet", move |plan: &str, seed: i64| shared.borrow_mut().start(plan, seed));
    let shared = context.clone();
    engine.register_fn("expect", move |holds: bool, text: &str| {
        shared.borrow_mut().expect(holds, text);
    });
    let shared = context.clone();
    engine.register_fn("always", move |holds: bool, text: &str| {
        if !holds {
            shared.borrow_mut().failures.push(text.into());
        }
    });
    let shared = context.clone();
    engine.register_fn("expect_store", move |holds: bool, text: &str| {
        let mut context = shared.borrow_mut();
        if !context.variant.is_some_and(|variant| variant.outage) {
            context.expect(holds, text);
        }
    });
    let shared = context.clone();
    engine.register_fn("ready", move || shared.borrow_mut().ready());
    register_time_functions(&mut engine, context);
    register_fault_functions(&mut engine, context);
    register_caller_functions(&mut engine, context);
    register_trainer_functions(&mut engine, context);
    engine
}

impl Context {
    /// Applies the first configuration and waits until it is in force.
    fn ready(&mut self) -> Result<(), Box<EvalAltResult>> {
        let outage = self.variant.is_some_and(|variant| variant.outage);
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
        let with_faults = self.variant.is_some_and(|variant| variant.fault_interval.is_some());
        if !holds && !with_faults {
            let now = self.fleet.as_ref().map_or(0.0, |fleet| fleet.now.as_secs_f64());
            self.failures.push(format!("{now:.3} expectation failed: {text}"));
        }
    }
}

/// Registers a script function that gets the fleet.
macro_rules! function {
    ($engine:ident, $context:ident, $name:literal, |$fleet:ident $(, $arg:ident: $kind:ty)*| $body:expr) => {
        let shared = $context.clone();
        $engine.register_fn($name, move |$($arg: $kind),*| -> Result<_, Box<EvalAltResult>> {
            let mut context = shared.borrow_mut();
            let $fleet = context.fleet()?;
            Ok($body)
        });
    };
}

fn register_time_functions(engine: &mut Rhai, context: &Shared) {
    function!(engine, context, "advance", |fleet, ms: i64| fleet
        .advance(Duration::from_millis(ms.max(0) as u64)));
    function!(engine, context, "now", |fleet| fleet.now.as_millis() as i64);
    function!(engine, context, "log", |fleet, text: &str| fleet.trace_line(text));
    function!(engine, context, "verbose", |fleet| fleet.log_level = log::Level::Debug);
    function!(engine, context, "hosts", |fleet| {
        fleet.hosts.keys().map(|id| Dynamic::from(id.to_string())).collect::<Array>()
    });
    function!(engine, context, "revision", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .map_or(0, |row| row.revision as i64));
    function!(engine, context, "version", |fleet, engine: &str| fleet
        .engines
        .get(engine)
        .map_or(0, |row| row.version as i64));
    function!(engine, context, "is_up", |fleet, target: &str| fleet
        .engines
        .get(target)
        .is_some_and(|row| row.up));
    function!(engine, context, "has_exited", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .is_some_and(|row| row.exited));
    function!(engine, context, "poison_crashes", |fleet| i64::from(fleet.checks.poison_crashes));
    function!(engine, context, "lowest_revision", |fleet| {
        let up = fleet.hosts.values().filter(|row| row.core.is_some() && !row.frozen);
        up.map(|row| row.revision as i64).min().unwrap_or(0)
    });
    // Hosts that have no configuration in force yet are left out; they are not ready.
    function!(engine, context, "lowest_in_force", |fleet| {
        let up = fleet.hosts.values().filter(|row| row.core.is_some() && !row.frozen);
        let in_force = up.map(|row| row.revision as i64).filter(|revision| *revision > 0);
        in_force.min().unwrap_or(i64::MAX)
    });
}

fn register_fault_functions(engine: &mut Rhai, context: &Shared) {
    function!(engine, context, "kill", |fleet, host: &str| fleet.kill(host));
    function!(engine, context, "start", |fleet, host: &str| {
        let zone = fleet.hosts.get(host).map(|row| row.zone.clone()).unwrap_or_default();
        fleet.start(host, &zone);
    });
    function!(engine, context, "freeze", |fleet, host: &str| fleet.freeze(host));
    function!(engine, context, "thaw", |fleet, host: &str| fleet.thaw(host));
    function!(engine, context, "drain", |fleet, host: &str| fleet.drain(host));
    function!(engine, context, "hold_orders", |fleet, host: &str| if let Some(row) =
        fleet.hosts.get_mut(host)
    {
        row.holds_orders = true;
    });
    function!(engine, context, "release_orders", |fleet, host: &str| fleet.release_orders(host));
    function!(engine, context, "held_orders", |fleet, host: &str| fleet
        .hosts
        .get(host)
        .map_or(0, |row| row.held_orders.len() as i64));
    function!(engine, context, "disk", |fleet, host: &str| if let Some(row) =
        fleet.hosts.get_mut(host)
    {
        row.has_disk = true;
    });
    function!(engine, context, "cut", |fleet, one: &str, other: &str| fleet.cut(one, other));
    function!(engine, context, "isolate", |fleet, zone: &str| fleet.isolate(zone));
    function!(engine, context, "heal", |fleet| fleet.cut_links.clear());
    function!(engine, context, "store", |fleet, mode: &str| {
        fleet.store.mode = match mode {
            "refuse" => Mode::Refuse,
            "hang" => Mode::Hang,
            "lose_answers" => Mode::LoseAnswers,
            _ => Mode::Up,
        };
    });
    function!(engine, context, "store_slow", |fleet, ms: i64| fleet.store.slow =
        Duration::from_millis(ms as u64));
    function!(engine, context, "save_store", |fleet| fleet.store.save());
    function!(engine, context, "rewind_store", |fleet| {
        fleet.store.rewind();
        fleet.wake_watches();
    });
    function!(engine, context, "crash", |fleet, target: &str| fleet.crash(target, None));
    function!(engine, context, "crash", |fleet, target: &str, ms: i64| {
        fleet.crash(target, Some(Duration::from_millis(ms as u64)));
    });
    function!(engine, context, "revive", |fleet, target: &str| fleet.restart(target));
    function!(engine, context, "leave", |fleet, target: &str| fleet.start_leaving(target));
    function!(engine, context, "list_leaving", |fleet, target: &str| if let Some(row) =
        fleet.listing.get_mut(target)
    {
        row.leaving = true;
    });
    function!(engine, context, "unlist", |fleet, target: &str| drop(fleet.listing.remove(target)));
    function!(engine, context, "poison", |fleet, part: &str| {
        fleet.poison_texts.push(part.into());
        if fleet.poison_texts.len() == 1 {
            poison::update_known_crashes(fleet);
        }
    });
    function!(engine, context, "truncate", |fleet, engine: &str, tokens: i64| {
        if let Some(row) = fleet.engines.get_mut(engine) {
            row.truncate_after = u32::try_from(tokens).ok().filter(|&tokens| tokens > 0);
        }
    });
    function!(engine, context, "speed", |fleet, engine: &str, rate: f64| if let Some(row) =
        fleet.engines.get_mut(engine)
    {
        row.speed = rate;
    });
    function!(engine, context, "mute_versions", |fleet, engine: &str| if let Some(row) =
        fleet.engines.get_mut(engine)
    {
        row.reports_versions = false;
    });
    function!(engine, context, "ignore_fences", |fleet| {
        fleet.engines.values_mut().for_each(|row| row.checks_fence = false);
    });
    function!(engine, context, "fail_loads", |fleet, engine: &str, count: i64| {
        if let Some(row) = fleet.engines.get_mut(engine) {
            row.fail_loads = count as u32;
        }
    });
    function!(engine, context, "die_after_run", |fleet, service: &str, dies: bool| {
        if let Some(row) = fleet.services.get_mut(service) {
            row.crashes_before_reply = dies;
        }
    });
    function!(engine, context, "service_takes", |fleet, ms: i64| {
        fleet
            .services
            .values_mut()
            .for_each(|row| row.call_time = Duration::from_millis(ms as u64));
    });
}

fn register_caller_functions(engine: &mut Rhai, context: &Shared) {
    function!(engine, context, "apply", |fleet, host: &str, id: &str, expected: i64| {
        fleet.apply(host, id, expected as u64, None) as i64
    });
    function!(engine, context, "apply", |fleet,
                                         host: &str,
                                         id: &str,
                                         expected: i64,
                                         field: &str,
                                         value: i64| {
        fleet.apply(host, id, expected as u64, Some((field, value))) as i64
    });
    function!(engine, context, "generate", |fleet, host: &str, prompt: &str| {
        let work = caller::generate(&fleet.plan.model.clone(), prompt, 400);
        fleet.call(host, work, None, Duration::from_secs(60)) as i64
    });
    function!(engine, context, "generate", |fleet, host: &str, prompt: &str, deadline_ms: i64| {
        let work = caller::generate(&fleet.plan.model.clone(), prompt, 400);
        fleet.call(host, work, None, Duration::from_millis(deadline_ms as u64)) as i64
    });
    function!(engine, context, "ask_key", |fleet, host: &str| fleet.request_keys(host, 1, None)
        as i64);
    function!(engine, context, "book", |fleet, host: &str, key: &str, body: &str| {
        let work = caller::booking(&fleet.plan.service.clone(), body);
        let key = (!key.is_empty()).then(|| key.into());
        fleet.call(host, work, key, Duration::from_secs(20)) as i64
    });
    function!(engine, context, "hang_up", |fleet, ticket: i64| {
        let ticket = ticket as u64;
        if let Some(host) = fleet.host_of(ticket).cloned() {
            fleet.input(
                &host,
                lagoonyard::core::Event::Request(request::Event::Disconnected { ticket }),
            );
            fleet.tickets.remove(&ticket);
        }
    });
    function!(engine, context, "answer", |fleet, ticket: i64| answer::to_map(fleet, ticket as u64));
    function!(engine, context, "runs", |fleet, body: &str| i64::from(
        fleet.ledger.runs.get(body).copied().unwrap_or(0)
    ));
    function!(engine, context, "callers", |fleet, generations: f64, bookings: f64, ms: i64| {
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

fn register_trainer_functions(engine: &mut Rhai, context: &Shared) {
    function!(engine, context, "train", |fleet, trainer: &str| fleet.run_trainer(&trainer.into()));
    function!(engine, context, "stop_training", |fleet, trainer: &str| if let Some(row) =
        fleet.trainers.get_mut(trainer)
    {
        row.is_running = false;
    });
    function!(engine, context, "pull", |fleet, trainer: &str, host: &str| {
        fleet.pull(&trainer.into(), Some(host)).unwrap_or(0) as i64
    });
    function!(engine, context, "announce", |fleet, trainer: &str, host: &str, version: i64| {
        if let Some(row) = fleet.trainers.get_mut(trainer) {
            row.version = version as u64;
        }
        fleet.announce(&trainer.into(), Some(host));
    });
    function!(engine, context, "trainer_version", |fleet, trainer: &str, version: i64| {
        if let Some(row) = fleet.trainers.get_mut(trainer) {
            row.version = version as u64;
        }
    });
    function!(engine, context, "steps", |fleet, trainer: &str| fleet
        .trainers
        .get(trainer)
        .map_or(0, |row| i64::from(row.steps)));
    function!(engine, context, "samples", |fleet, trainer: &str| {
        fleet.trainers.get(trainer).map_or(0, |row| row.samples_seen.len() as i64)
    });
    function!(engine, context, "owner", |fleet, trainer: &str| {
        let zone = fleet.trainers.get(trainer).map(|row| row.zone.clone()).unwrap_or_default();
        let name = format!("stream/{trainer}");
        first_ranked(fleet, &name, &zone)
    });
    function!(engine, context, "order_holder", |fleet, zone: &str| {
        let name = format!("orders/{zone}");
        first_ranked(fleet, &name, zone)
    });
    function!(engine, context, "watcher", |fleet, zone: &str| first_ranked(fleet, "config", zone));
}

/// Host that the hosts of a zone rank first for a purpose, as seen by a live one.
fn first_ranked(fleet: &Fleet, purpose: &str, zone: &str) -> String {
    let up =
        fleet.hosts.values().find(|row| row.core.is_some() && !row.frozen && &*row.zone == zone);
    let core = up.and_then(|row| row.core.as_ref());
    let rank = core.map(|core| core.world().hosts.rank(purpose, zone)).unwrap_or_default();
    rank.first().map(ToString::to_string).unwrap_or_default()
}
