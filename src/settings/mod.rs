//! Settings of one host, read from a JSON file.
//!
//! `raw` mirrors the text, `Settings` is the checked form. `docs/settings.md` lists every field with its unit, default
//! and errors. Nothing else in the library reads the environment.

pub mod raw;

use std::{
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use http::Uri;
use snafu::{ResultExt, Snafu};

use crate::{core, link, prelude::*};

/// One fault and where it stands in the file.
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

/// Why settings could not be used.
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

/// Where log lines go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    pub level: log::LevelFilter,
    /// Standard error when absent.
    pub file: Option<PathBuf>,
}

/// Bounds on callers and on what targets answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_body_bytes: usize,
    /// Longest answer taken from a target.
    pub max_answer_bytes: usize,
    pub max_connections: usize,
    /// Events that may wait for the control thread.
    pub max_events: usize,
    pub header_timeout: Duration,
    pub body_timeout: Duration,
    /// Longest time in which a caller takes no byte of its answer.
    pub write_timeout: Duration,
    pub admin_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
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

/// Times of calls to the outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    pub connect: Duration,
    /// Longest time between two chunks of a generation.
    pub chunk: Duration,
    pub poll: Duration,
    pub directory: Duration,
    /// How long the exit waits for answers that are still being written.
    pub flush: Duration,
}

impl Default for Timings {
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

/// Checked settings of one host.
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
    pub timings: Timings,
    pub link: link::Settings,
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text)
    }

    /// Checks a text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: raw::Settings = serde_path_to_error::deserialize(&mut json).map_err(|error| Error::Parse {
            fault: Fault {
                path: error.path().to_string().into(),
                text: error.inner().to_string().into(),
            },
        })?;
        json.end().map_err(|error| Error::Parse {
            fault: Fault {
                path: ".".into(),
                text: error.to_string().into(),
            },
        })?;
        Self::try_from(raw)
    }
}

