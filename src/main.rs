//! Command line for operators, callers and trainers.

use std::process::ExitCode;

use clap::Parser;
use lagoonyard::cmd::{Cli, Run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match Cli::parse().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lagoonyard: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
