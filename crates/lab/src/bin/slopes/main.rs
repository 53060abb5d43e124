//! Measures how the cost of control grows with the size of the fleet and its load.
//!
//! It measures the CPU time inside the cores, the bytes of their peer messages, the time from the acceptance of a
//! configuration until it is in force on all hosts, the calls to the key-value store, and the resident memory per
//! row. `docs/capacity-slopes.md` has the results.

mod fleet;
mod load;
mod memory;
mod platform;

use std::{collections::BTreeMap, time::Duration};

use clap::{Parser, ValueEnum};

use crate::fleet::{Fleet, Shape};

const WARM_UP: Duration = Duration::from_secs(20);

/// Quantity that is varied or measured.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    Hosts,
    Targets,
    LoadStep,
    Zones,
    Trainers,
    Requests,
    InFlight,
    Store,
    Memory,
}

/// Measures the cost of the control core.
#[derive(Parser)]
pub struct Args {
    /// Parts to measure; all if none is given.
    parts: Vec<Part>,
    /// Simulated seconds to measure after the warm-up.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// One-way delay between hosts, in milliseconds.
    #[arg(long, default_value_t = 2)]
    delay_ms: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Results of one run.
struct Measured {
    /// Mean over all hosts.
    cpu_us: f64,
    /// Maximum over all hosts.
    busiest_us: f64,
    bytes: f64,
    answered: f64,
    samples: f64,
    in_force_ms: f64,
    leaving_ms: f64,
}

/// Load by callers, all through the first host.
#[derive(Clone, Copy)]
struct Callers {
    rate: f64,
    latency: Duration,
}

const NO_CALLERS: Callers = Callers { rate: 0.0, latency: Duration::from_secs(6) };

fn measure(shape: Shape, callers: Callers, args: &Args) -> Measured {
    let mut fleet = Fleet::new(shape, args);
    fleet.run(WARM_UP);
    fleet.apply(1);
    fleet.load.rate = callers.rate;
    fleet.load.latency = callers.latency;
    for trainer in 0..shape.trainers {
        fleet.pull(trainer, "".into());
    }
    fleet.run(WARM_UP);
    for host in &mut fleet.hosts {
        host.cpu = Duration::ZERO;
        host.bytes = 0;
    }
    (fleet.load.answered, fleet.load.samples) = (0, 0);
    let time = Duration::from_secs(args.seconds);
    fleet.run(time);
    let seconds = time.as_secs_f64();
    let count = fleet.hosts.len() as f64 * seconds;
    let cpu: Duration = fleet.hosts.iter().map(|host| host.cpu).sum();
    let busiest = fleet.hosts.iter().map(|host| host.cpu).max().unwrap_or_default();
    let bytes: usize = fleet.hosts.iter().map(|host| host.bytes).sum();
    let (answered, samples) = (fleet.load.answered as f64, fleet.load.samples as f64);
    let applies: Vec<Duration> = (2..7).map(|revision| fleet.apply(revision)).collect();
    let leaves: Vec<Duration> = (0..5).map(|index| fleet.leave(index)).collect();
    let worst =
        |times: &[Duration]| times.iter().max().map_or(f64::NAN, |time| time.as_secs_f64() * 1e3);
    Measured {
        cpu_us: cpu.as_secs_f64() * 1e6 / count,
        busiest_us: busiest.as_secs_f64() * 1e6 / seconds,
        bytes: bytes as f64 / count,
        answered: answered / seconds,
        samples: samples / seconds,
        in_force_ms: worst(&applies),
        leaving_ms: worst(&leaves),
    }
}

/// Slope and intercept of a least-squares line.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, y - slope * x)
}

fn sweep(name: &str, shapes: impl IntoIterator<Item = (u32, Shape, Callers)>, args: &Args) {
    println!(
        "\n| {name} | CPU, us/s | busiest, us/s | sent, bytes/s | answers/s | samples/s | in force, ms | mark, ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut points = Vec::new();
    for (x, shape, callers) in shapes {
        let found = measure(shape, callers, args);
        println!(
            "| {x} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.0} | {:.0} |",
            found.cpu_us,
            found.busiest_us,
            found.bytes,
            found.answered,
            found.samples,
            found.in_force_ms,
            found.leaving_ms
        );
        points.push((f64::from(x), found));
    }
    let of = |value: fn(&Measured) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, found)| (*x, value(found))).collect();
        line(&points)
    };
    println!();
    for (unit, (slope, intercept)) in [
        ("us/s", of(|found| found.cpu_us)),
        ("us/s of the busiest host", of(|found| found.busiest_us)),
        ("bytes/s", of(|found| found.bytes)),
        ("ms in force", of(|found| found.in_force_ms)),
    ] {
        println!("    slope against {name}: {slope:.2} {unit} each, {intercept:.0} at zero");
    }
}

