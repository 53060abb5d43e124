//! Prints a table that compares the full policy with the baseline: minimum, median and maximum over several seeds.

use std::{process::ExitCode, thread, time::Duration};

use clap::Parser;
use lagoonyard::core::settings::Policy;
use lagoonyard_lab::{
    Plan,
    measure::{self, Fault, Figures, SPAN},
};

/// Measures the policies under load.
#[derive(Parser)]
struct Options {
    /// Deployments to measure: `huon`, `caroni`.
    #[arg(long, value_delimiter = ',', default_value = "huon,caroni")]
    plans: Vec<Box<str>>,
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Faults by name, or `all`.
    #[arg(long, value_delimiter = ',', default_value = "none")]
    faults: Vec<Box<str>>,
    /// Skip the baseline.
    #[arg(long)]
    full_only: bool,
    /// Simulated time of one run, in seconds.
    #[arg(long, default_value_t = SPAN.as_secs())]
    span_s: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let span = Duration::from_secs(options.span_s);
    let all = options.faults.iter().any(|name| &**name == "all");
    let faults = Fault::ALL
        .iter()
        .filter(|(name, _)| all || options.faults.iter().any(|wanted| &**wanted == *name));
    let mut broken = 0;
    for (fault_name, fault) in faults {
        for plan in &options.plans {
            let full = runs(plan, Policy::Full, *fault, &options.seeds, span);
            let base = if options.full_only {
                Vec::new()
            } else {
                runs(plan, Policy::Baseline, *fault, &options.seeds, span)
            };
            println!(
                "\n{plan}, fault {fault_name}, seeds {:?}, {} s",
                options.seeds, options.span_s
            );
            println!("{:<20} {:>26} {:>26}", "", "full: min / median / max", "baseline");
            for (place, (name, _)) in Figures::default().rows().iter().enumerate() {
                println!("{name:<20} {:>26} {:>26}", spread(&full, place), spread(&base, place));
            }
            for (figures, violations) in &full {
                broken += usize::from(figures.violations > 0.0);
                violations.iter().take(3).for_each(|text| println!("broken: {text}"));
            }
        }
    }
    ExitCode::from(u8::from(broken > 0))
}

fn runs(
    plan: &str,
    policy: Policy,
    fault: Fault,
    seeds: &[u64],
    span: Duration,
) -> Vec<(Figures, Vec<String>)> {
    let one = |seed| {
        let plan: Box<str> = plan.into();
        thread::spawn(move || {
            let plan = if &*plan == "caroni" { Plan::caroni(seed) } else { Plan::huon(seed) };
            measure::run(plan, policy, fault, span)
        })
    };
    let threads: Vec<_> = seeds.iter().map(|&seed| one(seed)).collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}

fn spread(runs: &[(Figures, Vec<String>)], place: usize) -> String {
    let mut values: Vec<f64> = runs.iter().map(|(figures, _)| figures.rows()[place].1).collect();
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => String::new(),
        [first, .., last] => format!("{first:.2} / {:.2} / {last:.2}", values[values.len() / 2]),
        [only] => format!("{only:.2}"),
    }
}
