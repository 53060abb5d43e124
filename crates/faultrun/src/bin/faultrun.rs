//! Runs failure cases one after the other and prints a line for each.

use std::{process::ExitCode, time::Instant};

use clap::Parser;
use lagoonyard_faultrun::cases::{CASES, Set};

#[derive(Debug, Parser)]
struct Args {
    /// Cases to run, all by default.
    cases: Vec<String>,
    /// Leave out the long cases.
    #[arg(long)]
    short: bool,
    /// Times to run the chosen cases.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    repeat: u32,
    /// Print the names of the chosen cases and exit.
    #[arg(long)]
    list: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Some(name) = args.cases.iter().find(|it| !CASES.iter().any(|case| case.name == **it)) {
        eprintln!("unknown case {name}");
        return ExitCode::from(2);
    }
    let is_named = |name: &str| args.cases.is_empty() || args.cases.iter().any(|it| it == name);
    let chosen: Vec<_> = CASES
        .iter()
        .filter(|case| is_named(case.name) && !(args.short && case.set == Set::Long))
        .collect();
    let (mut passed, mut failed) = (0, 0);
    for _ in 0..if args.list { 0 } else { args.repeat } {
        for case in &chosen {
            let start = Instant::now();
            let result = (case.run)();
            let seconds = start.elapsed().as_secs_f32();
            match result {
                Ok(()) => {
                    passed += 1;
                    println!("ok: {} ({seconds:.1} s)", case.name);
                }
                Err(error) => {
                    failed += 1;
                    println!("failed: {} ({seconds:.1} s): {error}", case.name);
                }
            }
        }
    }
    if args.list {
        chosen.iter().for_each(|case| println!("{}", case.name));
        return ExitCode::SUCCESS;
    }
    println!("{passed} passed, {failed} failed");
    ExitCode::from(u8::from(failed > 0))
}
