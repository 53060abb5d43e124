//! Command line of the stand-ins.

mod cli;
mod control;
mod engine;
mod platform;
mod service;

pub use self::cli::{Cli, Command, Control, Engine, Platform, Service, Swap};

use crate::Result;

/// A subcommand.
pub trait Run {
    fn run(self) -> impl Future<Output = Result<()>> + Send;
}

impl Run for Cli {
    async fn run(self) -> Result<()> {
        match self.command {
            Command::Platform(command) => command.run().await,
            Command::Engine(command) => command.run().await,
            Command::Service(command) => command.run().await,
            Command::Control(command) => command.run().await,
        }
    }
}
