//! Runs scenario files, once without random faults or under many seeds with random faults.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use lagoonyard_lab::script::{self, Variant};

/// Runs scenarios against the control core.
#[derive(Parser)]
struct Options {
    /// Scenario files to run.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Run each file under this many seeds with random faults.
    #[arg(long, default_value_t = 0)]
    seeds: u64,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Mean time between random faults, in milliseconds.
    #[arg(long, default_value_t = 6000)]
    gap_ms: u64,
    /// Stop the key-value store once the first configuration is in force.
    #[arg(long)]
    outage: bool,
    /// File whose "scenario: <run>" lines name runs that may fail.
    #[arg(long)]
    known_red: Option<PathBuf>,
    /// Print the trace of each run.
    #[arg(long)]
    trace: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let known = options
        .known_red
        .as_ref()
        .and_then(|path| std::fs::read_to_string(path).ok())
        .unwrap_or_default();
    let known: Vec<&str> =
        known.lines().filter_map(|line| line.strip_prefix("scenario: ")).collect();
    let (mut passed, mut failed) = (0u32, 0u32);
    for file in &options.files {
        let fault_interval = Some(Duration::from_millis(options.gap_ms));
        let seeds = options.first..options.first + options.seeds;
        let outage = options.outage;
        let with_faults = seeds.map(|seed| Variant { seed, fault_interval, outage });
        let single = Variant { seed: 1, fault_interval: None, outage };
        let runs: Vec<Variant> =
            if options.seeds == 0 { vec![single] } else { with_faults.collect() };
        for variant in runs {
            let mut name = file.display().to_string();
            if variant.fault_interval.is_some() {
                name += &format!(" seed {}", variant.seed);
            }
            if variant.outage {
                name += " with an outage";
            }
            match script::run(file, Some(variant)) {
                Ok(outcome) => {
                    if options.trace {
                        outcome.trace.iter().for_each(|line| println!("{line}"));
                    }
                    if outcome.failures.is_empty() {
                        passed += 1;
                        println!("ok   {name}");
                    } else {
                        let expected = known.contains(&&*name);
                        failed += u32::from(!expected);
                        println!("{} {name}", if expected { "known red" } else { "FAIL" });
                        outcome.failures.iter().take(8).for_each(|text| println!("     {text}"));
                    }
                }
                Err(error) => {
                    failed += 1;
                    println!("FAIL {name}: {error}");
                }
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}
