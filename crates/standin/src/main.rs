use std::process::ExitCode;

use clap::Parser;
use lagoonyard_standin::cmd::{Cli, Run};

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let stderr = fern::Dispatch::new().level(log::LevelFilter::Info).chain(std::io::stderr());
    // Fails only if a logger is already set.
    let _ = stderr.apply();
    match cli.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
