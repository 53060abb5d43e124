//! Arguments of the subcommands.

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
    /// Key-value store and service discovery of targets.
    Platform(Platform),
    /// Model engine.
    Engine(Engine),
    /// Plain service.
    Service(Service),
    /// Send one request to a stand-in and print the response body.
    Control(Control),
}

#[derive(Debug, Args)]
pub struct Platform {
    /// Address of the key-value store and service discovery.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address that serves the same paths and accepts connections also while an outage refuses them.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// Delay of each response, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Writes accepted per second.
    #[arg(long, default_value_t = 400)]
    pub writes_per_s: u32,
    /// Reads accepted per second; a watch counts as one.
    #[arg(long, default_value_t = 2000)]
    pub reads_per_s: u32,
}

/// Availability of a model while an engine loads another version of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Swap {
    /// Serves the old version until the new one is loaded.
    Keep,
    /// Refuses new requests and holds running ones until the load ends.
    Stop,
}

#[derive(Debug, Args)]
pub struct Engine {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Model and its initial version, as `name=version`; may be repeated.
    #[arg(long = "model", value_parser = parse_model, required = true)]
    pub models: Vec<(Box<str>, u64)>,
    /// Requests that run in parallel.
    #[arg(long, default_value_t = 8)]
    pub slots: usize,
    /// Capacity of the queue for slots.
    #[arg(long, default_value_t = 256)]
    pub queue: usize,
    /// Time per token, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub token_delay_ms: u64,
    /// Time before the first token of a prompt that is not in the prefix cache, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub prefill_ms: u64,
    /// Capacity of the prefix cache, in blocks of 64 bytes.
    #[arg(long, default_value_t = 1024)]
    pub cache_blocks: usize,
    /// Mean length of a text, in tokens; 0 for texts that end only at `max_tokens`.
    #[arg(long, default_value_t = 0)]
    pub mean_tokens: u64,
    /// Time to load a version, in milliseconds.
    #[arg(long, default_value_t = 300)]
    pub load_ms: u64,
    #[arg(long, value_enum, default_value_t = Swap::Keep)]
    pub swap: Swap,
    /// Refuse orders with a fencing token below the highest received.
    #[arg(long)]
    pub checks_fence: bool,
}

#[derive(Debug, Args)]
pub struct Service {
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Delay of each response in milliseconds; health, load, run count and control calls have none.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
}

#[derive(Debug, Args)]
pub struct Control {
    /// HTTP method.
    pub method: Box<str>,
    pub url: Box<str>,
    /// JSON body.
    #[arg(default_value = "")]
    pub body: Box<str>,
}

fn parse_model(text: &str) -> Result<(Box<str>, u64), String> {
    let (name, version) = text.split_once('=').ok_or("expected name=version")?;
    let version = version.parse().map_err(|error| format!("version {version}: {error}"))?;
    Ok((name.into(), version))
}
