//! Arguments of all subcommands.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Stand-ins for the platform, model engines and plain services.
#[derive(Debug, Parser)]
#[command(name = "lagoonyard-standin", version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Key-value service and host list.
    Platform(Platform),
    /// Model engine.
    Engine(Engine),
    /// Plain service.
    Service(Service),
    /// Send one request to a stand-in and print the answer.
    Control(Control),
}

#[derive(Debug, Args)]
pub struct Platform {
    /// Address of the key-value service and the host list.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address that serves the same and stays reachable while an outage refuses connections.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// Delay of each answer.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Writes accepted in a second.
    #[arg(long, default_value_t = 400)]
    pub writes_per_s: u32,
    /// Reads accepted in a second; a watch counts as one.
    #[arg(long, default_value_t = 2000)]
    pub reads_per_s: u32,
}

/// What an engine does with a model while it loads a version of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Swap {
    /// Serves the old version until the new one is loaded.
    Keep,
    /// Refuses new requests and holds running ones.
    Stop,
}

#[derive(Debug, Args)]
pub struct Engine {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Model and the version it starts with, as `name=version`; may be repeated.
    #[arg(long = "model", value_parser = model, required = true)]
    pub models: Vec<(Box<str>, u64)>,
    /// Requests that run at once.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Requests that may wait for a slot.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// Time of one token.
    #[arg(long, default_value_t = 5)]
    pub token_delay_ms: u64,
    /// Time before the first token of a prompt that is not in the prefix cache.
    #[arg(long, default_value_t = 20)]
    pub prefill_ms: u64,
    /// Blocks of 64 bytes that the prefix cache holds.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Mean length of a text that ends by itself; 0 for texts that end only at `max_tokens`.
    #[arg(long, default_value_t = 0)]
    pub mean_tokens: u64,
    /// Time that loading a version takes.
    #[arg(long, default_value_t = 300)]
    pub load_ms: u64,
    #[arg(long, value_enum, default_value_t = Swap::Keep)]
    pub swap: Swap,
    /// Refuse orders with a fencing number below the highest seen.
    #[arg(long)]
    pub checks_fence: bool,
}

#[derive(Debug, Args)]
pub struct Service {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Delay of each answer but those to polls.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
}

#[derive(Debug, Args)]
pub struct Control {
    /// HTTP method.
    pub method: Box<str>,
    pub url: Box<str>,
    /// Body in JSON.
    #[arg(default_value = "")]
    pub body: Box<str>,
}

fn model(text: &str) -> Result<(Box<str>, u64), String> {
    let (name, version) = text.split_once('=').ok_or("expected name=version")?;
    let version = version.parse().map_err(|error| format!("version {version}: {error}"))?;
    Ok((name.into(), version))
}