/// Measures the calls to the key-value store by an idle fleet, an apply and an announcement against the zones.
fn store(args: &Args) {
    println!(
        "\n| zones | idle, calls/s | by kind in the run | more with an apply, and by kind | more with an announcement, and by kind |"
    );
    println!("|---|---|---|---|---|");
    let (mut idle, mut apply, mut announce) = (Vec::new(), Vec::new(), Vec::new());
    for zones in [1, 2, 4, 8] {
        let shape = Shape { zones, hosts: 8, targets: 20, trainers: 1, load_step: 2 };
        let mut fleet = Fleet::new(shape, args);
        fleet.run(WARM_UP);
        fleet.apply(1);
        fleet.announce(2);
        fleet.run(WARM_UP);
        let time = Duration::from_secs(args.seconds);
        let calls = |fleet: &mut Fleet, act: &mut dyn FnMut(&mut Fleet)| {
            fleet.store.calls.clear();
            act(fleet);
            fleet.run(time);
            let kinds: BTreeMap<&str, u64> = fleet.store.calls.clone();
            (kinds.values().sum::<u64>() as f64, kinds)
        };
        let (quiet, kinds) = calls(&mut fleet, &mut |_| {});
        let (applied, apply_kinds) = calls(&mut fleet, &mut |fleet| _ = fleet.apply(2));
        let (announced, announce_kinds) = calls(&mut fleet, &mut |fleet| fleet.announce(3));
        let x = zones as f64;
        let a_second = quiet / time.as_secs_f64();
        println!(
            "| {zones} | {a_second:.2} | {kinds:?} | {:.0} {apply_kinds:?} | {:.0} {announce_kinds:?} |",
            applied - quiet,
            announced - quiet
        );
        idle.push((x, a_second));
        apply.push((x, applied - quiet));
        announce.push((x, announced - quiet));
    }
    println!();
    for (what, points) in [
        ("calls/s of an idle fleet", idle),
        ("calls per apply", apply),
        ("calls per announcement", announce),
    ] {
        let (slope, intercept) = line(&points);
        println!("    slope against zones: {slope:.2} {what} each, {intercept:.1} at zero");
    }
}

fn main() {
    let args = Args::parse();
    let wanted = |part| args.parts.is_empty() || args.parts.contains(&part);
    let base = Shape { zones: 2, hosts: 32, targets: 100, trainers: 0, load_step: 2 };
    let quiet = |x: u32, shape: Shape| (x, shape, NO_CALLERS);
    if wanted(Part::Hosts) {
        let shapes =
            [8, 16, 32, 64, 93].map(|hosts| quiet(hosts, Shape { hosts: hosts as usize, ..base }));
        sweep("hosts per zone", shapes, &args);
    }
    let full = Shape { zones: 1, hosts: 93, targets: 650, ..base };
    if wanted(Part::Targets) {
        let shapes = [13, 100, 300, 650]
            .map(|targets| quiet(targets, Shape { targets: targets as usize, ..full }));
        sweep("targets per zone of 93 hosts", shapes, &args);
    }
    if wanted(Part::LoadStep) {
        let shapes = [0, 1, 4, 16].map(|load_step| quiet(load_step, Shape { load_step, ..full }));
        sweep("change of load per poll, 93 hosts and 650 targets", shapes, &args);
    }
    if wanted(Part::Zones) {
        let small = Shape { hosts: 16, ..base };
        let shapes =
            [1, 2, 4, 8].map(|zones| quiet(zones, Shape { zones: zones as usize, ..small }));
        sweep("zones", shapes, &args);
    }
    let few = Shape { hosts: 8, targets: 300, ..base };
    if wanted(Part::Trainers) {
        let shapes = [1, 5, 10, 20]
            .map(|trainers| quiet(trainers, Shape { trainers: trainers as usize, ..few }));
        sweep("trainers", shapes, &args);
    }
    if wanted(Part::Requests) {
        let shapes = [0, 30, 100, 300].map(|rate| {
            let rate = Callers { rate: f64::from(rate), ..NO_CALLERS };
            (rate.rate as u32, few, rate)
        });
        sweep("requests a second through one host", shapes, &args);
    }
    if wanted(Part::InFlight) {
        let shapes = [1, 3, 10, 20].map(|latency| {
            let latency = Duration::from_secs(latency);
            (latency.as_secs() as u32 * 30, few, Callers { rate: 30.0, latency })
        });
        sweep("requests in flight at 30 a second", shapes, &args);
    }
    if wanted(Part::Store) {
        store(&args);
    }
    if wanted(Part::Memory) {
        memory::run();
    }
}
