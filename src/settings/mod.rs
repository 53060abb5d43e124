//! Settings of a host, read from a JSON file.
//!
//! `raw` mirrors the JSON text, `Settings` is the validated form with defaults filled in. `docs/settings.md` lists
//! every field with its unit, default and errors. The library reads no environment variables.

mod check;
pub mod raw;

use std::{
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use http::Uri;
use snafu::{ResultExt, Snafu};

use self::check::Check;
use crate::{core, link, prelude::*};

/// Fault in the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// JSON path of the field.
    pub path: Box<str>,
    pub text: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not read {}: {source}", path.display()))]
    Read { path: PathBuf, source: std::io::Error },
    #[snafu(display("could not use the settings: {fault}"))]
    Parse { fault: Fault },
    #[snafu(display("could not use the settings: {}", join(faults)))]
    Invalid { faults: Vec<Fault> },
}

fn join(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Level and destination of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    pub level: log::LevelFilter,
    /// Log file; standard error if absent.
    pub file: Option<PathBuf>,
}

/// Bounds on requests of callers and on answers of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_body_bytes: usize,
    /// Maximum total size of the bodies of unfinished requests.
    pub max_bodies_bytes: usize,
    /// Maximum size of a target's answer.
    pub max_answer_bytes: usize,
    pub max_connections: usize,
    /// Capacity of the event queue of the control thread.
    pub max_events: usize,
    pub header_timeout: Duration,
    pub body_timeout: Duration,
    /// Time after which a caller that reads no byte of its answer is disconnected.
    pub write_timeout: Duration,
    pub admin_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            max_bodies_bytes: 64 * 1024 * 1024,
            max_answer_bytes: 16 * 1024 * 1024,
            max_connections: 4096,
            max_events: 4096,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(60),
            admin_timeout: Duration::from_secs(30),
        }
    }
}

/// Timeouts of calls to external systems and of the exit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeouts {
    pub connect: Duration,
    /// Maximum time between two chunks of a generation.
    pub chunk: Duration,
    pub poll: Duration,
    pub directory: Duration,
    /// Maximum time for which the exit waits for answers that are still being written.
    pub flush: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            chunk: Duration::from_secs(30),
            poll: Duration::from_secs(1),
            directory: Duration::from_secs(2),
            flush: Duration::from_secs(10),
        }
    }
}

/// Validated settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `incarnation` and `seed` are set at each process start.
    pub core: core::Settings,
    pub entry_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub admin_token: Box<str>,
    pub store_urls: Vec<Uri>,
    pub directory_url: Uri,
    pub data_dir: Option<PathBuf>,
    pub log: Log,
    pub limits: Limits,
    pub timeouts: Timeouts,
    pub link: link::Settings,
}

impl Settings {
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text)
    }

    /// Validates JSON text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: raw::Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|error| Error::Parse {
                fault: Fault {
                    path: error.path().to_string().into(),
                    text: error.inner().to_string().into(),
                },
            })?;
        json.end().map_err(|error| Error::Parse {
            fault: Fault { path: ".".into(), text: error.to_string().into() },
        })?;
        Self::try_from(raw)
    }
}

impl TryFrom<raw::Settings> for Settings {
    type Error = Error;

    fn try_from(raw: raw::Settings) -> Result<Self, Error> {
        let check = &mut Check::default();
        let mut core = check.core(&raw.timings);
        core.deployment = check.name("deployment", raw.deployment);
        core.host = check.name("host", raw.host);
        core.zone = check.name("zone", raw.zone);
        core.secret = check.secret("peer_token", raw.peer_token, raw.peer_token_file);
        for (i, peer) in raw.peers.into_iter().enumerate() {
            let at = |field: &str| format!("peers[{i}].{field}");
            let seed = core::settings::Seed {
                host: check.name(&at("host"), peer.host),
                zone: check.name(&at("zone"), peer.zone),
                address: check.address(&at("address"), &peer.address).to_string().into(),
            };
            if core.peers.iter().any(|it| it.host == seed.host) {
                check.fault(&at("host"), "host is already listed");
            }
            // Hosts may share one list of peers, which then includes this host.
            if seed.host != core.host {
                core.peers.push(seed);
            }
        }
        let peer_address = check.address("peer_address", &raw.peer_address);
        core.peer_address = peer_address.to_string().into();
        if raw.store.urls.is_empty() {
            check.fault("store.urls", "must not be empty");
        }
        let urls = raw.store.urls.iter().enumerate();
        let default = link::Settings::default();
        let settings = Self {
            entry_address: check.address("entry_address", &raw.entry_address),
            admin_address: check.address("admin_address", &raw.admin_address),
            peer_address,
            admin_token: check.secret("admin_token", raw.admin_token, raw.admin_token_file),
            store_urls: urls.map(|(i, url)| check.url(&format!("store.urls[{i}]"), url)).collect(),
            directory_url: check.url("directory.url", &raw.directory.url),
            data_dir: raw.data_dir,
            log: check.log(raw.log),
            limits: check.limits(&raw.limits),
            timeouts: check.timeouts(&raw.timings),
            link: link::Settings {
                connect_timeout: check.time(
                    "timings.connect_timeout_ms",
                    raw.timings.connect_timeout_ms,
                    default.connect_timeout,
                ),
                hello_timeout: check.time(
                    "timings.peer_hello_timeout_ms",
                    raw.timings.peer_hello_timeout_ms,
                    default.hello_timeout,
                ),
                write_timeout: check.time(
                    "timings.peer_write_timeout_ms",
                    raw.timings.peer_write_timeout_ms,
                    default.write_timeout,
                ),
                idle_timeout: check.time(
                    "timings.peer_idle_ms",
                    raw.timings.peer_idle_ms,
                    default.idle_timeout,
                ),
                ..default
            },
            core,
        };
        if check.faults.is_empty() {
            return Ok(settings);
        }
        // The connect timeout is checked twice, as two parts of the daemon use it.
        let mut faults: Vec<Fault> = Vec::new();
        for fault in std::mem::take(&mut check.faults) {
            if !faults.contains(&fault) {
                faults.push(fault);
            }
        }
        Err(Error::Invalid { faults })
    }
}
