use std::process::ExitCode;

use clap::Parser;
use lagoonyard_standin::cmd::{Cli, Run};

#[tokio::main]
async fn main() -> ExitCode {
    match Cli::parse().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