/// Collects faults, so that all of them are reported at once.
#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn fault(&mut self, path: &str, text: impl Into<Box<str>>) {
        self.faults.push(Fault {
            path: path.into(),
            text: text.into(),
        });
    }

    fn name(&mut self, path: &str, text: String) -> Box<str> {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
        if text.is_empty() || text.len() > 64 || !text.chars().all(plain) {
            self.fault(path, "must be 1 to 64 letters, digits, '-' or '_'");
        }
        text.into()
    }

    fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.fault(path, "must be an IP address and port");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    fn url(&mut self, path: &str, text: &str) -> Uri {
        let uri: Uri = text.parse().unwrap_or_default();
        if uri.scheme_str() != Some("http") || uri.authority().is_none_or(|it| it.port_u16().is_none()) {
            self.fault(path, "must be an http URL with IP address and port");
        }
        uri
    }

    /// A secret given in place or as a file; exactly one of the two.
    fn secret(&mut self, path: &str, text: Option<String>, file: Option<PathBuf>) -> Box<str> {
        let secret = match (text, file) {
            (Some(text), None) => text,
            (None, Some(file)) => match fs::read_to_string(&file) {
                Ok(text) => text.trim_end().to_owned(),
                Err(error) => {
                    self.fault(&format!("{path}_file"), format!("could not read: {error}"));
                    return "".into();
                }
            },
            _ => {
                self.fault(path, format!("exactly one of {path} and {path}_file is required"));
                return "".into();
            }
        };
        // The peer token travels in the first frame of a link, which has 4,096 bytes at most.
        if secret.len() < 8 || secret.len() > 1024 {
            self.fault(path, "must have 8 to 1024 characters");
        }
        secret.into()
    }

    /// A number within bounds, or its default.
    fn number(&mut self, path: &str, value: Option<u64>, default: u64, least: u64, most: u64) -> u64 {
        let value = value.unwrap_or(default);
        if value < least || value > most {
            self.fault(path, format!("must be {least} to {most}"));
        }
        value
    }

    /// A time of at least a millisecond and at most a day.
    fn time(&mut self, path: &str, value: Option<u64>, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(path, value, default, 1, 86_400_000))
    }

    fn log(&mut self, raw: raw::Log) -> Log {
        let level = raw.level.as_deref().unwrap_or("info").parse().unwrap_or_else(|_| {
            self.fault("log.level", "must be off, error, warn, info, debug or trace");
            log::LevelFilter::Info
        });
        Log { level, file: raw.file }
    }

    fn limits(&mut self, raw: &raw::Limits) -> Limits {
        const MB: u64 = 1024 * 1024;
        let default = Limits::default();
        let mut size = |path: &str, value, default: usize, least, most| {
            usize::try_from(self.number(path, value, default as u64, least, most)).unwrap_or(usize::MAX)
        };
        let max_body_bytes = size(
            "limits.max_body_bytes",
            raw.max_body_bytes,
            default.max_body_bytes,
            1024,
            64 * MB,
        );
        let max_answer_bytes = size(
            "limits.max_answer_bytes",
            raw.max_answer_bytes,
            default.max_answer_bytes,
            1024,
            256 * MB,
        );
        let max_connections = size(
            "limits.max_connections",
            raw.max_connections,
            default.max_connections,
            1,
            100_000,
        );
        let max_events = size("limits.max_events", raw.max_events, default.max_events, 16, 1_000_000);
        Limits {
            max_body_bytes,
            max_answer_bytes,
            max_connections,
            max_events,
            header_timeout: self.time(
                "limits.header_timeout_ms",
                raw.header_timeout_ms,
                default.header_timeout,
            ),
            body_timeout: self.time("limits.body_timeout_ms", raw.body_timeout_ms, default.body_timeout),
            write_timeout: self.time("limits.write_timeout_ms", raw.write_timeout_ms, default.write_timeout),
            admin_timeout: self.time("limits.admin_timeout_ms", raw.admin_timeout_ms, default.admin_timeout),
        }
    }

    fn timings(&mut self, raw: &raw::Timings) -> Timings {
        let default = Timings::default();
        Timings {
            connect: self.time("timings.connect_timeout_ms", raw.connect_timeout_ms, default.connect),
            chunk: self.time("timings.chunk_timeout_ms", raw.chunk_timeout_ms, default.chunk),
            poll: self.time("timings.poll_timeout_ms", raw.poll_timeout_ms, default.poll),
            directory: self.time(
                "timings.directory_timeout_ms",
                raw.directory_timeout_ms,
                default.directory,
            ),
            flush: self.time("timings.flush_limit_ms", raw.flush_limit_ms, default.flush),
        }
    }

    fn core(&mut self, raw: &raw::Timings) -> core::Settings {
        let default = core::Settings::default();
        let settings = core::Settings {
            gossip_interval: self.time(
                "timings.gossip_interval_ms",
                raw.gossip_interval_ms,
                default.gossip_interval,
            ),
            zone_interval: self.time("timings.zone_interval_ms", raw.zone_interval_ms, default.zone_interval),
            suspect_after: self.time("timings.suspect_after_ms", raw.suspect_after_ms, default.suspect_after),
            dead_after: self.time("timings.dead_after_ms", raw.dead_after_ms, default.dead_after),
            poll_interval: self.time("timings.poll_interval_ms", raw.poll_interval_ms, default.poll_interval),
            listing_interval: self.time(
                "timings.listing_interval_ms",
                raw.listing_interval_ms,
                default.listing_interval,
            ),
            lease_ttl: self.time("timings.lease_ttl_ms", raw.lease_ttl_ms, default.lease_ttl),
            lease_margin: self.time("timings.lease_margin_ms", raw.lease_margin_ms, default.lease_margin),
            store_timeout: self.time("timings.store_timeout_ms", raw.store_timeout_ms, default.store_timeout),
            key_validity: self.time("timings.key_validity_ms", raw.key_validity_ms, default.key_validity),
            key_retention: self.time("timings.key_retention_ms", raw.key_retention_ms, default.key_retention),
            drain_limit: self.time("timings.drain_limit_ms", raw.drain_limit_ms, default.drain_limit),
            gossip_budget_bytes: u32::try_from(self.number(
                "timings.gossip_budget_bytes",
                raw.gossip_budget_bytes,
                default.gossip_budget_bytes.into(),
                1200,
                10_000_000,
            ))
            .unwrap_or(u32::MAX),
            key_limit: usize::try_from(self.number(
                "timings.key_limit",
                raw.key_limit,
                default.key_limit as u64,
                1,
                10_000_000,
            ))
            .unwrap_or(usize::MAX),
            ..default
        };
        if settings.dead_after <= settings.suspect_after {
            self.fault("timings.dead_after_ms", "must be above suspect_after_ms");
        }
        if settings.lease_margin >= settings.lease_ttl {
            self.fault("timings.lease_margin_ms", "must be below lease_ttl_ms");
        }
        settings
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
                check.fault(&at("host"), "names a host twice");
            }
            // Hosts may share one list of peers, which then names this host too.
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
            store_urls: urls
                .map(|(i, url)| check.url(&format!("store.urls[{i}]"), url))
                .collect(),
            directory_url: check.url("directory.url", &raw.directory.url),
            data_dir: raw.data_dir,
            log: check.log(raw.log),
            limits: check.limits(&raw.limits),
            timings: check.timings(&raw.timings),
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
                idle: check.time("timings.peer_idle_ms", raw.timings.peer_idle_ms, default.idle),
                ..default
            },
            core,
        };
        if check.faults.is_empty() {
            return Ok(settings);
        }
        // A field that serves two parts of the daemon is checked twice.
        check.faults.dedup();
        Err(Error::Invalid {
            faults: std::mem::take(&mut check.faults),
        })
    }
}
