//! Arguments of the subcommands.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use http::Method;

use crate::prelude::*;

/// Rollout service for reinforcement learning.
#[derive(Debug, Parser)]
#[command(
    name = "lagoonyard",
    version,
    after_help = "Exit codes: 0 done, 1 other, 2 usage, 3 invalid file, 4 conflict, 5 unavailable, 6 outcome unknown."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a declarative file locally.
    Check(Check),
    /// Apply a declarative file to the deployment.
    Apply(Apply),
    /// Print the configuration in force.
    Show(Show),
    /// Print the state of a host and its view of the other hosts.
    Status(Status),
    /// Stop a host gracefully: it finishes its work and exits.
    Drain(Drain),
    /// Print the burn rates of the service-level objectives of each yard, summed over the given hosts.
    Report(Report),
    /// Pull batches of samples for a trainer.
    Pull(Pull),
    /// Announce a new weight version of a trainer's model.
    Announce(Announce),
    /// Call a plain service.
    Call(Call),
    /// Stream a completion.
    Complete(Complete),
}

/// Options of commands that use the admin port.
#[derive(Clone, Debug, Args)]
pub struct Operator {
    /// Admin address of a host; may be repeated, the next is tried if one is unreachable.
    #[arg(long = "host", value_name = "URL", default_value = "http://127.0.0.1:8081")]
    pub hosts: Vec<Box<str>>,
    /// File with the operator token.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Timeout of the whole command. A host refuses an apply after about 4 s without the store, and one attempt gets at
    /// most half of this time; with less than 10 s, an outage of the store is reported as an unknown outcome.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    pub timeout_ms: u64,
}

/// Options of commands that use the entry port.
#[derive(Clone, Debug, Args)]
pub struct Entry {
    /// Entry address of a host; may be repeated, the next is tried if one is unreachable.
    #[arg(long = "host", value_name = "URL", default_value = "http://127.0.0.1:8080")]
    pub hosts: Vec<Box<str>>,
    /// Timeout of the whole command.
    #[arg(long, value_name = "MS", default_value_t = 60_000)]
    pub timeout_ms: u64,
}

#[derive(Debug, Args)]
pub struct Check {
    pub file: PathBuf,
    /// Print the faults as JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Apply {
    pub file: PathBuf,
    #[command(flatten)]
    pub operator: Operator,
    /// Revision that the file was written against; defaults to the one in force.
    #[arg(long, value_name = "REV")]
    pub expected: Option<Revision>,
    /// Id of an earlier apply whose outcome is unknown; defaults to a new id.
    #[arg(long, value_name = "ID")]
    pub apply_id: Option<Box<str>>,
    /// Validate the file and print the changes without applying them.
    #[arg(long)]
    pub dry_run: bool,
    /// Wait until all hosts have the revision.
    #[arg(long)]
    pub wait: bool,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Show {
    #[command(flatten)]
    pub operator: Operator,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Status {
    #[command(flatten)]
    pub operator: Operator,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Drain {
    #[command(flatten)]
    pub operator: Operator,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Report {
    #[command(flatten)]
    pub operator: Operator,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Pull {
    pub trainer: Box<str>,
    #[command(flatten)]
    pub entry: Entry,
    /// File that stores the cursor between runs.
    #[arg(long, value_name = "FILE")]
    pub cursor_file: PathBuf,
    /// Version of the trainer's weights.
    #[arg(long, required_unless_present = "version_file", conflicts_with = "version_file")]
    pub version: Option<Version>,
    /// File with the version of the trainer's weights, read again for every pull.
    #[arg(long, value_name = "FILE")]
    pub version_file: Option<PathBuf>,
    /// Number of batches to pull.
    #[arg(long, default_value_t = 1)]
    pub batches: u32,
    /// Maximum wait of one pull.
    #[arg(long, value_name = "MS", default_value_t = 5_000)]
    pub wait_ms: u64,
    /// Print batches as JSON, one per line.
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Announce {
    pub trainer: Box<str>,
    #[command(flatten)]
    pub entry: Entry,
    #[arg(long)]
    pub version: Version,
    /// Reference into the weight store.
    #[arg(long)]
    pub weights: Box<str>,
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Call {
    pub service: Box<str>,
    pub method: Method,
    /// Path and query after the name of the service.
    pub path: Box<str>,
    #[command(flatten)]
    pub entry: Entry,
    /// Body of the call.
    #[arg(long, default_value = "")]
    pub body: Box<str>,
    /// Idempotency key of an earlier call.
    #[arg(long, conflicts_with = "key_file")]
    pub key: Option<Box<str>>,
    /// File that stores the idempotency key; created with a new key before the call if it does not exist.
    #[arg(long, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
    /// Maximum number of times that the call is sent with the same key.
    #[arg(long, default_value_t = 5)]
    pub attempts: u32,
    /// Print status, key and body as JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Complete {
    pub model: Box<str>,
    pub prompt: Box<str>,
    #[command(flatten)]
    pub entry: Entry,
    #[arg(long, default_value_t = 64)]
    pub max_tokens: u32,
    /// Print the complete text, its finish reason and its weight versions as JSON at the end.
    #[arg(long)]
    pub json: bool,
}
