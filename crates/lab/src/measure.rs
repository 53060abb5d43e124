//! Runs a fixed load on a fleet and collects figures.

use lagoonyard::{core::settings::Policy, prelude::*};
use rand::Rng;

use crate::{Fleet, Plan, caller::Load, store::Mode};

/// Fault injected during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A random engine crashes each minute and restarts after 20 s.
    EngineCrashes,
    /// A zone is cut off for five minutes.
    ZoneCut,
    /// The platform is down for ten minutes.
    PlatformDown,
    /// Weight loads take four times as long.
    SlowWeights,
    /// Engines answer polls without load reports.
    NoReports,
    /// One trainer stalls for five minutes.
    TrainerStalls,
    /// Caller load rises tenfold for one minute.
    Burst,
}

impl Fault {
    /// All faults with their names on the command line.
    pub const ALL: [(&'static str, Self); 8] = [
        ("none", Self::None),
        ("engine-crashes", Self::EngineCrashes),
        ("zone-cut", Self::ZoneCut),
        ("platform-down", Self::PlatformDown),
        ("slow-weights", Self::SlowWeights),
        ("no-reports", Self::NoReports),
        ("trainer-stalls", Self::TrainerStalls),
        ("burst", Self::Burst),
    ];
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub idle_percent: f64,
    pub staleness_mean: f64,
    pub staleness_p99: f64,
    pub staleness_max: f64,
    pub steps: f64,
    /// Time from the first pull to the batch.
    pub wait_p50_s: f64,
    pub wait_max_s: f64,
    pub caller_p50_s: f64,
    pub caller_p99_s: f64,
    pub refused: f64,
    pub unanswered: f64,
    /// Share of generated tokens that are in no delivered sample or answer.
    pub wasted_percent: f64,
    pub prefix_hit_percent: f64,
    pub store_calls_per_s: f64,
    pub violations: f64,
}

impl Figures {
    /// Names and values in table order.
    pub fn rows(&self) -> [(&'static str, f64); 15] {
        [
            ("trainer idle %", self.idle_percent),
            ("staleness mean", self.staleness_mean),
            ("staleness p99", self.staleness_p99),
            ("staleness max", self.staleness_max),
            ("steps", self.steps),
            ("batch wait p50 s", self.wait_p50_s),
            ("batch wait max s", self.wait_max_s),
            ("caller p50 s", self.caller_p50_s),
            ("caller p99 s", self.caller_p99_s),
            ("callers refused", self.refused),
            ("callers unanswered", self.unanswered),
            ("tokens wasted %", self.wasted_percent),
            ("prefix hits %", self.prefix_hit_percent),
            ("store calls/s", self.store_calls_per_s),
            ("broken promises", self.violations),
        ]
    }
}

/// Default length of a run after the warm-up.
pub const SPAN: Duration = Duration::from_secs(1500);
/// Start of a run, excluded from the figures: first configuration, first weights, empty buffers.
const WARM_UP: Duration = Duration::from_secs(120);
const FAULT_AT: Duration = Duration::from_secs(300);

/// Runs one plan under a policy and a fault.
pub fn run(plan: Plan, policy: Policy, fault: Fault, span: Duration) -> (Figures, Vec<String>) {
    let seed = plan.seed;
    let mut fleet = Fleet::new(plan, policy, seed);
    fleet.log_level = log::Level::Error;
    fleet.advance(Duration::from_secs(5));
    let first = fleet.hosts.keys().next().cloned().unwrap_or_default();
    fleet.apply(&first, "start", 0, None);
    fleet.advance(Duration::from_secs(10));
    // Engine speeds differ, and one engine runs at half speed.
    let mut speeds: Vec<f64> =
        (0..fleet.engines.len()).map(|_| fleet.rng.random_range(34.0..44.0)).collect();
    if let Some(slow) = speeds.first_mut() {
        *slow = 20.0;
    }
    fleet.engines.values_mut().zip(speeds).for_each(|(engine, speed)| engine.speed = speed);
    let ids: Vec<TrainerId> = fleet.trainers.keys().cloned().collect();
    ids.iter().for_each(|id| fleet.run_trainer(id));
    let until = fleet.now + WARM_UP + span;
    fleet.run_callers(Load {
        generations_per_s: 1.5,
        bookings_per_s: 1.0,
        deadline: Duration::from_secs(20),
        until,
    });
    fleet.advance(WARM_UP);
    reset(&mut fleet);
    let (tokens, calls) =
        (fleet.engines.values().map(|engine| engine.tokens).sum::<u64>(), fleet.store.calls);
    inject(&mut fleet, fault);
    fleet.advance(span);
    let violations = crate::check::finish(&mut fleet).to_vec();
    let mut figures = figures(&fleet, tokens, calls, span);
    figures.violations = violations.len() as f64;
    (figures, violations)
}

fn reset(fleet: &mut Fleet) {
    let now = fleet.now;
    for trainer in fleet.trainers.values_mut() {
        trainer.idle_time = Duration::ZERO;
        trainer.training_time = Duration::ZERO;
        trainer.batch_waits.clear();
        trainer.staleness.clear();
        trainer.steps = 0;
        trainer.waiting_since = trainer.waiting_since.max(now);
        trainer.tokens = 0;
    }
    for engine in fleet.engines.values_mut() {
        engine.prefix_hits = 0;
        engine.prefix_misses = 0;
    }
    fleet.plan.latencies.clear();
    fleet.checks.refused.clear();
    fleet.checks.answered_tokens = 0;
}

fn inject(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::None => {}
        Fault::EngineCrashes => crash_each_minute(fleet),
        Fault::ZoneCut => fleet.schedule(FAULT_AT, |fleet| {
            let zone = fleet.plan.zones[1].clone();
            fleet.isolate(&zone);
            fleet.schedule(Duration::from_secs(300), |fleet| fleet.cut_links.clear());
        }),
        Fault::PlatformDown => fleet.schedule(FAULT_AT, |fleet| {
            fleet.store.mode = Mode::Refuse;
            fleet.schedule(Duration::from_secs(600), |fleet| fleet.store.mode = Mode::Up);
        }),
        Fault::SlowWeights => fleet.weight_load_factor = 4.0,
        Fault::NoReports => fleet.reports_disabled = true,
        Fault::TrainerStalls => fleet.schedule(FAULT_AT, |fleet| {
            let until = fleet.now + Duration::from_secs(300);
            if let Some(trainer) = fleet.trainers.values_mut().next() {
                trainer.stalled_until = until;
            }
        }),
        Fault::Burst => fleet.schedule(FAULT_AT, |fleet| {
            let until = fleet.now + Duration::from_secs(60);
            let deadline = Duration::from_secs(20);
            fleet.run_callers(Load {
                generations_per_s: 13.5,
                bookings_per_s: 9.0,
                deadline,
                until,
            });
        }),
    }
}

fn crash_each_minute(fleet: &mut Fleet) {
    fleet.schedule(Duration::from_secs(60), |fleet| {
        let place = fleet.rng.random_range(0..fleet.engines.len().max(1));
        if let Some(target) = fleet.engines.keys().nth(place).cloned() {
            fleet.crash(&target, Some(Duration::from_secs(20)));
        }
        crash_each_minute(fleet);
    });
}

fn figures(fleet: &Fleet, tokens: u64, calls: u64, span: Duration) -> Figures {
    let trainers: Vec<_> = fleet.trainers.values().collect();
    // A wait that is still open at the end of the run counts as idle time.
    let open_wait = |trainer: &crate::Trainer| match trainer.is_waiting {
        true => fleet.now.saturating_sub(trainer.waiting_since),
        false => Duration::ZERO,
    };
    let idle: f64 =
        trainers.iter().map(|trainer| (trainer.idle_time + open_wait(trainer)).as_secs_f64()).sum();
    let all: f64 = span.as_secs_f64() * trainers.len().max(1) as f64;
    let mut staleness: Vec<f64> =
        trainers.iter().flat_map(|row| row.staleness.iter().map(|&age| age as f64)).collect();
    let mut waits: Vec<f64> =
        trainers.iter().flat_map(|row| row.batch_waits.iter().map(Duration::as_secs_f64)).collect();
    let mut latencies: Vec<f64> = fleet.plan.latencies.iter().map(Duration::as_secs_f64).collect();
    let generated =
        fleet.engines.values().map(|engine| engine.tokens).sum::<u64>().saturating_sub(tokens);
    let used = trainers.iter().map(|row| row.tokens).sum::<u64>() + fleet.checks.answered_tokens;
    let (hits, misses) = fleet.engines.values().fold((0, 0), |(hits, misses), engine| {
        (hits + engine.prefix_hits, misses + engine.prefix_misses)
    });
    Figures {
        idle_percent: 100.0 * idle / all,
        staleness_mean: staleness.iter().sum::<f64>() / staleness.len().max(1) as f64,
        staleness_p99: quantile(&mut staleness, 0.99),
        staleness_max: quantile(&mut staleness, 1.0),
        steps: trainers.iter().map(|row| f64::from(row.steps)).sum(),
        wait_p50_s: quantile(&mut waits, 0.5),
        wait_max_s: quantile(&mut waits, 1.0),
        caller_p50_s: quantile(&mut latencies, 0.5),
        caller_p99_s: quantile(&mut latencies, 0.99),
        refused: fleet.checks.refused.values().sum::<u64>() as f64,
        unanswered: fleet.plan.unanswered as f64,
        wasted_percent: 100.0 * (1.0 - used as f64 / generated.max(1) as f64).max(0.0),
        prefix_hit_percent: 100.0 * hits as f64 / (hits + misses).max(1) as f64,
        store_calls_per_s: (fleet.store.calls - calls) as f64 / span.as_secs_f64(),
        violations: 0.0,
    }
}

fn quantile(values: &mut [f64], at: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = ((values.len() as f64 * at).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(place).copied().unwrap_or(0.0)
}
