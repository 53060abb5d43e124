//! Daemon of one entry host.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use lagoonyard::{daemon, settings::Settings};

/// Runs one entry host.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings of the host (JSON).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let settings = match Settings::read(&Args::parse().settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string(), 3),
    };
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ daemon::Error::Listen { .. }) => fail(&error.to_string(), 5),
        Err(error) => fail(&error.to_string(), 1),
    }
}

fn fail(text: &str, code: u8) -> ExitCode {
    eprintln!("lagoonyard-host: {text}");
    ExitCode::from(code)
}
