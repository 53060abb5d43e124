//! Runs scenario files, alone or with faults mixed in over many seeds.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use lagoonyard_lab::script::{self, Mix};

/// Runs scenarios against the control core.
#[derive(Parser)]
struct Options {
    /// Scenario files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Repeat each file with this many seeds, faults mixed in.
    #[arg(long, default_value_t = 0)]
    seeds: u64,
    /// First of the seeds.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Mean time between mixed faults.
    #[arg(long, default_value_t = 6000)]
    gap_ms: u64,
    /// Take the key-value service down once the first configuration is in force.
    #[arg(long)]
    outage: bool,
    /// File whose lines "scenario: <run>" name runs that may fail.
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
        let gap = Some(Duration::from_millis(options.gap_ms));
        let seeds = options.first..options.first + options.seeds;
        let outage = options.outage;
        let mixed = seeds.map(|seed| Mix { seed, gap, outage });
        let alone = Mix { seed: 1, gap: None, outage };
        let runs: Vec<Mix> = if options.seeds == 0 { vec![alone] } else { mixed.collect() };
        for mix in runs {
            let mut name = file.display().to_string();
            if mix.gap.is_some() {
                name += &format!(" seed {}", mix.seed);
            }
            if mix.outage {
                name += " with an outage";
            }
            match script::run(file, Some(mix)) {
                Ok(outcome) => {
                    if options.trace {
                        outcome.trace.iter().for_each(|line| println!("{line}"));
                    }
                    if outcome.faults.is_empty() {
                        passed += 1;
                        println!("ok   {name}");
                    } else {
                        let expected = known.contains(&&*name);
                        failed += u32::from(!expected);
                        println!("{} {name}", if expected { "known red" } else { "FAIL" });
                        outcome.faults.iter().take(8).for_each(|fault| println!("     {fault}"));
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
