//! Command line. Each subcommand has its own module.

mod announce;
mod apply;
mod call;
mod check;
mod cli;
mod client;
mod complete;
mod drain;
mod error;
mod print;
mod pull;
mod report;
mod show;
mod status;

pub use self::{
    cli::{
        Announce, Apply, Call, Check, Cli, Command, Complete, Drain, Entry, Operator, Pull, Report,
        Show, Status,
    },
    client::{Answer, Client, Failure},
    error::{Error, Result},
};

/// Execution of a subcommand.
pub trait Run {
    fn run(self) -> impl Future<Output = Result<()>>;
}

impl Run for Cli {
    async fn run(self) -> Result<()> {
        match self.command {
            Command::Check(command) => command.run().await,
            Command::Apply(command) => command.run().await,
            Command::Show(command) => command.run().await,
            Command::Status(command) => command.run().await,
            Command::Drain(command) => command.run().await,
            Command::Report(command) => command.run().await,
            Command::Pull(command) => command.run().await,
            Command::Announce(command) => command.run().await,
            Command::Call(command) => command.run().await,
            Command::Complete(command) => command.run().await,
        }
    }
}
